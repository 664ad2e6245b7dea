package once

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ibislift/core/kernel"
)

// phase is what the log of a partition waits for.
type phase uint8

const (
	// phaseClosed means that this daemon is not the clerk, or not yet.
	phaseClosed phase = iota
	// phaseList waits for the segments that stand.
	phaseList
	// phaseFence waits for this clerk's first segment, which shuts out every
	// earlier clerk.
	phaseFence
	// phaseIdle has nothing under way.
	phaseIdle
	// phaseWrite waits for a segment to be created.
	phaseWrite
	// phaseDoubt waits to learn whether a segment was created.
	phaseDoubt
)

// holder is the request that has a key.
type holder struct {
	request string
	run     bool
	// durable says that the claim is known to stand in the log.
	durable bool
	// releasing says that the request has been refused: it gets no grant any
	// more, and the key is free as soon as the release stands in the log.
	releasing bool
	since     time.Time
}

// ask is a request for a claim that waits for its segment.
type ask struct {
	token uint64
	key   string
}

// partitionLog is one partition's log and what a clerk knows of it.
type partitionLog struct {
	partition int
	writer    string
	phase     phase
	sequence  uint64
	nonce     uint64
	holders   map[string]holder
	pending   []entry
	asks      []ask
	sent      segment
	sentAsks  []ask
	askedAt   time.Time
	wroteAt   time.Time
	retryAt   time.Time
	// abandoned are requests whose release came before their claim.
	abandoned map[string]time.Time
	// ended are requests that are known to have run. They are kept for a while
	// whoever is the clerk, so that a clerk that takes over knows them too.
	ended map[string]time.Time
	// settleFrom is when the oldest settlement began to wait for a write.
	settleFrom time.Time
	oldest     []kernel.Object
}

// open starts to take the partition over.
func (log *partitionLog) open() kernel.PlatformCall {
	log.phase = phaseList
	log.holders = map[string]holder{}
	log.pending = nil
	log.oldest = nil
	log.sequence = 0
	return kernel.ListObjects{Prefix: partitionPrefix(log.partition)}
}

// replay reads the segments that stand, oldest first.
func (log *partitionLog) replay(objects []kernel.Object) {
	for _, object := range objects {
		if !strings.HasPrefix(object.Name, partitionPrefix(log.partition)) {
			continue
		}
		sequence, valid := sequenceOf(object.Name)
		if !valid {
			continue
		}
		log.sequence = max(log.sequence, sequence+1)
		log.oldest = append(log.oldest, object)
		if decoded, err := decode(object.Body); err == nil {
			log.apply(decoded)
		}
	}
}

// apply brings the holders up to a segment that stands in the log.
func (log *partitionLog) apply(written segment) {
	for _, entry := range written.Entries {
		held, known := log.holders[entry.Key]
		switch entry.Operation {
		case operationClaim:
			if held.request != entry.Request {
				held = holder{request: entry.Request}
			}
			held.durable = true
			held.since = written.Written
			log.holders[entry.Key] = held
		case operationRelease:
			if known && held.request == entry.Request {
				delete(log.holders, entry.Key)
			}
		case operationSettle:
			if known && held.request == entry.Request {
				held.run = true
				log.holders[entry.Key] = held
			}
		}
	}
}

// create makes the call that creates the segment at the next place.
func (log *partitionLog) create(at time.Time, next phase) kernel.PlatformCall {
	log.phase = next
	log.nonce++
	log.sent = segment{Writer: log.writer, Nonce: log.nonce, Written: at.UTC(), Entries: log.pending}
	log.sentAsks = log.asks
	log.pending = nil
	log.asks = nil
	log.settleFrom = time.Time{}
	log.wroteAt = at
	return log.resend()
}

// resend repeats the creation under way, byte for byte.
func (log *partitionLog) resend() kernel.PlatformCall {
	return kernel.WriteObject{Name: segmentName(log.partition, log.sequence), Body: log.sent.encode()}
}

func (log *partitionLog) readBack() kernel.PlatformCall {
	log.phase = phaseDoubt
	return kernel.ReadObject{Name: segmentName(log.partition, log.sequence)}
}

// isOwn says whether an object is the segment that this clerk has sent.
func (log *partitionLog) isOwn(object kernel.Object) bool {
	decoded, err := decode(object.Body)
	return err == nil && decoded.Writer == log.writer && decoded.Nonce == log.sent.Nonce
}

// close gives the partition up. What was not durable was never granted.
func (log *partitionLog) close() []ask {
	refused := append(log.sentAsks, log.asks...)
	*log = partitionLog{partition: log.partition, writer: log.writer, nonce: log.nonce, abandoned: log.abandoned, ended: log.ended}
	return refused
}

// abandon notes a release that has come before its claim.
func (log *partitionLog) abandon(request string, at time.Time) {
	log.abandoned = note(log.abandoned, request, at)
}

// end notes that a request has run.
func (log *partitionLog) end(request string, at time.Time) {
	log.ended = note(log.ended, request, at)
}

func note(notes map[string]time.Time, request string, at time.Time) map[string]time.Time {
	if notes == nil {
		notes = map[string]time.Time{}
	}
	notes[request] = at
	return notes
}

// forgetNotes drops the notes whose claims can be on their way no more, and
// those whose settlements stand in the log of their clerk by now.
func (log *partitionLog) forgetNotes(at time.Time) {
	for _, notes := range []map[string]time.Time{log.abandoned, log.ended} {
		maps.DeleteFunc(notes, func(_ string, since time.Time) bool { return at.Sub(since) > noteTime })
	}
}

// settle takes down that the holder of a key has run.
func (log *partitionLog) settle(key string, at time.Time) {
	held := log.holders[key]
	if held.run {
		return
	}
	held.run = true
	log.holders[key] = held
	log.pending = append(log.pending, entry{Key: key, Request: held.request, Operation: operationSettle})
	if log.settleFrom.IsZero() {
		log.settleFrom = at
	}
}

// settleEnded settles the claims of a log just read whose requests are known
// to have run.
func (log *partitionLog) settleEnded(at time.Time) {
	if len(log.ended) == 0 {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(log.holders)) {
		if _, ended := log.ended[log.holders[key].request]; ended {
			log.settle(key, at)
		}
	}
}

// expired returns the oldest segment if all its claims are past retention.
func (log *partitionLog) expired(at time.Time, retention time.Duration) (kernel.Object, bool) {
	if len(log.oldest) < 2 {
		return kernel.Object{}, false
	}
	oldest := log.oldest[0]
	decoded, err := decode(oldest.Body)
	if err == nil && at.Sub(decoded.Written) < retention {
		return kernel.Object{}, false
	}
	log.oldest = log.oldest[1:]
	for _, entry := range decoded.Entries {
		held, known := log.holders[entry.Key]
		if known && held.request == entry.Request && at.Sub(held.since) >= retention {
			delete(log.holders, entry.Key)
		}
	}
	return oldest, true
}
