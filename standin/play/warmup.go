package play

import (
	"time"

	"ibislift/core/admit"
	"ibislift/core/route"
)

// heartbeatInterval is the time between two heartbeats of a target.
const heartbeatInterval = 500 * time.Millisecond

// coldCounter counts what a target gets while it is cold.
type coldCounter struct {
	// arrivals holds the times of the requests and health probes of the last second.
	arrivals []time.Time
	// aboveBound counts those above the bound.
	aboveBound int
}

// coldUntil returns when the target ceases to be cold.
func (upstream *upstreamModel) coldUntil() time.Time {
	return upstream.startedAt.Add(seconds(upstream.service.WarmupSeconds))
}

// countCold counts a request or a health probe if the target is cold.
func (upstream *upstreamModel) countCold() {
	now, service := upstream.clock.now, upstream.service
	if service.WarmupPerSecond <= 0 || upstream.down || !now.Before(upstream.coldUntil()) {
		return
	}
	counter := &upstream.cold
	for len(counter.arrivals) > 0 && now.Sub(counter.arrivals[0]) > time.Second {
		counter.arrivals = counter.arrivals[1:]
	}
	counter.arrivals = append(counter.arrivals, now)
	if float64(len(counter.arrivals)) > service.WarmupPerSecond*service.WarmupOvershoot+service.WarmupSlack {
		counter.aboveBound++
	}
}

// warmup returns what an ingress knows of the warm-up of the service's targets.
func (service *Service) warmup() route.Warmup {
	return route.Warmup{PerSecond: service.WarmupPerSecond, Time: seconds(service.WarmupSeconds)}
}

// receiveHeartbeat passes a heartbeat of the target to the gate, unless it is down.
func (daemon *daemon) receiveHeartbeat() {
	now, upstream := daemon.simulation.clock.now, daemon.upstream
	if upstream.down || upstream.service.WarmupPerSecond <= 0 {
		return
	}
	daemon.update(admit.UpstreamStarted{At: now, StartedAt: upstream.startedAt.UnixMilli()})
	daemon.update(admit.WarmupReported{At: now, Left: max(0, upstream.coldUntil().Sub(now))})
}

// sendHeartbeats sets the warm-up limit of the gate and starts the heartbeats.
func (daemon *daemon) sendHeartbeats() {
	service := daemon.upstream.service
	if service.WarmupPerSecond <= 0 {
		return
	}
	limit := admit.NewWarmupLimit(service.WarmupPerSecond, service.WarmupOvershoot, service.WarmupSlack, seconds(service.WarmupSeconds))
	daemon.update(admit.WarmupLimitSet{At: daemon.simulation.clock.now, Limit: limit})
	var beat func()
	beat = func() {
		daemon.receiveHeartbeat()
		daemon.simulation.clock.runAfter(heartbeatInterval, beat)
	}
	beat()
}
