package once

import (
	"time"

	"ibislift/core/kernel"
)

// release notes that a refused request gives its key back.
func (log *partitionLog) release(key, request string) {
	held, known := log.holders[key]
	if !known || held.request != request || held.releasing {
		return
	}
	held.releasing = true
	log.holders[key] = held
	log.pending = append(log.pending, entry{Key: key, Request: request, Operation: operationRelease})
}

// flush writes the pending entries if the log is idle and its interval over.
func (plugin *plugin) flush(state *kernel.State, log *partitionLog, at time.Time) []kernel.Effect {
	if log.phase != phaseIdle || !log.worthWriting(at) {
		return nil
	}
	if wait := state.Settings.ClaimInterval - at.Sub(log.wroteAt); wait > 0 {
		return []kernel.Effect{kernel.Wake{After: wait}}
	}
	return []kernel.Effect{call(log, log.create(at, phaseWrite))}
}

// created takes the end of the creation of a segment.
func (plugin *plugin) created(state *kernel.State, log *partitionLog, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status == kernel.PlatformOK {
		return plugin.committed(state, log, at)
	}
	if result.Status == kernel.PlatformConflict || result.Status == kernel.PlatformUnknown {
		return []kernel.Effect{call(log, log.readBack())}
	}
	effects := plugin.doubt(log)
	log.phase = phaseDoubt
	log.retryAt = at.Add(retryWait)
	return effects
}

// doubt refuses all that wait for the segment in doubt, and takes note to
// release their claims should the segment turn out to stand: a request that
// was refused here is never run.
func (plugin *plugin) doubt(log *partitionLog) []kernel.Effect {
	effects := refuse(append(log.sentAsks, log.asks...), kernel.ClaimUnavailable)
	var kept []entry
	for _, entry := range log.pending {
		if entry.Operation == operationClaim {
			delete(log.holders, entry.Key)
			continue
		}
		kept = append(kept, entry)
	}
	log.pending = kept
	if len(log.sentAsks) > 0 {
		for _, written := range log.sent.Entries {
			if written.Operation == operationClaim {
				log.release(written.Key, written.Request)
			}
		}
	}
	log.sentAsks = nil
	log.asks = nil
	return effects
}

// committed grants all that the segment carried.
func (plugin *plugin) committed(state *kernel.State, log *partitionLog, at time.Time) []kernel.Effect {
	log.oldest = append(log.oldest, kernel.Object{Name: segmentName(log.partition, log.sequence), Body: log.sent.encode()})
	log.sequence++
	log.phase = phaseIdle
	log.retryAt = time.Time{}
	log.apply(log.sent)
	var effects []kernel.Effect
	for _, granted := range log.sentAsks {
		result := kernel.ClaimResult{Status: kernel.ClaimGranted, Holder: log.holders[granted.key].request}
		effects = append(effects, answer(granted.token, result)...)
	}
	log.sentAsks = nil
	return append(effects, plugin.flush(state, log, at)...)
}

// readBack decides a creation in doubt by what stands at its place.
func (plugin *plugin) readBack(state *kernel.State, log *partitionLog, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch {
	case result.Status == kernel.PlatformOK && log.isOwn(result.Object):
		return plugin.committed(state, log, at)
	case result.Status == kernel.PlatformOK:
		return refuse(log.close(), kernel.ClaimElsewhere)
	case result.Status == kernel.PlatformAbsent:
		log.phase = phaseWrite
		return []kernel.Effect{call(log, log.resend())}
	default:
		effects := plugin.doubt(log)
		log.retryAt = at.Add(retryWait)
		return effects
	}
}
