package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/kernel"
	"ibislift/core/once"
	"ibislift/standin/fleet"
)

// claimant is one request for a key, with the coordinator that it was sent to.
type claimant struct {
	key       string
	request   string
	partition int
	node      *fleet.Node
	token     uint64
	closed    bool
}

// harness runs a fleet of daemons in which requests compete for a few keys.
type harness struct {
	fleet     *fleet.Fleet
	names     []string
	claimants []*claimant
	ran       map[string][]string
	token     uint64
}

const (
	partitions = 2
	retention  = 10 * time.Minute
)

func newHarness(seed uint64, daemons int) *harness {
	harness := &harness{fleet: fleet.New(seed), ran: map[string][]string{}}
	for number := range daemons {
		harness.names = append(harness.names, fmt.Sprintf("d%d", number))
		harness.start(harness.names[number])
	}
	harness.fleet.Run(5 * time.Second)
	return harness
}

func (harness *harness) start(name string) {
	harness.fleet.Add(kernel.Settings{
		Self: name, Region: "east", DataCentre: "e1", PeerAddress: name,
		FirstPeers: []string{"d0", "d1"}, PlatformRegion: "east", ClaimPartitions: partitions,
		ClaimRetention: retention,
	})
}

// requestClaim requests a key from the coordinator in the view of an ingress. With
// atIngress it requests the key from the ingress itself, with TakeOver, as an
// ingress with an outdated view could do with any daemon.
func (harness *harness) requestClaim(key, ingress string, atIngress bool) *claimant {
	harness.token++
	claimant := &claimant{
		key: key, request: fmt.Sprintf("r%d", harness.token),
		partition: once.PartitionOf(key, partitions), token: harness.token,
	}
	coordinator := ingress
	view := harness.fleet.Nodes[ingress].View
	if !atIngress && len(view.ClaimCoordinators) == partitions {
		coordinator = view.ClaimCoordinators[claimant.partition][0]
	}
	claimant.node = harness.fleet.Nodes[coordinator]
	harness.claimants = append(harness.claimants, claimant)
	harness.fleet.Deliver(coordinator, kernel.ClaimRequested{Token: claimant.token, Partition: claimant.partition, Key: key, RequestID: claimant.request, TakeOver: atIngress})
	return claimant
}

// requestFresh requests an unused key that starts with a prefix from a daemon.
func (harness *harness) requestFresh(name, prefix string, partition int, takeOver bool) *claimant {
	return harness.requestKeyFrom(name, fmt.Sprintf("%s%d", prefix, harness.token+1), partition, takeOver)
}

// requestKeyFrom requests the given key from a daemon, with a new request.
func (harness *harness) requestKeyFrom(name, key string, partition int, takeOver bool) *claimant {
	harness.token++
	claimant := &claimant{
		key: key, request: fmt.Sprintf("r%d", harness.token),
		partition: partition, token: harness.token, node: harness.fleet.Nodes[name],
	}
	harness.claimants = append(harness.claimants, claimant)
	harness.fleet.Deliver(name, kernel.ClaimRequested{
		Token: claimant.token, Partition: partition, Key: key, RequestID: claimant.request, TakeOver: takeOver,
	})
	return claimant
}

// completion returns the message that reports to a coordinator that the request
// was executed.
func (claimant *claimant) completion() kernel.ClaimClosed {
	return kernel.ClaimClosed{Partition: claimant.partition, Key: claimant.key, RequestID: claimant.request}
}

// requestAgain repeats a request for a key with the same request ID, as after a
// lost reply. The rank selects the coordinator.
func (harness *harness) requestAgain(earlier *claimant, rank int) {
	result, replied := earlier.result()
	view := harness.fleet.Nodes[harness.names[0]].View
	if replied && result.Status == kernel.ClaimGranted || len(view.ClaimCoordinators) != partitions {
		return
	}
	harness.token++
	earlier.token = harness.token
	earlier.closed = false
	coordinators := view.ClaimCoordinators[earlier.partition]
	earlier.node = harness.fleet.Nodes[coordinators[rank%len(coordinators)]]
	harness.fleet.Deliver(earlier.node.Settings.Self, kernel.ClaimRequested{
		Token: earlier.token, Partition: earlier.partition, Key: earlier.key, RequestID: earlier.request,
		TakeOver: rank > 0,
	})
}

// result returns the reply of the coordinator, if it has arrived.
func (claimant *claimant) result() (kernel.ClaimResult, bool) {
	result, replied := claimant.node.ClaimResults[claimant.token]
	return result, replied
}

// closeGranted lets each granted request either run or release its key.
func (harness *harness) closeGranted(run func() bool) {
	for _, claimant := range harness.claimants {
		result, replied := claimant.result()
		if claimant.closed || !replied {
			continue
		}
		claimant.closed = true
		if result.Status != kernel.ClaimGranted {
			continue
		}
		released := !run()
		if !released {
			harness.ran[claimant.key] = append(harness.ran[claimant.key], claimant.request)
		}
		if !claimant.node.Stopped {
			harness.fleet.Deliver(claimant.node.Settings.Self, kernel.ClaimClosed{
				Partition: claimant.partition, Key: claimant.key, RequestID: claimant.request, Released: released,
			})
		}
	}
}

// duplicateRun describes a key that ran for more than one request, or returns an
// empty string.
func (harness *harness) duplicateRun() string {
	for key, requests := range harness.ran {
		if len(requests) > 1 {
			return fmt.Sprintf("key %s ran for %v", key, requests)
		}
	}
	return ""
}

// injectFault starts or ends one random fault.
func (harness *harness) injectFault(t *rapid.T) {
	name := rapid.SampledFrom(harness.names).Draw(t, "node")
	node := harness.fleet.Nodes[name]
	platform := harness.fleet.Platform
	switch rapid.SampledFrom([]string{"freeze", "kill", "restart", "down", "up", "lose", "delay", "clear", "cut", "heal", "clock"}).Draw(t, "fault") {
	case "freeze":
		node.FrozenUntil = harness.fleet.Now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "frozen")) * time.Millisecond)
	case "kill":
		node.Stopped = true
	case "restart":
		harness.start(name)
	case "down":
		platform.Down = true
	case "up":
		platform.Down = false
	case "lose":
		platform.DropWriteReply = func() bool { return harness.fleet.Random.IntN(2) == 0 }
	case "delay":
		platform.WriteDelay = func() time.Duration { return time.Duration(harness.fleet.Random.IntN(10_000)) * time.Millisecond }
	case "clear":
		platform.DropWriteReply, platform.WriteDelay = nil, nil
	case "cut":
		cut := rapid.SampledFrom(harness.names).Draw(t, "cut")
		harness.fleet.DropMessage = func(from, to kernel.Settings) bool { return from.Self == cut || to.Self == cut }
	case "heal":
		harness.fleet.DropMessage = nil
	case "clock":
		node.ClockOffset = time.Duration(rapid.IntRange(-60_000, 60_000).Draw(t, "clock")) * time.Millisecond
	}
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newHarness(rapid.Uint64().Draw(t, "seed"), 4)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				harness.injectFault(t)
			case 2:
				if len(harness.claimants) > 0 {
					harness.requestAgain(rapid.SampledFrom(harness.claimants).Draw(t, "again"), rapid.IntRange(0, 2).Draw(t, "rank"))
				}
			default:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				ingress := rapid.SampledFrom(harness.names).Draw(t, "ingress")
				if !harness.fleet.Nodes[ingress].Stopped {
					harness.requestClaim(key, ingress, rapid.IntRange(0, 3).Draw(t, "atIngress") == 0)
				}
			}
			harness.fleet.Run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			harness.closeGranted(func() bool { return rapid.Bool().Draw(t, "run") })
			if duplicate := harness.duplicateRun(); duplicate != "" {
				t.Fatal(duplicate)
			}
		}
	})
}

// expectStatus waits for the reply to a claimant and checks its status.
func expectStatus(t *testing.T, harness *harness, claimant *claimant, status kernel.ClaimStatus) {
	t.Helper()
	is := is.New(t)
	is.True(harness.fleet.RunUntil(5*time.Second, func() bool { _, replied := claimant.result(); return replied }))
	result, _ := claimant.result()
	is.Equal(result.Status, status)
}

// requestWithLostReply requests a key and takes the platform down after its write,
// before the reply arrives.
func (harness *harness) requestWithLostReply(key string) *claimant {
	harness.fleet.Platform.DropWriteReply = func() bool { return true }
	claimant := harness.requestClaim(key, "d0", false)
	harness.fleet.Run(100 * time.Millisecond)
	harness.fleet.Platform.DropWriteReply = nil
	harness.fleet.Platform.Down = true
	return claimant
}

func TestClaim(t *testing.T) {
	t.Run("a second request for a key gets the known outcome of the first", func(t *testing.T) {
		harness := newHarness(1, 3)
		first := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		expectStatus(t, harness, harness.requestClaim("a", "d1", false), kernel.ClaimOutcomeUnknown)
		harness.closeGranted(func() bool { return true })
		harness.fleet.Run(time.Second)
		expectStatus(t, harness, harness.requestClaim("a", "d2", false), kernel.ClaimAlreadyRun)
	})
	t.Run("a new coordinator knows the claims of the previous one", func(t *testing.T) {
		harness := newHarness(2, 4)
		first := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		coordinator := first.node.Settings.Self
		harness.fleet.Stop(coordinator)
		harness.fleet.Run(15 * time.Second)
		other := firstOther(harness.names, coordinator)
		expectStatus(t, harness, harness.requestClaim("a", other, false), kernel.ClaimOutcomeUnknown)
	})
	t.Run("a log with an object that cannot be read grants nothing", func(t *testing.T) {
		harness := newHarness(3, 3)
		harness.fleet.Platform.Unreadable = 1
		expectStatus(t, harness, harness.requestClaim("a", "d0", false), kernel.ClaimUnavailable)
		harness.fleet.Platform.Unreadable = 0
		harness.fleet.Run(5 * time.Second)
		expectStatus(t, harness, harness.requestClaim("b", "d0", false), kernel.ClaimGranted)
	})
	t.Run("the next coordinator takes over at once from a stopped one", func(t *testing.T) {
		harness := newHarness(9, 4)
		first := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		harness.fleet.Stop(first.node.Settings.Self)
		next := harness.fleet.Nodes[firstOther(harness.names, first.node.Settings.Self)].View.ClaimCoordinators[first.partition][1]
		start := harness.fleet.Now
		expectStatus(t, harness, harness.requestClaim("a", next, true), kernel.ClaimOutcomeUnknown)
		is.New(t).True(harness.fleet.Now.Sub(start) < time.Second)
	})
	t.Run("a coordinator that was replaced grants claims again after one refusal", func(t *testing.T) {
		harness := newHarness(12, 4)
		first := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		coordinators := harness.fleet.Nodes["d0"].View.ClaimCoordinators[first.partition]
		for range 3 {
			harness.requestFresh(coordinators[1], "a", first.partition, true)
			harness.fleet.Run(100 * time.Millisecond)
			expectStatus(t, harness, harness.requestFresh(coordinators[1], "b", first.partition, true), kernel.ClaimGranted)
			harness.fleet.Run(100 * time.Millisecond)
			harness.requestFresh(coordinators[0], "c", first.partition, false)
			harness.fleet.Run(100 * time.Millisecond)
			expectStatus(t, harness, harness.requestFresh(coordinators[0], "d", first.partition, false), kernel.ClaimGranted)
		}
	})
	t.Run("a paused coordinator grants nothing after it has been replaced", func(t *testing.T) {
		harness := newHarness(3, 4)
		expectStatus(t, harness, harness.requestClaim("b", "d0", false), kernel.ClaimGranted)
		old := harness.claimants[0].node
		old.FrozenUntil = harness.fleet.Now.Add(20 * time.Second)
		harness.fleet.Run(15 * time.Second)
		expectStatus(t, harness, harness.requestClaim("c2", firstOther(harness.names, old.Settings.Self), false), kernel.ClaimGranted)
		stale := harness.requestClaim("c2", old.Settings.Self, true)
		harness.fleet.Run(10 * time.Second)
		result, _ := stale.result()
		is.New(t).True(result.Status != kernel.ClaimGranted)
	})
	t.Run("a write whose reply is lost is read back", func(t *testing.T) {
		harness := newHarness(4, 3)
		expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
		harness.fleet.Platform.DropWriteReply = func() bool { return true }
		expectStatus(t, harness, harness.requestClaim("a", "d0", false), kernel.ClaimGranted)
		harness.fleet.Platform.DropWriteReply = nil
		expectStatus(t, harness, harness.requestClaim("a", "d1", false), kernel.ClaimOutcomeUnknown)
	})
	t.Run("a claim whose write can be neither confirmed nor read back is refused", func(t *testing.T) {
		harness := newHarness(11, 3)
		expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
		claimant := harness.requestWithLostReply("a")
		expectStatus(t, harness, claimant, kernel.ClaimUnavailable)
		harness.fleet.Platform.Down = false
		harness.fleet.Run(5 * time.Second)
		expectStatus(t, harness, harness.requestClaim("a", "d1", false), kernel.ClaimGranted)
	})
	t.Run("a refused request is not granted later", func(t *testing.T) {
		harness := newHarness(8, 3)
		expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
		claimant := harness.requestWithLostReply("a")
		expectStatus(t, harness, claimant, kernel.ClaimUnavailable)
		harness.fleet.Platform.Down = false
		harness.fleet.Platform.WriteDelay = func() time.Duration { return time.Second }
		harness.fleet.Run(600 * time.Millisecond)
		harness.requestAgain(claimant, 0)
		expectStatus(t, harness, claimant, kernel.ClaimUnavailable)
	})
	t.Run("a release that arrives before its claim takes effect", func(t *testing.T) {
		harness := newHarness(10, 3)
		expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
		coordinator := harness.fleet.Nodes["d0"].View.ClaimCoordinators[once.PartitionOf("a", partitions)][0]
		harness.fleet.Deliver(coordinator, kernel.ClaimClosed{
			Partition: once.PartitionOf("a", partitions), Key: "a", RequestID: fmt.Sprintf("r%d", harness.token+1), Released: true,
		})
		expectStatus(t, harness, harness.requestClaim("a", "d0", false), kernel.ClaimUnavailable)
		expectStatus(t, harness, harness.requestClaim("a", "d1", false), kernel.ClaimGranted)
	})
	t.Run("claims are refused at once while the platform is down", func(t *testing.T) {
		harness := newHarness(5, 3)
		expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
		harness.fleet.Platform.Down = true
		start := harness.fleet.Now
		expectStatus(t, harness, harness.requestClaim("a", "d0", false), kernel.ClaimUnavailable)
		is.New(t).True(harness.fleet.Now.Sub(start) < time.Second)
	})
	for name, warm := range map[string]bool{"read": false, "write": true} {
		t.Run("one failed "+name+" of the log refuses no claim", func(t *testing.T) {
			harness := newHarness(13, 3)
			if warm {
				expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
			}
			failures := 0
			harness.fleet.Platform.Refuses = func(kernel.Settings) bool {
				failures++
				return failures == 1
			}
			expectStatus(t, harness, harness.requestClaim("a", "d0", false), kernel.ClaimGranted)
			is.New(t).True(failures > 1)
		})
	}
	t.Run("a call that fails twice refuses the claim", func(t *testing.T) {
		harness := newHarness(14, 3)
		harness.fleet.Platform.Refuses = func(kernel.Settings) bool { return true }
		calls := harness.fleet.Platform.Reads
		claimant := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, claimant, kernel.ClaimUnavailable)
		result, _ := claimant.result()
		is := is.New(t)
		is.Equal(result.Reason, "reading the log: refused")
		is.Equal(harness.fleet.Platform.Reads, calls)
	})
	t.Run("many claims share a write", func(t *testing.T) {
		harness := newHarness(6, 3)
		expectStatus(t, harness, harness.requestClaim("warm", "d0", false), kernel.ClaimGranted)
		before := harness.fleet.Platform.Writes
		for number := range 1000 {
			harness.requestClaim(fmt.Sprintf("key%d", number), "d0", false)
		}
		harness.fleet.Run(time.Second)
		is.New(t).True(harness.fleet.Platform.Writes-before <= 10)
	})
	t.Run("old segments are deleted, the newest stays", func(t *testing.T) {
		harness := newHarness(7, 3)
		for number := range 20 {
			expectStatus(t, harness, harness.requestClaim(fmt.Sprintf("key%d", number), "d0", false), kernel.ClaimGranted)
			harness.fleet.Run(100 * time.Millisecond)
		}
		harness.fleet.Run(retention + time.Minute)
		remaining := len(harness.fleet.Platform.Names(once.SegmentPrefix))
		is.New(t).True(remaining >= 1 && remaining <= partitions)
	})
}

func firstOther(names []string, name string) string {
	for _, other := range names {
		if other != name {
			return other
		}
	}
	return ""
}
