package upstream

import (
	"net/http"
	"strconv"
	"time"
)

// What a rate limit allows, and from when on.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNoticeTime is how long after the limit is named first the daemons may not
	// know it.
	limitNoticeTime = 500 * time.Millisecond
	// leavingNoticeTime is how long requests may still arrive after a response has said
	// that the upstream is leaving.
	leavingNoticeTime = 2500 * time.Millisecond
)

// statements are what the upstream says of its own state in all its responses, and the
// requests that came in spite of it.
type statements struct {
	limit   float64
	limited bool
	leaving bool
	// namedAt is when a response first named the limit, leftAt when one first said that
	// the upstream is leaving.
	namedAt  time.Time
	leftAt   time.Time
	arrivals []time.Time
	// excess counts the requests above what the limit allows, late those that came
	// although the upstream was leaving.
	excess int
	late   int
}

// set applies new switches.
func (statements *statements) set(switches Switches) {
	limited := switches.RateLimit != nil
	if !limited || statements.limited && statements.limit != *switches.RateLimit {
		statements.namedAt, statements.arrivals = time.Time{}, nil
	}
	if statements.limited = limited; limited {
		statements.limit = *switches.RateLimit
	}
	if statements.leaving = switches.Leaving; !switches.Leaving {
		statements.leftAt = time.Time{}
	}
}

// write adds the statements to the header of a response.
func (statements *statements) write(header http.Header, at time.Time) {
	header.Del("Ibislift-Rate-Limit")
	if statements.limited {
		header.Set("Ibislift-Rate-Limit", strconv.FormatFloat(statements.limit, 'g', -1, 64))
		if statements.namedAt.IsZero() {
			statements.namedAt = at
		}
	}
	if statements.leaving {
		header.Set("Ibislift-Leaving", "1")
		if statements.leftAt.IsZero() {
			statements.leftAt = at
		}
	}
}

// count counts a request that has arrived.
func (statements *statements) count(at time.Time) {
	if !statements.leftAt.IsZero() && at.Sub(statements.leftAt) > leavingNoticeTime {
		statements.late++
	}
	if statements.namedAt.IsZero() || at.Sub(statements.namedAt) < limitNoticeTime {
		return
	}
	for len(statements.arrivals) > 0 && at.Sub(statements.arrivals[0]) > limitWindow {
		statements.arrivals = statements.arrivals[1:]
	}
	statements.arrivals = append(statements.arrivals, at)
	if float64(len(statements.arrivals)) > limitFactor*statements.limit*limitWindow.Seconds()+limitSlack {
		statements.excess++
	}
}

// Unwanted returns how many requests came above the limit that the upstream had named,
// and how many long after it had said that it is leaving.
func (server *Server) Unwanted() (excess, late int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.statements.excess, server.statements.late
}

func (server *Server) countArrival() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.arrived++
	server.statements.count(time.Now())
	server.countWarmup()
}

// state adds what the upstream says of its own state to the header of a response.
func (server *Server) state(header http.Header) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.statements.write(header, time.Now())
	server.warmup.write(header, time.Now())
}
