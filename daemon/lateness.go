package daemon

import (
	"context"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/withdraw"
)

// measureTimerLateness measures how late the timers of this process fire, until the context ends.
// A process that gets too little processor time handles the steps of a request as late. It
// measures 20 times a second, whether or not requests arrive, and costs one wake-up each
// time.
func (daemon *Daemon) measureTimerLateness(ctx context.Context) {
	timer := time.NewTimer(withdraw.SampleInterval)
	defer timer.Stop()
	due := time.Now().Add(withdraw.SampleInterval)
	sampler := latenessSampler{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			late := max(0, time.Since(due))
			daemon.timerLateness.Store(int64(late))
			if sampler.isNeeded(late) {
				daemon.control.send(kernel.TimerLatenessMeasured{Late: late})
			}
			due = time.Now().Add(withdraw.SampleInterval)
			timer.Reset(withdraw.SampleInterval)
		}
	}
}

// latenessSampler selects the samples that the kernel needs: those that are late, and the
// next ones that end a slow period. A daemon whose timers fire in time sends it none.
type latenessSampler struct{ left int }

// isNeeded reports whether the kernel needs the next sample.
func (sampler *latenessSampler) isNeeded(late time.Duration) bool {
	if late >= withdraw.MaxTimerLateness {
		sampler.left = withdraw.SamplesToRecover
		return true
	}
	if sampler.left == 0 {
		return false
	}
	sampler.left--
	return true
}
