// Package play simulates a deployment in virtual time. The daemon's real code
// selects targets, admits requests, retries them and sets the retry times of
// refused callers; targets, links and callers are modelled. A simulation takes
// seconds. The same seed gives the same requests and the same faults under every
// policy.
//
// docs/design/player.md says how the model was checked against the users' bench
// and where the two differ.
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

// simulation is the state of a scenario that runs under one policy.
type simulation struct {
	scenario  *Scenario
	policy    Policy
	clock     clock
	startedAt time.Time
	// trafficRandom draws the requests of callers and the affected targets, so that
	// these are the same under every policy. modelRandom draws everything else.
	trafficRandom *rand.Rand
	modelRandom   *rand.Rand
	daemons       []*daemon
	daemonsByName map[string]*daemon
	members       map[string][]kernel.Member
	classes       map[string]*Class
	report        *Report
	// lastRequests holds the last pipelined request on each caller's connection.
	lastRequests map[callerKey]*request

	// The effects of the current faults on callers and reports. The maps are
	// keyed by zone; an empty key means all zones.
	burstFactors     map[string]float64
	shiftedShares    map[string]float64
	earlyLeaverShare float64
	impatientShare   float64
	impatientFactor  float64
	reportsLost      bool
	// surges are the faults of kind surge that are in force.
	surges []*Fault
	// workspaces are the workspaces of the callers, the largest first.
	workspaces []*workspace
}

// settleTime is how long the simulation continues after the last request.
const settleTime = 5 * time.Second

// membershipDelay is how long it takes until all daemons know that a target has
// crashed or restarted.
const membershipDelay = 300 * time.Millisecond

// Run simulates a scenario under a policy. The scenario must be valid, as Parse
// returns it without an error.
func Run(scenario *Scenario, policy Policy) *Report {
	simulation := &simulation{
		scenario: scenario, policy: policy, daemonsByName: map[string]*daemon{},
		members: map[string][]kernel.Member{}, classes: map[string]*Class{},
		trafficRandom: rand.New(rand.NewPCG(scenario.Seed, 1)), modelRandom: rand.New(rand.NewPCG(scenario.Seed, 2)),
		lastRequests: map[callerKey]*request{}, burstFactors: map[string]float64{}, shiftedShares: map[string]float64{}, impatientFactor: 1,
		report: newReport(scenario, policy),
	}
	simulation.startedAt = time.Unix(1_800_000_000, 0)
	simulation.clock.now = simulation.startedAt
	for index := range scenario.Classes {
		simulation.classes[scenario.Classes[index].Name] = &scenario.Classes[index]
	}
	simulation.workspaces = newWorkspaces(scenario.Workspaces)
	for _, workspace := range simulation.workspaces {
		simulation.report.Workspaces = append(simulation.report.Workspaces, &workspace.tally)
	}
	simulation.build()
	simulation.watchReadiness()
	for index := range scenario.Zones {
		simulation.scheduleRequests(&scenario.Zones[index])
	}
	for _, fault := range scenario.Faults {
		simulation.clock.runAt(simulation.startedAt.Add(seconds(fault.StartSeconds)), func() { simulation.injectFault(fault) })
	}
	simulation.clock.runUntil(simulation.startedAt.Add(seconds(scenario.Seconds) + settleTime))
	for _, daemon := range simulation.daemons {
		simulation.report.OverLimit += daemon.upstream.overLimit
		simulation.report.OverWarmup += daemon.upstream.cold.aboveBound
		simulation.report.recordUse(daemon.upstream, simulation.startedAt)
		simulation.report.SlotSeconds += daemon.upstream.slotTime.Seconds()
		simulation.report.Slots += daemon.upstream.service.Slots
	}
	simulation.report.sortLatencies()
	return simulation.report
}

func (simulation *simulation) build() {
	for index := range simulation.scenario.Services {
		service := &simulation.scenario.Services[index]
		for zone := range simulation.scenario.Zones {
			zone := &simulation.scenario.Zones[zone]
			for number := range zone.Targets[service.Name] {
				name := fmt.Sprintf("%s-%s-%d", service.Name, zone.Name, number+1)
				random := rand.New(rand.NewPCG(simulation.scenario.Seed, 100+uint64(len(simulation.daemons))))
				daemon := newDaemon(simulation, name, zone, service, random)
				simulation.daemons = append(simulation.daemons, daemon)
				simulation.daemonsByName[name] = daemon
				simulation.members[service.Name] = append(simulation.members[service.Name], daemon.member())
			}
		}
	}
}

func (simulation *simulation) serviceNamed(name string) *Service {
	for index := range simulation.scenario.Services {
		if service := &simulation.scenario.Services[index]; service.Name == name {
			return service
		}
	}
	return &Service{}
}

// latency returns the one-way latency between two daemons.
func (simulation *simulation) latency(from, to *daemon) time.Duration {
	links := simulation.scenario.Links
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

// The latencies that a daemon assumes, because it knows only the names of regions
// and data centres. The adapter to the users' platform sets the same values.
const (
	assumedZoneLatency   = time.Millisecond
	assumedRegionLatency = 50 * time.Millisecond
)

// linkTo returns the assumed latency and cost of the link to a member.
func (daemon *daemon) linkTo(member kernel.Member) route.Link {
	link := daemon.pricedLinkTo(member)
	if daemon.simulation.policy.IgnoreBytePrice {
		link.BytePrice = 0
	}
	return link
}

func (daemon *daemon) pricedLinkTo(member kernel.Member) route.Link {
	const bytesPerMegabyte = 1e6
	scenario := daemon.simulation.scenario
	switch {
	case member.DataCentre == daemon.zone.Name:
		return route.Link{}
	case member.Region == daemon.zone.Region:
		return route.Link{Latency: assumedZoneLatency, BytePrice: scenario.ZoneBytePrice / bytesPerMegabyte}
	default:
		return route.Link{Latency: assumedRegionLatency, Cost: 1, BytePrice: scenario.RegionBytePrice / bytesPerMegabyte, CrossesRegion: true}
	}
}

// drawServiceTime draws the time that a run takes on an idle target from a
// log-normal distribution.
func (simulation *simulation) drawServiceTime(class *Class) time.Duration {
	if class.Variation == 0 {
		return milliseconds(class.ServiceTime)
	}
	sigma := math.Sqrt(math.Log(1 + class.Variation*class.Variation))
	return milliseconds(class.ServiceTime * math.Exp(sigma*simulation.modelRandom.NormFloat64()-sigma*sigma/2))
}

// recordWastedWork counts the work of a run whose response nobody receives.
func (simulation *simulation) recordWastedWork(run *run) {
	if !run.started || run.duration == 0 {
		return
	}
	fraction := min(1, simulation.clock.now.Sub(run.startedAt).Seconds()/run.duration.Seconds())
	simulation.tally(run.class).WastedSeconds += fraction * run.serviceTime.Seconds()
}

func (simulation *simulation) tally(class *Class) *Tally { return simulation.report.byName[class.Name] }

// makeCall makes a call of a run through the daemon beside its target.
func (simulation *simulation) makeCall(daemon *daemon, class *Class, deadline time.Time, onFinish func(succeeded bool)) {
	startedAt := simulation.clock.now
	remaining := min(milliseconds(class.Deadline), deadline.Sub(startedAt))
	tally := simulation.tally(class)
	tally.Offered++
	finish := func(response response) {
		elapsed := simulation.clock.now.Sub(startedAt)
		switch {
		case response.succeeded:
			tally.recordResponse(elapsed, class, 0)
		case response.refused:
			tally.Refused++
		default:
			tally.Failed++
		}
		onFinish(response.succeeded)
	}
	daemon.afterAddedTime(func() {
		simulation.startExchange(daemon, class, nil, remaining, func(response response) {
			daemon.afterAddedTime(func() { finish(response) })
		})
	})
}
