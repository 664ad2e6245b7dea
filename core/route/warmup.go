package route

import (
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
)

// Warmup is how many requests a second the targets of a service take while they are cold,
// and for how long after their start. The zero value stands for a service whose targets
// take as many at once.
type Warmup struct {
	PerSecond float64
	Time      time.Duration
}

// MarkCold marks the candidates whose targets have just started. What their gates reported
// before that no longer counts.
func (warmup Warmup) MarkCold(at time.Time, members []kernel.Member, candidates []Candidate) {
	for index, member := range members {
		startedAt := time.UnixMilli(member.Target.StartedAt)
		if warmup.PerSecond <= 0 || member.Target.StartedAt == 0 || !warmup.covers(at.Sub(startedAt)) {
			continue
		}
		candidate := &candidates[index]
		candidate.WarmupRate = warmup.PerSecond
		if at.Add(-candidate.ReportAge).Before(startedAt) {
			candidate.HasReport = false
			candidate.Load = admit.Load{Slots: candidate.Load.Slots}
		}
	}
}

// covers reports whether a target of an age is cold. Another machine's clock may be ahead,
// but one that is ahead by more than the warm-up time says nothing.
func (warmup Warmup) covers(age time.Duration) bool { return age < warmup.Time && age > -warmup.Time }

// IsCold reports whether the target takes only its warm-up rate, as far as this daemon
// knows: it has just started, or its gate reports a delay without a rate limit.
func (candidate Candidate) IsCold() bool {
	return candidate.WarmupRate > 0 || candidate.Load.RateDelay > 0 && !candidate.Load.RateLimit.InForce
}

// rateDelaySeconds returns how much longer the rate limit or the warm-up limit of the
// target delays a request, as of its last report, and at least as long as the requests of
// this daemon in flight there take to be let through. Of a target that has just started
// and has not reported since, one request more is expected to wait, so that the others
// are used first.
func rateDelaySeconds(candidate Candidate) float64 {
	seconds := max(0, candidate.Load.RateDelay-candidate.ReportAge).Seconds()
	if candidate.WarmupRate <= 0 {
		return seconds
	}
	waiting := float64(candidate.InFlight)
	if !candidate.HasReport {
		waiting++
	}
	return max(seconds, waiting/candidate.WarmupRate)
}
