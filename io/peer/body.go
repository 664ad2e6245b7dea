package peer

import (
	"bytes"
	"io"
	"net/http"
)

// inlineBody returns a reader for a body that arrived in the head's frame.
func inlineBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// frameReader reads a request's body from the frames that follow the head. It
// sets the request's trailers from the last frame.
type frameReader struct {
	stream  GateStream
	request *http.Request
	unread  []byte
	ended   bool
}

func (frameReader *frameReader) Read(buffer []byte) (int, error) {
	for len(frameReader.unread) == 0 {
		if frameReader.ended {
			return 0, io.EOF
		}
		if err := frameReader.next(); err != nil {
			return 0, err
		}
	}
	count := copy(buffer, frameReader.unread)
	frameReader.unread = frameReader.unread[count:]
	return count, nil
}

func (frameReader *frameReader) next() error {
	frame, err := frameReader.stream.Recv()
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	if end := frame.GetEnd(); end != nil {
		frameReader.ended = true
		frameReader.request.Trailer = DecodeHeader(end.GetFields())
		return nil
	}
	frameReader.unread = frame.GetChunk()
	return nil
}

func (frameReader *frameReader) Close() error { return nil }
