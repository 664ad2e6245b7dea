package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
)

// Guards against requests that are admitted while a daemon stops and cut at its end.
func TestStoppingGateAdmitsWhatItCanFinish(t *testing.T) {
	const (
		serviceTime = 400 * time.Millisecond
		long        = 10 * time.Second
	)
	for _, test := range []struct {
		name     string
		left     time.Duration
		deadline time.Duration
		admitted bool
	}{
		{name: "enough time is left", left: 2*serviceTime + time.Millisecond, deadline: long, admitted: true},
		{name: "too little time is left", left: 2*serviceTime - time.Millisecond, deadline: long},
		{name: "its own deadline comes first", left: serviceTime, deadline: serviceTime - time.Millisecond, admitted: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			checker := newChecker(4, 4)
			checker.gate.MaxSlownessAge = 0
			checker.apply(t, admit.Arrived{ID: 1, At: checker.now, Deadline: checker.now.Add(long), Class: "slow"})
			checker.now = checker.now.Add(serviceTime)
			checker.apply(t, admit.Finished{ID: 1, At: checker.now})
			checker.apply(t, admit.StopScheduled{At: checker.now, EndAt: checker.now.Add(test.left)})
			effects := checker.gate.Update(admit.Arrived{ID: 2, At: checker.now, Deadline: checker.now.Add(test.deadline), Class: "slow"})
			is.Equal(len(effects), 1)
			refusal, isRefused := effects[0].(admit.Refuse)
			is.Equal(isRefused, !test.admitted)
			if isRefused {
				is.Equal(refusal.Reason, admit.ReasonDraining)
			}
		})
	}
}
