package once

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ibislift/core/kernel"
)

// phase is the state of the log of a partition.
type phase uint8

const (
	// phaseClosed means that this daemon does not coordinate the partition.
	phaseClosed phase = iota
	// phaseList waits for the list of the existing segments.
	phaseList
	// phaseFence waits for the creation of this coordinator's first segment,
	// which keeps every earlier coordinator from writing.
	phaseFence
	// phaseIdle has no platform call in progress.
	phaseIdle
	// phaseWrite waits for the creation of a segment.
	phaseWrite
	// phaseUncertain waits until it is known whether a segment was created.
	phaseUncertain
)

// holder is the request that holds a key.
type holder struct {
	request   string
	completed bool
	// durable says that the claim is known to be in the log.
	durable bool
	// releasing says that the claim is being released because its request was
	// refused or not executed. The request is never granted again, and the key
	// is free once the release is in the log.
	releasing bool
	since     time.Time
}

// waiter is a request for a claim that waits until its segment is created.
type waiter struct {
	token uint64
	key   string
}

// partitionLog is the log of one partition, with the claims that its coordinator
// holds in memory.
type partitionLog struct {
	partition     int
	writer        string
	phase         phase
	nextSequence  uint64
	nonce         uint64
	holders       map[string]holder
	pending       []entry
	waiters       []waiter
	sent          segment
	sentWaiters   []waiter
	lastRequestAt time.Time
	lastWriteAt   time.Time
	retryAt       time.Time
	// lastCall is the platform call in progress, lastCallAt when it was made, and
	// lastCallRepeated whether it is the repetition of one that failed.
	lastCall         kernel.PlatformCall
	lastCallAt       time.Time
	lastCallRepeated bool
	// releasedEarly are requests whose release arrived before their request for
	// a claim.
	releasedEarly map[string]time.Time
	// completed are requests that are known to have been executed. They are
	// remembered for a while even if another daemon is the coordinator, so that
	// a daemon that takes over knows them too.
	completed map[string]time.Time
	// completionSince is when the oldest pending completion began to wait.
	completionSince time.Time
	segments        []kernel.Object
}

// open starts the takeover of the partition by listing its segments.
func (log *partitionLog) open() kernel.PlatformCall {
	log.phase = phaseList
	log.holders = map[string]holder{}
	log.pending = nil
	log.segments = nil
	log.nextSequence = 0
	return kernel.ListObjects{Prefix: partitionPrefix(log.partition)}
}

// replay applies the existing segments, oldest first.
func (log *partitionLog) replay(objects []kernel.Object) {
	for _, object := range objects {
		if !strings.HasPrefix(object.Name, partitionPrefix(log.partition)) {
			continue
		}
		sequence, valid := sequenceOf(object.Name)
		if !valid {
			continue
		}
		log.nextSequence = max(log.nextSequence, sequence+1)
		log.segments = append(log.segments, object)
		if decoded, err := decode(object.Body); err == nil {
			log.apply(decoded)
		}
	}
}

// apply updates the holders with a segment that is in the log.
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
		case operationComplete:
			if known && held.request == entry.Request {
				held.completed = true
				log.holders[entry.Key] = held
			}
		}
	}
}

// createSegment moves all pending entries to a new segment and returns the call
// that creates it at the next position.
func (log *partitionLog) createSegment(at time.Time, next phase) kernel.PlatformCall {
	log.phase = next
	log.nonce++
	log.sent = segment{Writer: log.writer, Nonce: log.nonce, Written: at.UTC(), Entries: log.pending}
	log.sentWaiters = log.waiters
	log.pending = nil
	log.waiters = nil
	log.completionSince = time.Time{}
	log.lastWriteAt = at
	return log.recreateSegment()
}

// recreateSegment returns the call that creates the sent segment, with the same
// bytes each time.
func (log *partitionLog) recreateSegment() kernel.PlatformCall {
	return kernel.WriteObject{Name: segmentName(log.partition, log.nextSequence), Body: log.sent.encode()}
}

// readSent returns the call that reads the object at the position of the sent
// segment, to find out whether the segment was created.
func (log *partitionLog) readSent() kernel.PlatformCall {
	log.phase = phaseUncertain
	return kernel.ReadObject{Name: segmentName(log.partition, log.nextSequence)}
}

// isSentSegment reports whether an object is the segment that this coordinator
// has sent.
func (log *partitionLog) isSentSegment(object kernel.Object) bool {
	decoded, err := decode(object.Body)
	return err == nil && decoded.Writer == log.writer && decoded.Nonce == log.sent.Nonce
}

// giveUp gives up the partition and returns the requests that still wait. Their
// claims are not durable and were never granted.
func (log *partitionLog) giveUp() []waiter {
	refused := append(log.sentWaiters, log.waiters...)
	*log = partitionLog{partition: log.partition, writer: log.writer, nonce: log.nonce, releasedEarly: log.releasedEarly, completed: log.completed}
	return refused
}

// rememberEarlyRelease remembers a release that arrived before the request for
// the claim.
func (log *partitionLog) rememberEarlyRelease(request string, at time.Time) {
	log.releasedEarly = remember(log.releasedEarly, request, at)
}

// rememberCompletion remembers that a request was executed.
func (log *partitionLog) rememberCompletion(request string, at time.Time) {
	log.completed = remember(log.completed, request, at)
}

func remember(requests map[string]time.Time, request string, at time.Time) map[string]time.Time {
	if requests == nil {
		requests = map[string]time.Time{}
	}
	requests[request] = at
	return requests
}

// forgetClosedClaims drops early releases whose requests for a claim can no longer
// be in transit, and completions that their coordinator has written to its log by
// now.
func (log *partitionLog) forgetClosedClaims(at time.Time) {
	for _, requests := range []map[string]time.Time{log.releasedEarly, log.completed} {
		maps.DeleteFunc(requests, func(_ string, since time.Time) bool { return at.Sub(since) > closedClaimRetention })
	}
}

// complete marks the holder of a key as executed and adds the completion to the
// pending entries.
func (log *partitionLog) complete(key string, at time.Time) {
	held := log.holders[key]
	if held.completed {
		return
	}
	held.completed = true
	log.holders[key] = held
	log.pending = append(log.pending, entry{Key: key, Request: held.request, Operation: operationComplete})
	if log.completionSince.IsZero() {
		log.completionSince = at
	}
}

// completeRemembered completes the claims of a newly read log whose requests are
// remembered as executed.
func (log *partitionLog) completeRemembered(at time.Time) {
	if len(log.completed) == 0 {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(log.holders)) {
		if _, completed := log.completed[log.holders[key].request]; completed {
			log.complete(key, at)
		}
	}
}

// popExpired removes the oldest segment from the list and returns it if all its
// claims are past the retention, or if it cannot be decoded. The newest segment
// always stays.
func (log *partitionLog) popExpired(at time.Time, retention time.Duration) (kernel.Object, bool) {
	if len(log.segments) < 2 {
		return kernel.Object{}, false
	}
	oldest := log.segments[0]
	decoded, err := decode(oldest.Body)
	if err == nil && at.Sub(decoded.Written) < retention {
		return kernel.Object{}, false
	}
	log.segments = log.segments[1:]
	for _, entry := range decoded.Entries {
		held, known := log.holders[entry.Key]
		if known && held.request == entry.Request && at.Sub(held.since) >= retention {
			delete(log.holders, entry.Key)
		}
	}
	return oldest, true
}
