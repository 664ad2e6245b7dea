package play

import (
	"math"
	"time"
)

// request follows one request of a caller through its first attempt and all
// retries.
type request struct {
	simulation  *simulation
	class       *Class
	workspace   *workspace
	zone        *Zone
	startedAt   time.Time
	attempts    int
	maxRetries  int
	impatient   bool
	leavesEarly bool
	finished    bool
	// refused is set if the last attempt was refused.
	refused bool
	// previous is the request that was sent before this one on the same
	// connection. Its response must arrive first. onFinish holds the functions
	// to call when this request has finished.
	previous *request
	onFinish []func()
	current  *exchange
}

// retryPause is how long a caller waits after a failure before it retries a
// repeatable request.
const retryPause = 50 * time.Millisecond

// scheduleRequests schedules the requests of a zone's callers for the length of
// the scenario.
func (simulation *simulation) scheduleRequests(zone *Zone) {
	if zone.RequestsPerSecond <= 0 {
		return
	}
	batchSize := max(1, zone.MeanBatchSize)
	maxRate := zone.RequestsPerSecond * (1 + zone.Amplitude) / batchSize
	interval := seconds(simulation.trafficRandom.ExpFloat64() / maxRate)
	simulation.clock.runAfter(interval, func() {
		elapsed := simulation.clock.now.Sub(simulation.startedAt).Seconds()
		if elapsed >= simulation.scenario.Seconds {
			return
		}
		rateFactor := 1.0
		if zone.PeriodSeconds > 0 {
			rateFactor += zone.Amplitude * math.Sin(2*math.Pi*(elapsed/zone.PeriodSeconds+zone.Phase))
		}
		// Draw these values whatever the faults are, so that simulations with
		// and without faults are comparable.
		keep := simulation.trafficRandom.Float64() < rateFactor/(1+zone.Amplitude)
		count := int(batchSize)
		if simulation.trafficRandom.Float64() < batchSize-float64(count) {
			count++
		}
		burst := max(1, simulation.burstFactors[""]) * max(1, simulation.burstFactors[zone.Name])
		extra := simulation.trafficRandom.Float64() < burst-math.Floor(burst)
		copies := int(burst)
		if extra {
			copies++
		}
		if keep {
			for range copies * count {
				simulation.startRequest(zone)
			}
		}
		simulation.scheduleRequests(zone)
	})
}

// startRequest draws a request and sends it. A pipelined request is queued
// behind the last one of the same caller.
func (simulation *simulation) startRequest(zone *Zone) {
	class, workspace := simulation.drawClass(), simulation.drawWorkspace()
	if class.Keyless {
		workspace = nil
	}
	for range simulation.drawCopies(class, workspace) {
		delay := time.Duration(simulation.trafficRandom.Float64() * float64(surgeSpread))
		simulation.clock.runAfter(delay, func() { simulation.startRequestOf(zone, class, workspace) })
	}
	simulation.startRequestOf(zone, class, workspace)
}

func (simulation *simulation) startRequestOf(zone *Zone, class *Class, workspace *workspace) {
	request := &request{simulation: simulation, class: class, workspace: workspace, zone: zone, startedAt: simulation.clock.now, maxRetries: class.MaxRetries}
	callers := zone.Callers
	if workspace != nil {
		workspace.tally.recordOffered(class)
		callers = int(float64(callers) * workspace.share)
	}
	caller := callerKey{zone, class, workspace, simulation.trafficRandom.IntN(max(1, callers))}
	if class.Pipelined {
		request.previous = simulation.lastRequests[caller]
		simulation.lastRequests[caller] = request
	}
	request.leavesEarly = simulation.trafficRandom.Float64() < simulation.earlyLeaverShare
	request.impatient = simulation.trafficRandom.Float64() < simulation.impatientShare
	if request.impatient {
		request.maxRetries = int(float64(max(1, request.maxRetries)) * simulation.impatientFactor)
	}
	simulation.tally(class).Offered++
	simulation.report.recordOffered(simulation.clock.now.Sub(simulation.startedAt))
	if request.leavesEarly {
		simulation.clock.runAfter(milliseconds(class.Objective/2), request.abandon)
	}
	request.sendAttempt()
}

// callerKey identifies a caller's connection for a class of requests.
type callerKey struct {
	zone      *Zone
	class     *Class
	workspace *workspace
	number    int
}

// drawClass draws the class of a request in proportion to the weights.
func (simulation *simulation) drawClass() *Class {
	total := 0.0
	for index := range simulation.scenario.Classes {
		total += simulation.scenario.Classes[index].Weight
	}
	drawn := simulation.trafficRandom.Float64() * total
	for index := range simulation.scenario.Classes {
		class := &simulation.scenario.Classes[index]
		if drawn -= class.Weight; drawn < 0 && class.Weight > 0 {
			return class
		}
	}
	return &simulation.scenario.Classes[0]
}

// sendAttempt sends the request to a daemon of the zone, or of the next zone if
// a shift fault has moved the caller.
func (request *request) sendAttempt() {
	simulation := request.simulation
	request.attempts++
	if request.attempts > 1 {
		simulation.tally(request.class).CallerRetries++
		if request.refused {
			simulation.tally(request.class).CameBack++
		}
	}
	zone := request.zone
	if simulation.modelRandom.Float64() < max(simulation.shiftedShares[""], simulation.shiftedShares[zone.Name]) {
		zone = simulation.nextZone(zone)
	}
	ingress := simulation.drawIngress(zone)
	remaining := milliseconds(request.class.Deadline) - simulation.clock.now.Sub(request.startedAt)
	latency := milliseconds(simulation.scenario.Links.Caller)
	simulation.clock.runAfter(latency+ingress.addedTime, func() {
		if request.finished {
			return
		}
		request.current = simulation.startExchange(ingress, request.class, request.workspace, remaining, func(response response) {
			simulation.clock.runAfter(ingress.addedTime+latency, func() { request.runInOrder(func() { request.receive(response) }) })
		})
	})
}

// runInOrder calls a function once the previous request on the connection has
// finished.
func (request *request) runInOrder(do func()) {
	if request.previous == nil || request.previous.finished {
		request.previous = nil
		do()
		return
	}
	request.previous.onFinish = append(request.previous.onFinish, do)
}

// receive processes a response. It retries the request if that is allowed and
// the deadline leaves time for it.
func (request *request) receive(response response) {
	if request.finished {
		return
	}
	simulation, class := request.simulation, request.class
	now := simulation.clock.now
	if response.succeeded {
		elapsed := now.Sub(request.startedAt)
		if elapsed > milliseconds(class.Deadline) {
			simulation.recordWastedWork(response.run)
			simulation.tally(class).Failed++
			request.finish()
			return
		}
		simulation.tally(class).recordResponse(elapsed, class, class.Value)
		if request.workspace != nil {
			request.workspace.tally.recordResponse(elapsed, class)
		}
		simulation.report.recordResponse(request.startedAt.Sub(simulation.startedAt), elapsed, elapsed <= milliseconds(class.Objective))
		request.finish()
		return
	}
	if response.refused && request.refused {
		simulation.tally(class).RefusedAgain++
	}
	request.refused = response.refused
	wait := retryPause
	if response.refused {
		wait = response.retryAfter
	}
	if request.impatient {
		wait = time.Millisecond
	}
	retry := response.refused || class.Repeatable
	if retry && request.attempts <= request.maxRetries && now.Add(wait).Before(request.startedAt.Add(milliseconds(class.Deadline))) {
		simulation.clock.runAfter(wait, func() {
			if !request.finished {
				request.sendAttempt()
			}
		})
		return
	}
	if response.refused {
		simulation.tally(class).Refused++
	} else {
		simulation.tally(class).Failed++
	}
	request.finish()
}

// abandon ends the request before its response has arrived.
func (request *request) abandon() {
	if request.finished {
		return
	}
	request.simulation.tally(request.class).LeftEarly++
	request.finish()
	if request.current != nil {
		request.current.recordCallerLeft()
	}
}

func (request *request) finish() {
	request.finished = true
	for _, do := range request.onFinish {
		do()
	}
	request.onFinish = nil
}

func (simulation *simulation) nextZone(zone *Zone) *Zone {
	for index := range simulation.scenario.Zones {
		if &simulation.scenario.Zones[index] == zone {
			return &simulation.scenario.Zones[(index+1)%len(simulation.scenario.Zones)]
		}
	}
	return zone
}

// drawIngress draws a daemon of the zone that is in service, or any daemon if the zone has
// none.
func (simulation *simulation) drawIngress(zone *Zone) *daemon {
	var candidates []*daemon
	for _, daemon := range simulation.daemons {
		if daemon.zone == zone {
			candidates = append(candidates, daemon)
		}
	}
	if len(candidates) == 0 {
		candidates = simulation.daemons
	}
	candidates = inService(candidates)
	return candidates[simulation.modelRandom.IntN(len(candidates))]
}
