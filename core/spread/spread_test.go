package spread_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"ibislift/core/kernel"
	_ "ibislift/core/rollout"
	"ibislift/core/routes"
	"ibislift/core/spread"
	"ibislift/io/peer"
	"ibislift/standin/fleet"
)

const (
	routeObject   = "config/main"
	regionLatency = 30 * time.Millisecond
)

// newFleet starts daemons in three regions, with 30 ms between regions, links of 10
// Mbit/s and a small route table in the store.
func newFleet(daemons int) *fleet.Fleet {
	cluster := newStartingFleet(daemons)
	cluster.Run(40 * time.Second) // until the watches of the start have ended
	return cluster
}

// newStartingFleet is like newFleet, at the moment when all daemons start.
func newStartingFleet(daemons int) *fleet.Fleet {
	cluster := fleet.New(1)
	cluster.Bandwidth = 10e6 / 8
	cluster.EnvelopeSize = func(envelope kernel.Envelope) int { return proto.Size(peer.EncodeEnvelope(envelope)) }
	cluster.Latency = func(from, to kernel.Settings) time.Duration {
		if from.Region != to.Region {
			return regionLatency
		}
		return time.Millisecond
	}
	cluster.Platform.Set(cluster, routeObject, tableOf(1, 10))
	for number := range daemons {
		cluster.Add(kernel.Settings{
			Self: fmt.Sprintf("d%d", number), PeerAddress: fmt.Sprintf("d%d", number),
			Region: fmt.Sprintf("r%d", number%3), DataCentre: fmt.Sprintf("r%d-%d", number%3, number%9/3),
			FirstPeers: []string{"d0", "d1", "d2"}, PlatformRegion: "r0", RouteObject: routeObject, NoClaims: true, NoProfiles: true,
		})
	}
	return cluster
}

// tableOf returns a route table in the encoding of the store.
func tableOf(version uint64, routeCount int) []byte {
	table := routes.Table{Version: version, Services: map[string]routes.Service{"shop": {HealthPath: "/health"}}}
	for number := range routeCount {
		table.Routes = append(table.Routes, routes.Route{
			Name: fmt.Sprintf("r-%06x", number*7919), Host: fmt.Sprintf("h%d.example", number%7), Prefix: fmt.Sprintf("/p%x/", number*104729),
			Timeout: time.Second, MaxAttempts: 2, Destinations: []routes.Destination{{Service: "shop", Weight: 1}},
		})
	}
	body, err := json.Marshal(table)
	if err != nil {
		panic(err)
	}
	return body
}

// inForce returns how many daemons have applied a version of the table.
func inForce(cluster *fleet.Fleet, version uint64) int {
	count := 0
	for _, node := range cluster.Nodes {
		if node.View.Routes != nil && node.View.Routes.Version == version {
			count++
		}
	}
	return count
}

func bytesSent(cluster *fleet.Fleet) int {
	sum := 0
	for _, node := range cluster.Nodes {
		sum += node.BytesSent
	}
	return sum
}

func TestLargeTableSpreads(t *testing.T) {
	for _, daemons := range []int{24, 80, 150} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			is := is.New(t)
			cluster := newFleet(daemons)
			is.Equal(inForce(cluster, 1), daemons)
			before := bytesSent(cluster)
			t.Logf("%d bytes sent by each for the start", before/daemons)
			is.True(before/daemons < 12_000+500*daemons) // comparisons, and what each has to learn of all others
			cluster.Platform.Set(cluster, routeObject, tableOf(2, 2000))
			inTime := cluster.RunUntil(2500*time.Millisecond, func() bool { return inForce(cluster, 2) == daemons })
			perDaemon := (bytesSent(cluster) - before) / daemons
			t.Logf("in force on %d of %d daemons, %d bytes sent by each", inForce(cluster, 2), daemons, perDaemon)
			is.True(inTime)
			is.True(perDaemon < 40_000) // the record once, offers and comparisons
		})
	}
}

// targetsKnown returns how many daemons know as many targets as there are daemons.
func targetsKnown(cluster *fleet.Fleet) int {
	count := 0
	for _, node := range cluster.Nodes {
		if members, _ := node.View.Service("shop"); len(members) == len(cluster.Nodes) {
			count++
		}
	}
	return count
}

// announce tells a daemon that its upstream serves.
func announce(cluster *fleet.Fleet, name string) {
	cluster.Deliver(name, kernel.UpstreamAnnounced{Target: kernel.Target{Service: "shop", Slots: 4, State: kernel.TargetServing}})
}

func TestTargetsSpreadSoon(t *testing.T) {
	for _, daemons := range []int{15, 80} {
		t.Run(fmt.Sprintf("one target of %d", daemons), func(t *testing.T) {
			is := is.New(t)
			cluster := newFleet(daemons)
			for number := 1; number < daemons; number++ {
				announce(cluster, fmt.Sprintf("d%d", number))
			}
			cluster.Run(5 * time.Second)
			before, at := bytesSent(cluster), cluster.Now
			announce(cluster, "d0")
			is.True(cluster.RunUntil(time.Second, func() bool { return targetsKnown(cluster) == daemons }))
			t.Logf("known to all after %s, %d bytes sent by each", cluster.Now.Sub(at), (bytesSent(cluster)-before)/daemons)
			is.True(cluster.Now.Sub(at) < 2*regionLatency) // one link between regions, and those within
		})
		t.Run(fmt.Sprintf("all targets of %d", daemons), func(t *testing.T) {
			is := is.New(t)
			cluster := newFleet(daemons)
			before, at := bytesSent(cluster), cluster.Now
			for number := range daemons {
				announce(cluster, fmt.Sprintf("d%d", number))
			}
			is.True(cluster.RunUntil(2*time.Second, func() bool { return targetsKnown(cluster) == daemons }))
			t.Logf("known to all after %s, %d bytes sent by each", cluster.Now.Sub(at), (bytesSent(cluster)-before)/daemons)
		})
	}
}

func TestTargetsAreKnownSoonAfterAStart(t *testing.T) {
	for _, daemons := range []int{15, 80} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			cluster := newStartingFleet(daemons)
			startedAt := cluster.Now
			cluster.Run(100 * time.Millisecond)
			for number := range daemons {
				announce(cluster, fmt.Sprintf("d%d", number))
			}
			known := cluster.RunUntil(5*time.Second, func() bool { return targetsKnown(cluster) == daemons })
			t.Logf("known to all after %s, %d bytes sent by each", cluster.Now.Sub(startedAt), bytesSent(cluster)/daemons)
			is := is.New(t)
			is.True(known)
			is.True(cluster.Now.Sub(startedAt) < spread.CompareInterval) // not only with the second comparison
		})
	}
}
