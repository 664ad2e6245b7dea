package withdraw_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/withdraw"
)

const after = 300 * time.Millisecond

// budgetTime is how long a daemon runs before it may withdraw.
const budgetTime = 8 * (withdraw.MinWithdrawal + withdraw.CheckInterval)

// harness runs the decision of one daemon in a data centre of others.
type harness struct {
	decision withdraw.Decision
	now      time.Time
	// late is how late timers fire, and nextSample when the next one does.
	late       time.Duration
	nextSample time.Time
	others     []withdraw.Member
	isolated   bool
	withdrawn  time.Duration
	// claimed is set once the daemon has claimed a withdrawal.
	claimed bool
}

// newHarness returns a daemon with three others that has run for some time.
func newHarness(uptime time.Duration) *harness {
	harness := &harness{decision: withdraw.Decision{Name: "d0", After: after}, now: time.Unix(1_800_000_000, 0)}
	harness.nextSample = harness.now.Add(withdraw.SampleInterval)
	for number := range 3 {
		harness.others = append(harness.others, withdraw.Member{Name: fmt.Sprintf("d%d", number+1), Available: true})
	}
	harness.run(uptime)
	return harness
}

// run advances the time in steps of 10 ms, with a tick every 100 ms.
func (harness *harness) run(duration time.Duration) {
	const step = 10 * time.Millisecond
	for end := harness.now.Add(duration); harness.now.Before(end); harness.now = harness.now.Add(step) {
		if !harness.now.Before(harness.nextSample) {
			harness.decision.RecordTimerLateness(harness.now, harness.late)
			harness.nextSample = harness.now.Add(withdraw.SampleInterval + harness.late)
		}
		if harness.now.UnixMilli()%100 == 0 {
			own := withdraw.Member{Name: "d0", Order: harness.decision.Order(), Available: true}
			harness.decision.Tick(harness.now, append(harness.others, own), !harness.isolated)
		}
		harness.claimed = harness.claimed || harness.decision.Order() != 0
		if harness.now.Before(harness.decision.Until()) {
			harness.withdrawn += step
		}
	}
}

func (harness *harness) isWithdrawn() bool { return harness.now.Before(harness.decision.Until()) }

// claim sets the claims of others. The orders are 1 and on.
func (harness *harness) claim(count int) {
	for index := range harness.others {
		harness.others[index].Order = 0
		if index < count {
			harness.others[index].Order = uint64(index + 1)
		}
	}
}

// checkWithdraws checks that a slow daemon withdraws, or that it does not.
func checkWithdraws(t *testing.T, harness *harness, want bool) {
	t.Helper()
	harness.late = 60 * time.Millisecond
	harness.run(4 * time.Second)
	is.New(t).Equal(harness.isWithdrawn(), want)
}

func TestSlowDaemonWithdraws(t *testing.T) {
	t.Run("while its neighbours are not slow", func(t *testing.T) {
		harness := newHarness(budgetTime)
		checkWithdraws(t, harness, true)
		is.New(t).Equal(harness.decision.Since().IsZero(), false)
	})
	t.Run("not before it has run for long enough", func(t *testing.T) {
		checkWithdraws(t, newHarness(budgetTime-5*time.Second), false)
	})
	t.Run("not while another one has claimed before", func(t *testing.T) {
		harness := newHarness(budgetTime)
		harness.claim(1)
		checkWithdraws(t, harness, false)
	})
	t.Run("not while most of the data centre is slow", func(t *testing.T) {
		harness := newHarness(budgetTime)
		harness.claim(3)
		checkWithdraws(t, harness, false)
	})
	t.Run("not while most of the data centre is slow and may not withdraw", func(t *testing.T) {
		harness := newHarness(budgetTime)
		for index := range 2 {
			starting := newHarness(time.Second)
			checkWithdraws(t, starting, false)
			harness.others[index].Order = starting.decision.Order()
		}
		checkWithdraws(t, harness, false)
	})
	t.Run("before another one that may not withdraw", func(t *testing.T) {
		harness, starting := newHarness(budgetTime), newHarness(time.Second)
		checkWithdraws(t, starting, false)
		harness.others[0].Order = starting.decision.Order()
		is.New(t).True(harness.others[0].Order != 0)
		checkWithdraws(t, harness, true)
	})
	t.Run("not while it hears of no neighbour", func(t *testing.T) {
		harness := newHarness(budgetTime)
		harness.isolated = true
		checkWithdraws(t, harness, false)
	})
	t.Run("not if it is alone in its data centre", func(t *testing.T) {
		harness := newHarness(budgetTime)
		harness.others = nil
		checkWithdraws(t, harness, false)
	})
	t.Run("not for timers that are a little late", func(t *testing.T) {
		harness := newHarness(budgetTime)
		harness.late = withdraw.MaxTimerLateness - 1
		harness.run(4 * time.Second)
		is.New(t).True(!harness.claimed)
	})
}

// Guards against a claim that is held by a daemon that is slow in short bursts, so that it
// neither withdraws nor recovers, and that keeps all others from withdrawing.
func TestClaimOfABurstyDaemonEnds(t *testing.T) {
	harness := newHarness(budgetTime)
	harness.claim(1)
	harness.late = 60 * time.Millisecond
	harness.run(after + 300*time.Millisecond)
	is := is.New(t)
	is.True(harness.decision.Order() != 0)
	for range 4 {
		harness.late = 0
		harness.run(700 * time.Millisecond)
		harness.late = 60 * time.Millisecond
		harness.run(300 * time.Millisecond)
	}
	is.Equal(harness.decision.Order(), uint64(0))
}

// A daemon that was frozen has one late timer, which says nothing about the next request.
func TestFreezeIsNotTakenForSlowness(t *testing.T) {
	for _, test := range []struct {
		freezes int
		pause   time.Duration
	}{
		{1, time.Second},
		{5, time.Second},
		{2, 2 * withdraw.SampleInterval}, // the second one while the first still counts
	} {
		t.Run(fmt.Sprintf("%d freezes with a pause of %s", test.freezes, test.pause), func(t *testing.T) {
			harness := newHarness(budgetTime)
			for range test.freezes {
				harness.now = harness.now.Add(2 * time.Second)
				harness.decision.RecordTimerLateness(harness.now, 2*time.Second)
				harness.nextSample = harness.now.Add(withdraw.SampleInterval)
				harness.run(test.pause)
			}
			harness.run(time.Second)
			is.New(t).True(!harness.claimed)
		})
	}
}

// A daemon that has recovered since its claim needs no withdrawal, even if one timer is late
// again.
func TestNewSlowPeriodAfterAClaim(t *testing.T) {
	harness := newHarness(budgetTime)
	harness.late = 60 * time.Millisecond
	harness.run(500 * time.Millisecond)
	is := is.New(t)
	is.True(harness.claimed)
	for range 5 {
		harness.late = 0
		harness.run(300 * time.Millisecond)
		harness.late = 21 * time.Millisecond
		harness.run(250 * time.Millisecond)
		is.True(!harness.isWithdrawn())
	}
}

func TestWithdrawalEnds(t *testing.T) {
	withdrawnHarness := func(t *testing.T, uptime time.Duration) *harness {
		t.Helper()
		harness := newHarness(uptime)
		harness.late = 60 * time.Millisecond
		harness.run(1500 * time.Millisecond)
		is.New(t).True(harness.isWithdrawn())
		return harness
	}
	t.Run("after a while if the timers fire in time", func(t *testing.T) {
		harness := withdrawnHarness(t, 5*time.Minute)
		harness.late = 0
		harness.run(withdraw.MinWithdrawal)
		is.New(t).True(!harness.isWithdrawn())
	})
	t.Run("not as soon as the callers have gone", func(t *testing.T) {
		harness := withdrawnHarness(t, 5*time.Minute)
		harness.late = 0
		harness.run(1500 * time.Millisecond)
		is.New(t).True(harness.isWithdrawn())
	})
	t.Run("after the maximum time if the daemon stays slow", func(t *testing.T) {
		harness := withdrawnHarness(t, 5*time.Minute)
		harness.run(withdraw.MaxWithdrawal)
		is.New(t).True(!harness.isWithdrawn())
	})
	t.Run("if most of the data centre becomes slow", func(t *testing.T) {
		harness := withdrawnHarness(t, 5*time.Minute)
		for index := range harness.others {
			harness.others[index].Order = 9
		}
		harness.run(200 * time.Millisecond)
		is.New(t).True(!harness.isWithdrawn())
	})
	t.Run("if the daemon becomes isolated", func(t *testing.T) {
		harness := withdrawnHarness(t, 5*time.Minute)
		harness.isolated = true
		harness.run(200 * time.Millisecond)
		is.New(t).True(!harness.isWithdrawn())
	})
	t.Run("if another one turns out to have claimed before", func(t *testing.T) {
		harness := newHarness(5 * time.Minute)
		harness.others[0].Order = 7
		harness.late = 60 * time.Millisecond
		harness.run(time.Second)
		harness.claim(0)
		harness.run(time.Second)
		is := is.New(t)
		is.True(harness.isWithdrawn())
		harness.others[0].Order = 7
		harness.run(200 * time.Millisecond)
		is.True(!harness.isWithdrawn())
	})
}

// The platform takes a daemon for faulty that is not ready for an eighth of the time. Callers
// return only with the check after a withdrawal.
func TestWithdrawalsTakeLessThanAnEighthOfTheTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newHarness(0)
		startedAt := harness.now
		withdrawals, was := 0, false
		for range rapid.IntRange(10, 120).Draw(t, "periods") {
			harness.late = time.Duration(rapid.IntRange(0, 1).Draw(t, "slow")) * time.Duration(rapid.IntRange(20, 400).Draw(t, "late")) * time.Millisecond
			harness.claim(rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "claims"))
			harness.isolated = rapid.IntRange(0, 9).Draw(t, "isolated") == 0
			for range rapid.IntRange(1, 60).Draw(t, "length") {
				harness.run(100 * time.Millisecond)
				if now := harness.isWithdrawn(); now != was {
					was = now
					if now {
						withdrawals++
					}
				}
				spent := harness.withdrawn + time.Duration(withdrawals)*withdraw.CheckInterval
				if limit := harness.now.Sub(startedAt) / 8; spent > limit {
					t.Fatalf("withdrawn for %s of %s in %d withdrawals", spent, harness.now.Sub(startedAt), withdrawals)
				}
				if harness.decision.Until().Sub(harness.decision.Since()) > withdraw.MaxWithdrawal {
					t.Fatalf("withdrawn until %s", harness.decision.Until())
				}
			}
		}
	})
}
