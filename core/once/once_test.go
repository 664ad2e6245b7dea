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

// claimant is one request for a key and what became of it.
type claimant struct {
	key       string
	request   string
	partition int
	node      *fleet.Node
	token     uint64
	settled   bool
}

// bench is a fleet in which requests compete for few keys.
type bench struct {
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

func newBench(seed uint64, daemons int) *bench {
	bench := &bench{fleet: fleet.New(seed), ran: map[string][]string{}}
	for number := range daemons {
		bench.names = append(bench.names, fmt.Sprintf("d%d", number))
		bench.start(bench.names[number])
	}
	bench.fleet.Run(5 * time.Second)
	return bench
}

func (bench *bench) start(name string) {
	bench.fleet.Add(kernel.Settings{
		Self: name, Region: "east", DataCentre: "e1", PeerAddress: name,
		FirstPeers: []string{"d0", "d1"}, PlatformRegion: "east", Partitions: partitions,
		ClaimRetention: retention,
	})
}

// ask sends a request for a key to the clerk that a daemon believes in, or to
// any daemon, as an entry with an old view would.
func (bench *bench) ask(key, through string, anywhere bool) *claimant {
	bench.token++
	asked := &claimant{
		key: key, request: fmt.Sprintf("r%d", bench.token),
		partition: once.PartitionOf(key, partitions), token: bench.token,
	}
	clerk := through
	view := bench.fleet.Nodes[through].View
	if !anywhere && len(view.Clerks) == partitions {
		clerk = view.Clerks[asked.partition][0]
	}
	asked.node = bench.fleet.Nodes[clerk]
	bench.claimants = append(bench.claimants, asked)
	bench.fleet.Tell(clerk, kernel.ClaimAsked{Token: asked.token, Partition: asked.partition, Key: key, Request: asked.request, TakeOver: anywhere})
	return asked
}

// askTo sends a request for a fresh key to a daemon.
func (bench *bench) askTo(name, key string, partition int, takeOver bool) *claimant {
	return bench.askFor(name, fmt.Sprintf("%s%d", key, bench.token+1), partition, takeOver)
}

// askFor sends a request for a given key to a daemon, as a second request.
func (bench *bench) askFor(name, key string, partition int, takeOver bool) *claimant {
	bench.token++
	asked := &claimant{
		key: key, request: fmt.Sprintf("r%d", bench.token),
		partition: partition, token: bench.token, node: bench.fleet.Nodes[name],
	}
	bench.claimants = append(bench.claimants, asked)
	bench.fleet.Tell(name, kernel.ClaimAsked{
		Token: asked.token, Partition: partition, Key: key, Request: asked.request, TakeOver: takeOver,
	})
	return asked
}

// ended is what the clerks are told when the request has run.
func (claimant *claimant) ended() kernel.ClaimClosed {
	return kernel.ClaimClosed{Partition: claimant.partition, Key: claimant.key, Request: claimant.request}
}

// askAgain repeats a request for a key under the same name, as when the answer
// was lost on its way. The turn says which of the clerks is asked.
func (bench *bench) askAgain(earlier *claimant, turn int) {
	result, answered := earlier.result()
	view := bench.fleet.Nodes[bench.names[0]].View
	if answered && result.Status == kernel.ClaimGranted || len(view.Clerks) != partitions {
		return
	}
	bench.token++
	earlier.token = bench.token
	earlier.settled = false
	clerks := view.Clerks[earlier.partition]
	earlier.node = bench.fleet.Nodes[clerks[turn%len(clerks)]]
	bench.fleet.Tell(earlier.node.Settings.Self, kernel.ClaimAsked{
		Token: earlier.token, Partition: earlier.partition, Key: earlier.key, Request: earlier.request,
		TakeOver: turn > 0,
	})
}

// result is the clerk's answer, if it has come.
func (claimant *claimant) result() (kernel.ClaimResult, bool) {
	result, answered := claimant.node.Claims[claimant.token]
	return result, answered
}

// settle lets each granted request either run or give its key back.
func (bench *bench) settle(run func() bool) {
	for _, asked := range bench.claimants {
		result, answered := asked.result()
		if asked.settled || !answered {
			continue
		}
		asked.settled = true
		if result.Status != kernel.ClaimGranted {
			continue
		}
		released := !run()
		if !released {
			bench.ran[asked.key] = append(bench.ran[asked.key], asked.request)
		}
		if !asked.node.Stopped {
			bench.fleet.Tell(asked.node.Settings.Self, kernel.ClaimClosed{
				Partition: asked.partition, Key: asked.key, Request: asked.request, Released: released,
			})
		}
	}
}

func (bench *bench) doubled() string {
	for key, requests := range bench.ran {
		if len(requests) > 1 {
			return fmt.Sprintf("key %s ran for %v", key, requests)
		}
	}
	return ""
}

// disturb lets one fault happen or end.
func (bench *bench) disturb(t *rapid.T) {
	name := rapid.SampledFrom(bench.names).Draw(t, "node")
	node := bench.fleet.Nodes[name]
	platform := bench.fleet.Platform
	switch rapid.SampledFrom([]string{"freeze", "kill", "restart", "down", "up", "lose", "delay", "clear", "cut", "heal", "clock"}).Draw(t, "fault") {
	case "freeze":
		node.FrozenUntil = bench.fleet.Now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "frozen")) * time.Millisecond)
	case "kill":
		node.Stopped = true
	case "restart":
		bench.start(name)
	case "down":
		platform.Down = true
	case "up":
		platform.Down = false
	case "lose":
		platform.LoseAnswer = func() bool { return bench.fleet.Random.IntN(2) == 0 }
	case "delay":
		platform.Delay = func() time.Duration { return time.Duration(bench.fleet.Random.IntN(10_000)) * time.Millisecond }
	case "clear":
		platform.LoseAnswer, platform.Delay = nil, nil
	case "cut":
		cut := rapid.SampledFrom(bench.names).Draw(t, "cut")
		bench.fleet.Lost = func(from, to kernel.Settings) bool { return from.Self == cut || to.Self == cut }
	case "heal":
		bench.fleet.Lost = nil
	case "clock":
		node.ClockOff = time.Duration(rapid.IntRange(-60_000, 60_000).Draw(t, "clock")) * time.Millisecond
	}
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bench := newBench(rapid.Uint64().Draw(t, "seed"), 4)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				bench.disturb(t)
			case 2:
				if len(bench.claimants) > 0 {
					bench.askAgain(rapid.SampledFrom(bench.claimants).Draw(t, "again"), rapid.IntRange(0, 2).Draw(t, "turn"))
				}
			default:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				through := rapid.SampledFrom(bench.names).Draw(t, "through")
				if !bench.fleet.Nodes[through].Stopped {
					bench.ask(key, through, rapid.IntRange(0, 3).Draw(t, "anywhere") == 0)
				}
			}
			bench.fleet.Run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			bench.settle(func() bool { return rapid.Bool().Draw(t, "run") })
			if fault := bench.doubled(); fault != "" {
				t.Fatal(fault)
			}
		}
	})
}

func answered(t *testing.T, bench *bench, asked *claimant, status kernel.ClaimStatus) {
	t.Helper()
	is := is.New(t)
	is.True(bench.fleet.RunUntil(5*time.Second, func() bool { _, answered := asked.result(); return answered }))
	result, _ := asked.result()
	is.Equal(result.Status, status)
}

// doubt asks for a key, and takes the platform down between its write and the
// answer.
func (bench *bench) doubt(key string) *claimant {
	bench.fleet.Platform.LoseAnswer = func() bool { return true }
	asked := bench.ask(key, "d0", false)
	bench.fleet.Run(100 * time.Millisecond)
	bench.fleet.Platform.LoseAnswer = nil
	bench.fleet.Platform.Down = true
	return asked
}

func TestClaim(t *testing.T) {
	t.Run("a second request for a key is told what is known", func(t *testing.T) {
		bench := newBench(1, 3)
		first := bench.ask("a", "d0", false)
		answered(t, bench, first, kernel.ClaimGranted)
		answered(t, bench, bench.ask("a", "d1", false), kernel.ClaimUnknown)
		bench.settle(func() bool { return true })
		bench.fleet.Run(time.Second)
		answered(t, bench, bench.ask("a", "d2", false), kernel.ClaimRun)
	})
	t.Run("a new clerk knows the old one's claims", func(t *testing.T) {
		bench := newBench(2, 4)
		first := bench.ask("a", "d0", false)
		answered(t, bench, first, kernel.ClaimGranted)
		clerk := first.node.Settings.Self
		bench.fleet.Stop(clerk)
		bench.fleet.Run(15 * time.Second)
		other := otherThan(bench.names, clerk)
		answered(t, bench, bench.ask("a", other, false), kernel.ClaimUnknown)
	})
	t.Run("the next clerk takes over at once from one that is gone", func(t *testing.T) {
		bench := newBench(9, 4)
		first := bench.ask("a", "d0", false)
		answered(t, bench, first, kernel.ClaimGranted)
		bench.fleet.Stop(first.node.Settings.Self)
		next := bench.fleet.Nodes[otherThan(bench.names, first.node.Settings.Self)].View.Clerks[first.partition][1]
		start := bench.fleet.Now
		answered(t, bench, bench.ask("a", next, true), kernel.ClaimUnknown)
		is.New(t).True(bench.fleet.Now.Sub(start) < time.Second)
	})
	t.Run("a clerk that has lost its log serves again as soon as it knows", func(t *testing.T) {
		bench := newBench(12, 4)
		first := bench.ask("a", "d0", false)
		answered(t, bench, first, kernel.ClaimGranted)
		clerks := bench.fleet.Nodes["d0"].View.Clerks[first.partition]
		for range 3 {
			bench.askTo(clerks[1], "a", first.partition, true)
			bench.fleet.Run(100 * time.Millisecond)
			answered(t, bench, bench.askTo(clerks[1], "b", first.partition, true), kernel.ClaimGranted)
			bench.fleet.Run(100 * time.Millisecond)
			bench.askTo(clerks[0], "c", first.partition, false)
			bench.fleet.Run(100 * time.Millisecond)
			answered(t, bench, bench.askTo(clerks[0], "d", first.partition, false), kernel.ClaimGranted)
		}
	})
	t.Run("a paused clerk grants nothing after it has been replaced", func(t *testing.T) {
		bench := newBench(3, 4)
		answered(t, bench, bench.ask("b", "d0", false), kernel.ClaimGranted)
		old := bench.claimants[0].node
		old.FrozenUntil = bench.fleet.Now.Add(20 * time.Second)
		bench.fleet.Run(15 * time.Second)
		answered(t, bench, bench.ask("c2", otherThan(bench.names, old.Settings.Self), false), kernel.ClaimGranted)
		stale := bench.ask("c2", old.Settings.Self, true)
		bench.fleet.Run(10 * time.Second)
		result, _ := stale.result()
		is.New(t).True(result.Status != kernel.ClaimGranted)
	})
	t.Run("a lost answer is read back", func(t *testing.T) {
		bench := newBench(4, 3)
		answered(t, bench, bench.ask("warm", "d0", false), kernel.ClaimGranted)
		bench.fleet.Platform.LoseAnswer = func() bool { return true }
		answered(t, bench, bench.ask("a", "d0", false), kernel.ClaimGranted)
		bench.fleet.Platform.LoseAnswer = nil
		answered(t, bench, bench.ask("a", "d1", false), kernel.ClaimUnknown)
	})
	t.Run("a write in doubt that cannot be read back refuses", func(t *testing.T) {
		bench := newBench(11, 3)
		answered(t, bench, bench.ask("warm", "d0", false), kernel.ClaimGranted)
		asked := bench.doubt("a")
		answered(t, bench, asked, kernel.ClaimUnavailable)
		bench.fleet.Platform.Down = false
		bench.fleet.Run(5 * time.Second)
		answered(t, bench, bench.ask("a", "d1", false), kernel.ClaimGranted)
	})
	t.Run("a refused request gets no grant later", func(t *testing.T) {
		bench := newBench(8, 3)
		answered(t, bench, bench.ask("warm", "d0", false), kernel.ClaimGranted)
		asked := bench.doubt("a")
		answered(t, bench, asked, kernel.ClaimUnavailable)
		bench.fleet.Platform.Down = false
		bench.fleet.Platform.Delay = func() time.Duration { return time.Second }
		bench.fleet.Run(600 * time.Millisecond)
		bench.askAgain(asked, 0)
		answered(t, bench, asked, kernel.ClaimUnavailable)
	})
	t.Run("a release that overtakes its claim counts", func(t *testing.T) {
		bench := newBench(10, 3)
		answered(t, bench, bench.ask("warm", "d0", false), kernel.ClaimGranted)
		clerk := bench.fleet.Nodes["d0"].View.Clerks[once.PartitionOf("a", partitions)][0]
		bench.fleet.Tell(clerk, kernel.ClaimClosed{
			Partition: once.PartitionOf("a", partitions), Key: "a", Request: fmt.Sprintf("r%d", bench.token+1), Released: true,
		})
		answered(t, bench, bench.ask("a", "d0", false), kernel.ClaimUnavailable)
		answered(t, bench, bench.ask("a", "d1", false), kernel.ClaimGranted)
	})
	t.Run("no claim while the platform is down, and at once", func(t *testing.T) {
		bench := newBench(5, 3)
		answered(t, bench, bench.ask("warm", "d0", false), kernel.ClaimGranted)
		bench.fleet.Platform.Down = true
		start := bench.fleet.Now
		answered(t, bench, bench.ask("a", "d0", false), kernel.ClaimUnavailable)
		is.New(t).True(bench.fleet.Now.Sub(start) < time.Second)
	})
	t.Run("many claims share a write", func(t *testing.T) {
		bench := newBench(6, 3)
		answered(t, bench, bench.ask("warm", "d0", false), kernel.ClaimGranted)
		before := bench.fleet.Platform.Writes
		for number := range 1000 {
			bench.ask(fmt.Sprintf("key%d", number), "d0", false)
		}
		bench.fleet.Run(time.Second)
		is.New(t).True(bench.fleet.Platform.Writes-before <= 10)
	})
	t.Run("old segments go, the newest stays", func(t *testing.T) {
		bench := newBench(7, 3)
		for number := range 20 {
			answered(t, bench, bench.ask(fmt.Sprintf("key%d", number), "d0", false), kernel.ClaimGranted)
			bench.fleet.Run(100 * time.Millisecond)
		}
		bench.fleet.Run(retention + time.Minute)
		left := len(bench.fleet.Platform.Names(once.Prefix))
		is.New(t).True(left >= 1 && left <= partitions)
	})
}

func otherThan(names []string, name string) string {
	for _, other := range names {
		if other != name {
			return other
		}
	}
	return ""
}
