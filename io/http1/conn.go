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
)

// bufferSize is the size of a connection's read and write buffers in bytes.
const bufferSize = 4 << 10

// lingerTime and lingerBytes bound the reading of what a caller still sends
// after it was refused, since closing at once would reset the connection
// before the answer is read.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// errHeaderTooLarge says that a request's head is longer than the limit.
var errHeaderTooLarge = errors.New("the request's header is longer than the limit")

// conn is one connection of a caller. Its own goroutine reads requests; each
// request has a goroutine that answers it in its turn.
type conn struct {
	net.Conn
	server *Server
	head   *headReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// newest is closed when the newest request has been answered.
	newest <-chan struct{}
	slots  chan struct{}

	mutex sync.Mutex
	// pending counts the requests that were read and not answered; reading
	// says that a request's head is coming in.
	pending int
	reading bool
	// ending says that an answer has closed the connection: no further
	// request is taken from it.
	ending bool
	// hungUp says that an answer has told the caller so.
	hungUp bool
}

// headReader bounds what is read of a request's head.
type headReader struct {
	io.Reader
	left    int
	bounded bool
	// failed is what ended the last read. The parser takes a line that was cut
	// short for a bad one.
	failed error
}

func (headReader *headReader) Read(into []byte) (int, error) {
	if !headReader.bounded {
		return headReader.Reader.Read(into)
	}
	if headReader.left <= 0 {
		headReader.failed = errHeaderTooLarge
		return 0, errHeaderTooLarge
	}
	count, err := headReader.Reader.Read(into[:min(len(into), headReader.left)])
	headReader.left -= count
	headReader.failed = err
	return count, err
}

func newConn(server *Server, accepted net.Conn) *conn {
	answered := make(chan struct{})
	close(answered)
	conn := &conn{
		Conn:   accepted,
		server: server,
		head:   &headReader{Reader: accepted},
		writer: bufio.NewWriterSize(accepted, bufferSize),
		newest: answered,
		slots:  make(chan struct{}, MaxAhead),
	}
	conn.reader = bufio.NewReaderSize(conn.head, bufferSize)
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	return conn
}

// serve reads requests until the connection ends. The end of the connection is
// the end of the context of all its requests: the caller has left.
func (conn *conn) serve() {
	defer conn.server.forget(conn)
	err := conn.readAll()
	if err != nil && !errors.Is(err, errEnding) {
		conn.cancel()
	}
	<-conn.newest
	conn.cancel()
	if errors.Is(err, errEnding) && conn.hungUp {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, lingerBytes))
	}
	_ = conn.Close()
}

// errEnding says that an answer has closed the connection.
var errEnding = errors.New("an answer has closed the connection")

func (conn *conn) readAll() error {
	for {
		if err := conn.await(); err != nil {
			return err
		}
		request, err := conn.readRequest()
		if err != nil {
			conn.refuse(err)
			return err
		}
		if err := conn.take(request); err != nil {
			return err
		}
	}
}

// await waits for the first byte of the next request. While no request is
// under way that takes the idle time at most. A draining server takes no
// request behind one that is under way, whose answer closes the connection.
func (conn *conn) await() error {
	for {
		conn.mutex.Lock()
		conn.reading = false
		ending := conn.ending || conn.pending > 0 && conn.server.draining.Load()
		conn.setIdleDeadline()
		conn.mutex.Unlock()
		if ending {
			return errEnding
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
		conn.ending = conn.ending || idle
		conn.mutex.Unlock()
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.ending || conn.pending > 0 && conn.server.draining.Load() {
		return errEnding
	}
	conn.reading = true
	_ = conn.SetReadDeadline(time.Now().Add(conn.server.limits().HeaderTime))
	return nil
}

// setIdleDeadline bounds the wait for a request while none is under way. The
// mutex is held.
func (conn *conn) setIdleDeadline() {
	if conn.pending > 0 {
		_ = conn.SetReadDeadline(time.Time{})
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(conn.server.limits().IdleTime + idleSlack))
}

func (conn *conn) readRequest() (*http.Request, error) {
	limit := conn.server.limits().HeaderBytes
	conn.head.left = limit + bufferSize - conn.reader.Buffered()
	conn.head.bounded = true
	conn.head.failed = nil
	request, err := http.ReadRequest(conn.reader)
	conn.head.bounded = false
	if err != nil {
		return nil, cmp.Or(conn.head.failed, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	request.RemoteAddr = conn.RemoteAddr().String()
	return request.WithContext(conn.ctx), nil
}

// take starts a request. One that may not overlap others, or that has a body,
// waits until the earlier ones are answered.
func (conn *conn) take(request *http.Request) error {
	hasBody := request.Body != nil && request.Body != http.NoBody
	if hasBody || !conn.server.overlaps(request) {
		<-conn.newest
	}
	conn.slots <- struct{}{}
	done := make(chan struct{})
	response := newResponse(conn, request, conn.newest, done)
	conn.mutex.Lock()
	if conn.ending {
		conn.mutex.Unlock()
		return errEnding
	}
	conn.pending++
	conn.newest = done
	conn.mutex.Unlock()
	if !hasBody {
		go conn.answer(response)
		return nil
	}
	body := &bodyReader{ReadCloser: request.Body, response: response, read: make(chan struct{})}
	request.Body = body
	response.body = body
	go conn.answer(response)
	select {
	case <-body.read:
		_ = conn.SetReadDeadline(time.Time{})
	case <-done:
	}
	return nil
}

// answer runs the handler and finishes the answer.
func (conn *conn) answer(response *response) {
	defer func() {
		conn.mutex.Lock()
		conn.pending--
		if !conn.reading && !conn.ending {
			conn.setIdleDeadline()
		}
		conn.mutex.Unlock()
		<-conn.slots
		close(response.done)
	}()
	defer func() {
		if failure := recover(); failure != nil {
			if err, isError := failure.(error); !isError || !errors.Is(err, http.ErrAbortHandler) {
				conn.server.logPanic(failure)
			}
			conn.abort(response)
		}
	}()
	conn.server.Handler.ServeHTTP(response, response.request)
	response.finish()
}

// abort ends the connection so that an answer that was cut short does not
// look whole. Earlier answers go out first.
func (conn *conn) abort(response *response) {
	<-response.turn
	conn.end()
	conn.cancel()
	if response.headSent {
		_ = conn.writer.Flush()
	}
	if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// end takes no further request from the connection.
func (conn *conn) end() {
	conn.mutex.Lock()
	conn.ending = true
	conn.mutex.Unlock()
}

// closesAfter says whether the connection ends with a response: its request
// asked for that, the server drains, or a part of the request was not read.
// Requests that were read already are answered first.
func (conn *conn) closesAfter(response *response) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	unread := response.body != nil && !response.body.isRead()
	if !unread && conn.newest != response.done {
		return false
	}
	if unread || response.request.Close || conn.server.draining.Load() {
		conn.ending = true
	}
	return conn.ending
}

// hangUp closes the connection after an answer that ends it. What the caller
// still sends is read for a while.
func (conn *conn) hangUp() {
	conn.hungUp = true
	if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
}

// closeIfIdle closes the connection if nothing is under way on it, and says
// whether it did.
func (conn *conn) closeIfIdle() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.pending > 0 || conn.reading {
		return false
	}
	conn.ending = true
	_ = conn.Close()
	return true
}

// refuse answers a head that cannot be read.
func (conn *conn) refuse(err error) {
	status := http.StatusBadRequest
	var tooLong bool
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status, tooLong = http.StatusRequestHeaderFieldsTooLarge, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetwork(err):
		return
	}
	<-conn.newest
	conn.mutex.Lock()
	ended := conn.ending
	conn.ending = true
	conn.mutex.Unlock()
	if ended {
		return
	}
	text := http.StatusText(status)
	_ = conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(conn.writer, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, text, len(text), text)
	_ = conn.writer.Flush()
	conn.hangUp()
	if tooLong {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, lingerBytes))
	}
}

func isNetwork(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation)
}
