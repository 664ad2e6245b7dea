package http1

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"ibislift/io/tcp"
)

// bufferSize is the size in bytes of the read buffer and of the write buffer of
// a connection.
const bufferSize = 4 << 10

// lingerTimeout and maxLingerBytes limit how long and how much is still read from
// a caller after the response that ends the connection. Closing immediately
// could reset the connection before the caller has read the response.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// firstRequestTime is how long after it was opened a connection without a request is
// kept while the server shuts down.
const firstRequestTime = 250 * time.Millisecond

// errHeaderTooLarge is returned for a request whose header exceeds the limit.
var errHeaderTooLarge = errors.New("the request's header exceeds the limit")

// conn is a connection from a caller. One goroutine reads its requests. Each
// request is handled in a goroutine of its own, and the responses are written in
// the order of the requests.
type conn struct {
	net.Conn
	server *Server
	head   *headReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastDone is closed when the most recently read request is done.
	lastDone <-chan struct{}
	// slots limits the requests in progress to MaxPipelined.
	slots chan struct{}
	// partial is the done channel of the last response of which a part was sent before its
	// end was known, and mayClose that of the last request whose response may end the
	// connection: it asks for that, or is of HTTP/1.0, where the end of the connection marks
	// that of a body without a length. The handlers of requests read later start after both.
	partial  <-chan struct{}
	mayClose <-chan struct{}

	mutex sync.Mutex
	// pending is the number of requests that have been read and are not done.
	// reading reports whether the header of a request is being read.
	pending int
	reading bool
	// waiting is the number of pending requests whose handlers have not started.
	waiting int
	// openedAt is when the connection was accepted, and used reports that a request
	// has begun to arrive on it.
	openedAt time.Time
	used     bool
	// waitUntil is the end of the wait for a request, and respondedAt the end of the
	// last response.
	waitUntil   time.Time
	respondedAt time.Time
	// closing reports that no further request is accepted, because a response
	// ends the connection or the connection is being closed.
	closing bool
	// lingerUntil is set when the write side has been closed after the last response.
	// Input that arrives until then is read and discarded before the connection is
	// closed.
	lingerUntil time.Time
}

// headReader limits how many bytes are read for the header of a request.
type headReader struct {
	io.Reader
	remaining int
	// limited reports whether the limit applies, which is the case while a
	// header is being read.
	limited bool
	// err is the error of the last read. It is kept because the parser reports a
	// truncated line as malformed and hides the cause.
	err error
}

func (headReader *headReader) Read(into []byte) (int, error) {
	if !headReader.limited {
		return headReader.Reader.Read(into)
	}
	if headReader.remaining <= 0 {
		headReader.err = errHeaderTooLarge
		return 0, errHeaderTooLarge
	}
	count, err := headReader.Reader.Read(into[:min(len(into), headReader.remaining)])
	headReader.remaining -= count
	headReader.err = err
	return count, err
}

func newConn(server *Server, accepted net.Conn) *conn {
	done := make(chan struct{})
	close(done)
	conn := &conn{
		Conn:     accepted,
		server:   server,
		head:     &headReader{Reader: accepted},
		writer:   bufio.NewWriterSize(accepted, bufferSize),
		openedAt: time.Now(),
		lastDone: done,
		slots:    make(chan struct{}, MaxPipelined),
	}
	conn.reader = bufio.NewReaderSize(conn.head, bufferSize)
	conn.ctx, conn.cancel = context.WithCancelCause(context.Background())
	return conn
}

// serve reads requests until the connection ends. If reading fails, the caller
// has left, and the context of all its requests is cancelled.
func (conn *conn) serve() {
	defer conn.server.removeConn(conn)
	err := conn.readAll()
	if err != nil && !errors.Is(err, errClosing) {
		conn.cancel(err)
	}
	<-conn.lastDone
	conn.cancel(nil)
	if !conn.lingerUntil.IsZero() {
		_ = conn.SetReadDeadline(conn.lingerUntil)
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxLingerBytes))
	}
	_ = conn.Close()
}

// ErrAborted is the cause of the end of a request's context if the connection was ended
// because a response before the request's own was incomplete.
var ErrAborted = errors.New("the connection was ended by an incomplete response")

// errClosing is returned when no further request is accepted on a connection.
var errClosing = errors.New("the connection accepts no further request")

func (conn *conn) readAll() error {
	for {
		if err := conn.awaitRequest(); err != nil {
			return err
		}
		request, err := conn.readRequest()
		if err != nil {
			conn.reject(err)
			return err
		}
		if err := conn.dispatch(request); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first byte of the next request. The connection ends when
// none has arrived by the end of the wait.
func (conn *conn) awaitRequest() error {
	for {
		if err := conn.beginWait(); err != nil {
			return err
		}
		_, err := conn.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !conn.isWaitOver() {
				continue
			}
			err = conn.peekArrived()
		}
		if err != nil {
			return err
		}
		return conn.beginRequest()
	}
}

func (conn *conn) beginWait() error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.reading = false
	if conn.closing {
		return errClosing
	}
	conn.setWaitDeadline()
	return nil
}

// beginRequest accepts the request whose first byte has arrived. While the server is
// draining, it first waits for the responses to earlier requests: one that announces
// the end of the connection leaves this request unread, and one that was begun before
// the drain does not.
func (conn *conn) beginRequest() error {
	if conn.server.draining.Load() {
		<-conn.lastDone
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closing {
		return errClosing
	}
	conn.used = true
	conn.setReading()
	return nil
}

// beginReading marks the connection before a request that has arrived is read, so that
// no other goroutine shortens the wait for it.
func (conn *conn) beginReading() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.setReading()
}

// setReading gives the caller the header timeout. The caller holds the mutex.
func (conn *conn) setReading() {
	conn.reading = true
	_ = conn.SetReadDeadline(time.Now().Add(conn.server.limits().HeaderTimeout))
}

// isWaitOver reports whether the connection has waited long enough for a request, with
// none in progress.
func (conn *conn) isWaitOver() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return !conn.closing && conn.pending == 0 && !time.Now().Before(conn.waitUntil)
}

// peekArrived waits for the first byte of a request at the end of the wait, if one has
// arrived. A read whose deadline has passed returns no data, even if some has arrived
// meanwhile.
func (conn *conn) peekArrived() error {
	if !tcp.IsQuiet(conn.Conn) {
		conn.beginReading()
		_, err := conn.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	conn.stopReading()
	conn.logIdleEnd()
	return errClosing
}

// setWaitDeadline sets the read deadline for the next request: none while a request is
// in progress, and otherwise the idle timeout. When the server shuts down, it is the
// rest of firstRequestTime on a new connection. On a used one it is lingerTimeout after
// a last response that has not announced the end of the connection: closing it sooner
// could reset it before the caller has read the response. The caller holds the mutex.
func (conn *conn) setWaitDeadline() {
	if conn.pending > 0 {
		_ = conn.SetReadDeadline(time.Time{})
		return
	}
	switch {
	case !conn.server.stopping.Load():
		conn.waitUntil = time.Now().Add(conn.server.limits().IdleTimeout + idleSlack)
	case conn.used:
		conn.waitUntil = conn.respondedAt.Add(lingerTimeout)
	default:
		conn.waitUntil = conn.openedAt.Add(firstRequestTime)
	}
	_ = conn.SetReadDeadline(conn.waitUntil)
}

// shortenWait applies the start of a shutdown to a wait for a request. The goroutine
// that reads the connection ends it: only this one knows what has arrived.
func (conn *conn) shortenWait() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.reading && !conn.closing {
		conn.setWaitDeadline()
	}
}

func (conn *conn) readRequest() (*http.Request, error) {
	limit := conn.server.limits().MaxHeaderBytes
	// The reader may read up to bufferSize bytes beyond the header. Bytes that are
	// already buffered count as read.
	conn.head.remaining = limit + bufferSize - conn.reader.Buffered()
	conn.head.limited = true
	conn.head.err = nil
	request, err := http.ReadRequest(conn.reader)
	conn.head.limited = false
	if err != nil {
		return nil, cmp.Or(conn.head.err, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	request.RemoteAddr = conn.RemoteAddr().String()
	return request.WithContext(conn.ctx), nil
}

// dispatch starts the handling of a request. If the request has a body or may
// not run concurrently, it waits until the earlier requests are done. It returns
// when the next request may be read.
func (conn *conn) dispatch(request *http.Request) error {
	hasBody := request.Body != nil && request.Body != http.NoBody
	if hasBody || !conn.server.allowsConcurrent(request) {
		<-conn.lastDone
	}
	conn.slots <- struct{}{}
	done := make(chan struct{})
	response := newResponse(conn, request, conn.lastDone, done)
	conn.mutex.Lock()
	if conn.closing {
		conn.mutex.Unlock()
		return errClosing
	}
	conn.pending++
	conn.lastDone = done
	response.startAfter = [2]<-chan struct{}{conn.partial, conn.mayClose}
	if request.Close || !request.ProtoAtLeast(1, 1) {
		conn.mayClose = done
	}
	conn.mutex.Unlock()
	if !hasBody {
		go conn.handle(response)
		return nil
	}
	body := &bodyReader{ReadCloser: request.Body, response: response, read: make(chan struct{})}
	request.Body = body
	response.body = body
	go conn.handle(response)
	select {
	case <-body.read:
		_ = conn.SetReadDeadline(time.Time{})
	case <-done:
	}
	return nil
}

// handle runs the handler and completes the response.
func (conn *conn) handle(response *response) {
	defer func() {
		conn.mutex.Lock()
		conn.pending--
		conn.respondedAt = time.Now()
		if !conn.reading && !conn.closing {
			conn.setWaitDeadline()
		}
		conn.mutex.Unlock()
		<-conn.slots
		close(response.done)
	}()
	defer func() {
		if recovered := recover(); recovered != nil {
			err, isError := recovered.(error)
			isAbort := isError && errors.Is(err, http.ErrAbortHandler)
			if !isAbort {
				conn.server.logPanic(recovered)
			}
			if isAbort || !response.Discard() {
				conn.abort(response)
				return
			}
			response.status = http.StatusInternalServerError
			response.finish()
		}
	}()
	if response.awaitStart() {
		conn.server.Handler.ServeHTTP(response, response.request)
		response.finish()
	}
}

// abort ends the connection, so that the caller can't mistake an incomplete response for a
// complete one. Earlier responses are written first. The connection is reset only if its end
// would not show that the response is incomplete, or if the caller doesn't accept it: a reset
// drops what has not been sent yet of earlier responses.
func (conn *conn) abort(response *response) {
	<-response.turn
	conn.stopReading()
	if conn.isAborted() {
		return
	}
	if conn.ctx.Err() == nil {
		conn.logAbort()
	}
	conn.cancel(ErrAborted)
	if response.headSent {
		_ = conn.writer.Flush()
	}
	if response.err == nil && response.endsVisibly() && conn.closeWrite() {
		return
	}
	if lingerer, canReset := conn.Conn.(interface{ SetLinger(seconds int) error }); canReset {
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}

// isAborted reports whether the connection was ended by abort.
func (conn *conn) isAborted() bool { return errors.Is(context.Cause(conn.ctx), ErrAborted) }

func (conn *conn) isClosing() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.closing
}

// stopReading makes the connection accept no further request.
func (conn *conn) stopReading() {
	conn.mutex.Lock()
	conn.closing = true
	conn.mutex.Unlock()
}

// maySendPart reports whether a part of a response may be sent before its end is known. It
// may not before its turn, nor, for maxHoldTime, while requests wait behind it: they would be
// lost with the connection if the response turned out to be incomplete.
func (conn *conn) maySendPart(response *response) bool {
	if !response.isTurn() {
		return false
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if response.heldSince.IsZero() {
		response.heldSince = time.Now()
	}
	maySend := conn.lastDone == response.done || time.Since(response.heldSince) >= maxHoldTime
	if maySend {
		conn.partial = response.done
	}
	return maySend
}

// markPartial records that a part of the response is sent before its end is known.
func (conn *conn) markPartial(response *response) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.partial = response.done
}

// closesAfter reports whether the connection ends with a response: because the
// request asks for that, because the server is draining, or because a part of
// the request's body has not been read. While the server is draining, requests
// that have already been read are handled first.
func (conn *conn) closesAfter(response *response) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	unread := response.body != nil && !response.body.isRead()
	isLast := conn.lastDone == response.done
	if unread || response.request.Close || isLast && conn.server.draining.Load() {
		conn.closing = true
	}
	return conn.closing && (unread || response.request.Close || isLast)
}

// closeWrite closes the write side of the connection after the last response, and reports
// whether it has one. The read side stays open for lingerTimeout.
func (conn *conn) closeWrite() bool {
	conn.lingerUntil = time.Now().Add(lingerTimeout)
	halfCloser, canHalfClose := conn.Conn.(interface{ CloseWrite() error })
	if canHalfClose {
		_ = halfCloser.CloseWrite()
	}
	_ = conn.SetReadDeadline(conn.lingerUntil)
	return canHalfClose
}

// isBusy reports whether a request is in progress or being read.
func (conn *conn) isBusy() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.pending > 0 || conn.reading
}

// logIdleEnd logs that the connection is closed because no request has come.
func (conn *conn) logIdleEnd() {
	if conn.server.Log == nil {
		return
	}
	conn.server.Log.Debug("idle connection closed", "address", conn.RemoteAddr(), "age", time.Since(conn.openedAt), "used", conn.used)
}

func (conn *conn) addWaiting(count int) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.waiting += count
}

// logAbort logs that an incomplete response ends the connection, and how many requests
// in progress behind it are lost. A connection whose caller has left is not logged.
func (conn *conn) logAbort() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.server.Log != nil {
		conn.server.Log.Warn("connection ended by an incomplete response", "connection", conn.RemoteAddr().String(),
			"age", time.Since(conn.openedAt), "requests", conn.pending-conn.waiting-1)
	}
}

// logCut logs that a connection is closed before the responses to its requests.
func (conn *conn) logCut() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.server.Log == nil || conn.pending == 0 && !conn.reading {
		return
	}
	conn.server.Log.Warn("connection cut before its response", "address", conn.RemoteAddr(),
		"age", time.Since(conn.openedAt), "requests", conn.pending, "reading", conn.reading)
}

// reject responds to a request whose header can't be read. If the connection has
// failed, it does nothing.
func (conn *conn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		return
	}
	<-conn.lastDone
	conn.mutex.Lock()
	wasClosing := conn.closing
	conn.closing = true
	conn.mutex.Unlock()
	if wasClosing {
		return
	}
	text := http.StatusText(status)
	_ = conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(conn.writer, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, text, len(text), text)
	_ = conn.writer.Flush()
	conn.closeWrite()
}

func isNetworkError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError)
}
