package route

import (
	"math"
	"slices"
	"sync"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
)

// Distance is the price of the way to a daemon.
type Distance struct {
	Link time.Duration
	Cost float64
	// SecondsPerByte is the time that a byte of an answer on the way is worth.
	SecondsPerByte float64
}

// Book keeps what one daemon knows of the targets of one service. Its methods
// may be called by many goroutines.
type Book struct {
	mutex   sync.Mutex
	targets map[string]*knowledge
	classes map[string]Class
	// usualLoad and usualSlowness are running means of what all targets have
	// reported: their share of busy slots, and how slow they were.
	usualLoad     float64
	usualSlowness float64
	// latency and deviation are the running mean of all answers and of their
	// distance from it, in seconds; they set the time of a hedge.
	latency   float64
	deviation float64
}

// knowledge is what is known of one target.
type knowledge struct {
	// pending are the starts of what this daemon has in flight there.
	pending      []time.Time
	load         admit.Load
	reported     time.Time
	latency      float64
	answered     time.Time
	failing      float64
	failed       time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	// slowness is the one that is judged, as of the time of the judgement.
	slowness float64
	judged   time.Time
}

// Weights and times of the running means.
const (
	latencyWeight   = 0.2
	failingWeight   = 0.3
	failingHalfLife = time.Second
	// latencyHalfLife is the time in which a target's latency loses half its
	// weight against the service's mean, so that it is tried again soon after
	// a short trouble.
	latencyHalfLife = 300 * time.Millisecond
	// drainMemory is how long a gate's word that it takes nothing counts: it
	// may have got another upstream, and its record tells of a real drain.
	drainMemory = time.Second
	// maxEjections bounds the doubling of the time of an ejection.
	maxEjections = 5
	// hedgeDeviations is how many mean deviations above the mean an answer is
	// late enough for a hedge.
	hedgeDeviations = 3
	minHedgeDelay   = 2 * time.Millisecond
)

// Started notes a request sent to a target.
func (book *Book) Started(id string, at time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	target := book.of(id)
	target.pending = append(target.pending, at)
}

// Ended notes that a request that was sent to a target at a time is over,
// whatever its end.
func (book *Book) Ended(id string, started time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	target := book.of(id)
	index := slices.IndexFunc(target.pending, started.Equal)
	if index >= 0 {
		target.pending = slices.Delete(target.pending, index, index+1)
	}
}

// Reported notes the load that a target's gate sent along.
func (book *Book) Reported(id string, at time.Time, load admit.Load) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	target := book.of(id)
	target.load = load
	target.reported = at
	if load.Slowness > 0 {
		book.usualSlowness = meanOf(book.usualSlowness, load.Slowness)
	}
	if load.Slots > 0 {
		book.usualLoad = meanOf(book.usualLoad, float64(load.Running+load.Queued)/float64(load.Slots))
	}
}

// usualWeight is the part that one report has in the running means.
const usualWeight = 0.02

func meanOf(old, fresh float64) float64 {
	if old == 0 {
		return fresh
	}
	return old + (fresh-old)*usualWeight
}

// Usual returns the running means of what targets have reported: their share
// of busy slots, and how slow they were.
func (book *Book) Usual() (load, slowness float64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.usualLoad, max(1, book.usualSlowness)
}

// Answered notes an answer of a target and the time to its start, with the
// link taken off.
func (book *Book) Answered(id string, at time.Time, took time.Duration) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	target := book.of(id)
	seconds := max(0, took.Seconds())
	if target.latency == 0 {
		target.latency = seconds
	}
	target.latency += (seconds - target.latency) * latencyWeight
	target.answered = at
	target.failing = decayed(target.failing, at.Sub(target.failed)) * (1 - failingWeight)
	target.failed = at
	target.failures = 0
	target.ejections = 0
	book.learn(seconds)
}

// Waited notes that a target has not answered for a time. It counts only
// against the target, and only if it is longer than its answers have taken.
func (book *Book) Waited(id string, at time.Time, took time.Duration) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	target := book.of(id)
	if seconds := took.Seconds(); seconds > target.latency {
		target.latency += (seconds - target.latency) * latencyWeight
		target.answered = at
	}
}

// learn takes one more answer into the running means of the service.
func (book *Book) learn(seconds float64) {
	if book.latency == 0 {
		book.latency = seconds
	}
	distance := math.Abs(seconds - book.latency)
	book.latency += (seconds - book.latency) / 16
	book.deviation += (distance - book.deviation) / 16
}

// Failed notes a failure of a target: a lost connection, a crash, or an answer
// that says that the server has failed.
func (book *Book) Failed(id string, at time.Time, ejection profile.Ejection) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	target := book.of(id)
	target.failing = decayed(target.failing, at.Sub(target.failed))*(1-failingWeight) + failingWeight
	target.failed = at
	target.failures++
	if target.failures < ejection.ConsecutiveFailures || at.Before(target.ejectedUntil) {
		return
	}
	target.ejectedUntil = at.Add(time.Duration(ejection.BaseTime) << min(target.ejections, maxEjections))
	target.ejections++
}

func (book *Book) of(id string) *knowledge {
	if book.targets == nil {
		book.targets = map[string]*knowledge{}
	}
	target, known := book.targets[id]
	if !known {
		target = &knowledge{}
		book.targets[id] = target
	}
	return target
}

func decayed(value float64, age time.Duration) float64 {
	return value * math.Exp2(-float64(age)/float64(failingHalfLife))
}

// HedgeDelay is how long to wait for an answer before a second target is
// asked as well.
func (book *Book) HedgeDelay() time.Duration {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	delay := time.Duration((book.latency + hedgeDeviations*book.deviation) * float64(time.Second))
	return max(delay, minHedgeDelay)
}

// Candidates describes the members that a request may go to at a time.
func (book *Book) Candidates(at time.Time, rules profile.Profile, members []kernel.Member, distance func(kernel.Member) Distance) []Candidate {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	candidates := make([]Candidate, 0, len(members))
	ejected := 0
	for _, member := range members {
		way := distance(member)
		candidate := book.candidate(at, member.ID)
		candidate.Link = way.Link
		candidate.Cost = way.Cost
		candidate.SecondsPerByte = way.SecondsPerByte
		candidate.Warmth = warmth(at, member.Target.StartedAt, time.Duration(rules.SlowStart))
		if candidate.Load.Slots == 0 {
			candidate.Load.Slots = member.Target.Slots
		}
		if candidate.Ejected {
			ejected++
		}
		candidates = append(candidates, candidate)
	}
	if float64(ejected) > rules.Ejection.MaxFraction*float64(len(candidates)) {
		readmit(candidates)
	}
	return candidates
}

// readmit ends the ejections when there are too many: then the fault is more
// likely to be elsewhere, and a service is never left without targets.
func readmit(candidates []Candidate) {
	for index := range candidates {
		candidates[index].Ejected = false
	}
}

func (book *Book) candidate(at time.Time, id string) Candidate {
	target := book.of(id)
	candidate := Candidate{
		ID:       id,
		InFlight: len(target.pending),
		Load:     target.load,
		Age:      at.Sub(target.reported),
		Known:    !target.reported.IsZero(),
		Failing:  decayed(target.failing, at.Sub(target.failed)),
		Ejected:  at.Before(target.ejectedUntil),
	}
	if candidate.Age > drainMemory {
		candidate.Load.Draining = false
	}
	fresh := math.Exp2(-float64(at.Sub(target.answered)) / float64(latencyHalfLife))
	seconds := target.latency*fresh + book.latency*(1-fresh)
	candidate.Latency = time.Duration(seconds * float64(time.Second))
	if len(target.pending) > 0 {
		candidate.Oldest = at.Sub(target.pending[0])
	}
	return candidate
}

// warmth is how much of its share a target gets that started at since, in Unix
// milliseconds.
func warmth(at time.Time, since int64, slowStart time.Duration) float64 {
	if since == 0 || slowStart == 0 {
		return 1
	}
	age := at.Sub(time.UnixMilli(since))
	return min(1, max(0, float64(age)/float64(slowStart)))
}
