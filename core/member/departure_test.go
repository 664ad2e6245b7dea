package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
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
			for _, observer := range []string{"d0", "d1", "d2"} {
				known, _ := cluster.Nodes[observer].View.Member("d3")
				is.New(t).Equal(known.Serves(), test.serves)
			}
		})
	}
}
