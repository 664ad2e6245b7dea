// Package withdraw decides when a daemon withdraws from callers because it adds more time
// to their requests than the other daemons of its data centre would. While it is withdrawn,
// its readiness check fails, so that the platform sends new work to the others. It serves
// on what it has accepted, and its target stays in use.
//
// A daemon that is slow itself claims a withdrawal in its member record. The claims of a
// data centre are ordered: a new one follows all that the daemon knows, and claims made at
// the same time are ordered by a hash of the names. After SettleTime a daemon knows all
// claims before its own and withdraws if it is among the first; see maxWithdrawn. If more
// than half of the data centre claims, the load is too high for all, and none withdraws.
//
// # Usage
//
// The package registers a kernel plug-in when it is imported. The plug-in does nothing
// unless kernel.Settings.WithdrawAfter is set and the driver sends
// kernel.TimerLatenessMeasured. kernel.View.Withdrawal has the result.
package withdraw

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SampleInterval is how often a daemon measures how late its timers fire.
const SampleInterval = 50 * time.Millisecond

// MaxTimerLateness is the lateness of a timer from which a sample counts as late. A request
// waits for about four wake-ups of its daemon, so a late one loses 80 ms and more of the
// objective of the fastest class, which is 200 ms.
const MaxTimerLateness = 20 * time.Millisecond

// SamplesToRecover is the number of consecutive samples in time that end a slow period. Those
// after them need not be recorded until one is late.
const SamplesToRecover = 3

// Limits for recognizing a slow daemon.
const (
	// minLateSamples is the number of late samples of a slow daemon. A daemon that was
	// frozen has one.
	minLateSamples = 3
	// quietTime is how long after a slow period a daemon counts as recovered.
	quietTime = time.Second
)

// Limits of a withdrawal.
const (
	// SettleTime is the time from a claim to the withdrawal, to which settleFactor times the
	// lateness of the daemon's timers is added. It must be at least twice as long as a record
	// takes to reach all daemons of the data centre: others make claims that precede this
	// one until its record has arrived, and their records take as long. A slow daemon handles
	// a record after about three late wake-ups.
	SettleTime   = 400 * time.Millisecond
	settleFactor = 6
	// MinWithdrawal is how long a daemon stays withdrawn at least. Callers leave only after
	// two missed checks, a second apart, and without them the daemon appears to recover at
	// once.
	MinWithdrawal = 3 * time.Second
	// MaxWithdrawal is how long a daemon stays withdrawn at most.
	MaxWithdrawal = 8 * time.Second
	// CheckInterval is the time between two readiness checks of the platform. It is added
	// to each withdrawal, because callers return only after the next check.
	CheckInterval = time.Second
	// budgetDivisor is the reciprocal of the part of its time for which a daemon may be
	// withdrawn. More is a fault to the platform.
	budgetDivisor = 8
	// claimPause is the time between the end of a claim and the next one. It bounds the
	// number of records.
	claimPause = 5 * time.Second
	// maxBurstyTime is how long a claim holds its place while the daemon is slow only in
	// bursts that are shorter than After: it is never quiet and never withdraws.
	maxBurstyTime = 2 * time.Second
)

// withoutTurn is the order of the claim of a daemon that is slow but may not withdraw now,
// because it has lately been withdrawn for too long or has just started. It counts as slow, so
// that the others know when most of the data centre is, and is ahead of nobody.
const withoutTurn = 1 << 63

// Member is a daemon of the data centre, with the order of its claim, or 0 without one.
// Only available members are counted as daemons that callers can use.
type Member struct {
	Name      string
	Order     uint64
	Available bool
}

// Decision decides for one daemon. Its exported fields must be set before the first use.
type Decision struct {
	Name string
	// After is how long the daemon must have been slow before it claims a withdrawal.
	After time.Duration

	// slowSince is the first late sample of the current slow period, or zero; lateCount,
	// lateSum and punctual describe its samples. slowAt is when the daemon was last slow.
	slowSince time.Time
	lateCount int
	lateSum   time.Duration
	punctual  int
	slowAt    time.Time

	// budget is how long the daemon may still be withdrawn, as of budgetAt.
	budget   time.Duration
	budgetAt time.Time

	order     uint64
	claimedAt time.Time
	// longSlowAt is when the daemon was last slow for After while it had a claim.
	longSlowAt time.Time
	pauseEnd   time.Time
	// withdrawnAt and until are zero unless the daemon is withdrawn.
	withdrawnAt time.Time
	until       time.Time
	reason      string
}

// Order returns the order of the claim of this daemon, or 0 if it has none.
func (decision *Decision) Order() uint64 { return decision.order }

// Since returns when the daemon withdrew, or the zero time.
func (decision *Decision) Since() time.Time { return decision.withdrawnAt }

// Until returns when the withdrawal ends at the latest, or the zero time.
func (decision *Decision) Until() time.Time { return decision.until }

// Reason returns why the daemon withdrew or, if it is not withdrawn, why it returned.
func (decision *Decision) Reason() string { return decision.reason }

// RecordTimerLateness records how late a timer of the daemon has fired.
func (decision *Decision) RecordTimerLateness(at time.Time, late time.Duration) {
	if late < MaxTimerLateness {
		decision.punctual++
		if decision.punctual >= SamplesToRecover {
			decision.slowSince, decision.lateCount, decision.lateSum = time.Time{}, 0, 0
		}
		return
	}
	decision.punctual = 0
	if decision.lateCount == 0 {
		decision.slowSince = at
	}
	decision.lateCount++
	decision.lateSum += late
	if decision.isSlow() {
		decision.slowAt = at
	}
}

func (decision *Decision) isSlow() bool { return decision.lateCount >= minLateSamples }

// meanLate returns the mean of the late samples. It must only be called while the daemon is
// slow.
func (decision *Decision) meanLate() time.Duration {
	return decision.lateSum / time.Duration(decision.lateCount)
}

func (decision *Decision) settleTime() time.Duration {
	return SettleTime + settleFactor*decision.meanLate()
}

// slowFor returns how long the slow period has lasted until its last late sample.
func (decision *Decision) slowFor() time.Duration { return decision.slowAt.Sub(decision.slowSince) }

// isSlowForLong reports whether the daemon has been slow for After.
func (decision *Decision) isSlowForLong() bool {
	return decision.isSlow() && decision.slowFor() >= decision.After
}

func (decision *Decision) isQuiet(at time.Time) bool {
	return !decision.isSlow() && at.Sub(decision.slowAt) >= quietTime
}

// NeedsMembers reports whether the result of the next Tick can depend on the members.
func (decision *Decision) NeedsMembers() bool { return decision.isSlow() || decision.order != 0 }

// Tick updates the claim and the withdrawal and reports whether one of them has changed.
// The members are those of the data centre, with this one. connected means that the daemon
// hears of its neighbours.
func (decision *Decision) Tick(at time.Time, members []Member, connected bool) bool {
	decision.earnBudget(at)
	order, since := decision.order, decision.withdrawnAt
	centre := decision.assess(members)
	switch {
	case !decision.withdrawnAt.IsZero():
		if reason := decision.reasonToReturn(at, centre, connected); reason != "" {
			decision.budget += max(0, decision.until.Sub(at))
			decision.reason = reason
			decision.endClaim(at)
			if decision.isSlowForLong() && connected {
				decision.order = withoutTurn
			}
		}
	case decision.order == withoutTurn:
		decision.awaitTurn(at, centre, connected)
	case decision.order != 0:
		decision.pursueClaim(at, centre, connected)
	case decision.mayClaim(at, centre, connected):
		decision.order, decision.claimedAt, decision.longSlowAt = centre.lastOrder+1, at, at
	case decision.isSlowForLong() && connected && !at.Before(decision.pauseEnd):
		decision.order = withoutTurn
	}
	return order != decision.order || since != decision.withdrawnAt
}

// earnBudget adds the part of the time since the last call for which the daemon may be
// withdrawn. It starts with none, so that the limit holds from the start on.
func (decision *Decision) earnBudget(at time.Time) {
	if !decision.budgetAt.IsZero() && at.After(decision.budgetAt) {
		decision.budget = min(MaxWithdrawal+CheckInterval, decision.budget+at.Sub(decision.budgetAt)/budgetDivisor)
	}
	decision.budgetAt = at
}

// centre is what a daemon knows about its data centre: the number of available daemons, of
// claims with its own, and of claims before its own.
type centre struct {
	available, claims, ahead int
	lastOrder                uint64
}

func (decision *Decision) assess(members []Member) centre {
	centre := centre{}
	own := Member{Name: decision.Name, Order: decision.order}
	for _, member := range members {
		if member.Available {
			centre.available++
		}
		if member.Name == decision.Name || member.Order == 0 {
			continue
		}
		centre.claims++
		if member.Order >= withoutTurn {
			continue
		}
		centre.lastOrder = max(centre.lastOrder, member.Order)
		if compareClaims(member, own) < 0 {
			centre.ahead++
		}
	}
	centre.claims++
	return centre
}

func compareClaims(one, other Member) int {
	return cmp.Or(cmp.Compare(one.Order, other.Order), cmp.Compare(hashName(one.Name), hashName(other.Name)), cmp.Compare(one.Name, other.Name))
}

func hashName(name string) uint64 { return xxhash.Sum64String("withdraw\x00" + name) }

// maxWithdrawn returns how many daemons of a data centre may be withdrawn at a time: a
// quarter, or one of two and three.
func (centre centre) maxWithdrawn() int {
	if centre.available < 2 {
		return 0
	}
	return max(1, centre.available/4)
}

// isOverloaded reports whether so many daemons claim that the load would only move.
func (centre centre) isOverloaded() bool { return 2*centre.claims > centre.available }

func (decision *Decision) mayClaim(at time.Time, centre centre, connected bool) bool {
	return decision.isSlowForLong() && connected &&
		!at.Before(decision.pauseEnd) && decision.hasBudget() && centre.maxWithdrawn() > 0 && !centre.isOverloaded()
}

func (decision *Decision) hasBudget() bool { return decision.budget >= MinWithdrawal+CheckInterval }

// awaitTurn ends the claim without a turn if the daemon has recovered, and replaces it by one
// with a turn as soon as it may withdraw again.
func (decision *Decision) awaitTurn(at time.Time, centre centre, connected bool) {
	switch {
	case decision.isQuiet(at) || !connected:
		decision.endClaim(at)
	case decision.mayClaim(at, centre, connected):
		decision.order, decision.claimedAt, decision.longSlowAt = centre.lastOrder+1, at, at
	}
}

// pursueClaim ends the claim if the daemon has recovered, and withdraws if its turn has
// come.
func (decision *Decision) pursueClaim(at time.Time, centre centre, connected bool) {
	if decision.isSlowForLong() {
		decision.longSlowAt = at
	}
	switch {
	case decision.isQuiet(at) || !connected || centre.maxWithdrawn() == 0 || at.Sub(decision.longSlowAt) >= maxBurstyTime:
		decision.endClaim(at)
	case centre.isOverloaded():
		// The daemons that recover first must have time to say so.
		decision.claimedAt = at
	case decision.isSlowForLong() && at.Sub(decision.claimedAt) >= decision.settleTime() && centre.ahead < centre.maxWithdrawn() && decision.hasBudget():
		length := min(MaxWithdrawal, decision.budget-CheckInterval)
		decision.budget -= length + CheckInterval
		decision.withdrawnAt, decision.until = at, at.Add(length)
		decision.reason = fmt.Sprintf("timers have fired late by a mean of %s for %s, and %d of %d daemons of the data centre are slow",
			decision.meanLate().Round(time.Millisecond), decision.slowFor().Round(time.Millisecond),
			centre.claims, centre.available)
	}
}

func (decision *Decision) endClaim(at time.Time) {
	decision.order, decision.claimedAt = 0, time.Time{}
	decision.withdrawnAt, decision.until = time.Time{}, time.Time{}
	decision.pauseEnd = at.Add(claimPause)
}

// reasonToReturn returns why the withdrawal ends now, or an empty text.
func (decision *Decision) reasonToReturn(at time.Time, centre centre, connected bool) string {
	switch {
	case !at.Before(decision.until):
		return "the time limit has passed"
	case !connected:
		return "no neighbour has been heard of"
	case centre.isOverloaded():
		return fmt.Sprintf("%d of %d daemons of the data centre are slow", centre.claims, centre.available)
	case centre.ahead >= centre.maxWithdrawn():
		return "others withdrew first"
	case decision.isQuiet(at) && at.Sub(decision.withdrawnAt) >= MinWithdrawal:
		return "timers fire in time"
	default:
		return ""
	}
}
