package once

import (
	"time"

	"ibislift/core/kernel"
)

// call returns the effect that makes a platform call for the log.
func (log *partitionLog) call(at time.Time, call kernel.PlatformCall) kernel.Effect {
	log.lastCall = call
	log.lastCallAt = at
	log.lastCallRepeated = false
	return kernel.CallPlatform{Owner: pluginName, Token: uint64(log.partition), Call: call}
}

// repeatFailed repeats a call that failed sooner than retryDelay, once: a single
// broken connection is no reason to refuse all requests that wait for the log. A
// platform that is down refuses the repetition as fast, and one that does not
// reply has used the time already. Every call of the log may be made twice: reads
// change nothing, and a segment is created with the same bytes at the same
// position.
//
// A write with an unknown result is not repeated but read back.
func (log *partitionLog) repeatFailed(at time.Time, status kernel.PlatformStatus) (kernel.Effect, bool) {
	failed := status == kernel.PlatformNotExecuted || status == kernel.PlatformUnknown
	writing := log.phase == phaseFence || log.phase == phaseWrite
	if !failed || log.lastCall == nil || log.lastCallRepeated || at.Sub(log.lastCallAt) >= retryDelay || writing && status == kernel.PlatformUnknown {
		return nil, false
	}
	repeated := log.call(at, log.lastCall)
	log.lastCallRepeated = true
	return repeated, true
}
