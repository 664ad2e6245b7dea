package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// requestWriter writes requests to a connection and records the first failed write. The
// operating system reports a reset only once: if a write gets it, the next read finds an
// ordinary end of the connection.
type requestWriter struct {
	net.Conn

	// mutex is held during each write.
	mutex sync.Mutex
	err   error
}

func (requestWriter *requestWriter) Write(part []byte) (int, error) {
	requestWriter.mutex.Lock()
	defer requestWriter.mutex.Unlock()
	count, err := requestWriter.Conn.Write(part)
	if requestWriter.err == nil {
		requestWriter.err = err
	}
	return count, err
}

// interrupt ends the writing, also a write that waits for the upstream to read, and returns
// the error of a write that has failed before.
func (requestWriter *requestWriter) interrupt() error {
	_ = requestWriter.SetWriteDeadline(time.Unix(1, 0))
	requestWriter.mutex.Lock()
	defer requestWriter.mutex.Unlock()
	if errors.Is(requestWriter.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return requestWriter.err
}

// untilEndBody is the body of a response without a length, which ends with its
// connection. That is an ordinary end only if no write has failed: a connection that was reset may
// have lost the rest of the body.
type untilEndBody struct {
	io.ReadCloser
	writer *requestWriter
}

func (untilEndBody *untilEndBody) Read(buffer []byte) (int, error) {
	count, err := untilEndBody.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && untilEndBody.writer.interrupt() != nil {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// endsWithConnection reports whether only the end of the connection ends the body of a
// response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
