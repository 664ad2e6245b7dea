package admit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// transit is how long a request, a cancellation or a response is under way at most.
const transit = 10 * time.Millisecond

// cancelFixture is a gate with a headroom and an upstream that reports its load. The service
// time is 100 ms.
type cancelFixture struct {
	t      *testing.T
	gate   *admit.Gate
	now    time.Time
	lastID uint64
}

func newCancelFixture(t *testing.T) *cancelFixture {
	fixture := &cancelFixture{t: t, gate: &admit.Gate{Slots: 5, QueueBound: 8, Headroom: 0.2, MaxSlownessAge: 100 * time.Millisecond, HoldCancelledRuns: true}, now: time.Unix(1000, 0)}
	fixture.gate.Update(admit.UpstreamStarted{At: fixture.now, StartedAt: 7})
	first := fixture.arrive()
	fixture.now = fixture.now.Add(100 * time.Millisecond)
	fixture.report(first, fixture.now, 0)
	fixture.gate.Update(admit.Finished{ID: first, At: fixture.now})
	fixture.now = fixture.now.Add(time.Second)
	return fixture
}

// newRunningOn returns a fixture with an upstream that has been seen to run a cancelled
// request on.
func newRunningOn(t *testing.T) *cancelFixture {
	fixture := newCancelFixture(t)
	fixture.cancel(fixture.arrive())
	fixture.probed(20*time.Millisecond, 1)
	fixture.checkHeld(1)
	fixture.probed(time.Second, 0)
	fixture.checkHeld(0)
	return fixture
}

func (fixture *cancelFixture) arrive() uint64 {
	fixture.lastID++
	fixture.gate.Update(admit.Arrived{ID: fixture.lastID, At: fixture.now, Deadline: fixture.now.Add(time.Minute)})
	return fixture.lastID
}

// fill uses all slots of the gate and queues one more request.
func (fixture *cancelFixture) fill() (running []uint64, queued uint64) {
	for range 4 {
		running = append(running, fixture.arrive())
	}
	return running, fixture.arrive()
}

func (fixture *cancelFixture) cancel(id uint64) []admit.Effect {
	return fixture.gate.Update(admit.Finished{ID: id, At: fixture.now, Failed: true, Cancelled: true})
}

func (fixture *cancelFixture) report(id uint64, from time.Time, running int) []admit.Effect {
	return fixture.gate.Update(admit.LoadReported{At: fixture.now, From: from, ID: id, Running: running})
}

// probed reports a load after a time, in the response to a probe that took 1 ms.
func (fixture *cancelFixture) probed(after time.Duration, running int) []admit.Effect {
	fixture.now = fixture.now.Add(after)
	return fixture.report(0, fixture.now.Add(-time.Millisecond), running)
}

// pass lets time pass.
func (fixture *cancelFixture) pass(length time.Duration) []admit.Effect {
	fixture.now = fixture.now.Add(length)
	return fixture.gate.Update(admit.CheckDue{At: fixture.now})
}

func (fixture *cancelFixture) checkHandedOver(effects []admit.Effect, expected ...uint64) {
	fixture.t.Helper()
	is.New(fixture.t).Equal(handedOver(effects), expected)
}

func handedOver(effects []admit.Effect) []uint64 {
	var ids []uint64
	for _, effect := range effects {
		if handOver, is := effect.(admit.HandOver); is {
			ids = append(ids, handOver.ID)
		}
	}
	return ids
}

func (fixture *cancelFixture) checkHeld(expected int) {
	fixture.t.Helper()
	is.New(fixture.t).Equal(fixture.gate.LoadForClass(fixture.now, "").CancelledRuns, expected)
}

// TestCancelledRuns guards against upstreams that get more than the slots without the
// headroom because they run cancelled requests to their end, and against capacity that is
// lost where they drop them.
func TestCancelledRuns(t *testing.T) {
	t.Run("a cancelled run keeps its slot until a report shows that it has ended", func(t *testing.T) {
		fixture := newRunningOn(t)
		running, queued := fixture.fill()
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		fixture.checkHandedOver(fixture.cancel(running[0]))
		is.New(t).Equal(fixture.gate.LoadForClass(fixture.now, "").Running, 4) // ingresses see no free slot
		fixture.checkHandedOver(fixture.probed(20*time.Millisecond, 4))
		fixture.checkHeld(1)
		fixture.checkHandedOver(fixture.probed(50*time.Millisecond, 3), queued)
		fixture.checkHeld(0)
	})
	t.Run("it keeps the slot for at most the expected remaining time", func(t *testing.T) {
		// Load: all runs are cancelled, so no response reports anything.
		fixture := newRunningOn(t)
		running, queued := fixture.fill()
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		fixture.cancel(running[0])
		fixture.checkHandedOver(fixture.pass(79 * time.Millisecond))
		fixture.checkHandedOver(fixture.pass(time.Millisecond), queued)
	})
	t.Run("a run that takes longer than expected keeps its slot while reports show it", func(t *testing.T) {
		// Load: the upstream has become slower since the run started.
		fixture := newRunningOn(t)
		running, queued := fixture.fill()
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		fixture.cancel(running[0])
		for range 19 {
			fixture.checkHandedOver(fixture.probed(50*time.Millisecond, 4))
			fixture.checkHeld(1)
		}
		// Whatever is reported, the slot is free after ten service times.
		fixture.checkHandedOver(fixture.pass(50*time.Millisecond), queued)
	})
	t.Run("an upstream that counts probes and drops cancelled requests loses no capacity", func(t *testing.T) {
		fixture := newCancelFixture(t)
		fixture.probed(time.Second, 1)
		for range 10 {
			fixture.cancel(fixture.arrive())
			fixture.probed(20*time.Millisecond, 1)
			fixture.checkHeld(0)
		}
	})
	t.Run("without the setting no slot is held", func(t *testing.T) {
		fixture := newCancelFixture(t)
		fixture.gate.HoldCancelledRuns = false
		fixture.cancel(fixture.arrive())
		fixture.probed(20*time.Millisecond, 1)
		fixture.checkHeld(0)
	})
	t.Run("without reports no slot is held for longer than a service time", func(t *testing.T) {
		// Load: all requests are cancelled at once, and what arrives later is refused, so that
		// the upstream gets nothing and reports nothing.
		fixture := newRunningOn(t)
		running, _ := fixture.fill()
		for _, id := range running {
			fixture.cancel(id)
		}
		fixture.probed(20*time.Millisecond, 5)
		fixture.pass(101 * time.Millisecond)
		fixture.checkHeld(0)
	})
	t.Run("an upstream that drops cancelled requests loses no capacity", func(t *testing.T) {
		fixture := newCancelFixture(t)
		running, queued := fixture.fill()
		fixture.checkHandedOver(fixture.cancel(running[0]), queued)
		fixture.checkHeld(0)
		fixture.probed(20*time.Millisecond, 5) // until it runs one on
		fixture.checkHeld(1)
	})
	t.Run("an upstream that drops cancelled requests from now on loses no more capacity", func(t *testing.T) {
		// Load: a report that counted something else than a cancelled run.
		fixture := newRunningOn(t)
		for range 8 {
			fixture.cancel(fixture.arrive())
			fixture.probed(15*time.Millisecond, 0)
		}
		running, queued := fixture.fill()
		fixture.checkHandedOver(fixture.cancel(running[0]), queued)
	})
	t.Run("an upstream that reports no load loses no capacity", func(t *testing.T) {
		fixture := newRunningOn(t)
		fixture.gate.Update(admit.UpstreamStarted{At: fixture.now, StartedAt: 8})
		fixture.now = fixture.now.Add(time.Minute) // since the last report of its previous version
		running, queued := fixture.fill()
		fixture.checkHandedOver(fixture.cancel(running[0]), queued)
	})
	t.Run("a report that may be older than the cancellation changes nothing", func(t *testing.T) {
		fixture := newRunningOn(t)
		running, queued := fixture.fill()
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		fixture.cancel(running[0])
		fixture.now = fixture.now.Add(30 * time.Millisecond)
		for _, count := range []int{3, 4} {
			fixture.checkHandedOver(fixture.report(0, fixture.now.Add(-35*time.Millisecond), count))
			fixture.checkHeld(1)
		}
		// 4 proved nothing, so the end is as expected.
		fixture.checkHandedOver(fixture.pass(50*time.Millisecond), queued)
		fixture.checkHeld(0)
	})
	t.Run("requests that are under way do not hide a cancelled run", func(t *testing.T) {
		fixture := newRunningOn(t)
		running := []uint64{fixture.arrive(), fixture.arrive()}
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		fixture.cancel(running[0])
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		fixture.arrive()
		fixture.probed(time.Millisecond, 2) // the cancelled one and running[1]
		fixture.checkHeld(1)
	})
	t.Run("a request that ends while a probe is under way is no cancelled run", func(t *testing.T) {
		for _, count := range []int{0, 1} {
			fixture := newCancelFixture(t)
			cancelled, ending := fixture.arrive(), fixture.arrive()
			fixture.now = fixture.now.Add(20 * time.Millisecond)
			fixture.cancel(cancelled)
			sentAt := fixture.now.Add(20 * time.Millisecond)
			fixture.now = sentAt.Add(2 * time.Millisecond)
			fixture.gate.Update(admit.Finished{ID: ending, At: fixture.now})
			fixture.now = fixture.now.Add(2 * time.Millisecond)
			fixture.report(0, sentAt, count)
			fixture.checkHeld(0)
		}
	})
	t.Run("a response may count its own request", func(t *testing.T) {
		for _, count := range []int{3, 4} {
			fixture := newRunningOn(t)
			running, _ := fixture.fill()
			fixture.now = fixture.now.Add(20 * time.Millisecond)
			fixture.cancel(running[0])
			fixture.now = fixture.now.Add(30 * time.Millisecond)
			fixture.report(running[1], fixture.now.Add(-50*time.Millisecond), count)
			fixture.checkHeld(1)
		}
	})
	t.Run("a probe shows whether a cancelled run goes on", func(t *testing.T) {
		fixture := newRunningOn(t)
		fixture.gate.Update(admit.SlownessReported{At: fixture.now, Slowness: 1})
		running, _ := fixture.fill()
		effects := fixture.cancel(running[0])
		is.New(t).True(slices.ContainsFunc(effects, func(effect admit.Effect) bool { return effect == admit.CheckAfter{After: transit} }))
		probes := func(effects []admit.Effect) bool {
			return slices.Contains(effects, admit.Effect(admit.MeasureLoad{}))
		}
		is.New(t).True(!probes(fixture.pass(transit / 2)))
		is.New(t).True(probes(fixture.pass(transit / 2)))
	})
}

// reportingUpstream is an upstream behind a gate, in virtual time. It runs requests for
// serviceTime and reports its load in responses and in those to probes.
type reportingUpstream struct {
	t             *rapid.T
	gate          *admit.Gate
	now           time.Time
	runsCancelled bool
	countsItself  bool
	serviceTime   time.Duration
	// there and back are how long requests and cancellations, and responses take.
	there, back time.Duration
	events      []timedEvent
	running     map[uint64]bool
	cancelled   map[uint64]bool
	handedOver  map[uint64]bool
	lastID      uint64
	probing     bool
	highest     int
	// lastCancelledAt is when the last request was cancelled.
	lastCancelledAt time.Time
}

type timedEvent struct {
	at time.Time
	do func()
}

func (upstream *reportingUpstream) after(delay time.Duration, do func()) {
	at := upstream.now.Add(delay)
	index, _ := slices.BinarySearchFunc(upstream.events, at, func(event timedEvent, at time.Time) int {
		if event.at.After(at) {
			return 1
		}
		return -1
	})
	upstream.events = slices.Insert(upstream.events, index, timedEvent{at, do})
}

func (upstream *reportingUpstream) runFor(length time.Duration, check func()) {
	end := upstream.now.Add(length)
	for len(upstream.events) > 0 && !upstream.events[0].at.After(end) {
		next := upstream.events[0]
		upstream.events = upstream.events[1:]
		upstream.now = next.at
		next.do()
		check()
	}
	upstream.now = end
}

func (upstream *reportingUpstream) update(event admit.Event) {
	for _, effect := range upstream.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.HandOver:
			upstream.handedOver[effect.ID] = true
			upstream.after(upstream.there, func() { upstream.start(effect.ID, upstream.now.Add(-upstream.there)) })
		case admit.MeasureSlowness, admit.MeasureLoad:
			upstream.probe()
		case admit.CheckAfter:
			upstream.after(effect.After, func() { upstream.update(admit.CheckDue{At: upstream.now}) })
		}
	}
}

func (upstream *reportingUpstream) tick() {
	upstream.update(admit.Ticked{At: upstream.now})
	upstream.after(50*time.Millisecond, upstream.tick)
}

func (upstream *reportingUpstream) start(id uint64, handedOverAt time.Time) {
	upstream.running[id] = true
	upstream.after(upstream.serviceTime, func() {
		if !upstream.running[id] {
			return
		}
		count := len(upstream.running)
		delete(upstream.running, id)
		if !upstream.countsItself {
			count--
		}
		upstream.after(upstream.back, func() {
			if upstream.cancelled[id] {
				return
			}
			delete(upstream.handedOver, id)
			upstream.update(admit.LoadReported{At: upstream.now, From: handedOverAt, ID: id, Running: count})
			upstream.update(admit.Finished{ID: id, At: upstream.now})
		})
	})
}

func (upstream *reportingUpstream) probe() {
	sentAt := upstream.now
	upstream.after(upstream.there, func() {
		count := len(upstream.running)
		upstream.after(upstream.back, func() {
			upstream.update(admit.SlownessReported{At: upstream.now, Slowness: 1})
			upstream.update(admit.LoadReported{At: upstream.now, From: sentAt, Running: count})
		})
	})
}

func (upstream *reportingUpstream) arrive() {
	upstream.lastID++
	upstream.update(admit.Arrived{ID: upstream.lastID, At: upstream.now, Deadline: upstream.now.Add(time.Minute)})
}

func (upstream *reportingUpstream) cancel(id uint64) {
	if !upstream.handedOver[id] {
		return
	}
	delete(upstream.handedOver, id)
	upstream.cancelled[id] = true
	upstream.lastCancelledAt = upstream.now
	if !upstream.runsCancelled {
		upstream.after(upstream.there, func() { delete(upstream.running, id) })
	}
	upstream.update(admit.Finished{ID: id, At: upstream.now, Failed: true, Cancelled: true})
}

func newReportingUpstream(t *rapid.T, runsCancelled bool, serviceTime time.Duration) *reportingUpstream {
	draw := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	upstream := &reportingUpstream{
		t: t, now: time.Unix(1000, 0), runsCancelled: runsCancelled, countsItself: rapid.Bool().Draw(t, "countsItself"),
		serviceTime: serviceTime, there: draw(0, 9, "there"), back: draw(0, 9, "back"),
		running: map[uint64]bool{}, cancelled: map[uint64]bool{}, handedOver: map[uint64]bool{},
		gate: &admit.Gate{Slots: rapid.IntRange(2, 10).Draw(t, "slots"), QueueBound: 20, Headroom: 0.2, MaxSlownessAge: 100 * time.Millisecond, HoldCancelledRuns: true},
	}
	upstream.update(admit.SlownessReported{At: upstream.now, Slowness: 1})
	upstream.arrive()
	upstream.runFor(5*time.Second, func() {})
	upstream.tick()
	upstream.arrive()
	upstream.runFor(20*time.Millisecond, func() {})
	upstream.cancel(upstream.lastID)
	upstream.runFor(10*time.Second, func() {}) // the gate finds out whether it runs on
	return upstream
}

// load lets requests arrive and cancels some of them.
func (upstream *reportingUpstream) load(check func()) {
	for range rapid.IntRange(1, 40).Draw(upstream.t, "steps") {
		for range rapid.IntRange(0, 3).Draw(upstream.t, "arrivals") {
			upstream.arrive()
		}
		if rapid.Bool().Draw(upstream.t, "cancels") {
			upstream.cancel(rapid.Uint64Range(1, upstream.lastID).Draw(upstream.t, "cancelled"))
		}
		upstream.runFor(time.Duration(rapid.IntRange(0, 100).Draw(upstream.t, "pause"))*time.Millisecond, check)
	}
}

// TestRunsPlusCancelledRuns guards against an upstream that gets more than the slots without
// the headroom, because a report was misread while requests, cancellations and responses were
// under way.
func TestRunsPlusCancelledRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstream := newReportingUpstream(t, true, time.Duration(rapid.IntRange(60, 300).Draw(t, "serviceTime"))*time.Millisecond)
		capacity := upstream.gate.Load().Slots
		upstream.load(func() {
			if len(upstream.running) > capacity {
				t.Fatalf("%d requests run, %d may", len(upstream.running), capacity)
			}
		})
	})
}

// TestDroppedRuns guards against capacity that is lost at an upstream that drops cancelled
// requests: a slot is held for no longer than it takes to ask the upstream.
func TestDroppedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstream := newReportingUpstream(t, false, 3*time.Second)
		held := func() int { return upstream.gate.LoadForClass(upstream.now, "").CancelledRuns }
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			upstream.load(func() {})
			// While requests arrive all the time, a report may leave it open.
			upstream.runFor(200*time.Millisecond, func() {})
			if held() > 0 {
				t.Fatalf("%d slots are held %s after the last cancellation", held(), upstream.now.Sub(upstream.lastCancelledAt))
			}
		}
	})
}

// TestCancellationsWithoutLoad guards against any change to upstreams that report no load: a
// cancelled request is like one that has failed.
func TestCancellationsWithoutLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, bound := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "bound")
		gate := &cancellingGate{gate: admit.Gate{Slots: slots, QueueBound: bound, MaxSlownessAge: 100 * time.Millisecond, HoldCancelledRuns: true}, cancelled: true}
		other := &cancellingGate{gate: admit.Gate{Slots: slots, QueueBound: bound, MaxSlownessAge: 100 * time.Millisecond, HoldCancelledRuns: true}}
		now := time.Unix(1_800_000_000, 0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			id := rapid.Uint64Range(1, uint64(step+1)).Draw(t, "id")
			var event admit.Event
			switch rapid.SampledFrom([]string{"arrive", "arrive", "cancel", "finish", "tick"}).Draw(t, "event") {
			case "arrive":
				event = admit.Arrived{ID: uint64(step + 1), At: now, Deadline: now.Add(5 * time.Second)}
			case "cancel":
				event = admit.Finished{ID: id, At: now, Failed: true, Cancelled: true}
			case "finish":
				event = admit.Finished{ID: id, At: now}
			default:
				event = admit.Ticked{At: now}
			}
			compareEffects(t, gate.update(event), other.update(event))
		}
	})
}

// cancellingGate is a gate that is told of cancellations, or else of failures.
type cancellingGate struct {
	gate      admit.Gate
	cancelled bool
}

func (cancellingGate *cancellingGate) update(event admit.Event) []admit.Effect {
	if finished, is := event.(admit.Finished); is {
		finished.Cancelled = finished.Cancelled && cancellingGate.cancelled
		event = finished
	}
	return cancellingGate.gate.Update(event)
}
