// Package matrix brings about every fault at every step of a request, of a
// change of configuration and of a daemon's life, on kernels and state machines
// joined by fakes, and checks the promises after each.
//
// # Usage
//
//	for _, cell := range matrix.Requests() {
//		if fault := cell.Run(); fault != "" {
//			fmt.Println(cell.Name(), fault)
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

// Shape and times of the world of a cell.
const (
	daemons     = 6
	regions     = 2
	slots       = 1
	queueBound  = 8
	serviceTime = 20 * time.Millisecond
	deadline    = 3 * time.Second
	// resetTime is how long a connection takes to notice that its peer has
	// died, and silenceTime one whose link is cut.
	resetTime   = 5 * time.Millisecond
	silenceTime = 2 * time.Second
	warmUp      = 6 * time.Second
)

// server is an upstream with its gate.
type server struct {
	node    *fleet.Node
	gate    admit.Gate
	dead    bool
	slow    bool
	failing bool
	// parties are the requests at the gate by the gate's numbers.
	parties map[uint64]*party
	next    uint64
}

// party is an attempt at its gate.
type party struct {
	exchange *exchange
	attempt  int
	running  bool
	over     bool
}

// world is a fleet with traffic.
type world struct {
	fleet   *fleet.Fleet
	names   []string
	servers map[string]*server
	runs    map[string][]string
	ran     map[string]bool
	token   uint64
	// reached is called when the request under test reaches a step.
	reached func(step Step, exchange *exchange)
}

func newWorld(seed uint64) *world {
	world := &world{
		fleet: fleet.New(seed), servers: map[string]*server{},
		runs: map[string][]string{}, ran: map[string]bool{}, reached: func(Step, *exchange) {},
	}
	for number := range daemons {
		name := fmt.Sprintf("d%d", number)
		world.names = append(world.names, name)
		world.start(name)
	}
	world.fleet.Run(warmUp)
	return world
}

// settingsOf places the daemons in two regions in turn; the platform is in the
// first.
func settingsOf(name string) kernel.Settings {
	region := "east"
	if (name[1]-'0')%regions == 1 {
		region = "west"
	}
	return kernel.Settings{
		Self: name, Region: region, DataCentre: region + "a", PeerAddress: name,
		FirstPeers: []string{"d0", "d1", "d2"}, PlatformRegion: "east", ClaimPartitions: 1,
	}
}

// start starts a daemon, or starts it again, with a gate that knows nothing.
func (world *world) start(name string) {
	node := world.fleet.Add(settingsOf(name))
	server := &server{
		node:    node,
		gate:    admit.Gate{Slots: slots, QueueBound: queueBound},
		parties: map[uint64]*party{},
	}
	world.servers[name] = server
	world.fleet.Tell(name, kernel.UpstreamAnnounced{Target: kernel.Target{
		Service: "intake", Slots: slots, State: kernel.TargetServing, StartedAt: world.fleet.Now.UnixMilli(),
	}})
	world.tick(server)
}

// tick lets the gate's expiries happen while its daemon lives.
func (world *world) tick(server *server) {
	world.fleet.At(server.node, 100*time.Millisecond, func() {
		world.apply(server, admit.Ticked{At: world.fleet.Now})
		world.tick(server)
	})
}

// apply gives a gate an event and carries its effects out.
func (world *world) apply(server *server, event admit.Event) {
	for _, effect := range server.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.Grant:
			world.answer(server, effect.ID, func(exchange *exchange, attempt int) { exchange.granted(attempt) })
		case admit.Refuse:
			world.refuse(server, effect)
		case admit.HandOver:
			world.handOver(server, effect.ID)
		}
	}
}

func (world *world) refuse(server *server, refuse admit.Refuse) {
	party, known := server.parties[refuse.ID]
	if !known || party.over {
		return
	}
	party.over = true
	world.answer(server, refuse.ID, func(exchange *exchange, attempt int) {
		exchange.refused(attempt, refuse.RetryAfter)
	})
}

// answer carries a gate's word to the entry of an attempt.
func (world *world) answer(server *server, id uint64, word func(*exchange, int)) {
	party, known := server.parties[id]
	if !known {
		return
	}
	world.carry(server.node, party.exchange.node, func() { word(party.exchange, party.attempt) })
}

// carry takes a message from one daemon to another, unless the link is cut.
func (world *world) carry(from, to *fleet.Node, arrive func()) {
	if from != to && !world.fleet.Arrives(from, to) {
		return
	}
	world.fleet.At(to, world.fleet.LatencyOf(from, to), arrive)
}

// handOver runs a request on the upstream. One that is known to be down
// refuses the connection, which is proof that nothing was written.
func (world *world) handOver(server *server, id uint64) {
	party := server.parties[id]
	if server.dead {
		world.fleet.At(server.node, time.Millisecond, func() {
			world.refuse(server, admit.Refuse{ID: id, RetryAfter: time.Second})
			world.apply(server, admit.Finished{ID: id, At: world.fleet.Now, Failed: true})
		})
		return
	}
	party.running = true
	world.note(party.exchange)
	world.reached(StepHandedOver, party.exchange)
	took := serviceTime
	if server.slow {
		took = 10 * deadline
	}
	if server.failing {
		took = time.Millisecond
	}
	world.fleet.At(server.node, took, func() { world.finish(server, id) })
}

// note counts a run of a request: this is what really happens.
func (world *world) note(exchange *exchange) {
	world.ran[exchange.request] = true
	world.runs[exchange.key] = append(world.runs[exchange.key], exchange.request)
}

func (world *world) finish(server *server, id uint64) {
	party := server.parties[id]
	if !party.running {
		return
	}
	party.running = false
	party.over = true
	world.apply(server, admit.Finished{ID: id, At: world.fleet.Now})
	world.reached(StepMidAnswer, party.exchange)
	world.answer(server, id, func(exchange *exchange, attempt int) { exchange.answered(attempt, server.failing) })
}

// killUpstream ends an upstream: what ran on it is lost.
func (world *world) killUpstream(server *server) {
	server.dead = true
	for id, party := range server.parties {
		if !party.running {
			continue
		}
		party.running = false
		party.over = true
		world.fleet.At(server.node, time.Millisecond, func() {
			world.apply(server, admit.Finished{ID: id, At: world.fleet.Now, Failed: true})
			world.answer(server, id, func(exchange *exchange, attempt int) { exchange.lost(attempt, true) })
		})
	}
}

// admit puts an attempt before a gate.
func (world *world) admit(server *server, exchange *exchange, attempt int, reserve bool) {
	server.next++
	id := server.next
	server.parties[id] = &party{exchange: exchange, attempt: attempt}
	exchange.places[attempt] = id
	world.apply(server, admit.Arrived{
		ID: id, At: world.fleet.Now, Deadline: exchange.deadline, Reserve: reserve,
	})
	if server.gate.Load().Queued > 0 && !server.parties[id].over {
		world.reached(StepQueued, exchange)
	}
}
