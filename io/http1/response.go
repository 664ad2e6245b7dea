package http1

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxBuffered is how many bytes of a response are buffered until its turn to be
// written. A handler that writes more is blocked until then.
const maxBuffered = 64 << 10

// maxHoldTime limits how long a part of a response is held back because requests wait
// behind it, so that a stream of events reaches its caller.
const maxHoldTime = time.Second

// defaultWriteTimeout is how long a caller may take to accept a part of a response,
// so that one that doesn't read can't hold the connection.
const defaultWriteTimeout = 30 * time.Second

// response is the http.ResponseWriter of one request. It writes to the connection
// only after the responses to all earlier requests are done.
type response struct {
	conn    *conn
	request *http.Request
	readAt  time.Time
	// turn is closed when the response may be written.
	turn <-chan struct{}
	// startAfter are closed when the handler may start; nil ones count as closed.
	startAfter [2]<-chan struct{}
	// done is closed when the request is done. It is the next response's turn.
	done chan struct{}
	body *bodyReader

	header   http.Header
	status   int
	buffered []byte
	// interims are the interim responses that wait for the turn.
	interims []interim
	headSent bool
	// heldSince is when the response was first held back for the requests behind it.
	heldSince time.Time
	// turnDeadline limits the wait of Write for the turn. The zero value means no limit.
	turnDeadline time.Time
	chunks       io.WriteCloser
	// remaining is the number of bytes still to be written of a body of known
	// length, or -1.
	remaining int64
	// closes reports whether the connection is closed after the response.
	closes bool
	// err is the first error of writing the response.
	err error
}

// interim is an interim response.
type interim struct {
	status int
	header http.Header
}

func newResponse(conn *conn, request *http.Request, turn <-chan struct{}, done chan struct{}) *response {
	return &response{conn: conn, request: request, readAt: time.Now(), turn: turn, done: done, header: http.Header{}, remaining: -1}
}

// ReadAt returns when the request was read. The handler may start later, behind a response that
// may end the connection.
func (response *response) ReadAt() time.Time { return response.readAt }

// Header returns the header that will be sent.
func (response *response) Header() http.Header { return response.header }

// WriteHeader sets the status. An interim response is sent at once if its turn has come, and
// kept until then otherwise. A status that no response has becomes 502, as for any other
// response that cannot be relayed.
func (response *response) WriteHeader(status int) {
	switch {
	case status >= 100 && status < 200:
		response.sendInterim(status)
	case response.status != 0:
	case IsFinalStatus(status):
		response.status = status
	default:
		response.status = http.StatusBadGateway
	}
}

// Write appends to the body, which is buffered up to maxBuffered bytes.
func (response *response) Write(part []byte) (int, error) {
	if response.status == 0 {
		response.status = http.StatusOK
	}
	if !response.headSent && len(response.buffered)+len(part) <= maxBuffered {
		response.buffered = append(response.buffered, part...)
		return len(part), nil
	}
	if err := response.awaitTurnToWrite(); err != nil {
		return 0, Error.Wrap(err)
	}
	response.sendHead(false)
	return response.send(part)
}

// Flush is FlushError for handlers that send the rest of the response in any case.
func (response *response) Flush() { _ = response.FlushError() }

// ErrHeld is returned by FlushError for a response that is still buffered.
var ErrHeld = errors.New("the response is held back")

// FlushError sends the header and the part of the body written so far. It returns ErrHeld,
// and keeps them, while the response waits for its turn or is held back for the requests
// behind it.
func (response *response) FlushError() error {
	if response.status == 0 {
		response.status = http.StatusOK
	}
	if !response.headSent && !response.conn.maySendPart(response) {
		return ErrHeld
	}
	response.sendHead(false)
	response.recordError(response.conn.writer.Flush())
	return response.err
}

// Discard drops the response if none of it has been sent, so that another one can be
// written in its place. It reports whether it did.
func (response *response) Discard() bool {
	if response.headSent {
		return false
	}
	clear(response.header)
	response.status = 0
	response.buffered = nil
	return true
}

// ErrTurnTimeout is returned by Write for a response whose turn has not come by the deadline.
var ErrTurnTimeout = errors.New("the responses to earlier requests are not done")

// SetTurnDeadline limits how long Write waits for the responses to earlier requests. Write
// then fails with ErrTurnTimeout.
func (response *response) SetTurnDeadline(deadline time.Time) { response.turnDeadline = deadline }

// SetReadDeadline sets the deadline for reading the request's body. It makes
// http.ResponseController.SetReadDeadline work.
func (response *response) SetReadDeadline(deadline time.Time) error {
	if response.body == nil || response.body.isRead() {
		return nil
	}
	return response.conn.SetReadDeadline(deadline)
}

// recordError records the first error and cancels the requests of the connection.
func (response *response) recordError(err error) {
	if err != nil && response.err == nil {
		response.err = err
		response.conn.cancel(err)
	}
}

// awaitTurn waits until the earlier requests of the connection are done, and sets
// the write deadline.
func (response *response) awaitTurn() {
	<-response.turn
	response.renewWriteDeadline()
}

// awaitTurnToWrite is awaitTurn for a response that is too long to be buffered. It ends with
// the connection and at the deadline for writing.
func (response *response) awaitTurnToWrite() error {
	if response.isTurn() {
		return nil
	}
	var timeout <-chan time.Time
	if !response.turnDeadline.IsZero() {
		timer := time.NewTimer(time.Until(response.turnDeadline))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-response.turn:
		return nil
	case <-timeout:
		return ErrTurnTimeout
	case <-response.conn.ctx.Done():
		return context.Cause(response.conn.ctx)
	}
}

// awaitStart waits for the end of the responses in front that may end the connection: one of
// which a part had been sent when the request was read, or one that closes it. The request
// would be lost with the connection. It reports whether the handler is to run; if not, the
// turn has come.
func (response *response) awaitStart() bool {
	response.conn.addWaiting(1)
	defer response.conn.addWaiting(-1)
	for _, done := range response.startAfter {
		if done == nil {
			continue
		}
		select {
		case <-done:
		case <-response.conn.ctx.Done():
		}
		if response.conn.ctx.Err() != nil || response.conn.isClosing() {
			<-response.turn
			return false
		}
	}
	return true
}

// isTurn reports whether the responses to all earlier requests are done.
func (response *response) isTurn() bool {
	select {
	case <-response.turn:
		return true
	default:
		return false
	}
}

// renewWriteDeadline gives the caller the whole write timeout again. It is called
// before each part of a response, so that a long response may take longer.
func (response *response) renewWriteDeadline() {
	timeout := cmp.Or(response.conn.server.WriteTimeout, defaultWriteTimeout)
	_ = response.conn.SetWriteDeadline(time.Now().Add(timeout))
}

// sendInterim sends an interim response, or keeps it until the turn comes.
func (response *response) sendInterim(status int) {
	if !response.isTurn() {
		response.interims = append(response.interims, interim{status, response.header.Clone()})
		return
	}
	response.awaitTurn()
	response.sendInterims()
	response.writeHead(status, response.header)
	response.recordError(response.conn.writer.Flush())
}

func (response *response) sendInterims() {
	for _, interim := range response.interims {
		response.writeHead(interim.status, interim.header)
	}
	response.interims = nil
}

func (response *response) writeHead(status int, header http.Header) {
	_, err := fmt.Fprintf(response.conn.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	response.recordError(err)
	response.recordError(header.Write(response.conn.writer))
	_, err = io.WriteString(response.conn.writer, "\r\n")
	response.recordError(err)
}

// sendHead sends the status line and the header, and the buffered part of the
// body, if that hasn't been done yet. whole means that the body is complete, so
// that its length is known.
func (response *response) sendHead(whole bool) {
	if response.headSent {
		return
	}
	response.awaitTurn()
	response.headSent = true
	if response.conn.isAborted() {
		response.err = ErrAborted
		return
	}
	response.sendInterims()
	if !whole {
		response.conn.markPartial(response)
	}
	head := response.header.Clone()
	for name := range head {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			delete(head, name)
		}
	}
	response.setFraming(head, whole)
	if whole && response.body != nil {
		response.body.skipArrived()
	}
	response.closes = response.conn.closesAfter(response) || response.closes
	if response.closes {
		head.Set("Connection", "close")
	}
	response.writeHead(response.status, head)
	if response.hasBody() && len(response.buffered) > 0 {
		_, _ = response.send(response.buffered)
	}
	response.buffered = nil
}

// setFraming chooses how the end of the body is marked: by the length that the
// handler has set, by the length of a complete body, by chunked encoding, or for
// HTTP/1.0 by the end of the connection.
func (response *response) setFraming(head http.Header, whole bool) {
	length, err := strconv.ParseInt(head.Get("Content-Length"), 10, 64)
	switch {
	case !response.hasBody():
		return
	case err == nil && length >= 0:
		response.remaining = length
	case whole && !(response.hasTrailers() && response.request.ProtoAtLeast(1, 1)):
		response.remaining = int64(len(response.buffered))
		head.Set("Content-Length", strconv.FormatInt(response.remaining, 10))
	case response.request.ProtoAtLeast(1, 1):
		head.Del("Content-Length")
		head.Set("Transfer-Encoding", "chunked")
		response.chunks = httputil.NewChunkedWriter(response.conn.writer)
	default:
		head.Del("Content-Length")
		response.conn.stopReading()
		response.closes = true
	}
}

func (response *response) hasBody() bool {
	return response.request.Method != http.MethodHead &&
		response.status != http.StatusNoContent && response.status != http.StatusNotModified
}

// errTooLong is returned when a handler writes more than the Content-Length that
// it has set.
var errTooLong = errors.New("the body is longer than its Content-Length")

func (response *response) send(part []byte) (int, error) {
	response.renewWriteDeadline()
	switch {
	case response.err != nil:
		return 0, Error.Wrap(response.err)
	case !response.hasBody():
		return len(part), nil
	case response.chunks != nil:
		_, err := response.chunks.Write(part)
		response.recordError(err)
	case response.remaining >= 0 && int64(len(part)) > response.remaining:
		response.recordError(errTooLong)
	default:
		if response.remaining >= 0 {
			response.remaining -= int64(len(part))
		}
		_, err := response.conn.writer.Write(part)
		response.recordError(err)
	}
	if response.err != nil {
		return 0, Error.Wrap(response.err)
	}
	return len(part), nil
}

// finish sends the rest of the response. If a part of it was sent and it failed or is shorter
// than its Content-Length, the connection is aborted.
func (response *response) finish() {
	if response.status == 0 {
		response.status = http.StatusOK
	}
	if response.hasOtherLength() && response.Discard() {
		response.status = http.StatusBadGateway
	}
	response.sendHead(true)
	response.renewWriteDeadline()
	if response.chunks != nil && response.err == nil {
		response.recordError(response.chunks.Close())
		response.recordError(response.trailers().Write(response.conn.writer))
		_, err := io.WriteString(response.conn.writer, "\r\n")
		response.recordError(err)
	}
	response.recordError(response.conn.writer.Flush())
	if response.err != nil || response.remaining > 0 {
		response.conn.abort(response)
		return
	}
	if response.closes {
		response.conn.closeWrite()
	}
}

// hasOtherLength reports whether the Content-Length of a response that is buffered whole is
// not that of its body.
func (response *response) hasOtherLength() bool {
	if response.headSent || !response.hasBody() {
		return false
	}
	length, err := strconv.ParseInt(response.header.Get("Content-Length"), 10, 64)
	return err == nil && length >= 0 && length != int64(len(response.buffered))
}

// hasTrailers reports whether the handler has set trailers, which only a chunked body has.
func (response *response) hasTrailers() bool {
	for name := range response.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

// endsVisibly reports whether the end of the connection shows a caller that the response is
// incomplete.
func (response *response) endsVisibly() bool {
	return !response.headSent || response.chunks != nil || response.remaining > 0
}

func (response *response) trailers() http.Header {
	trailers := http.Header{}
	for name, values := range response.header {
		if bareName, found := strings.CutPrefix(name, http.TrailerPrefix); found {
			trailers[bareName] = values
		}
	}
	return trailers
}

// bodyReader is a request's body. It records when the body has been read to its
// end, and asks for the body if the caller waits for 100 Continue.
type bodyReader struct {
	io.ReadCloser
	response *response
	once     sync.Once
	// read is closed when the body has been read to its end.
	read chan struct{}
	// started reports whether reading the body has begun.
	started bool
}

func (bodyReader *bodyReader) Read(into []byte) (int, error) {
	bodyReader.sendContinue()
	count, err := bodyReader.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		bodyReader.once.Do(func() { close(bodyReader.read) })
	}
	return count, err
}

// sendContinue sends 100 Continue before the first read, if the request expects
// it.
func (bodyReader *bodyReader) sendContinue() {
	if bodyReader.started {
		return
	}
	bodyReader.started = true
	if strings.EqualFold(bodyReader.response.request.Header.Get("Expect"), "100-continue") {
		bodyReader.response.awaitTurn()
		_, _ = io.WriteString(bodyReader.response.conn.writer, "HTTP/1.1 100 Continue\r\n\r\n")
		_ = bodyReader.response.conn.writer.Flush()
	}
}

// skipArrived skips a body that the handler has not begun to read, if all of it has
// arrived together with the header. The requests behind it are then served; otherwise
// the connection ends with the response, since reading the rest could take any time. The
// handler must have returned.
func (bodyReader *bodyReader) skipArrived() {
	length := bodyReader.response.request.ContentLength
	if bodyReader.started || length <= 0 || length > int64(bodyReader.response.conn.reader.Buffered()) {
		return
	}
	bodyReader.started = true
	_, err := io.Copy(io.Discard, bodyReader)
	bodyReader.response.recordError(err)
}

func (bodyReader *bodyReader) isRead() bool {
	select {
	case <-bodyReader.read:
		return true
	default:
		return false
	}
}

var (
	_ http.ResponseWriter = (*response)(nil)
	_ http.Flusher        = (*response)(nil)
)
