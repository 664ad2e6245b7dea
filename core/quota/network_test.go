package quota_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ibislift/core/quota"
)

// network runs the state machines of a fleet in virtual time. Membership is modelled as
// views that change some seconds after a fault, differently at each daemon.
type network struct {
	random   *rand.Rand
	settings quota.Settings
	limits   map[string]quota.Limit
	daemons  []*daemon
	events   events
	now      time.Duration
	order    uint64
	// loss and duplication are probabilities for each datagram.
	loss, duplication float64
	// cut reports whether datagrams from one daemon to another are lost.
	cut func(from, to int) bool
	// transit is the longest time from a decision to the arrival at a target.
	transit time.Duration
	// arrivals holds the times at which requests reach targets, by workspace.
	arrivals         map[string][]time.Duration
	granted, refused map[string]int
	unreachable      map[string]int
	messages         int
	waited           []time.Duration
	lastID           uint64
	requests         map[uint64]pendingRequest
	// central holds one token bucket for each workspace, to compare with.
	central map[string]*centralBucket
	// ignored is a part of the granted tokens that is returned, as for requests refused
	// before they reach a target.
	ignored float64
	// regionless fleets have members without a region.
	regionless bool
}

// centralBucket is a token bucket that all daemons would share.
type centralBucket struct {
	tokens  float64
	at      time.Duration
	granted int
}

// offer counts a request at the central bucket.
func (network *network) offer(workspace string) {
	limit := network.limits[workspace]
	bucket := network.central[workspace]
	if bucket == nil {
		bucket = &centralBucket{tokens: limit.Burst, at: network.now}
		network.central[workspace] = bucket
	}
	bucket.tokens = min(limit.Burst, bucket.tokens+(network.now-bucket.at).Seconds()*limit.Rate)
	bucket.at = network.now
	if bucket.tokens >= 1 {
		bucket.tokens--
		bucket.granted++
	}
}

type pendingRequest struct {
	workspace string
	at        time.Duration
}

type daemon struct {
	index       int
	id          string
	machine     *quota.Quota
	frozenUntil time.Duration
	up          bool
	life        int
	ticking     bool
	// clock is what the clock of the daemon shows more than virtual time. It differs between
	// daemons and processes, and runs on while a daemon is frozen.
	clock time.Duration
	// live is the daemon's view of the others.
	live []bool
	// hidden daemons are not known to the others yet; those that left have stopped in an
	// orderly way.
	hidden, left bool
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	return events[i].at < events[j].at || events[i].at == events[j].at && events[i].order < events[j].order
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(x any)   { *events = append(*events, x.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// regions and delays are those of the deployments that the quotas are designed for.
const (
	regions           = 3
	crossDelay        = 30 * time.Millisecond
	maxInsideDelay    = 1400 * time.Microsecond
	startUp           = 4 * time.Second
	testWindow        = 5 * time.Second
	shortestDetection = 2 * time.Second
	detectionSpread   = 5 * time.Second
)

func newNetwork(seed uint64, size int, limits map[string]quota.Limit) *network {
	network := &network{
		random: rand.New(rand.NewPCG(seed, 1)), limits: limits,
		settings: quota.Settings{Window: testWindow, Overshoot: 0.1, Slack: 20},
		cut:      func(int, int) bool { return false },
		arrivals: map[string][]time.Duration{}, granted: map[string]int{}, refused: map[string]int{}, unreachable: map[string]int{},
		requests: map[uint64]pendingRequest{}, central: map[string]*centralBucket{},
	}
	for index := range size {
		network.daemons = append(network.daemons, &daemon{index: index, id: fmt.Sprintf("d%03d", index), live: make([]bool, size)})
	}
	for _, daemon := range network.daemons {
		for index := range daemon.live {
			daemon.live[index] = true
		}
		network.start(daemon)
	}
	network.run(startUp)
	return network
}

// after schedules a function.
func (network *network) after(delay time.Duration, run func()) {
	network.order++
	heap.Push(&network.events, event{network.now + delay, network.order, run})
}

// run advances virtual time.
func (network *network) run(duration time.Duration) {
	end := network.now + duration
	for len(network.events) > 0 && network.events[0].at <= end {
		next := heap.Pop(&network.events).(event)
		network.now = next.at
		next.run()
	}
	network.now = end
}

// start starts a process of a daemon, which has the view of the others at once.
func (network *network) start(daemon *daemon) {
	daemon.up = true
	daemon.life++
	daemon.clock = time.Duration(network.random.IntN(1000)) * time.Hour
	daemon.machine = &quota.Quota{
		Self: daemon.id, Settings: network.settings,
		FirstSequence: uint64(daemon.life) << 32, StartedAt: network.now + daemon.clock,
	}
	daemon.live[daemon.index] = true
	network.publish(daemon)
}

// publish gives the daemon its view.
func (network *network) publish(daemon *daemon) {
	if !daemon.up {
		return
	}
	var members []quota.Member
	for index, live := range daemon.live {
		if !network.daemons[index].hidden {
			member := quota.Member{ID: network.daemons[index].id, Live: live, Left: network.daemons[index].left}
			if !network.regionless {
				member.Region = fmt.Sprint(index % regions)
			}
			members = append(members, member)
		}
	}
	network.update(daemon, func(at time.Duration) quota.Event {
		return quota.FleetChanged{At: at, Members: members, Limits: network.limits, Joined: true}
	})
}

// update passes an event to a daemon, when it runs again if it is frozen.
func (network *network) update(daemon *daemon, makeEvent func(at time.Duration) quota.Event) {
	if !daemon.up {
		return
	}
	if network.now < daemon.frozenUntil {
		life := daemon.life
		network.after(daemon.frozenUntil-network.now, func() {
			if daemon.life == life {
				network.update(daemon, makeEvent)
			}
		})
		return
	}
	for _, effect := range daemon.machine.Update(makeEvent(network.now + daemon.clock)) {
		switch effect := effect.(type) {
		case quota.Send:
			network.send(daemon, effect)
		case quota.Decide:
			network.decide(daemon, effect)
		}
	}
	if daemon.machine.Active() && !daemon.ticking {
		daemon.ticking = true
		network.tick(daemon, daemon.life)
	}
}

func (network *network) tick(daemon *daemon, life int) {
	network.after(quota.TickInterval, func() {
		daemon.ticking = false
		if daemon.up && daemon.life == life {
			network.update(daemon, func(at time.Duration) quota.Event { return quota.Ticked{At: at} })
		}
	})
}

// send delivers a datagram after a random delay, unless it is lost.
func (network *network) send(from *daemon, send quota.Send) {
	index := slices.IndexFunc(network.daemons, func(daemon *daemon) bool { return daemon.id == send.To })
	to := network.daemons[index]
	network.messages++
	copies := 1
	if network.random.Float64() < network.duplication {
		copies = 2
	}
	for range copies {
		if network.random.Float64() < network.loss || network.cut(from.index, to.index) {
			continue
		}
		delay := time.Duration(network.random.Int64N(int64(maxInsideDelay)))
		if from.index%regions != to.index%regions {
			delay += crossDelay
		}
		if network.duplication > 0 && network.random.IntN(50) == 0 {
			delay += time.Duration(network.random.Int64N(int64(3 * time.Second))) // a late datagram
		}
		network.after(delay, func() {
			if network.cut(from.index, to.index) {
				return
			}
			network.update(to, func(at time.Duration) quota.Event {
				return quota.MessageReceived{At: at, From: from.id, Message: send.Message}
			})
		})
	}
}

// request sends a request of a workspace to a daemon.
func (network *network) request(index int, workspace string) {
	network.lastID++
	id := network.lastID
	network.requests[id] = pendingRequest{workspace, network.now}
	network.offer(workspace)
	network.update(network.daemons[index], func(at time.Duration) quota.Event {
		return quota.TokenWanted{At: at, ID: id, Workspace: workspace, Deadline: at + time.Second}
	})
}

func (network *network) decide(daemon *daemon, decide quota.Decide) {
	request := network.requests[decide.ID]
	delete(network.requests, decide.ID)
	switch decide.Decision.Verdict {
	case quota.Granted:
		if network.random.Float64() < network.ignored {
			network.update(daemon, func(at time.Duration) quota.Event {
				return quota.TokenReturned{At: at, Workspace: request.workspace, Expires: decide.Decision.Expires}
			})
			return
		}
		network.granted[request.workspace]++
		network.waited = append(network.waited, network.now-request.at)
		arrival := network.now
		if network.transit > 0 {
			arrival += time.Duration(network.random.Int64N(int64(network.transit)))
		}
		network.arrivals[request.workspace] = append(network.arrivals[request.workspace], arrival)
	case quota.OverQuota:
		network.refused[request.workspace]++
	case quota.Unreachable:
		network.unreachable[request.workspace]++
	}
}

// load sends requests of a workspace at a rate until a time. at chooses the daemon.
func (network *network) load(workspace string, perSecond float64, until time.Duration, at func() int) {
	delay := time.Duration(network.random.ExpFloat64() / perSecond * float64(time.Second))
	if network.now+delay > until {
		return
	}
	network.after(delay, func() {
		network.request(at(), workspace)
		network.load(workspace, perSecond, until, at)
	})
}

// loadAll sends requests of every workspace at a multiple of its rate for a time.
func (network *network) loadAll(factor float64, duration time.Duration, at func() int) {
	// The order matters for the random numbers, which a seed is to reproduce.
	for _, workspace := range slices.Sorted(maps.Keys(network.limits)) {
		network.load(workspace, network.limits[workspace].Rate*factor, network.now+duration, at)
	}
}

// anywhere chooses a daemon that is up.
func (network *network) anywhere() int {
	for range 100 {
		if index := network.random.IntN(len(network.daemons)); network.daemons[index].up {
			return index
		}
	}
	return 0
}

// kill ends the process of a daemon. The others record that later.
func (network *network) kill(daemon *daemon) {
	daemon.up = false
	daemon.life++
	network.observe(daemon, false)
}

// observe changes the record of a daemon at the others some seconds later, if it still
// applies.
func (network *network) observe(subject *daemon, live bool) {
	life := subject.life
	for _, observer := range network.daemons {
		network.after(network.detection(), func() {
			if subject.life == life && observer != subject {
				observer.live[subject.index] = live
				network.publish(observer)
			}
		})
	}
}

func (network *network) detection() time.Duration {
	return shortestDetection + time.Duration(network.random.Int64N(int64(detectionSpread)))
}

// restartIfUp replaces the process of a daemon that is up.
func (network *network) restartIfUp(daemon *daemon) {
	if daemon.up {
		network.start(daemon)
	}
}

// stop stops a daemon in an orderly way: the others hear of it while it still runs.
func (network *network) stop(daemon *daemon) {
	for _, observer := range network.daemons {
		network.after(time.Duration(network.random.Int64N(int64(200*time.Millisecond))), func() {
			observer.live[daemon.index] = false
			network.publish(observer)
		})
	}
	network.update(daemon, func(at time.Duration) quota.Event { return quota.Stopping{At: at} })
	network.after(time.Second, func() {
		daemon.up, daemon.left = false, true
		daemon.life++
		for _, observer := range network.daemons {
			network.after(time.Duration(network.random.Int64N(int64(time.Second))), func() { network.publish(observer) })
		}
	})
}

// restart starts a daemon that was killed.
func (network *network) restart(daemon *daemon) {
	network.start(daemon)
	network.observe(daemon, true)
}

// worstExcess returns the largest number of requests of a workspace that any window has
// beyond its bound, or a negative number.
func (network *network) worstExcess(workspace string, limit quota.Limit) float64 {
	bound := (limit.Rate*testWindow.Seconds()+limit.Burst)*(1+network.settings.Overshoot) + network.settings.Slack
	times := slices.Sorted(slices.Values(network.arrivals[workspace]))
	worst, first := -bound, 0
	for last := range times {
		for times[last]-times[first] >= testWindow {
			first++
		}
		worst = max(worst, float64(last-first+1)-bound)
	}
	return worst
}
