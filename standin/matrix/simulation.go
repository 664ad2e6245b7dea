// Package matrix injects every fault at every step of a request, of a
// configuration change and of the life of a daemon, and then checks what the
// load balancer guarantees. It runs the kernels, gates and call state machines
// in virtual time, with fakes for the network, the upstreams and the platform.
//
// # Usage
//
//	for _, cell := range matrix.RequestCells() {
//		if violation := cell.Run(); violation != "" {
//			fmt.Println(cell.Name(), violation)
//		}
//	}
package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// The size and the timing of the simulated fleet.
const (
	daemons     = 6
	regions     = 2
	slots       = 1
	queueBound  = 8
	serviceTime = 20 * time.Millisecond
	deadline    = 3 * time.Second
	// resetDelay is the time until an ingress detects that the daemon of a gate
	// has died, silenceTimeout the time until it detects that the link is cut.
	resetDelay     = 5 * time.Millisecond
	silenceTimeout = 2 * time.Second
	warmUp         = 6 * time.Second
)

// server is a daemon with its gate and its upstream.
type server struct {
	node    *fleet.Node
	gate    admit.Gate
	dead    bool
	slow    bool
	failing bool
	// admissions holds the attempts that arrived at the gate, by their IDs there.
	admissions map[uint64]*admission
	nextID     uint64
}

// admission is an attempt that arrived at a gate.
type admission struct {
	exchange *exchange
	attempt  int
	running  bool
	done     bool
}

// simulation is a fleet with gates, upstreams and requests. It records which
// requests the upstreams executed.
type simulation struct {
	fleet     *fleet.Fleet
	names     []string
	servers   map[string]*server
	runsByKey map[string][]string
	executed  map[string]bool
	token     uint64
	// onStep is called when a request reaches a step.
	onStep func(step Step, exchange *exchange)
}

func newSimulation(seed uint64) *simulation {
	simulation := &simulation{
		fleet: fleet.New(seed), servers: map[string]*server{},
		runsByKey: map[string][]string{}, executed: map[string]bool{}, onStep: func(Step, *exchange) {},
	}
	for number := range daemons {
		name := fmt.Sprintf("d%d", number)
		simulation.names = append(simulation.names, name)
		simulation.startDaemon(name)
	}
	simulation.fleet.Run(warmUp)
	return simulation
}

// daemonSettings places the daemons in two regions in turn. The platform is in
// the first region.
func daemonSettings(name string) kernel.Settings {
	region := "east"
	if (name[1]-'0')%regions == 1 {
		region = "west"
	}
	return kernel.Settings{
		Self: name, Region: region, DataCentre: region + "a", PeerAddress: name,
		FirstPeers: []string{"d0", "d1", "d2"}, PlatformRegion: "east", ClaimPartitions: 1,
	}
}

// startDaemon starts or restarts a daemon, with an empty gate.
func (simulation *simulation) startDaemon(name string) {
	node := simulation.fleet.Add(daemonSettings(name))
	server := &server{
		node:       node,
		gate:       admit.Gate{Slots: slots, QueueBound: queueBound},
		admissions: map[uint64]*admission{},
	}
	simulation.servers[name] = server
	simulation.fleet.Deliver(name, kernel.UpstreamAnnounced{Target: kernel.Target{
		Service: "intake", Slots: slots, State: kernel.TargetServing, StartedAt: simulation.fleet.Now.UnixMilli(),
	}})
	simulation.scheduleTick(server)
}

// scheduleTick ticks the gate regularly until its daemon stops, so that the
// timeouts of the gate take effect.
func (simulation *simulation) scheduleTick(server *server) {
	simulation.fleet.ScheduleOn(server.node, 100*time.Millisecond, func() {
		simulation.apply(server, admit.Ticked{At: simulation.fleet.Now})
		simulation.scheduleTick(server)
	})
}

// apply passes an event to a gate and performs the effects.
func (simulation *simulation) apply(server *server, event admit.Event) {
	for _, effect := range server.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.Grant:
			simulation.reply(server, effect.ID, func(exchange *exchange, attempt int) { exchange.slotGranted(attempt) })
		case admit.Refuse:
			simulation.refuse(server, effect)
		case admit.HandOver:
			simulation.handOver(server, effect.ID)
		}
	}
}

func (simulation *simulation) refuse(server *server, refuse admit.Refuse) {
	admission, known := server.admissions[refuse.ID]
	if !known || admission.done {
		return
	}
	admission.done = true
	simulation.reply(server, refuse.ID, func(exchange *exchange, attempt int) {
		exchange.attemptRefused(attempt, refuse.RetryAfter)
	})
}

// reply sends a gate's reply about an attempt to the ingress, where handle is
// called.
func (simulation *simulation) reply(server *server, id uint64, handle func(*exchange, int)) {
	admission, known := server.admissions[id]
	if !known {
		return
	}
	simulation.transmit(server.node, admission.exchange.node, func() { handle(admission.exchange, admission.attempt) })
}

// transmit sends a message from one daemon to another, unless the link is cut.
func (simulation *simulation) transmit(from, to *fleet.Node, deliver func()) {
	if from != to && !simulation.fleet.CanReach(from, to) {
		return
	}
	simulation.fleet.ScheduleOn(to, simulation.fleet.LatencyBetween(from, to), deliver)
}

// handOver executes an attempt on the upstream. An upstream that is down refuses
// the connection, which proves that nothing was written to it.
func (simulation *simulation) handOver(server *server, id uint64) {
	admission := server.admissions[id]
	if server.dead {
		simulation.fleet.ScheduleOn(server.node, time.Millisecond, func() {
			simulation.refuse(server, admit.Refuse{ID: id, RetryAfter: time.Second})
			simulation.apply(server, admit.Finished{ID: id, At: simulation.fleet.Now, Failed: true})
		})
		return
	}
	admission.running = true
	simulation.recordRun(admission.exchange)
	simulation.onStep(StepHandedOver, admission.exchange)
	duration := serviceTime
	if server.slow {
		duration = 10 * deadline
	}
	if server.failing {
		duration = time.Millisecond
	}
	simulation.fleet.ScheduleOn(server.node, duration, func() { simulation.finish(server, id) })
}

// recordRun records that an upstream executed a request, whatever the caller and
// the daemons know of it.
func (simulation *simulation) recordRun(exchange *exchange) {
	simulation.executed[exchange.request] = true
	simulation.runsByKey[exchange.key] = append(simulation.runsByKey[exchange.key], exchange.request)
}

func (simulation *simulation) finish(server *server, id uint64) {
	admission := server.admissions[id]
	if !admission.running {
		return
	}
	admission.running = false
	admission.done = true
	simulation.apply(server, admit.Finished{ID: id, At: simulation.fleet.Now})
	simulation.onStep(StepMidResponse, admission.exchange)
	simulation.reply(server, id, func(exchange *exchange, attempt int) { exchange.responseReceived(attempt, server.failing) })
}

// killUpstream stops an upstream. The attempts running on it are lost.
func (simulation *simulation) killUpstream(server *server) {
	server.dead = true
	for id, admission := range server.admissions {
		if !admission.running {
			continue
		}
		admission.running = false
		admission.done = true
		simulation.fleet.ScheduleOn(server.node, time.Millisecond, func() {
			simulation.apply(server, admit.Finished{ID: id, At: simulation.fleet.Now, Failed: true})
			simulation.reply(server, id, func(exchange *exchange, attempt int) { exchange.attemptLost(attempt, true) })
		})
	}
}

// admit passes a new attempt to a gate.
func (simulation *simulation) admit(server *server, exchange *exchange, attempt int, reserve bool) {
	server.nextID++
	id := server.nextID
	server.admissions[id] = &admission{exchange: exchange, attempt: attempt}
	exchange.gateIDs[attempt] = id
	simulation.apply(server, admit.Arrived{
		ID: id, At: simulation.fleet.Now, Deadline: exchange.deadline, Reserve: reserve,
	})
	if server.gate.Load().Queued > 0 && !server.admissions[id].done {
		simulation.onStep(StepQueued, exchange)
	}
}
