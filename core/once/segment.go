package once

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// operation is the kind of an entry.
type operation string

// The value "settle" is kept because it is in stored segments.
const (
	operationClaim    operation = "claim"
	operationRelease  operation = "release"
	operationComplete operation = "settle"
)

// entry records one operation on a key in the log of a partition.
type entry struct {
	Key       string    `json:"key"`
	Request   string    `json:"request"`
	Operation operation `json:"operation"`
}

// segment is an object of the log. Its name is its position in the log, and the
// platform creates each name only once, so each position has a single writer.
type segment struct {
	// Writer identifies the incarnation of the daemon that wrote the segment,
	// and Nonce identifies the write.
	Writer  string    `json:"writer"`
	Nonce   uint64    `json:"nonce"`
	Written time.Time `json:"written"`
	Entries []entry   `json:"entries"`
}

func (segment segment) encode() []byte {
	body, err := json.Marshal(segment)
	if err != nil {
		panic("once: encoding a segment: " + err.Error())
	}
	return body
}

func decode(body []byte) (segment, error) {
	var decoded segment
	err := json.Unmarshal(body, &decoded)
	return decoded, err
}

// SegmentPrefix is the prefix of the names of all segments.
const SegmentPrefix = "claims/"

func partitionPrefix(partition int) string { return fmt.Sprintf("%s%d/", SegmentPrefix, partition) }

func segmentName(partition int, sequence uint64) string {
	return fmt.Sprintf("%s%012d", partitionPrefix(partition), sequence)
}

func sequenceOf(name string) (uint64, bool) {
	var sequence uint64
	slash := strings.LastIndexByte(name, '/')
	_, err := fmt.Sscanf(name[slash+1:], "%d", &sequence)
	return sequence, err == nil
}
