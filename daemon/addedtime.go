package daemon

import (
	"context"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/withdraw"
)

// measureAddedTime measures how late the timers of this process fire and passes it to the
// kernel, until the context ends. A process that gets too little processor time handles the
// steps of a request as late. It measures 20 times a second, whether or not requests
// arrive, and costs one wake-up each time.
func (daemon *Daemon) measureAddedTime(ctx context.Context) {
	timer := time.NewTimer(withdraw.SampleInterval)
	defer timer.Stop()
	due := time.Now().Add(withdraw.SampleInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			late := max(0, time.Since(due))
			daemon.addedTime.Store(int64(late))
			daemon.control.send(kernel.AddedTimeMeasured{Late: late})
			due = time.Now().Add(withdraw.SampleInterval)
			timer.Reset(withdraw.SampleInterval)
		}
	}
}
