package play

import (
	"math"

	"ibislift/core/call"
	"ibislift/core/kernel"
)

// leave tells the exchange that its caller has gone.
func (exchange *exchange) leave() { exchange.apply(call.CallerLeft{}) }

// strike begins a trouble and plans its end.
func (world *world) strike(trouble Trouble) {
	undo := world.begun(trouble)
	world.clock.after(seconds(trouble.For), undo)
}

// begun begins a trouble and returns what ends it.
func (world *world) begun(trouble Trouble) (undo func()) {
	switch trouble.Kind {
	case "burst":
		world.bursts[trouble.Zone] = trouble.Factor
		return func() { delete(world.bursts, trouble.Zone) }
	case "shift":
		world.shifted[trouble.Zone] = trouble.Share
		return func() { delete(world.shifted, trouble.Zone) }
	case "leaveEarly":
		world.leaving = trouble.Share
		return func() { world.leaving = 0 }
	case "impatient":
		world.impatient, world.harder = trouble.Share, trouble.Factor
		return func() { world.impatient, world.harder = 0, 1 }
	case "staleReports":
		world.silent = true
		return func() { world.silent = false }
	default:
		return world.hit(trouble)
	}
}

// hit troubles a share of the targets.
func (world *world) hit(trouble Trouble) (undo func()) {
	var struck []*node
	for _, node := range world.nodes {
		if (trouble.Service == "" || node.upstream.service.Name == trouble.Service) && (trouble.Zone == "" || node.zone.Name == trouble.Zone) {
			struck = append(struck, node)
		}
	}
	world.traffic.Shuffle(len(struck), func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
	struck = struck[:int(math.Ceil(trouble.Share*float64(len(struck))))]
	set := func(change func(*upstreamModel)) func() {
		for _, node := range struck {
			change(node.upstream)
		}
		return func() {}
	}
	each := func(change func(*upstreamModel, float64), usual float64) func() {
		set(func(upstream *upstreamModel) { change(upstream, trouble.Factor) })
		return func() { set(func(upstream *upstreamModel) { change(upstream, usual) }) }
	}
	switch trouble.Kind {
	case "slow":
		return each(func(upstream *upstreamModel, factor float64) { upstream.slow = factor }, 1)
	case "failing":
		return each(func(upstream *upstreamModel, factor float64) { upstream.failing = factor }, 0)
	case "shedding":
		return each(func(upstream *upstreamModel, factor float64) { upstream.shedding = factor }, 0)
	case "hanging":
		return each(func(upstream *upstreamModel, factor float64) { upstream.hanging = factor }, 0)
	case "lostAnswers":
		return each(func(upstream *upstreamModel, factor float64) { upstream.losing = factor }, 0)
	case "lyingHealth":
		set(func(upstream *upstreamModel) { upstream.lying = true })
		return func() { set(func(upstream *upstreamModel) { upstream.lying = false }) }
	default:
		for _, node := range struck {
			node.upstream.crash()
			world.clock.after(noticeTime, func() { world.know(node, false) })
		}
		return func() {
			for _, node := range struck {
				node.upstream.restart()
				world.clock.after(noticeTime, func() { world.know(node, true) })
			}
		}
	}
}

// know puts a target among those that all daemons know, or takes it out.
func (world *world) know(node *node, up bool) {
	service := node.upstream.service.Name
	var members []kernel.Member
	for _, member := range world.members[service] {
		if member.ID != node.name {
			members = append(members, member)
		}
	}
	if up {
		members = append(members, node.member())
	}
	world.members[service] = members
}
