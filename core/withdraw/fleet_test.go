package withdraw_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/withdraw"
	"ibislift/standin/fleet"
)

// centres is a fleet whose daemons belong to data centres of a given size, some of them
// slow. Data centre number k holds the daemons k*size to (k+1)*size-1.
type centres struct {
	*fleet.Fleet
	size  int
	names []string
	// late is how late the timers of a daemon fire.
	late map[string]time.Duration
	// most is the largest number of daemons of a data centre that were withdrawn at once.
	most int
}

func newCentres(seed uint64, count, size int) *centres {
	centres := &centres{Fleet: fleet.New(seed), size: size, late: map[string]time.Duration{}}
	centres.Latency = func(from, to kernel.Settings) time.Duration {
		switch {
		case from.DataCentre == to.DataCentre:
			return 200 * time.Microsecond
		case from.Region == to.Region:
			return 4400 * time.Microsecond
		default:
			return 30 * time.Millisecond
		}
	}
	for number := range count {
		name := fmt.Sprintf("d%d", number)
		centre := number / size
		centres.names = append(centres.names, name)
		centres.Add(kernel.Settings{
			Self: name, Region: fmt.Sprintf("r%d", centre/2), DataCentre: fmt.Sprintf("c%d", centre), PeerAddress: name,
			FirstPeers: []string{"d0", "d1"}, PlatformRegion: "r0", NoClaims: true, NoProfiles: true, WithdrawAfter: after,
		})
		centres.sample(name)
	}
	return centres
}

// sample measures the timers of a daemon from now on. A late daemon handles nothing else in
// the meantime.
func (centres *centres) sample(name string) {
	late := centres.late[name]
	centres.Schedule(withdraw.SampleInterval+late, func() {
		if node := centres.Nodes[name]; !node.Stopped && !node.FrozenUntil.After(centres.Now) {
			centres.Deliver(name, kernel.TimerLatenessMeasured{Late: late})
		}
		if late := centres.late[name]; late > 0 {
			centres.Schedule(withdraw.SampleInterval, func() { centres.Nodes[name].FrozenUntil = centres.Now.Add(late) })
		}
		centres.sample(name)
	})
}

// makeSlow makes the timers of some daemons of a data centre late.
func (centres *centres) makeSlow(centre, count int, late time.Duration) {
	for _, name := range centres.names[centre*centres.size:][:count] {
		centres.late[name] = late
	}
}

func (centres *centres) recover() { clear(centres.late) }

func (centres *centres) isWithdrawn(name string) bool {
	return centres.Now.Before(centres.Nodes[name].View.Withdrawal.Until)
}

// watch runs the fleet and records how many daemons are withdrawn.
func (centres *centres) watch(duration time.Duration) {
	for range int(duration / (20 * time.Millisecond)) {
		centres.Run(20 * time.Millisecond)
		for members := range slices.Chunk(centres.names, centres.size) {
			count := 0
			for _, name := range members {
				if centres.isWithdrawn(name) {
					count++
				}
			}
			centres.most = max(centres.most, count)
		}
	}
}

// checkMost checks how many daemons of a data centre were withdrawn at a time.
func checkMost(t *testing.T, centres *centres, want int) {
	t.Helper()
	is.New(t).Equal(centres.most, want)
}

func TestAQuarterOfADataCentreWithdrawsAtATime(t *testing.T) {
	for _, size := range []int{2, 4, 10, 13, 50} {
		t.Run(fmt.Sprintf("data centres of %d", size), func(t *testing.T) {
			const count = 4
			centres := newCentres(uint64(size), count*size, size)
			centres.Run(budgetTime + 8*time.Second)
			for centre := range count {
				centres.makeSlow(centre, size/2, 60*time.Millisecond)
			}
			centres.watch(7 * time.Second)
			checkMost(t, centres, max(1, size/4))
		})
	}
	t.Run("daemons become slow at different times", func(t *testing.T) {
		centres := newCentres(1, 48, 12)
		centres.Run(budgetTime + 8*time.Second)
		for count := range 6 {
			for centre := range 4 {
				centres.makeSlow(centre, count+1, time.Duration(30+20*count)*time.Millisecond)
			}
			centres.watch(170 * time.Millisecond)
		}
		centres.watch(10 * time.Second)
		checkMost(t, centres, 3)
	})
	t.Run("none while all are slow and most have just started", func(t *testing.T) {
		// Guards against a count of slow daemons that leaves out those that may not withdraw.
		centres := newCentres(3, 24, 12)
		centres.Run(budgetTime - 12*time.Second)
		for _, name := range centres.names[3:12] {
			centres.Stop(name)
			centres.Add(centres.Nodes[name].Settings)
		}
		centres.Run(20 * time.Second)
		centres.makeSlow(0, 12, 40*time.Millisecond)
		centres.watch(10 * time.Second)
		checkMost(t, centres, 0)
	})
	t.Run("none while all are slow, and one that is still slow afterwards", func(t *testing.T) {
		centres := newCentres(2, 24, 12)
		centres.Run(budgetTime + 8*time.Second)
		centres.makeSlow(0, 12, 40*time.Millisecond)
		centres.watch(6 * time.Second)
		checkMost(t, centres, 0)
		centres.recover()
		centres.makeSlow(0, 1, 40*time.Millisecond)
		centres.watch(8 * time.Second)
		checkMost(t, centres, 1)
	})
}

// Daemons become slow and recover at random, with timers that are late by 20 to 270 ms.
func TestAQuarterWithdrawsInARandomCourse(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			size := 4 + random.IntN(14)
			centres := newCentres(seed, 3*size, size)
			centres.Run(budgetTime + 8*time.Second)
			for range 10 {
				for _, name := range centres.names {
					switch random.IntN(12) {
					case 0, 1:
						centres.late[name] = time.Duration(20+random.IntN(250)) * time.Millisecond
					case 2, 3:
						centres.late[name] = 0
					}
				}
				centres.watch(time.Duration(200+random.IntN(1500)) * time.Millisecond)
			}
			checkMost(t, centres, max(1, size/4))
		})
	}
}

func TestWithdrawalInAFleetWithFaults(t *testing.T) {
	t.Run("a daemon that restarts is not withdrawn", func(t *testing.T) {
		centres := newCentres(3, 12, 6)
		centres.Run(budgetTime + 8*time.Second)
		centres.makeSlow(0, 1, 60*time.Millisecond)
		centres.watch(3 * time.Second)
		is := is.New(t)
		is.True(centres.isWithdrawn("d0"))
		centres.Stop("d0")
		centres.late["d0"] = 0
		centres.Add(centres.Nodes["d0"].Settings)
		centres.watch(3 * time.Second)
		is.True(!centres.isWithdrawn("d0"))
	})
	t.Run("a daemon that dies leaves its place to another one", func(t *testing.T) {
		centres := newCentres(4, 8, 4)
		centres.Run(budgetTime + 8*time.Second)
		centres.makeSlow(0, 2, 60*time.Millisecond)
		centres.watch(3 * time.Second)
		is := is.New(t)
		first, second := "d0", "d1"
		if centres.isWithdrawn(second) {
			first, second = second, first
		}
		is.True(centres.isWithdrawn(first))
		is.True(!centres.isWithdrawn(second))
		centres.Stop(first)
		is.True(centres.RunUntil(15*time.Second, func() bool { return centres.isWithdrawn(second) }))
	})
	t.Run("a daemon that reaches nobody accepts callers", func(t *testing.T) {
		centres := newCentres(5, 12, 6)
		centres.Run(budgetTime + 8*time.Second)
		centres.makeSlow(0, 1, 60*time.Millisecond)
		centres.watch(2 * time.Second)
		is := is.New(t)
		is.True(centres.isWithdrawn("d0"))
		centres.DropMessage = func(from, to kernel.Settings) bool { return from.Self == "d0" || to.Self == "d0" }
		centres.Run(3 * time.Second)
		is.True(!centres.isWithdrawn("d0"))
	})
	// The two sides do not know each other's claims, and believe for some seconds that all
	// daemons are alive. The platform ignores the checks only below half.
	t.Run("half of a data centre at most withdraws in a partition", func(t *testing.T) {
		centres := newCentres(7, 24, 12)
		centres.Run(budgetTime + 8*time.Second)
		isEven := func(settings kernel.Settings) bool { return (settings.Self[len(settings.Self)-1]-'0')%2 == 0 }
		centres.DropMessage = func(from, to kernel.Settings) bool { return isEven(from) != isEven(to) }
		centres.makeSlow(0, 6, 60*time.Millisecond)
		centres.watch(12 * time.Second)
		is := is.New(t)
		is.True(centres.most > 0)
		is.True(centres.most <= 6)
	})
	t.Run("without the setting nothing happens", func(t *testing.T) {
		centres := newCentres(6, 0, 4)
		for number := range 4 {
			name := fmt.Sprintf("d%d", number)
			centres.names = append(centres.names, name)
			centres.Add(kernel.Settings{Self: name, Region: "r", DataCentre: "c", PeerAddress: name, FirstPeers: []string{"d0"}, NoClaims: true, NoProfiles: true})
			centres.sample(name)
		}
		centres.Run(budgetTime + 8*time.Second)
		centres.makeSlow(0, 1, 60*time.Millisecond)
		centres.watch(5 * time.Second)
		checkMost(t, centres, 0)
	})
}
