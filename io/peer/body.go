package peer

import (
	"bytes"
	"io"
	"net/http"
)

// wholeBody is the body of a request that came with its head.
func wholeBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// frameReader reads the body of a request from the frames that follow its
// head, and its trailers from the last one.
type frameReader struct {
	stream  GateStream
	request *http.Request
	rest    []byte
	ended   bool
}

func (frameReader *frameReader) Read(buffer []byte) (int, error) {
	for len(frameReader.rest) == 0 {
		if frameReader.ended {
			return 0, io.EOF
		}
		if err := frameReader.next(); err != nil {
			return 0, err
		}
	}
	count := copy(buffer, frameReader.rest)
	frameReader.rest = frameReader.rest[count:]
	return count, nil
}

func (frameReader *frameReader) next() error {
	frame, err := frameReader.stream.Recv()
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	if end := frame.GetEnd(); end != nil {
		frameReader.ended = true
		frameReader.request.Trailer = HeaderOf(end.GetFields())
		return nil
	}
	frameReader.rest = frame.GetChunk()
	return nil
}

func (frameReader *frameReader) Close() error { return nil }
