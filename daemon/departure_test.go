package daemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/upstream"
)

// checkGetsNothing sends requests through all daemons for a while, and checks that none
// runs on the named upstream.
func checkGetsNothing(t *testing.T, cluster *cluster, name string) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for index := range cluster.instances {
			response := cluster.send(index, request{method: "POST", path: "/enrol"})
			if cluster.ledger.ranOn(name, response.attemptID) {
				t.Fatalf("%s ran a request that was sent to daemon %d", name, index)
			}
		}
	}
}

// The acknowledgement that an upstream is leaving outlasts the process that gave it.
func TestDepartureOutlastsARestart(t *testing.T) {
	t.Run("the other daemons remember it", func(t *testing.T) {
		cluster := newCluster(t, 3)
		instance := cluster.instances[1]
		is.New(t).NoErr(instance.upstream.Drain(context.Background(), instance.ip+":8002"))
		cluster.restartDaemon(1)
		cluster.await("the daemon is ready", func() bool { return cluster.ready(instance) })
		checkGetsNothing(t, cluster, "intake-1")
	})
	t.Run("the upstream says so", func(t *testing.T) {
		cluster := newCluster(t, 1)
		cluster.instances[0].upstream.SetSwitches(upstream.Switches{Leaving: true})
		cluster.restartDaemon(0)
		cluster.await("the daemon is ready", func() bool { return cluster.ready(cluster.instances[0]) })
		checkGetsNothing(t, cluster, "intake-0")
	})
	t.Run("an upstream that is not leaving serves again", func(t *testing.T) {
		cluster := newCluster(t, 2)
		cluster.restartDaemon(1)
		cluster.await("both upstreams serve", func() bool { return cluster.targets(cluster.instances[1]) == 2 })
		checkServed(t, cluster.send(1, request{method: "POST", path: "/enrol"}))
	})
}
