package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// newColdCluster is like newCluster, with a route table that says that cold targets take 12
// requests a second, of which any second may have 26.
func newColdCluster(t *testing.T, daemons int) *cluster {
	t.Helper()
	cluster := &cluster{t: t, store: &platform.Store{}, drainTimeout: 10 * time.Second}
	cluster.routeTable = `{"version":1,"routes":[{"name":"all","host":"intake","prefix":"/","objective":400000000,"parts":[{"service":"intake","weight":1}]}],` +
		`"services":{"intake":{"healthPath":"/health","warmupRate":12,"warmupTime":3000000000}}}`
	cluster.startAll(daemons)
	return cluster
}

const coldBound = 26

// A cold target crashes when it gets more than its bound in any second.
func TestColdTargetGetsNoMoreThanItsBound(t *testing.T) {
	t.Parallel()
	t.Run("from all daemons together, while others take the rest", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		cluster := newColdCluster(t, 3)
		stop := cluster.flood(0, 1, 2)
		cold := cluster.instances[0].upstream
		cold.SetSwitches(upstream.Switches{ColdFor: 4 * time.Second})
		time.Sleep(3500 * time.Millisecond)
		is.True(stop() > 200)
		t.Logf("%d requests in a second", cold.MostInASecond())
		is.True(cold.MostInASecond() > 0)
		is.True(cold.MostInASecond() <= coldBound)
	})
	t.Run("also when the daemon beside it restarts, and there is no other target", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		cluster := newColdCluster(t, 2)
		for _, instance := range cluster.instances {
			instance.upstream.SetSwitches(upstream.Switches{ColdFor: 12 * time.Second})
		}
		stop := cluster.flood(1)
		for range 4 {
			time.Sleep(time.Second)
			cluster.restartDaemon(0)
		}
		time.Sleep(time.Second)
		is.True(stop() > 0)
		for _, instance := range cluster.instances {
			t.Logf("%d requests in a second", instance.upstream.MostInASecond())
			is.True(instance.upstream.MostInASecond() > 0)
			is.True(instance.upstream.MostInASecond() <= coldBound)
		}
	})
}
