package upstream

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How long, and of how many requests, a refusal is remembered. Both may be twice as much.
const (
	refusedRetention = 30 * time.Second
	maxRefused       = 4096
)

// refusedRequests remembers by their IDs the requests that the upstream has refused. A
// faulty upstream may write a refusal once more. If a request with the same ID comes
// again, the ID does not tell that refusal from one of the new request, so the request
// is sent on a new connection, on which no earlier response can arrive.
type refusedRequests struct {
	mutex    sync.Mutex
	recent   map[uint64]struct{}
	earlier  map[uint64]struct{}
	recentAt time.Time
}

// add records the ID of a refused request.
func (refusedRequests *refusedRequests) add(id string, at time.Time) {
	refusedRequests.mutex.Lock()
	defer refusedRequests.mutex.Unlock()
	refusedRequests.rotate(at)
	if len(refusedRequests.recent) >= maxRefused {
		refusedRequests.earlier, refusedRequests.recent = refusedRequests.recent, nil
	}
	if refusedRequests.recent == nil {
		refusedRequests.recent = map[uint64]struct{}{}
		refusedRequests.recentAt = at
	}
	refusedRequests.recent[xxhash.Sum64String(id)] = struct{}{}
}

// includes reports whether a request with the ID has been refused.
func (refusedRequests *refusedRequests) includes(id string, at time.Time) bool {
	refusedRequests.mutex.Lock()
	defer refusedRequests.mutex.Unlock()
	refusedRequests.rotate(at)
	if len(refusedRequests.recent)+len(refusedRequests.earlier) == 0 {
		return false
	}
	hash := xxhash.Sum64String(id)
	_, isRecent := refusedRequests.recent[hash]
	_, isEarlier := refusedRequests.earlier[hash]
	return isRecent || isEarlier
}

// rotate forgets what is older than refusedRetention. The caller holds the mutex.
func (refusedRequests *refusedRequests) rotate(at time.Time) {
	switch age := at.Sub(refusedRequests.recentAt); {
	case age >= 2*refusedRetention:
		refusedRequests.earlier, refusedRequests.recent = nil, nil
	case age >= refusedRetention:
		refusedRequests.earlier, refusedRequests.recent = refusedRequests.recent, nil
		refusedRequests.recentAt = at
	}
}
