package member_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// observer is a kernel with one neighbour, "other", whose record it has
// received from the neighbour itself.
type observer struct {
	kernel    kernel.Kernel
	now       time.Time
	view      *kernel.View
	published int
	neighbour kernel.Neighbour
	version   uint64
}

func newObserver(t *testing.T) *observer {
	t.Helper()
	observer := &observer{
		kernel:    kernel.Kernel{Settings: kernel.Settings{Self: "self", Region: "r", DataCentre: "r", PeerAddress: "self", NoClaims: true}},
		now:       time.Unix(1_800_000_000, 0),
		neighbour: kernel.Neighbour{ID: "other", Address: "other", Monitored: true},
	}
	observer.update(kernel.Started{})
	observer.receiveRecord(t)
	return observer
}

func (observer *observer) update(message kernel.Message) {
	for _, effect := range observer.kernel.Update(kernel.Event{At: observer.now, Message: message}) {
		if publish, ok := effect.(kernel.Publish); ok {
			observer.view = publish.View
			observer.published++
		}
	}
}

// receiveRecord delivers a record of the neighbour with a higher counter, which
// refutes any suspicion.
func (observer *observer) receiveRecord(t *testing.T) {
	t.Helper()
	// The lowest two bits of a version are the rank, which is 0 in the
	// member's own records. The counter is in the bits above.
	observer.version += 1 << 2
	body, err := json.Marshal(kernel.Member{ID: "other", Region: "r", DataCentre: "r", PeerAddress: "other", State: kernel.MemberAlive})
	is.New(t).NoErr(err)
	record := kernel.Record{Key: kernel.Key{Kind: kernel.KindMember, Name: "other"}, Version: observer.version, Body: body}
	observer.update(kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "other", Records: []kernel.Record{record}}})
	observer.now = observer.now.Add(kernel.TickInterval)
	observer.update(kernel.Ticked{})
}

func (observer *observer) neighbourState() kernel.MemberState {
	known, _ := observer.view.Member("other")
	return known.State
}

// A neighbour that is alive but unreachable from this daemon refutes each
// suspicion. It must not be suspected again at once: the whole fleet would keep
// exchanging records about it.
func TestSuspicionDoesNotFlap(t *testing.T) {
	t.Run("messages that fail together count as one failure", func(t *testing.T) {
		observer := newObserver(t)
		for range 20 {
			observer.update(kernel.PeerFailed{Peer: observer.neighbour})
		}
		is.New(t).Equal(observer.neighbourState(), kernel.MemberAlive)
	})
	t.Run("separate failures make a neighbour suspect", func(t *testing.T) {
		observer := newObserver(t)
		observer.failExchanges(2)
		is.New(t).Equal(observer.neighbourState(), kernel.MemberSuspect)
	})
	t.Run("a refutation resets the failure count", func(t *testing.T) {
		observer := newObserver(t)
		observer.failExchanges(2)
		observer.receiveRecord(t)
		observer.failExchanges(1)
		is.New(t).Equal(observer.neighbourState(), kernel.MemberAlive)
	})
}

// failExchanges reports count failed exchanges, one second apart.
func (observer *observer) failExchanges(count int) {
	for range count {
		observer.now = observer.now.Add(time.Second)
		observer.update(kernel.PeerFailed{Peer: observer.neighbour})
	}
	observer.update(kernel.Ticked{})
}
