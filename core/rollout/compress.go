package rollout

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("rollout")

// Limits of the bodies of records, in bytes.
const (
	// minCompressedSize is the size of a table from which on it is compressed. A
	// smaller one fits in a few packets.
	minCompressedSize = 1 << 10
	// maxTableSize limits a decompressed table, so that a damaged record cannot
	// fill the memory.
	maxTableSize = 64 << 20
)

// compressedMark is the first byte of a compressed body. A body that is not
// compressed starts with the brace of its JSON.
const compressedMark = 1

// errTableTooLarge is returned for a table that exceeds maxTableSize.
var errTableTooLarge = errors.New("the table is too large")

// compress returns the body of a record for a table in JSON. Large tables are
// compressed, since the record goes to every daemon and links may be slow. The
// result for the same table is always the same.
func compress(table []byte) []byte {
	if len(table) < minCompressedSize {
		return table
	}
	buffer := bytes.NewBuffer([]byte{compressedMark})
	writer, err := flate.NewWriter(buffer, flate.BestSpeed)
	if err != nil {
		panic("rollout: the compression level is invalid: " + err.Error())
	}
	// Writing to a buffer does not fail.
	_, _ = writer.Write(table)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress is the inverse of compress.
func decompress(body []byte) ([]byte, error) {
	if len(body) == 0 || body[0] != compressedMark {
		return body, nil
	}
	reader := flate.NewReader(bytes.NewReader(body[1:]))
	table, err := io.ReadAll(io.LimitReader(reader, maxTableSize+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(table) > maxTableSize {
		return nil, Error.Wrap(errTableTooLarge)
	}
	return table, nil
}
