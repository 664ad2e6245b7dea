package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// maxReplyBytes limits the body of a reply.
const maxReplyBytes = 16 << 20

// maxDepth is the depth of nesting from which values are left out of a reply. The
// decoder accepts ten times as much, and else refuses the whole reply.
const maxDepth = 1000

// ReadReply reads the JSON body of a reply into the value. Codecs decode the objects of
// a list one by one, from json.RawMessage, so that an object which another writer has
// stored in an unknown form does not hide the others. For the same reason, a value that
// is nested too deeply is read as null.
func ReadReply(body io.Reader, into any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxReplyBytes+1))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(text) > maxReplyBytes {
		return Error.New("the reply is longer than %d bytes", maxReplyBytes)
	}
	err = json.Unmarshal(text, into)
	if err == nil {
		return nil
	}
	shallow, cutErr := cutDeepValues(text)
	if cutErr != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(json.Unmarshal(shallow, into))
}

// cutDeepValues replaces each value below maxDepth by null.
func cutDeepValues(text []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var shallow []byte
	copied, depth := 0, 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return append(shallow, text[copied:]...), nil
		}
		if err != nil {
			return nil, err
		}
		offset := int(decoder.InputOffset())
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
			if depth == maxDepth+1 {
				shallow = append(shallow, text[copied:offset-1]...)
			}
		case json.Delim(']'), json.Delim('}'):
			if depth == maxDepth+1 {
				shallow = append(shallow, "null"...)
				copied = offset
			}
			depth--
		}
	}
}
