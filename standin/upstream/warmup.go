package upstream

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	wire "ibislift/io/upstream"
)

// warmupNoticeTime is how long after the upstream has first said that it is cold the daemon
// beside it may not have read that yet.
const warmupNoticeTime = 100 * time.Millisecond

// warmup is how long the upstream is cold, and what it gets meanwhile.
type warmup struct {
	// reported is set once the upstream has been cold.
	reported  bool
	coldUntil time.Time
	saidAt    time.Time
	arrivals  []time.Time
	// most is the largest number of requests and health probes in a second.
	most int
}

// set applies new switches.
func (warmup *warmup) set(switches Switches, at time.Time) {
	if switches.ColdFor <= 0 {
		return
	}
	warmup.reported = true
	if !warmup.isCold(at) {
		warmup.saidAt, warmup.arrivals = time.Time{}, nil
	}
	warmup.coldUntil = at.Add(switches.ColdFor)
}

func (warmup *warmup) isCold(at time.Time) bool { return at.Before(warmup.coldUntil) }

// say records that the daemon is being told how long the upstream stays cold, and returns
// that.
func (warmup *warmup) say(at time.Time) time.Duration {
	if warmup.isCold(at) && warmup.saidAt.IsZero() {
		warmup.saidAt = at
	}
	return max(0, warmup.coldUntil.Sub(at))
}

// write adds how long the upstream stays cold to the header of a response.
func (warmup *warmup) write(header http.Header, at time.Time) {
	if warmup.reported {
		header.Set("Ibislift-Warmup-Remaining", strconv.FormatFloat(warmup.say(at).Seconds(), 'f', 3, 64))
	}
}

// count counts a request or a health probe that has arrived, and reports whether there have
// never been more in a second.
func (warmup *warmup) count(at time.Time) bool {
	if !warmup.isCold(at) || warmup.saidAt.IsZero() || at.Sub(warmup.saidAt) < warmupNoticeTime {
		return false
	}
	for len(warmup.arrivals) > 0 && at.Sub(warmup.arrivals[0]) > time.Second {
		warmup.arrivals = warmup.arrivals[1:]
	}
	warmup.arrivals = append(warmup.arrivals, at)
	if len(warmup.arrivals) <= warmup.most {
		return false
	}
	warmup.most = len(warmup.arrivals)
	return true
}

// MostInASecond returns the largest number of requests and health probes that the upstream
// got in a second while it was cold and had said so.
func (server *Server) MostInASecond() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.warmup.most
}

func (server *Server) countProbe() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.countWarmup()
}

// countWarmup counts a request or a health probe, and records a new maximum at once, since
// the process may be killed while it is cold. The mutex must be held.
func (server *Server) countWarmup() {
	if server.warmup.count(time.Now()) && server.Ledger != nil {
		_, _ = fmt.Fprintf(server.Ledger, "%s mostInASecond %d\n", server.Name, server.warmup.most)
	}
}

// announceWarmup adds how long the upstream stays cold to an announcement.
func (server *Server) announceWarmup(announcement *wire.Announcement) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	announcement.ReportsWarmup = server.warmup.reported
	if server.warmup.reported {
		announcement.WarmupLeft = server.warmup.say(time.Now())
	}
}
