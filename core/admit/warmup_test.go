package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// coldUpstream is an upstream behind a gate, in virtual time. It records the requests and
// health probes that it gets while it is cold.
type coldUpstream struct {
	t         fataler
	gate      *admit.Gate
	now       time.Time
	limit     admit.WarmupLimit
	startedAt int64
	coldUntil time.Time
	lastID    uint64
	running   map[uint64]time.Time
	// commits holds when reservations are committed, commitAfter how long after the grant.
	commits     map[uint64]time.Time
	commitAfter func() time.Duration
	// deadline is how long after its arrival a request may run.
	deadline time.Duration
	// cold holds the time of each hand-over to the cold upstream, and probes that of each
	// health probe.
	cold       []time.Time
	handedOver int
	probes     []time.Time
	refused    []admit.Refuse
	wakeAt     time.Time
}

// faresLimit is the limit of a deployment: 12 requests a second, 26 in any second.
var faresLimit = admit.NewWarmupLimit(12, 1.5, 8, 3*time.Second)

func newColdUpstream(t fataler, limit admit.WarmupLimit) *coldUpstream {
	upstream := &coldUpstream{
		t: t, now: time.Unix(1000, 0), limit: limit, running: map[uint64]time.Time{}, commits: map[uint64]time.Time{},
		commitAfter: func() time.Duration { return 20 * time.Millisecond }, deadline: time.Second,
	}
	upstream.startDaemon()
	return upstream
}

// startDaemon replaces the gate, as a restart of the daemon does. The upstream serves on.
func (upstream *coldUpstream) startDaemon() {
	upstream.gate = &admit.Gate{Slots: 18, QueueBound: 64, MaxSlownessAge: 100 * time.Millisecond}
	upstream.running, upstream.commits, upstream.wakeAt = map[uint64]time.Time{}, map[uint64]time.Time{}, time.Time{}
	upstream.update(admit.WarmupLimitSet{At: upstream.now, Limit: upstream.limit})
	upstream.probe() // it asks whether the upstream is leaving
	upstream.announce()
}

func (upstream *coldUpstream) announce() {
	upstream.update(admit.UpstreamStarted{At: upstream.now, StartedAt: upstream.startedAt})
	upstream.update(admit.WarmupReported{At: upstream.now, Left: max(0, upstream.coldUntil.Sub(upstream.now))})
}

// becomeCold makes the upstream cold, which it reports at once.
func (upstream *coldUpstream) becomeCold(length time.Duration) {
	upstream.coldUntil = upstream.now.Add(length)
	upstream.announce()
}

func (upstream *coldUpstream) update(event admit.Event) {
	for _, effect := range upstream.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.Grant:
			upstream.commits[effect.ID] = upstream.now.Add(upstream.commitAfter())
		case admit.HandOver:
			upstream.handedOver++
			upstream.running[effect.ID] = upstream.now
			upstream.count()
		case admit.Refuse:
			delete(upstream.commits, effect.ID)
			upstream.refused = append(upstream.refused, effect)
		case admit.MeasureSlowness, admit.AllowProbe:
			upstream.probe()
		case admit.Wake:
			upstream.wakeAt = upstream.now.Add(effect.After)
		}
	}
}

func (upstream *coldUpstream) probe() {
	upstream.probes = append(upstream.probes, upstream.now)
	upstream.count()
}

// count counts a request to the upstream while it is cold.
func (upstream *coldUpstream) count() {
	if upstream.now.Before(upstream.coldUntil) {
		upstream.cold = append(upstream.cold, upstream.now)
	}
}

func (upstream *coldUpstream) arrive(arrived admit.Arrived) {
	upstream.lastID++
	arrived.ID, arrived.At = upstream.lastID, upstream.now
	arrived.Deadline = upstream.now.Add(upstream.deadline)
	upstream.update(arrived)
}

// advance lets a millisecond pass.
func (upstream *coldUpstream) advance() {
	upstream.now = upstream.now.Add(time.Millisecond)
	for id, handedOverAt := range upstream.running {
		if upstream.now.Sub(handedOverAt) >= 30*time.Millisecond {
			delete(upstream.running, id)
			upstream.update(admit.SlownessReported{At: upstream.now, Slowness: 1})
			upstream.update(admit.Finished{ID: id, At: upstream.now})
		}
	}
	for id := upstream.lastID - min(upstream.lastID, 200); id <= upstream.lastID; id++ {
		if at, granted := upstream.commits[id]; granted && !upstream.now.Before(at) {
			delete(upstream.commits, id)
			upstream.update(admit.Committed{ID: id, At: upstream.now})
		}
	}
	if !upstream.wakeAt.IsZero() && !upstream.now.Before(upstream.wakeAt) || upstream.now.UnixMilli()%50 == 0 {
		upstream.wakeAt = time.Time{}
		upstream.update(admit.Ticked{At: upstream.now})
	}
	if upstream.now.UnixMilli()%500 == 0 {
		upstream.announce()
	}
}

// flood sends requests at a mean rate for some time, of which a share is cancelled.
func (upstream *coldUpstream) flood(perSecond float64, length time.Duration, random *rand.Rand, arrived admit.Arrived) {
	for end := upstream.now.Add(length); upstream.now.Before(end); {
		upstream.advance()
		for wanted := perSecond / 1000; wanted > 0; wanted-- {
			if random.Float64() >= wanted {
				continue
			}
			upstream.arrive(arrived)
			if random.IntN(8) == 0 && upstream.lastID > 20 {
				upstream.update(admit.Cancelled{ID: upstream.lastID - random.Uint64N(20), At: upstream.now})
			}
		}
	}
}

// checkBound checks that the cold upstream got no more than the bound in any second.
func (upstream *coldUpstream) checkBound(bound float64) {
	first := 0
	for last, end := range upstream.cold {
		for end.Sub(upstream.cold[first]) > time.Second {
			first++
		}
		if count := last + 1 - first; float64(count) > bound {
			upstream.t.Fatalf("%d requests to a cold upstream in a second, the bound is %.1f", count, bound)
		}
	}
}

// restartTime is the least time that a restart of a daemon takes: it joins its neighbours
// before it accepts an announcement.
const restartTime = 500 * time.Millisecond

// A cold target crashes when it gets more than the bound in any second.
func TestWarmupBoundHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overshoot, slack := rapid.SampledFrom([]float64{1, 1.2, 1.5, 2}).Draw(t, "overshoot"), rapid.SampledFrom([]float64{3, 5, 10}).Draw(t, "slack")
		limit := func(perSecond float64) admit.WarmupLimit {
			return admit.NewWarmupLimit(perSecond, overshoot, slack, 3*time.Second)
		}
		rate := rapid.SampledFrom([]float64{0.5, 3, 12, 40})
		now := rate.Draw(t, "warmupRate")
		highest := now
		upstream := newColdUpstream(t, limit(now))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		longest := rapid.SampledFrom([]int{1, 200, 700, 2500}).Draw(t, "commitMilliseconds")
		upstream.commitAfter = func() time.Duration { return time.Duration(random.IntN(longest)) * time.Millisecond }
		arrived := admit.Arrived{Reserve: rapid.Bool().Draw(t, "reserve"), MaxDelay: time.Duration(rapid.IntRange(0, 100).Draw(t, "maxDelay")) * time.Millisecond}
		for range rapid.IntRange(2, 8).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"cold", "start", "daemon", "rate", "kind", "probe"}).Draw(t, "step") {
			case "cold":
				upstream.becomeCold(3 * time.Second)
			case "start":
				upstream.startedAt = upstream.now.UnixMilli()
				upstream.becomeCold(3 * time.Second)
			case "daemon":
				upstream.now = upstream.now.Add(restartTime)
				upstream.startDaemon()
			case "rate":
				now = rate.Draw(t, "warmupRate")
				highest = max(highest, now)
				upstream.limit = limit(now)
				upstream.update(admit.WarmupLimitSet{At: upstream.now, Limit: upstream.limit})
			case "kind":
				arrived.Reserve = !arrived.Reserve
			case "probe":
				upstream.update(admit.ProbeDue{At: upstream.now})
			}
			length := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second}).Draw(t, "length")
			upstream.flood(rapid.SampledFrom([]float64{0, 2, 30, 400}).Draw(t, "rate"), length, random, arrived)
		}
		upstream.checkBound(limit(highest).Bound)
	})
}

func TestWarmupLimit(t *testing.T) {
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	t.Run("a cold upstream gets its rate while requests wait", func(t *testing.T) {
		upstream := newColdUpstream(t, faresLimit)
		upstream.becomeCold(10 * time.Second)
		upstream.flood(100, 10*time.Second, random(), admit.Arrived{})
		upstream.checkBound(faresLimit.Bound)
		is.New(t).True(len(upstream.cold) >= 110)
	})
	t.Run("a warm upstream gets all requests", func(t *testing.T) {
		upstream := newColdUpstream(t, faresLimit)
		upstream.flood(100, 4*time.Second, random(), admit.Arrived{})
		is.New(t).True(upstream.handedOver > 300)
	})
	t.Run("without a rate or settings there is no limit", func(t *testing.T) {
		for _, limit := range []admit.WarmupLimit{admit.NewWarmupLimit(0, 1.5, 8, time.Second), admit.NewWarmupLimit(12, 0, 0, time.Second)} {
			upstream := newColdUpstream(t, limit)
			upstream.becomeCold(4 * time.Second)
			upstream.flood(100, 4*time.Second, random(), admit.Arrived{})
			is.New(t).True(upstream.handedOver > 300)
		}
	})
	t.Run("an upstream that has just started counts as cold until it says otherwise", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		gate := &admit.Gate{Slots: 8, QueueBound: 8}
		gate.Update(admit.WarmupLimitSet{At: now, Limit: faresLimit})
		gate.Update(admit.UpstreamStarted{At: now, StartedAt: now.Add(-time.Hour).UnixMilli()})
		is.Equal(gate.LoadForClass(now, "").RateDelay, time.Duration(0)) // it has run for long
		gate.Update(admit.UpstreamStarted{At: now, StartedAt: now.UnixMilli()})
		is.Equal(gate.LoadForClass(now, "").WarmupLeft, 3*time.Second)
		gate.Update(admit.UpstreamStarted{At: now, StartedAt: now.UnixMilli()})
		later := now.Add(time.Second)
		is.Equal(gate.LoadForClass(later, "").WarmupLeft, 2*time.Second)
		gate.Update(admit.WarmupReported{At: later})
		is.Equal(gate.LoadForClass(later, "").WarmupLeft, time.Duration(0))
		gate.Update(admit.UpstreamStarted{At: later, StartedAt: now.UnixMilli(), Instance: "other"})
		is.Equal(gate.LoadForClass(later, "").WarmupLeft, 3*time.Second)
	})
	t.Run("what was said before does not replace what was said later", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		gate := &admit.Gate{Slots: 8, QueueBound: 8}
		left := func(events ...admit.Event) time.Duration {
			for _, event := range events {
				gate.Update(event)
			}
			return gate.LoadForClass(now.Add(10*time.Millisecond), "").WarmupLeft
		}
		gate.Update(admit.WarmupLimitSet{At: now, Limit: faresLimit})
		gate.Update(admit.UpstreamStarted{At: now, StartedAt: 7})
		is.True(left(admit.WarmupReported{At: now, Left: 2 * time.Second, AskedAt: now.Add(-time.Millisecond)}) > 0)
		later := now.Add(10 * time.Millisecond)
		is.True(left(admit.WarmupReported{At: later}) > 0)                                          // a heartbeat may be late
		is.True(left(admit.WarmupReported{At: later, AskedAt: now.Add(-2 * time.Millisecond)}) > 0) // and a response
		is.True(left(admit.WarmupReported{At: later, AskedAt: now.Add(5 * time.Millisecond)}) == 0) // asked since
		is.True(left(admit.WarmupReported{At: later, Left: time.Second}) > 0)                       // cold again
		is.True(left(admit.WarmupReported{At: later, Left: 0}) == 0)                                // heartbeats come in order
	})
	t.Run("a reservation from before the upstream became cold is refused without room", func(t *testing.T) {
		is := is.New(t)
		upstream := newColdUpstream(t, faresLimit)
		upstream.commitAfter = func() time.Duration { return time.Hour }
		upstream.arrive(admit.Arrived{Reserve: true})
		upstream.becomeCold(time.Second)
		upstream.update(admit.Committed{ID: upstream.lastID, At: upstream.now})
		is.Equal(upstream.handedOver, 0)
		is.Equal(upstream.refused[0].Reason, admit.ReasonBusy)
		is.True(upstream.refused[0].RetryAfter > 0)
	})
	t.Run("reservations that are committed together and late stay within the bound", func(t *testing.T) {
		upstream := newColdUpstream(t, admit.NewWarmupLimit(12, 1.5, 3, 3*time.Second))
		upstream.becomeCold(10 * time.Second)
		upstream.flood(0, time.Second, random(), admit.Arrived{})
		upstream.deadline = 3 * time.Second
		commitAt := upstream.now.Add(1900 * time.Millisecond)
		upstream.commitAfter = func() time.Duration { return commitAt.Sub(upstream.now) }
		upstream.flood(100, 1900*time.Millisecond, random(), admit.Arrived{Reserve: true})
		upstream.flood(100, 1500*time.Millisecond, random(), admit.Arrived{})
		upstream.checkBound(21)
	})
	t.Run("the bucket starts empty", func(t *testing.T) {
		is := is.New(t)
		upstream := newColdUpstream(t, faresLimit)
		upstream.flood(0, 2*time.Second, random(), admit.Arrived{})
		requireEmpty := func(least time.Duration) {
			t.Helper()
			is.True(upstream.gate.LoadForClass(upstream.now, "").RateDelay >= least)
		}
		const interval = time.Second / 12
		upstream.becomeCold(5 * time.Second)
		requireEmpty(interval)
		upstream.flood(0, time.Second, random(), admit.Arrived{})
		requireEmpty(0)
		upstream.startedAt = upstream.now.UnixMilli()
		upstream.announce()
		requireEmpty(interval)
		upstream.flood(0, time.Second, random(), admit.Arrived{})
		upstream.startDaemon()
		requireEmpty(2 * interval) // a health probe has used another token
	})
	t.Run("a health probe takes a token", func(t *testing.T) {
		is := is.New(t)
		upstream := newColdUpstream(t, faresLimit)
		upstream.becomeCold(5 * time.Second)
		upstream.flood(0, time.Second, random(), admit.Arrived{})
		upstream.update(admit.ProbeDue{At: upstream.now})
		for range 3 { // the burst
			upstream.arrive(admit.Arrived{})
		}
		is.Equal(upstream.handedOver, 2)
	})
	t.Run("a request that cannot run in time is refused at once with the time of its token", func(t *testing.T) {
		is := is.New(t)
		upstream := newColdUpstream(t, faresLimit)
		upstream.becomeCold(10 * time.Second)
		for range 40 {
			upstream.arrive(admit.Arrived{})
		}
		// The deadline of 1 s leaves time for 12 tokens.
		is.True(len(upstream.refused) >= 27)
		is.Equal(upstream.refused[0].Reason, admit.ReasonDeadline)
		is.True(upstream.refused[0].RetryAfter > 900*time.Millisecond && upstream.refused[0].RetryAfter < 1200*time.Millisecond)
	})
	t.Run("waiting requests run when the upstream is warm", func(t *testing.T) {
		is := is.New(t)
		upstream := newColdUpstream(t, faresLimit)
		upstream.becomeCold(300 * time.Millisecond)
		for range 12 {
			upstream.arrive(admit.Arrived{})
		}
		is.Equal(len(upstream.refused), 0)
		for range 310 {
			upstream.advance()
		}
		is.Equal(upstream.handedOver, 12)
	})
	t.Run("health probes are rare while the upstream is cold", func(t *testing.T) {
		upstream := newColdUpstream(t, faresLimit)
		upstream.update(admit.SlownessReported{At: upstream.now, Slowness: 1})
		upstream.becomeCold(10 * time.Second)
		upstream.probes = nil
		for range 10_000 {
			upstream.advance()
			if upstream.now.UnixMilli()%100 == 0 {
				upstream.arrive(admit.Arrived{MaxDelay: time.Second})
				upstream.update(admit.ProbeDue{At: upstream.now})
			}
		}
		is.New(t).True(len(upstream.probes) >= 5 && len(upstream.probes) <= 11)
	})
}
