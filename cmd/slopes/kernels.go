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

// Shape of the measured fleets and of the load on them.
const (
	regions              = 5
	dataCentresPerRegion = 3
	regionLatency        = 30 * time.Millisecond
	dataCentreLatency    = time.Millisecond
	idleTime             = 60 * time.Second
	changeCount          = 20
	// changeSize is the length of the author field, which makes up most of a change.
	changeSize = 2 << 10
)

// measureKernels prints a table with a row for each size of the fleet.
func measureKernels(sizes []int) {
	fmt.Println("| daemons | messages/s | bytes/s idle | µs/s in Update idle | KB heap | bytes a change | µs a change | change in force, worst | bytes a restart | µs a restart |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range sizes {
		measureFleet(size)
	}
}

// kernelUsage is the total of the messages and bytes that all kernels of a fleet
// have sent so far, and of the time that they have spent in Update.
type kernelUsage struct {
	sent  int
	bytes int
	busy  time.Duration
}

func readKernelUsage(cluster *fleet.Fleet) kernelUsage {
	var total kernelUsage
	for _, node := range cluster.Nodes {
		total.sent += node.EnvelopesSent
		total.bytes += node.BytesSent
		total.busy += node.UpdateTime
	}
	return total
}

// perDaemonSince returns the usage per daemon since an earlier point, with busy in
// microseconds.
func (usage kernelUsage) perDaemonSince(earlier kernelUsage, daemons int) (sent, bytes, busy float64) {
	count := float64(daemons)
	return float64(usage.sent-earlier.sent) / count, float64(usage.bytes-earlier.bytes) / count,
		float64((usage.busy - earlier.busy).Microseconds()) / count
}

// measureFleet prints the row for a fleet of the given size.
func measureFleet(size int) {
	cluster := fleet.New(1)
	cluster.Latency = linkLatency
	cluster.EnvelopeSize = func(envelope kernel.Envelope) int { return proto.Size(peer.EncodeEnvelope(envelope)) }
	cluster.MeasureTime = true
	heapBefore := heapInUse()
	for number := range size {
		cluster.Add(daemonSettings(number))
		cluster.Deliver(daemonName(number), kernel.UpstreamAnnounced{Target: kernel.Target{
			Service: fmt.Sprintf("service%d", number/6), Address: "127.0.0.1:9000", Slots: 13, State: kernel.TargetServing, StartedAt: int64(number),
		}})
		if number%20 == 0 {
			cluster.Run(100 * time.Millisecond)
		}
	}
	cluster.Run(10 * time.Second)
	heap := float64(heapInUse()-heapBefore) / float64(size) / 1024
	earlier := readKernelUsage(cluster)
	cluster.Run(idleTime)
	idle := readKernelUsage(cluster)
	sent, bytes, busy := idle.perDaemonSince(earlier, size)
	seconds := idleTime.Seconds()
	changeBytes, changeBusy, worst := measureChanges(cluster, size, bytes/seconds, busy/seconds)
	restartBytes, restartBusy := measureRestarts(cluster, size, bytes/seconds, busy/seconds)
	fmt.Printf("| %d | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %s | %.0f | %.0f |\n", size, sent/seconds,
		bytes/seconds, busy/seconds, heap, changeBytes, changeBusy, worst.Round(time.Millisecond), restartBytes, restartBusy)
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}

func daemonName(number int) string { return fmt.Sprintf("daemon-%04d", number) }

func daemonSettings(number int) kernel.Settings {
	region := fmt.Sprintf("region-%d", number%regions)
	return kernel.Settings{
		Self: daemonName(number), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, number/regions%dataCentresPerRegion),
		PeerAddress: daemonName(number), CallerAddress: "127.0.0.1:8000", OperatorAddress: "127.0.0.1:8003",
		FirstPeers: []string{daemonName(0), daemonName(1), daemonName(2)}, PlatformRegion: "region-0",
	}
}

func linkLatency(from, to kernel.Settings) time.Duration {
	switch {
	case from.Region != to.Region:
		return regionLatency
	case from.DataCentre != to.DataCentre:
		return dataCentreLatency
	default:
		return dataCentreLatency / 10
	}
}

// measureChanges writes profiles through different daemons. It returns what one
// change costs each daemon in bytes and microseconds, beyond the usage of an idle
// fleet, and the longest time until a change was in force on all daemons.
func measureChanges(cluster *fleet.Fleet, size int, idleBytes, idleBusy float64) (bytes, busy float64, worst time.Duration) {
	earlier, startedAt := readKernelUsage(cluster), cluster.Now
	author := strings.Repeat("x", changeSize)
	for number := range changeCount {
		key := kernel.Key{Kind: kernel.KindProfile, Name: fmt.Sprintf("profile-%d", number)}
		requestedAt := cluster.Now
		cluster.Deliver(daemonName(number*7%size), kernel.ChangeRequested{
			Token: uint64(number + 1), Nonce: key.Name, Key: key, Spec: []byte("{}"), Author: author,
		})
		cluster.RunUntil(30*time.Second, func() bool { return isKnownEverywhere(cluster, key) })
		worst = max(worst, cluster.Now.Sub(requestedAt))
	}
	cluster.Run(time.Second)
	_, bytes, busy = readKernelUsage(cluster).perDaemonSince(earlier, size)
	seconds := cluster.Now.Sub(startedAt).Seconds()
	return (bytes - idleBytes*seconds) / changeCount, (busy - idleBusy*seconds) / changeCount, worst
}

func isKnownEverywhere(cluster *fleet.Fleet, key kernel.Key) bool {
	for _, node := range cluster.Nodes {
		if _, known := node.View.Config(key); !known {
			return false
		}
	}
	return true
}

// measureRestarts restarts daemons one after another. It returns what one restart
// costs each daemon in bytes and microseconds, beyond the usage of an idle fleet.
func measureRestarts(cluster *fleet.Fleet, size int, idleBytes, idleBusy float64) (bytes, busy float64) {
	const restarts = 10
	earlier, startedAt := readKernelUsage(cluster), cluster.Now
	for index := range restarts {
		number := (index*11 + 3) % size
		replaced := daemonName(number)
		previous := *cluster.Nodes[replaced]
		cluster.Deliver(replaced, kernel.StopRequested{})
		cluster.Run(time.Second)
		replacement := cluster.Add(daemonSettings(number))
		replacement.EnvelopesSent, replacement.BytesSent, replacement.UpdateTime = previous.EnvelopesSent, previous.BytesSent, previous.UpdateTime
		cluster.Run(2 * time.Second)
	}
	_, bytes, busy = readKernelUsage(cluster).perDaemonSince(earlier, size)
	seconds := cluster.Now.Sub(startedAt).Seconds()
	return (bytes - idleBytes*seconds) / restarts, (busy - idleBusy*seconds) / restarts
}
