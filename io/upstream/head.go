package upstream

import (
	"errors"
	"io"
	"net/http"
)

// Limits on what an upstream may send before the body of the final response. An
// upstream that is not an HTTP server may send bytes without end.
const (
	// maxHeadBytes limits the heads of the responses to one request.
	maxHeadBytes = 256 << 10
	// maxExtraResponses limits the interim and stray responses to one request.
	maxExtraResponses = 16
)

var (
	errHeadTooLong      = errors.New("the head of the response is too long")
	errTooManyResponses = errors.New("there are too many interim or stray responses")
)

// headReader limits how many bytes are read while the head of a response is read. It
// is below the read buffer of a connection.
type headReader struct {
	io.Reader
	remaining int
	limited   bool
}

func (headReader *headReader) Read(into []byte) (int, error) {
	if !headReader.limited {
		return headReader.Reader.Read(into)
	}
	if headReader.remaining <= 0 {
		return 0, errHeadTooLong
	}
	count, err := headReader.Reader.Read(into[:min(len(into), headReader.remaining)])
	headReader.remaining -= count
	return count, err
}

// readHead reads the head of the next response.
func (connection *connection) readHead(request *http.Request) (*http.Response, error) {
	connection.head.limited = true
	defer func() { connection.head.limited = false }()
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil && connection.head.remaining <= 0 {
		// The parser reports a line that was cut off as malformed.
		return nil, errHeadTooLong
	}
	return response, err
}
