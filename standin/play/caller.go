package play

import (
	"math"
	"time"
)

// visit is one wish of a caller: the first attempt, and those after refusals.
type visit struct {
	world   *world
	class   *Class
	zone    *Zone
	began   time.Time
	tries   int
	most    int
	hasty   bool
	leaves  bool
	left    bool
	settled bool
	// before is the request that was sent ahead on the same connection, whose
	// answer comes first; waiting is what is done when the own one has come.
	before  *visit
	waiting []func()
	current *exchange
}

// retryPause is how long a caller waits after a failure before it sends a
// request again that may be repeated.
const retryPause = 50 * time.Millisecond

// send lets the callers of a zone send requests until the end of the day.
func (world *world) send(zone *Zone) {
	if zone.PerSecond <= 0 {
		return
	}
	clump := max(1, zone.Clump)
	most := zone.PerSecond * (1 + zone.Swing) / clump
	gap := seconds(world.traffic.ExpFloat64() / most)
	world.clock.after(gap, func() {
		passed := world.clock.now.Sub(world.began).Seconds()
		if passed >= world.scenario.Seconds {
			return
		}
		wave := 1.0
		if zone.PeriodSeconds > 0 {
			wave += zone.Swing * math.Sin(2*math.Pi*(passed/zone.PeriodSeconds+zone.Phase))
		}
		// The same draws whatever the troubles, so that days are comparable.
		keep := world.traffic.Float64() < wave/(1+zone.Swing)
		count := int(clump)
		if world.traffic.Float64() < clump-float64(count) {
			count++
		}
		burst := max(1, world.bursts[""]) * max(1, world.bursts[zone.Name])
		extra := world.traffic.Float64() < burst-math.Floor(burst)
		copies := int(burst)
		if extra {
			copies++
		}
		if keep {
			for range copies * count {
				world.want(zone)
			}
		}
		world.send(zone)
	})
}

// want draws a request. A pipelined one comes behind the last of its caller.
func (world *world) want(zone *Zone) {
	class := world.drawClass()
	visit := &visit{world: world, class: class, zone: zone, began: world.clock.now, most: class.Retries}
	caller := callerOf{zone, class, world.traffic.IntN(max(1, zone.Callers))}
	if class.Pipelined {
		visit.before = world.last[caller]
		world.last[caller] = visit
	}
	visit.leaves = world.traffic.Float64() < world.leaving
	visit.hasty = world.traffic.Float64() < world.impatient
	if visit.hasty {
		visit.most = int(float64(max(1, visit.most)) * world.harder)
	}
	world.tally(class).Offered++
	world.report.offered(world.clock.now.Sub(world.began))
	if visit.leaves {
		world.clock.after(milliseconds(class.Objective/2), visit.leave)
	}
	visit.try()
}

// callerOf is a caller of a zone with its requests of a class.
type callerOf struct {
	zone   *Zone
	class  *Class
	number int
}

// drawClass draws the class of a request.
func (world *world) drawClass() *Class {
	total := 0.0
	for index := range world.scenario.Classes {
		total += world.scenario.Classes[index].Part
	}
	drawn := world.traffic.Float64() * total
	for index := range world.scenario.Classes {
		class := &world.scenario.Classes[index]
		if drawn -= class.Part; drawn < 0 && class.Part > 0 {
			return class
		}
	}
	return &world.scenario.Classes[0]
}

// try sends the request to a daemon of the zone, or of the next one if the
// callers have shifted.
func (visit *visit) try() {
	world := visit.world
	visit.tries++
	if visit.tries > 1 {
		world.tally(visit.class).Returns++
	}
	zone := visit.zone
	if world.chance.Float64() < max(world.shifted[""], world.shifted[zone.Name]) {
		zone = world.nextZone(zone)
	}
	entry := world.entryIn(zone)
	left := milliseconds(visit.class.Deadline) - world.clock.now.Sub(visit.began)
	way := milliseconds(world.scenario.Links.Caller)
	world.clock.after(way, func() {
		if visit.settled {
			return
		}
		visit.current = world.begin(entry, visit.class, left, func(answer answer) {
			world.clock.after(way, func() { visit.inTurn(func() { visit.take(answer) }) })
		})
	})
}

// inTurn does something when the answer before on the connection has come.
func (visit *visit) inTurn(do func()) {
	if visit.before == nil || visit.before.settled {
		visit.before = nil
		do()
		return
	}
	visit.before.waiting = append(visit.before.waiting, do)
}

// take takes an answer, and comes back if that is worth it.
func (visit *visit) take(answer answer) {
	if visit.settled {
		return
	}
	world, class := visit.world, visit.class
	now := world.clock.now
	if answer.succeeded {
		took := now.Sub(visit.began)
		if took > milliseconds(class.Deadline) {
			world.wasted(answer.run)
			world.tally(class).Failed++
			visit.settle()
			return
		}
		world.tally(class).answered(took, class, class.Worth)
		world.report.answered(visit.began.Sub(world.began), took, took <= milliseconds(class.Objective))
		visit.settle()
		return
	}
	wait := retryPause
	if answer.refused {
		wait = answer.retryAfter
	}
	if visit.hasty {
		wait = time.Millisecond
	}
	again := answer.refused || class.Repeatable
	if again && visit.tries <= visit.most && now.Add(wait).Before(visit.began.Add(milliseconds(class.Deadline))) {
		world.clock.after(wait, func() {
			if !visit.settled {
				visit.try()
			}
		})
		return
	}
	if answer.refused {
		world.tally(class).Refused++
	} else {
		world.tally(class).Failed++
	}
	visit.settle()
}

// leave ends the wish before its answer.
func (visit *visit) leave() {
	if visit.settled {
		return
	}
	visit.world.tally(visit.class).Left++
	visit.settle()
	if visit.current != nil {
		visit.current.leave()
	}
}

func (visit *visit) settle() {
	visit.settled = true
	for _, do := range visit.waiting {
		do()
	}
	visit.waiting = nil
}

func (world *world) nextZone(zone *Zone) *Zone {
	for index := range world.scenario.Zones {
		if &world.scenario.Zones[index] == zone {
			return &world.scenario.Zones[(index+1)%len(world.scenario.Zones)]
		}
	}
	return zone
}

// entryIn draws a daemon of a zone, or any if the zone has none.
func (world *world) entryIn(zone *Zone) *node {
	var near []*node
	for _, node := range world.nodes {
		if node.zone == zone {
			near = append(near, node)
		}
	}
	if len(near) == 0 {
		near = world.nodes
	}
	return near[world.chance.IntN(len(near))]
}
