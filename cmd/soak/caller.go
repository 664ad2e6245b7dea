package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"ibislift/standin/load"
)

// manner is how a caller uses its connections.
type manner string

const (
	// keeping sends request after request on a connection until the daemon ends it.
	keeping manner = "keeping"
	// opening opens a connection for each request.
	opening manner = "opening"
	// ahead sends two GETs at a time on a kept connection.
	ahead manner = "ahead"
	// holding sends one request on a connection, leaves it idle until the daemon is
	// about to stop taking callers, and then sends another.
	holding manner = "holding"
)

// callerGroups is how many callers of each manner a stopping daemon has.
var callerGroups = []struct {
	manner manner
	size   int
}{{keeping, 2}, {opening, 3}, {ahead, 2}, {holding, 24}}

// Times of a caller. In the window around the end of the linger time it sends each
// few milliseconds, otherwise less often.
const (
	windowLead   = 100 * time.Millisecond
	windowLength = 400 * time.Millisecond
	// coreStart and coreLength are the part of the window, from its beginning, in
	// which a stopping daemon closes its idle connections.
	coreStart   = windowLead - 20*time.Millisecond
	coreLength  = 60 * time.Millisecond
	windowPause = 6 * time.Millisecond
	usualPause  = 40 * time.Millisecond
	redialDelay = 5 * time.Millisecond
	dialTimeout = time.Second
	// maxSplitPause is the longest pause within a request that is sent in two parts,
	// and maxFirstPause that before the first request of a new connection.
	maxSplitPause = 10 * time.Millisecond
	maxFirstPause = 300 * time.Millisecond
	// stopDeadline is the deadline of requests to a stopping daemon. It exceeds the
	// time that the daemon takes to stop, so that it excuses no loss.
	stopDeadline = 3 * time.Second
)

// maxUnheardTime is how long after its last byte was sent a request may lose its
// connection without an answer. Until then the daemon can't know of it.
const maxUnheardTime = 200 * time.Millisecond

// attempt is a request that was sent to a stopping daemon.
type attempt struct {
	id      string
	manner  manner
	request load.Request
	// signalAt is when the daemon gets SIGTERM.
	signalAt time.Time
	// behind means that it was sent behind another request of its connection, and
	// whole that all of its bytes were sent.
	behind bool
	whole  bool
	// sentAt is when the last byte was sent, and endedAt when the response or the
	// connection ended.
	sentAt  time.Time
	endedAt time.Time
	// target is the upstream that the head of the response names.
	target string
	result load.Result
	err    error
}

// isExpired reports whether the request got no answer before its own deadline.
func (attempt *attempt) isExpired() bool {
	return attempt.result.Broken && attempt.endedAt.Sub(attempt.sentAt) >= attempt.request.Deadline
}

// String describes the attempt for a violation.
func (attempt *attempt) String() string {
	return fmt.Sprintf("%s (%s, %s %s, sent %s after SIGTERM at %s, err %v)", attempt.id, attempt.manner, attempt.request.Method,
		attempt.request.Address, attempt.sentAt.Sub(attempt.signalAt), attempt.sentAt.Format("15:04:05.000000"), attempt.err)
}

// breach returns what the daemon did wrong with the request, which has run the
// given number of times, or an empty string.
func (attempt *attempt) breach(runs int) string {
	took := attempt.endedAt.Sub(attempt.sentAt)
	switch {
	case attempt.result.Wrong:
		return "had a wrong response"
	case attempt.result.Status == http.StatusUnauthorized:
		return "was refused although its key is valid"
	case runs > 0 && attempt.result.Outcome == "notRun":
		return "ran despite the outcome notRun"
	case runs > 1 && attempt.request.Method != http.MethodGet:
		return fmt.Sprintf("ran %d times", runs)
	case !attempt.result.Broken || attempt.isExpired():
		return ""
	case runs > 0:
		return fmt.Sprintf("has run and was cut after %s", took)
	case attempt.whole && !attempt.behind && took > maxUnheardTime:
		return fmt.Sprintf("was neither answered nor refused, but cut after %s", took)
	default:
		return ""
	}
}

// caller sends requests over connections of its own to a daemon that is about to
// stop. Set the fields before run.
type caller struct {
	manner  manner
	address string
	random  *rand.Rand
	// nextRequest returns the next request and the ID of the attempt to send it.
	nextRequest func(*rand.Rand) (load.Request, string)
	// signalAt is when the daemon gets SIGTERM, windowAt when the window begins, and
	// gone is closed when the daemon's process has ended.
	signalAt time.Time
	windowAt time.Time
	gone     <-chan struct{}

	attempts []*attempt
}

// run sends requests until the process is gone.
func (caller *caller) run() {
	for !caller.isGone() {
		conn, err := net.DialTimeout("tcp", caller.address, dialTimeout)
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		caller.use(conn)
		_ = conn.Close()
	}
}

func (caller *caller) isGone() bool {
	select {
	case <-caller.gone:
		return true
	default:
		return false
	}
}

// use sends requests on a connection until it ends.
func (caller *caller) use(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		time.Sleep(caller.pause(number))
		if caller.isGone() || !caller.exchange(conn, reader) || caller.manner == opening {
			return
		}
	}
}

// pause returns how long to wait before a request of a connection.
func (caller *caller) pause(number int) time.Duration {
	now := time.Now()
	switch {
	case caller.manner == holding && number == 0:
		return 0
	case caller.manner == holding && caller.random.IntN(2) == 0:
		return max(0, caller.windowAt.Add(coreStart).Sub(now)) + caller.draw(coreLength)
	case caller.manner == holding:
		return max(0, caller.windowAt.Sub(now)) + caller.draw(windowLength)
	case caller.manner == opening && caller.random.IntN(8) == 0:
		return caller.draw(maxFirstPause)
	case now.Before(caller.windowAt):
		return caller.draw(usualPause)
	default:
		return caller.draw(windowPause)
	}
}

func (caller *caller) draw(limit time.Duration) time.Duration {
	return time.Duration(caller.random.Int64N(int64(limit)))
}

// exchange sends one request, or two at a time, and reads the responses. It
// reports whether the connection can be used again.
func (caller *caller) exchange(conn net.Conn, reader *bufio.Reader) bool {
	count := 1
	if caller.manner == ahead {
		count = 2
	}
	var attempts []*attempt
	var text bytes.Buffer
	for number := range count {
		attempt := caller.nextAttempt(number > 0)
		httpRequest, err := attempt.request.HTTPRequest(context.Background(), attempt.id)
		if err != nil || httpRequest.Write(&text) != nil {
			return false
		}
		attempts = append(attempts, attempt)
	}
	caller.attempts = append(caller.attempts, attempts...)
	writeErr := caller.send(conn, text.Bytes())
	sentAt := time.Now()
	usable := writeErr == nil
	for _, attempt := range attempts {
		attempt.sentAt, attempt.whole, attempt.err = sentAt, writeErr == nil, writeErr
		if usable {
			usable = attempt.read(conn, reader, sentAt.Add(attempt.request.Deadline))
		}
		attempt.endedAt = time.Now()
	}
	return usable
}

// nextAttempt returns an attempt that has had no response. Only GETs are sent ahead.
func (caller *caller) nextAttempt(behind bool) *attempt {
	request, id := caller.nextRequest(caller.random)
	for caller.manner == ahead && request.Method != http.MethodGet {
		request, id = caller.nextRequest(caller.random)
	}
	return &attempt{
		id: id, manner: caller.manner, request: request, signalAt: caller.signalAt, behind: behind,
		result: load.Result{Broken: true},
	}
}

// send sends the bytes at once or in two parts.
func (caller *caller) send(conn net.Conn, text []byte) error {
	if caller.random.IntN(4) == 0 {
		cut := caller.random.IntN(len(text))
		if _, err := conn.Write(text[:cut]); err != nil {
			return err
		}
		text = text[cut:]
		time.Sleep(caller.draw(maxSplitPause))
	}
	_, err := conn.Write(text)
	return err
}

// read reads the response to the attempt until the given time. It reports whether the
// connection can be used again.
func (attempt *attempt) read(conn net.Conn, reader *bufio.Reader, until time.Time) bool {
	_ = conn.SetReadDeadline(until)
	response, err := http.ReadResponse(reader, &http.Request{Method: attempt.request.Method})
	attempt.err = err
	if err == nil {
		attempt.target = response.Header.Get("Standin-Name")
	}
	attempt.result = load.CheckResponse(attempt.request, attempt.id, response, err)
	return !attempt.result.Broken && !response.Close
}
