package main

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/standin/fleet"
)

// Shape of the fleets that are measured.
const (
	regions          = 5
	centresPerRegion = 3
	regionLatency    = 30 * time.Millisecond
	centreLatency    = time.Millisecond
	idleTime         = 60 * time.Second
	changeCount      = 20
	changeBytes      = 2 << 10
)

// measureKernels prints a row for each size of the fleet.
func measureKernels(sizes []int) {
	fmt.Println("| daemons | messages/s | bytes/s idle | µs/s in Update idle | KB heap | bytes a change | µs a change | change in force, worst | bytes a restart | µs a restart |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range sizes {
		measureSize(size)
	}
}

// reading is what all kernels of a fleet have used so far.
type reading struct {
	sent  int
	bytes int
	busy  time.Duration
}

func read(joined *fleet.Fleet) reading {
	var total reading
	for _, node := range joined.Nodes {
		total.sent += node.Sent
		total.bytes += node.BytesOut
		total.busy += node.Busy
	}
	return total
}

// since is the use per daemon since an earlier reading.
func (now reading) since(before reading, daemons int) (sent, bytes, busy float64) {
	count := float64(daemons)
	return float64(now.sent-before.sent) / count, float64(now.bytes-before.bytes) / count,
		float64((now.busy - before.busy).Microseconds()) / count
}

func measureSize(size int) {
	joined := fleet.New(1)
	joined.Latency = latency
	joined.Weigh = func(envelope kernel.Envelope) int { return proto.Size(peer.EncodeEnvelope(envelope)) }
	joined.Timed = true
	heapBefore := heapInUse()
	for number := range size {
		joined.Add(settings(number))
		joined.Tell(name(number), kernel.UpstreamAnnounced{Target: kernel.Target{
			Service: fmt.Sprintf("service%d", number/6), Address: "127.0.0.1:9000", Slots: 13, State: kernel.TargetServing, StartedAt: int64(number),
		}})
		if number%20 == 0 {
			joined.Run(100 * time.Millisecond)
		}
	}
	joined.Run(10 * time.Second)
	heap := float64(heapInUse()-heapBefore) / float64(size) / 1024
	before := read(joined)
	joined.Run(idleTime)
	idle := read(joined)
	sent, bytes, busy := idle.since(before, size)
	seconds := idleTime.Seconds()
	changeBytes, changeBusy, worst := measureChanges(joined, size, bytes/seconds, busy/seconds)
	restartBytes, restartBusy := measureRestarts(joined, size, bytes/seconds, busy/seconds)
	fmt.Printf("| %d | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %s | %.0f | %.0f |\n", size, sent/seconds,
		bytes/seconds, busy/seconds, heap, changeBytes, changeBusy, worst.Round(time.Millisecond), restartBytes, restartBusy)
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}

func name(number int) string { return fmt.Sprintf("daemon-%04d", number) }

func settings(number int) kernel.Settings {
	region := fmt.Sprintf("region-%d", number%regions)
	return kernel.Settings{
		Self: name(number), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, number/regions%centresPerRegion),
		PeerAddress: name(number), CallerAddress: "127.0.0.1:8000", OperatorAddress: "127.0.0.1:8003",
		FirstPeers: []string{name(0), name(1), name(2)}, PlatformRegion: "region-0",
	}
}

func latency(from, to kernel.Settings) time.Duration {
	switch {
	case from.Region != to.Region:
		return regionLatency
	case from.DataCentre != to.DataCentre:
		return centreLatency
	default:
		return centreLatency / 10
	}
}

// measureChanges writes profiles through different daemons, and returns what
// one costs each daemon beyond the idle use, and the longest time until one
// was in force everywhere.
func measureChanges(joined *fleet.Fleet, size int, idleBytes, idleBusy float64) (bytes, busy float64, worst time.Duration) {
	before, started := read(joined), joined.Now
	author := strings.Repeat("x", changeBytes)
	for number := range changeCount {
		key := kernel.Key{Kind: kernel.KindProfile, Name: fmt.Sprintf("profile-%d", number)}
		asked := joined.Now
		joined.Tell(name(number*7%size), kernel.ChangeRequested{
			Token: uint64(number + 1), Nonce: key.Name, Key: key, Spec: []byte("{}"), Author: author,
		})
		joined.RunUntil(30*time.Second, func() bool { return knownEverywhere(joined, key) })
		worst = max(worst, joined.Now.Sub(asked))
	}
	joined.Run(time.Second)
	_, bytes, busy = read(joined).since(before, size)
	seconds := joined.Now.Sub(started).Seconds()
	return (bytes - idleBytes*seconds) / changeCount, (busy - idleBusy*seconds) / changeCount, worst
}

func knownEverywhere(joined *fleet.Fleet, key kernel.Key) bool {
	for _, node := range joined.Nodes {
		if _, known := node.View.Config(key); !known {
			return false
		}
	}
	return true
}

// measureRestarts replaces daemons, and returns what one costs each daemon
// beyond the idle use.
func measureRestarts(joined *fleet.Fleet, size int, idleBytes, idleBusy float64) (bytes, busy float64) {
	const restarts = 10
	before, started := read(joined), joined.Now
	for number := range restarts {
		which := name(number*11%size + 3)
		if joined.Nodes[which] == nil {
			which = name(3)
		}
		node := joined.Nodes[which]
		kept := *node
		joined.Tell(which, kernel.StopRequested{})
		joined.Run(time.Second)
		fresh := joined.Add(settings(number*11%size + 3))
		fresh.Sent, fresh.BytesOut, fresh.Busy = kept.Sent, kept.BytesOut, kept.Busy
		joined.Run(2 * time.Second)
	}
	_, bytes, busy = read(joined).since(before, size)
	seconds := joined.Now.Sub(started).Seconds()
	return (bytes - idleBytes*seconds) / restarts, (busy - idleBusy*seconds) / restarts
}
