package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

func TestTargetThatHasLeftDoesNotServeAgainAfterARestartOfItsDaemon(t *testing.T) {
	serving := kernel.Target{Service: "shop", Address: "a:1", Slots: 4, State: kernel.TargetServing, StartedAt: 7}
	draining := serving
	draining.State = kernel.TargetDraining
	servingSince := func(startedAt int64) kernel.Target {
		next := serving
		next.StartedAt = startedAt
		return next
	}
	for name, test := range map[string]struct {
		before []kernel.Message
		after  kernel.Target
		serves bool
	}{
		"a heartbeat that was sent before arrives late": {
			before: []kernel.Message{kernel.UpstreamAnnounced{Target: serving}, kernel.UpstreamAnnounced{Target: draining}},
			after:  serving,
		},
		"it was gone before the restart": {
			before: []kernel.Message{kernel.UpstreamAnnounced{Target: draining}, kernel.UpstreamSilent{}},
			after:  serving,
		},
		"the next target serves": {
			before: []kernel.Message{kernel.UpstreamAnnounced{Target: draining}},
			after:  servingSince(8), serves: true,
		},
		"a target whose daemon alone has stopped serves": {
			before: []kernel.Message{kernel.UpstreamAnnounced{Target: serving}, kernel.DrainRequested{Leaving: true}},
			after:  serving, serves: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newFleet(11, 4, 1)
			for _, message := range test.before {
				cluster.Deliver("d3", message)
				cluster.Run(time.Second)
			}
			cluster.Stop("d3")
			cluster.Run(500 * time.Millisecond)
			cluster.Add(settings(3, 1))
			cluster.Deliver("d3", kernel.UpstreamAnnounced{Target: test.after})
			cluster.Run(2 * time.Second)
			for _, observer := range []string{"d0", "d1", "d2", "d3"} {
				known, _ := cluster.Nodes[observer].View.Member("d3")
				is.New(t).Equal(known.Serves(), test.serves)
			}
		})
	}
}

func TestDeparturesAreLearntAfterARestart(t *testing.T) {
	target := func(startedAt int64) kernel.Target {
		return kernel.Target{Service: "shop", Address: "a:1", Slots: 4, State: kernel.TargetServing, StartedAt: startedAt}
	}
	departure := func(instance string, startedAt int64) kernel.Message {
		return kernel.UpstreamDeparted{Departure: kernel.Departure{Instance: instance, StartedAt: startedAt}}
	}
	restart := func(cluster *fleet.Fleet) *fleet.Node {
		cluster.Stop("d3")
		cluster.Run(500 * time.Millisecond)
		return cluster.Add(settings(3, 1))
	}
	t.Run("of an instance that this daemon had not heard of", func(t *testing.T) {
		cluster := newFleet(12, 4, 1)
		cluster.Deliver("d3", departure("i-1", 9))
		cluster.Run(time.Second)
		node := restart(cluster)
		is := is.New(t)
		is.True(cluster.RunUntil(2*time.Second, func() bool { return node.View.Joined }))
		is.True(node.View.HasDeparted("i-1", 7))
		is.True(!node.View.HasDeparted("i-1", 10)) // another run
		is.True(!node.View.HasDeparted("i-2", 7))
		cluster.Deliver("d3", kernel.UpstreamAnnounced{Target: target(7), Instance: "i-1"})
		cluster.Run(time.Second)
		known, _ := cluster.Nodes["d0"].View.Member("d3")
		is.True(!known.Serves())
	})
	t.Run("more than once, with departures before the join", func(t *testing.T) {
		cluster := newFleet(13, 4, 1)
		for number := range 12 {
			cluster.Deliver("d3", departure(fmt.Sprintf("i-%d", number), 9))
			cluster.Run(time.Second)
			node := restart(cluster)
			cluster.Deliver("d3", departure(fmt.Sprintf("j-%d", number), 9))
			cluster.Run(3 * time.Second)
			is := is.New(t)
			is.True(node.View.HasDeparted(fmt.Sprintf("i-%d", number), 9))
			is.True(node.View.HasDeparted(fmt.Sprintf("j-%d", number), 9))
			is.True(len(node.View.Departures) <= 8)
		}
	})
	t.Run("a daemon without others joins", func(t *testing.T) {
		cluster := fleet.New(14)
		alone := settings(0, 1)
		alone.FirstPeers = nil
		node := cluster.Add(alone)
		is.New(t).True(cluster.RunUntil(200*time.Millisecond, func() bool { return node.View.Joined }))
	})
	t.Run("a daemon that reaches nobody joins after a time", func(t *testing.T) {
		cluster := fleet.New(15)
		cluster.Platform.Down = true
		node := cluster.Add(settings(3, 1))
		is := is.New(t)
		cluster.Run(time.Second)
		is.True(!node.View.Joined)
		cluster.Run(1500 * time.Millisecond)
		is.True(node.View.Joined)
	})
}
