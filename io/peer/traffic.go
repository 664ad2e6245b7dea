package peer

import (
	"ibislift/io/peer/peerpb"
)

// ByteKind is what bytes between daemons are spent on.
type ByteKind string

// The kinds of bytes. The first three are control traffic, the others belong to
// forwarded requests.
const (
	// BytesMessage are the messages of the replicated records and of claims.
	BytesMessage ByteKind = "message"
	// BytesReport are load reports.
	BytesReport ByteKind = "report"
	// BytesQuota are messages about quotas.
	BytesQuota        ByteKind = "quota"
	BytesRequestHead  ByteKind = "requestHead"
	BytesRequestBody  ByteKind = "requestBody"
	BytesResponseHead ByteKind = "responseHead"
	BytesResponseBody ByteKind = "responseBody"
)

// IsControl reports whether the bytes are control traffic.
func (byteKind ByteKind) IsControl() bool {
	return byteKind == BytesMessage || byteKind == BytesReport || byteKind == BytesQuota
}

// CountBytes is called with the direction ("in" or "out"), the kind, the address of
// the other daemon and the number of bytes. If the other daemon opened the
// connection, the port is not the one on which that daemon listens.
type CountBytes func(direction string, kind ByteKind, address string, bytes int)

// count calls the function, unless it is nil or there is nothing to count.
func (countBytes CountBytes) count(direction string, kind ByteKind, address string, bytes int) {
	if countBytes != nil && bytes > 0 {
		countBytes(direction, kind, address, bytes)
	}
}

// countCall counts a frame of a forwarded request. size is its encoded size.
func (countBytes CountBytes) countCall(direction, address string, frame *peerpb.CallFrame, size int) {
	body := len(frame.GetChunk())
	if head := frame.GetHead(); head != nil {
		body = len(head.GetBody())
	}
	countBytes.count(direction, BytesRequestBody, address, body)
	countBytes.count(direction, BytesRequestHead, address, size-body)
}

// countAnswer counts a frame of a response. size is its encoded size.
func (countBytes CountBytes) countAnswer(direction, address string, frame *peerpb.AnswerFrame, size int) {
	body := len(frame.GetChunk())
	if head := frame.GetHead(); head != nil {
		body = len(head.GetBody())
	}
	countBytes.count(direction, BytesResponseBody, address, body)
	countBytes.count(direction, BytesResponseHead, address, size-body)
}
