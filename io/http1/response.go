package http1

import (
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

// maxBuffered is how much of an answer waits for its turn, in bytes; what
// comes after that waits with its handler.
const maxBuffered = 64 << 10

// writeTimeout bounds the writing of one part of an answer to a caller that
// does not read.
const writeTimeout = 30 * time.Second

// response is the answer to one request. It is an http.ResponseWriter that
// writes to the connection only in its turn.
type response struct {
	conn    *conn
	request *http.Request
	turn    <-chan struct{}
	done    chan struct{}
	body    *bodyReader

	header   http.Header
	status   int
	buffered []byte
	headSent bool
	chunks   io.WriteCloser
	// left is how many bytes of a body of known length are missing, or -1.
	left   int64
	closes bool
	failed error
}

func newResponse(conn *conn, request *http.Request, turn <-chan struct{}, done chan struct{}) *response {
	return &response{conn: conn, request: request, turn: turn, done: done, header: http.Header{}, left: -1}
}

// Header returns the header to be sent.
func (response *response) Header() http.Header { return response.header }

// WriteHeader sets the status. An interim status is sent at once.
func (response *response) WriteHeader(status int) {
	switch {
	case status >= 100 && status < 200:
		response.sendInterim(status)
	case response.status == 0:
		response.status = status
	}
}

// Write adds to the body.
func (response *response) Write(part []byte) (int, error) {
	if response.status == 0 {
		response.status = http.StatusOK
	}
	if !response.headSent && len(response.buffered)+len(part) <= maxBuffered {
		response.buffered = append(response.buffered, part...)
		return len(part), nil
	}
	response.sendHead(false)
	return response.send(part)
}

// Flush sends what there is.
func (response *response) Flush() {
	if response.status == 0 {
		response.status = http.StatusOK
	}
	response.sendHead(false)
	response.note(response.conn.writer.Flush())
}

// SetReadDeadline bounds the reading of the request's body.
func (response *response) SetReadDeadline(deadline time.Time) error {
	if response.body == nil || response.body.isRead() {
		return nil
	}
	return response.conn.SetReadDeadline(deadline)
}

func (response *response) note(err error) {
	if err != nil && response.failed == nil {
		response.failed = err
		response.conn.cancel()
	}
}

// awaitTurn waits until the earlier requests of the connection are answered.
func (response *response) awaitTurn() {
	<-response.turn
	_ = response.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (response *response) sendInterim(status int) {
	response.awaitTurn()
	response.writeHead(status, response.header)
	response.note(response.conn.writer.Flush())
}

func (response *response) writeHead(status int, header http.Header) {
	_, err := fmt.Fprintf(response.conn.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	response.note(err)
	response.note(header.Write(response.conn.writer))
	_, err = io.WriteString(response.conn.writer, "\r\n")
	response.note(err)
}

// sendHead sends the head, once, with the framing that fits: the length that
// the handler has set, the length of a body that is whole, or chunks.
func (response *response) sendHead(whole bool) {
	if response.headSent {
		return
	}
	response.awaitTurn()
	response.headSent = true
	head := response.header.Clone()
	for name := range head {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			delete(head, name)
		}
	}
	response.frame(head, whole)
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

func (response *response) frame(head http.Header, whole bool) {
	length, err := strconv.ParseInt(head.Get("Content-Length"), 10, 64)
	switch {
	case !response.hasBody():
		return
	case err == nil && length >= 0:
		response.left = length
	case whole:
		response.left = int64(len(response.buffered))
		head.Set("Content-Length", strconv.FormatInt(response.left, 10))
	case response.request.ProtoAtLeast(1, 1):
		head.Del("Content-Length")
		head.Set("Transfer-Encoding", "chunked")
		response.chunks = httputil.NewChunkedWriter(response.conn.writer)
	default:
		head.Del("Content-Length")
		response.conn.end()
		response.closes = true
	}
}

func (response *response) hasBody() bool {
	return response.request.Method != http.MethodHead &&
		response.status != http.StatusNoContent && response.status != http.StatusNotModified
}

// errTooLong says that a handler wrote more than the length it had set.
var errTooLong = errors.New("the body is longer than its Content-Length")

func (response *response) send(part []byte) (int, error) {
	switch {
	case response.failed != nil:
		return 0, Error.Wrap(response.failed)
	case !response.hasBody():
		return len(part), nil
	case response.chunks != nil:
		_, err := response.chunks.Write(part)
		response.note(err)
	case response.left >= 0 && int64(len(part)) > response.left:
		response.note(errTooLong)
	default:
		if response.left >= 0 {
			response.left -= int64(len(part))
		}
		_, err := response.conn.writer.Write(part)
		response.note(err)
	}
	if response.failed != nil {
		return 0, Error.Wrap(response.failed)
	}
	return len(part), nil
}

// finish sends what is left of the answer. One that is shorter than its length
// ends the connection.
func (response *response) finish() {
	if response.status == 0 {
		response.status = http.StatusOK
	}
	response.sendHead(true)
	if response.chunks != nil && response.failed == nil {
		response.note(response.chunks.Close())
		response.note(response.trailers().Write(response.conn.writer))
		_, err := io.WriteString(response.conn.writer, "\r\n")
		response.note(err)
	}
	response.note(response.conn.writer.Flush())
	if response.failed != nil || response.left > 0 {
		response.conn.abort(response)
		return
	}
	if response.closes {
		response.conn.hangUp()
	}
}

func (response *response) trailers() http.Header {
	trailers := http.Header{}
	for name, values := range response.header {
		if bare, is := strings.CutPrefix(name, http.TrailerPrefix); is {
			trailers[bare] = values
		}
	}
	return trailers
}

// bodyReader is a request's body that tells when it has been read to its end.
type bodyReader struct {
	io.ReadCloser
	response *response
	once     sync.Once
	read     chan struct{}
	asked    bool
}

func (bodyReader *bodyReader) Read(into []byte) (int, error) {
	bodyReader.invite()
	count, err := bodyReader.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		bodyReader.once.Do(func() { close(bodyReader.read) })
	}
	return count, err
}

// invite tells a caller that waits for it to send the body.
func (bodyReader *bodyReader) invite() {
	if bodyReader.asked {
		return
	}
	bodyReader.asked = true
	if strings.EqualFold(bodyReader.response.request.Header.Get("Expect"), "100-continue") {
		bodyReader.response.awaitTurn()
		_, _ = io.WriteString(bodyReader.response.conn.writer, "HTTP/1.1 100 Continue\r\n\r\n")
		_ = bodyReader.response.conn.writer.Flush()
	}
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
