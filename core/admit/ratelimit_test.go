package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// limitedUpstream is an upstream behind a gate, in virtual time. It names a limit in all
// its responses while limit is not nil.
type limitedUpstream struct {
	t           fataler
	gate        *admit.Gate
	now         time.Time
	limit       *float64
	serviceTime time.Duration
	lastID      uint64
	running     map[uint64]time.Time
	// handedOver holds the time of each request that was handed over.
	handedOver []time.Time
	refused    []admit.Refuse
	wakeAt     time.Time
}

func newLimitedUpstream(t fataler, limit float64) *limitedUpstream {
	return &limitedUpstream{
		t: t, gate: &admit.Gate{Slots: 20, QueueBound: 64}, now: time.Unix(1000, 0), limit: &limit,
		serviceTime: 50 * time.Millisecond, running: map[uint64]time.Time{},
	}
}

func (upstream *limitedUpstream) update(event admit.Event) {
	for _, effect := range upstream.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.Grant:
			upstream.update(admit.Committed{ID: effect.ID, At: upstream.now})
		case admit.HandOver:
			upstream.handedOver = append(upstream.handedOver, upstream.now)
			upstream.running[effect.ID] = upstream.now
		case admit.Refuse:
			upstream.refused = append(upstream.refused, effect)
		case admit.Wake:
			upstream.wakeAt = upstream.now.Add(effect.After)
		}
	}
}

// arrive sends a request to the gate.
func (upstream *limitedUpstream) arrive(arrived admit.Arrived) {
	upstream.lastID++
	arrived.ID, arrived.At = upstream.lastID, upstream.now
	arrived.Deadline = upstream.now.Add(time.Second)
	upstream.update(arrived)
}

// advance lets a millisecond pass and responds to the requests that end in it.
func (upstream *limitedUpstream) advance() {
	upstream.now = upstream.now.Add(time.Millisecond)
	for id, handedOverAt := range upstream.running {
		if upstream.now.Sub(handedOverAt) >= upstream.serviceTime {
			delete(upstream.running, id)
			upstream.respond(handedOverAt)
			upstream.update(admit.Finished{ID: id, At: upstream.now})
		}
	}
	if !upstream.wakeAt.IsZero() && !upstream.now.Before(upstream.wakeAt) || upstream.now.UnixMilli()%50 == 0 {
		upstream.wakeAt = time.Time{}
		upstream.update(admit.Ticked{At: upstream.now})
	}
}

// respond reports what a response to a request says of the limit.
func (upstream *limitedUpstream) respond(handedOverAt time.Time) {
	reported := admit.RateLimitReported{At: upstream.now, HandedOverAt: handedOverAt}
	if upstream.limit != nil {
		reported.Named, reported.PerSecond = true, *upstream.limit
	}
	upstream.update(reported)
}

// flood sends requests at a mean rate for some time.
func (upstream *limitedUpstream) flood(perSecond float64, length time.Duration, random *rand.Rand, arrived admit.Arrived) {
	for end := upstream.now.Add(length); upstream.now.Before(end); {
		upstream.advance()
		for wanted := perSecond / 1000; wanted > 0; wanted-- {
			if random.Float64() < wanted {
				upstream.arrive(arrived)
			}
		}
	}
}

// checkLimit checks that in no 4 s the upstream got more than 1.5 times its limit and 5
// requests more, counted from the given time.
func (upstream *limitedUpstream) checkLimit(perSecond float64, since time.Time) {
	const window = 4 * time.Second
	for last, end := range upstream.handedOver {
		count := 0
		for _, at := range upstream.handedOver[:last+1] {
			if !at.Before(since) && end.Sub(at) <= window {
				count++
			}
		}
		if allowed := 1.5*perSecond*window.Seconds() + 5; float64(count) > allowed {
			upstream.t.Fatalf("%d requests in 4 s at a limit of %g a second, allowed %.0f", count, perSecond, allowed)
		}
	}
}

func TestGateHandsOverNoMoreThanTheUpstreamsRateLimit(t *testing.T) {
	t.Run("whatever the rate", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			limit := rapid.Float64Range(0, 60).Draw(t, "limit")
			upstream := newLimitedUpstream(t, limit)
			upstream.serviceTime = time.Duration(rapid.IntRange(1, 300).Draw(t, "serviceMilliseconds")) * time.Millisecond
			arrived := admit.Arrived{Reserve: rapid.Bool().Draw(t, "reserve"), MaxDelay: time.Duration(rapid.IntRange(0, 100).Draw(t, "maxDelay")) * time.Millisecond}
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			upstream.flood(200, time.Second, random, arrived)
			since := upstream.now
			upstream.flood(rapid.Float64Range(1, 300).Draw(t, "rate"), 6*time.Second, random, arrived)
			upstream.flood(rapid.Float64Range(0, 300).Draw(t, "later"), 3*time.Second, random, arrived)
			upstream.checkLimit(limit, since)
		})
	})
	t.Run("and no less, while requests wait", func(t *testing.T) {
		upstream := newLimitedUpstream(t, 20)
		upstream.flood(200, 10*time.Second, rand.New(rand.NewPCG(1, 1)), admit.Arrived{})
		is.New(t).True(len(upstream.handedOver) > 195)
	})
	t.Run("a request that another target serves sooner is refused at once", func(t *testing.T) {
		upstream := newLimitedUpstream(t, 5)
		hasAlternative := admit.Arrived{MaxDelay: 30 * time.Millisecond}
		upstream.flood(50, 3*time.Second, rand.New(rand.NewPCG(1, 1)), hasAlternative)
		upstream.arrive(hasAlternative)
		upstream.refused = nil
		upstream.arrive(hasAlternative)
		is := is.New(t)
		is.Equal(len(upstream.refused), 1)
		is.Equal(upstream.refused[0].Reason, admit.ReasonSlower)
		is.True(upstream.refused[0].RetryAfter > 30*time.Millisecond) // its MaxDelay
	})
	t.Run("a reservation from before the limit is refused at its commit without room", func(t *testing.T) {
		is := is.New(t)
		gate := &admit.Gate{Slots: 8, QueueBound: 8}
		now := time.Unix(1000, 0)
		for id := range uint64(8) {
			gate.Update(admit.Arrived{ID: id, At: now, Deadline: now.Add(time.Second), Reserve: true})
		}
		gate.Update(admit.RateLimitReported{At: now, Named: true, PerSecond: 4})
		is.Equal(gate.Update(admit.Committed{ID: 0, At: now}), []admit.Effect{admit.HandOver{ID: 0}})
		is.Equal(gate.Update(admit.Committed{ID: 1, At: now}), []admit.Effect{admit.Refuse{ID: 1, Reason: admit.ReasonBusy, RetryAfter: 250 * time.Millisecond}})
	})
	t.Run("a reservation from before the limit gives nothing back", func(t *testing.T) {
		is := is.New(t)
		gate := &admit.Gate{Slots: 8, QueueBound: 8}
		now := time.Unix(1000, 0)
		for id := range uint64(7) {
			gate.Update(admit.Arrived{ID: id, At: now, Deadline: now.Add(time.Second), Reserve: true})
		}
		gate.Update(admit.RateLimitReported{At: now, Named: true, PerSecond: 1})
		is.Equal(gate.Update(admit.Committed{ID: 0, At: now}), []admit.Effect{admit.HandOver{ID: 0}})
		gate.Update(admit.Cancelled{ID: 1, At: now})
		is.Equal(gate.LoadForClass(now, "").RateDelay, time.Second)
	})
	t.Run("a reservation that is not committed takes nothing of it", func(t *testing.T) {
		gate := &admit.Gate{Slots: 4, QueueBound: 8}
		now := time.Unix(1000, 0)
		gate.Update(admit.RateLimitReported{At: now, Named: true, PerSecond: 1})
		for id := range uint64(10) {
			effects := gate.Update(admit.Arrived{ID: id, At: now, Deadline: now.Add(time.Second), Reserve: true})
			is := is.New(t)
			is.Equal(effects, []admit.Effect{admit.Grant{ID: id}})
			gate.Update(admit.Cancelled{ID: id, At: now})
		}
	})
}

func TestRateLimitEnds(t *testing.T) {
	ended := func(events ...admit.Event) bool {
		gate := &admit.Gate{Slots: 4, QueueBound: 8}
		for _, event := range events {
			gate.Update(event)
		}
		return !gate.Load().RateLimit.InForce
	}
	at := func(milliseconds int) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
	}
	named := admit.RateLimitReported{At: at(100), HandedOverAt: at(0), Named: true, PerSecond: 5}
	t.Run("with a response that names none", func(t *testing.T) {
		is.New(t).True(ended(named, admit.RateLimitReported{At: at(300), HandedOverAt: at(200)}))
	})
	t.Run("not with a late response to an earlier request", func(t *testing.T) {
		is.New(t).True(!ended(named, admit.RateLimitReported{At: at(300), HandedOverAt: at(90)}))
	})
	t.Run("with the upstream that named it", func(t *testing.T) {
		is.New(t).True(ended(admit.UpstreamStarted{StartedAt: 1}, named, admit.UpstreamStarted{StartedAt: 2}))
		is.New(t).True(!ended(admit.UpstreamStarted{StartedAt: 1}, named, admit.UpstreamStarted{StartedAt: 1}))
	})
	t.Run("a limit of 0 lets a request through that can show its end", func(t *testing.T) {
		upstream := newLimitedUpstream(t, 0)
		random := rand.New(rand.NewPCG(1, 1))
		upstream.flood(20, 3*time.Second, random, admit.Arrived{})
		upstream.limit = nil
		upstream.handedOver = nil
		upstream.flood(20, 10*time.Second, random, admit.Arrived{})
		is.New(t).True(len(upstream.handedOver) > 80)
	})
}

// restartGate replaces the gate by one that knows nothing, while the upstream goes on with
// what it runs.
func (upstream *limitedUpstream) restartGate() {
	upstream.gate = &admit.Gate{Slots: 20, QueueBound: 64}
	upstream.running = map[uint64]time.Time{}
	upstream.wakeAt = time.Time{}
	upstream.update(admit.UpstreamStarted{StartedAt: 7})
}

func TestRestartedGateKeepsTheRateLimitThatIngressesKnow(t *testing.T) {
	t.Run("whatever the rate", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			limit := rapid.Float64Range(0, 20).Draw(t, "limit")
			upstream := newLimitedUpstream(t, limit)
			upstream.serviceTime = 300 * time.Millisecond
			upstream.update(admit.UpstreamStarted{StartedAt: 7})
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			upstream.flood(200, time.Second, random, admit.Arrived{})
			since := upstream.now
			for range rapid.IntRange(1, 4).Draw(t, "restarts") {
				upstream.flood(200, time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds"))*time.Millisecond, random, admit.Arrived{})
				known := upstream.gate.Load().RateLimit
				upstream.restartGate()
				upstream.update(admit.RateLimitHinted{At: upstream.now, Limit: known})
			}
			upstream.flood(200, 4*time.Second, random, admit.Arrived{})
			upstream.checkLimit(limit, since)
		})
	})
	known := admit.RateLimit{InForce: true, PerSecond: 3, StartedAt: 7}
	inForce := func(events ...admit.Event) bool {
		gate := &admit.Gate{Slots: 4, QueueBound: 8}
		for _, event := range append([]admit.Event{admit.UpstreamStarted{StartedAt: 7}}, events...) {
			gate.Update(event)
		}
		return gate.Load().RateLimit.InForce
	}
	now := time.Unix(1000, 0)
	t.Run("and begins without room", func(t *testing.T) {
		is := is.New(t)
		gate := &admit.Gate{Slots: 4, QueueBound: 8}
		gate.Update(admit.UpstreamStarted{StartedAt: 7})
		gate.Update(admit.RateLimitHinted{At: now, Limit: admit.RateLimit{InForce: true, PerSecond: 4, StartedAt: 7}})
		is.Equal(gate.LoadForClass(now, "").RateDelay, 250*time.Millisecond)
	})
	t.Run("of the same upstream only", func(t *testing.T) {
		is := is.New(t)
		is.True(inForce(admit.RateLimitHinted{At: now, Limit: known}))
		is.True(!inForce(admit.UpstreamStarted{StartedAt: 8}, admit.RateLimitHinted{At: now, Limit: known}))
	})
	t.Run("not against what the upstream has said since", func(t *testing.T) {
		is := is.New(t)
		is.True(!inForce(admit.RateLimitReported{At: now, HandedOverAt: now.Add(-time.Second)}, admit.RateLimitHinted{At: now, Limit: known}))
		is.True(!inForce(admit.RateLimitHinted{At: now, Limit: known}, admit.RateLimitReported{At: now.Add(2 * time.Second), HandedOverAt: now.Add(time.Second)}))
	})
}
