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
	cancel context.CancelFunc
	// lastDone is closed when the most recently read request is done.
	lastDone <-chan struct{}
	// slots limits the requests in progress to MaxPipelined.
	slots chan struct{}

	mutex sync.Mutex
	// pending is the number of requests that have been read and are not done.
	// reading reports whether the header of a request is being read.
	pending int
	reading bool
	// openedAt is when the connection was accepted, and used reports that a request
	// has begun to arrive on it.
	openedAt time.Time
	used     bool
	// closing reports that no further request is accepted, because a response
	// ends the connection or the connection is being closed.
	closing bool
	// writeClosed reports that the write side has been closed after the last
	// response. Input that still arrives is then read and discarded for up to
	// lingerTimeout before the connection is closed.
	writeClosed bool
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
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	return conn
}

// serve reads requests until the connection ends. If reading fails, the caller
// has left, and the context of all its requests is cancelled.
func (conn *conn) serve() {
	defer conn.server.removeConn(conn)
	err := conn.readAll()
	if err != nil && !errors.Is(err, errClosing) {
		conn.cancel()
	}
	<-conn.lastDone
	conn.cancel()
	if errors.Is(err, errClosing) && conn.writeClosed {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxLingerBytes))
	}
	_ = conn.Close()
}

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

// awaitRequest waits for the first byte of the next request. The idle timeout
// applies while no request is in progress. While the server is draining, no
// further request is accepted on a connection with a request in progress, since
// the response to that one closes the connection.
func (conn *conn) awaitRequest() error {
	for {
		conn.mutex.Lock()
		conn.reading = false
		closing := conn.closing || conn.pending > 0 && conn.server.draining.Load()
		conn.setIdleDeadline()
		conn.mutex.Unlock()
		if closing {
			return errClosing
		}
		_, err := conn.reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		conn.mutex.Lock()
		idle := conn.pending == 0
		conn.closing = conn.closing || idle
		conn.mutex.Unlock()
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closing || conn.pending > 0 && conn.server.draining.Load() {
		return errClosing
	}
	conn.reading = true
	conn.used = true
	_ = conn.SetReadDeadline(time.Now().Add(conn.server.limits().HeaderTimeout))
	return nil
}

// setIdleDeadline sets the read deadline for the next request: the idle timeout
// if no request is in progress, and none otherwise. The caller holds the mutex.
func (conn *conn) setIdleDeadline() {
	if conn.pending > 0 {
		_ = conn.SetReadDeadline(time.Time{})
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(conn.server.limits().IdleTimeout + idleSlack))
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
		if !conn.reading && !conn.closing {
			conn.setIdleDeadline()
		}
		conn.mutex.Unlock()
		<-conn.slots
		close(response.done)
	}()
	defer func() {
		if recovered := recover(); recovered != nil {
			if err, isError := recovered.(error); !isError || !errors.Is(err, http.ErrAbortHandler) {
				conn.server.logPanic(recovered)
			}
			conn.abort(response)
		}
	}()
	conn.server.Handler.ServeHTTP(response, response.request)
	response.finish()
}

// abort resets the connection, so that the caller can't mistake an incomplete
// response for a complete one. Earlier responses are written first.
func (conn *conn) abort(response *response) {
	<-response.turn
	conn.stopReading()
	conn.cancel()
	if response.headSent {
		_ = conn.writer.Flush()
	}
	if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// stopReading makes the connection accept no further request.
func (conn *conn) stopReading() {
	conn.mutex.Lock()
	conn.closing = true
	conn.mutex.Unlock()
}

// closesAfter reports whether the connection ends with a response: because the
// request asks for that, because the server is draining, or because a part of
// the request's body has not been read. In the first two cases, requests that
// have already been read are handled first.
func (conn *conn) closesAfter(response *response) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	unread := response.body != nil && !response.body.isRead()
	if !unread && conn.lastDone != response.done {
		return false
	}
	if unread || response.request.Close || conn.server.draining.Load() {
		conn.closing = true
	}
	return conn.closing
}

// closeWrite closes the write side of the connection after the last response.
// The read side stays open for lingerTimeout.
func (conn *conn) closeWrite() {
	conn.writeClosed = true
	if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// firstRequestTime is how long a new connection is not considered idle although its
// first request has not begun to arrive.
const firstRequestTime = 250 * time.Millisecond

// closeIfIdle closes the connection if no request is in progress, being read or about
// to arrive on a new connection, and reports whether it did so.
func (conn *conn) closeIfIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	isNew := !conn.used && time.Since(conn.openedAt) < firstRequestTime
	if conn.pending > 0 || conn.reading || isNew {
		return false
	}
	if server := conn.server; server.Log != nil && !tcp.IsQuiet(conn.Conn) {
		server.Log.Info("idle connection closed with unread bytes", "address", conn.RemoteAddr(),
			"age", time.Since(conn.openedAt), "responded", conn.writeClosed)
	}
	conn.closing = true
	_ = conn.Close()
	return true
}

// isBusy reports whether a request is in progress or being read.
func (conn *conn) isBusy() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.pending > 0 || conn.reading
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
	var tooLarge bool
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status, tooLarge = http.StatusRequestHeaderFieldsTooLarge, true
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
	if tooLarge {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxLingerBytes))
	}
}

func isNetworkError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError)
}
