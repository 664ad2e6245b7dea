// Package play plays a day of a deployment in virtual time: the daemon's own
// choice of targets, admission, repeats and times to come back, against
// modelled targets, links and callers. A day takes seconds, and the same seed
// gives the same day for each policy: the same arrivals, and the same troubles.
//
// It is a model. docs/design/player.md says how it was checked against the
// users' bench and where they differ.
//
// # Usage
//
//	scenario, err := play.Parse(text)
//	report := play.Run(scenario, policy)
package play

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/route"
)

// world is one day under one policy.
type world struct {
	scenario *Scenario
	policy   Policy
	clock    clock
	began    time.Time
	// traffic draws what callers do, so that all policies get the same; chance
	// draws the rest.
	traffic *rand.Rand
	chance  *rand.Rand
	nodes   []*node
	byName  map[string]*node
	members map[string][]kernel.Member
	classes map[string]*Class
	report  *Report
	// last is each caller's last request on its connection.
	last map[callerOf]*visit

	// What troubles change of the callers: a factor by zone, and shares.
	bursts    map[string]float64
	shifted   map[string]float64
	leaving   float64
	impatient float64
	harder    float64
	silent    bool
}

// settleTime is how long the day goes on after the last request.
const settleTime = 5 * time.Second

// noticeTime is how long it takes until a target that is down or back is known
// everywhere.
const noticeTime = 300 * time.Millisecond

// Run plays a scenario under a policy. The scenario must have been checked.
func Run(scenario *Scenario, policy Policy) *Report {
	world := &world{
		scenario: scenario, policy: policy, byName: map[string]*node{},
		members: map[string][]kernel.Member{}, classes: map[string]*Class{},
		traffic: rand.New(rand.NewPCG(scenario.Seed, 1)), chance: rand.New(rand.NewPCG(scenario.Seed, 2)),
		last: map[callerOf]*visit{}, bursts: map[string]float64{}, shifted: map[string]float64{}, harder: 1,
		report: newReport(scenario, policy),
	}
	world.began = time.Unix(1_800_000_000, 0)
	world.clock.now = world.began
	for index := range scenario.Classes {
		world.classes[scenario.Classes[index].Name] = &scenario.Classes[index]
	}
	world.build()
	for index := range scenario.Zones {
		world.send(&scenario.Zones[index])
	}
	for _, trouble := range scenario.Troubles {
		world.clock.at(world.began.Add(seconds(trouble.At)), func() { world.strike(trouble) })
	}
	world.clock.runUntil(world.began.Add(seconds(scenario.Seconds) + settleTime))
	for _, node := range world.nodes {
		world.report.Busy += node.upstream.busy.Seconds()
		world.report.Slots += node.upstream.service.Slots
	}
	world.report.close()
	return world.report
}

func (world *world) build() {
	for index := range world.scenario.Services {
		service := &world.scenario.Services[index]
		for zone := range world.scenario.Zones {
			zone := &world.scenario.Zones[zone]
			for number := range zone.Targets[service.Name] {
				name := fmt.Sprintf("%s-%s-%d", service.Name, zone.Name, number+1)
				random := rand.New(rand.NewPCG(world.scenario.Seed, 100+uint64(len(world.nodes))))
				node := newNode(world, name, zone, service, random)
				world.nodes = append(world.nodes, node)
				world.byName[name] = node
				world.members[service.Name] = append(world.members[service.Name], node.member())
			}
		}
	}
}

// link is the one-way latency between two daemons.
func (world *world) link(from, to *node) time.Duration {
	links := world.scenario.Links
	switch {
	case from == to:
		return 0
	case from.zone == to.zone:
		return milliseconds(links.InZone)
	case from.zone.Region == to.zone.Region:
		return milliseconds(links.CrossZone)
	default:
		return milliseconds(links.CrossRegion)
	}
}

// What a daemon that knows regions and data centres by name alone believes of
// the links, as the adapter to the users' platform sets it.
const (
	believedZoneLink   = time.Millisecond
	believedRegionLink = 50 * time.Millisecond
)

// distance is the price of the way to a member.
func (node *node) distance(member kernel.Member) route.Distance {
	price := node.world.scenario.ByteSeconds / 1e6
	switch {
	case member.DataCentre == node.zone.Name:
		return route.Distance{}
	case member.Region == node.zone.Region:
		return route.Distance{Latency: believedZoneLink, SecondsPerByte: price}
	default:
		return route.Distance{Latency: believedRegionLink, Cost: 1, SecondsPerByte: price}
	}
}

// work draws the time that a run takes on an idle target.
func (world *world) work(class *Class) time.Duration {
	if class.Spread == 0 {
		return milliseconds(class.Work)
	}
	sigma := math.Sqrt(math.Log(1 + class.Spread*class.Spread))
	return milliseconds(class.Work * math.Exp(sigma*world.chance.NormFloat64()-sigma*sigma/2))
}

// wasted counts the work of a run that nobody gets an answer of.
func (world *world) wasted(run *run) {
	if !run.begun || run.length == 0 {
		return
	}
	done := min(1, world.clock.now.Sub(run.started).Seconds()/run.length.Seconds())
	world.tally(run.class).Wasted += done * run.work.Seconds()
}

func (world *world) tally(class *Class) *Tally { return world.report.classes[class.Name] }

// callFrom makes a call of a run through the daemon beside its target.
func (world *world) callFrom(node *node, class *Class, deadline time.Time, done func(succeeded bool)) {
	began := world.clock.now
	left := min(milliseconds(class.Deadline), deadline.Sub(began))
	tally := world.tally(class)
	tally.Offered++
	world.begin(node, class, left, func(answer answer) {
		took := world.clock.now.Sub(began)
		switch {
		case answer.succeeded:
			tally.answered(took, class, 0)
		case answer.refused:
			tally.Refused++
		default:
			tally.Failed++
		}
		done(answer.succeeded)
	})
}
