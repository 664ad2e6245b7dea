package once

import (
	"time"

	"ibislift/core/kernel"
)

// release adds the release of a key to the pending entries, unless the key is held
// by another request or being released already.
func (log *partitionLog) release(key, request string) {
	held, known := log.holders[key]
	if !known || held.request != request || held.releasing {
		return
	}
	held.releasing = true
	log.holders[key] = held
	log.pending = append(log.pending, entry{Key: key, Request: request, Operation: operationRelease})
}

// flush writes the pending entries if the log is idle and the interval since the
// last write has passed.
func (plugin *plugin) flush(state *kernel.State, log *partitionLog, at time.Time) []kernel.Effect {
	if log.phase != phaseIdle || !log.shouldWrite(at) {
		return nil
	}
	if wait := state.Settings.ClaimInterval - at.Sub(log.lastWriteAt); wait > 0 {
		return []kernel.Effect{kernel.Wake{After: wait}}
	}
	return []kernel.Effect{log.call(at, log.createSegment(at, phaseWrite))}
}

// segmentCreated handles the reply to the creation of a segment.
func (plugin *plugin) segmentCreated(state *kernel.State, log *partitionLog, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status == kernel.PlatformOK {
		return plugin.segmentCommitted(state, log, at)
	}
	if result.Status == kernel.PlatformConflict || result.Status == kernel.PlatformUnknown {
		return []kernel.Effect{log.call(at, log.readSent())}
	}
	effects := plugin.refuseUncertain(log, result.Status)
	log.phase = phaseUncertain
	log.retryAt = at.Add(retryDelay)
	return effects
}

// refuseUncertain refuses all waiting requests when it is not known whether a
// segment was created. Even if the last call was not executed, an earlier one may
// have created the segment. Claims that were not sent are dropped. For those in the
// sent segment it adds releases to the pending entries, in case the segment was
// created after all: a request that is refused here must never be executed.
func (plugin *plugin) refuseUncertain(log *partitionLog, status kernel.PlatformStatus) []kernel.Effect {
	effects := refuse(append(log.sentWaiters, log.waiters...), unavailable("writing the log: "+status.String()))
	var kept []entry
	for _, entry := range log.pending {
		if entry.Operation == operationClaim {
			delete(log.holders, entry.Key)
			continue
		}
		kept = append(kept, entry)
	}
	log.pending = kept
	if len(log.sentWaiters) > 0 {
		for _, written := range log.sent.Entries {
			if written.Operation == operationClaim {
				log.release(written.Key, written.Request)
			}
		}
	}
	log.sentWaiters = nil
	log.waiters = nil
	return effects
}

// segmentCommitted grants all claims of the segment that was created.
func (plugin *plugin) segmentCommitted(state *kernel.State, log *partitionLog, at time.Time) []kernel.Effect {
	log.segments = append(log.segments, kernel.Object{Name: segmentName(log.partition, log.nextSequence), Body: log.sent.encode()})
	log.nextSequence++
	log.phase = phaseIdle
	log.retryAt = time.Time{}
	log.apply(log.sent)
	var effects []kernel.Effect
	for _, granted := range log.sentWaiters {
		result := kernel.ClaimResult{Status: kernel.ClaimGranted, Holder: log.holders[granted.key].request}
		effects = append(effects, replyToClaim(granted.token, result)...)
	}
	log.sentWaiters = nil
	return append(effects, plugin.flush(state, log, at)...)
}

// resolveWrite decides whether the sent segment was created, by the object that
// was read at its position.
func (plugin *plugin) resolveWrite(state *kernel.State, log *partitionLog, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch {
	case result.Status == kernel.PlatformOK && log.isSentSegment(result.Object):
		return plugin.segmentCommitted(state, log, at)
	case result.Status == kernel.PlatformOK:
		return refuse(log.giveUp(), notCoordinator)
	case result.Status == kernel.PlatformNotFound:
		log.phase = phaseWrite
		return []kernel.Effect{log.call(at, log.recreateSegment())}
	default:
		effects := plugin.refuseUncertain(log, result.Status)
		log.retryAt = at.Add(retryDelay)
		return effects
	}
}
