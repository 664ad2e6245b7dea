package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/quota"
)

// limitsOfTest are limits from those of a small to those of the largest workspace.
var limitsOfTest = map[string]quota.Limit{
	"small":  {Rate: 1, Burst: 1},
	"few":    {Rate: 3, Burst: 3},
	"medium": {Rate: 20, Burst: 20},
	"large":  {Rate: 203, Burst: 203},
}

// overload sends more than the quota of each workspace.
func overload(network *network, factor float64, until time.Duration, at func() int) {
	for _, workspace := range []string{"small", "few", "medium", "large"} {
		network.load(workspace, network.limits[workspace].Rate*factor, until, at)
	}
}

// expectBound guards against more requests in a window than the bound allows.
func expectBound(t rapid.TB, network *network) {
	t.Helper()
	for workspace := range network.limits {
		if excess := network.worstExcess(workspace, network.limits[workspace]); excess > 0 {
			t.Errorf("%s: a window has %.0f requests more than its bound", workspace, excess)
		}
	}
}

// TestBound guards against a window with more requests than the bound, whatever happens to
// the daemons and to the network between them.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 5, 12, 40}).Draw(t, "daemons")
		network := newNetwork(rapid.Uint64().Draw(t, "seed"), size, limitsOfTest)
		network.loss = rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "loss")
		network.setRegionless(rapid.IntRange(0, 3).Draw(t, "regions") == 0)
		network.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
		network.transit = 250 * time.Millisecond
		network.ignored = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "ignored")
		end := network.now + 12*time.Second
		overload(network, rapid.SampledFrom([]float64{0.6, 1.5, 7.5}).Draw(t, "demand"), end, network.anywhere)
		for _, fault := range rapid.SliceOfN(rapid.SampledFrom([]string{"cut", "asymmetric", "heal", "kill", "herd", "freeze", "restart", "burst"}), 1, 8).Draw(t, "faults") {
			network.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "after")) * time.Millisecond)
			network.strike(fault)
		}
		network.run(end - network.now)
		expectBound(t, network)
	})
}

// TestBoundOfLargeFleet guards against the same in a fleet of hundreds of daemons that is
// cut, halved and restarted.
func TestBoundOfLargeFleet(t *testing.T) {
	network := newNetwork(7, 200, limitsOfTest)
	network.loss, network.duplication, network.transit = 0.02, 0.05, 250*time.Millisecond
	end := network.now + 24*time.Second
	overload(network, 2, end, network.anywhere)
	for _, fault := range []string{"cut", "herd", "heal", "freeze", "asymmetric", "restart", "heal"} {
		network.run(3 * time.Second)
		network.strike(fault)
	}
	network.run(end - network.now)
	expectBound(t, network)
}

// TestFrozenOwner guards against an owner that spends a bucket which another one has taken
// over: every daemon in turn is frozen for longer than the lease of the votes, with requests
// in its socket.
func TestFrozenOwner(t *testing.T) {
	network := newNetwork(3, 12, limitsOfTest)
	network.transit = 250 * time.Millisecond
	end := network.now + 40*time.Second
	overload(network, 3, end, network.anywhere)
	for index := range 12 {
		network.run(3 * time.Second)
		network.daemons[index].frozenUntil = network.now + 2500*time.Millisecond
	}
	network.run(end - network.now)
	expectBound(t, network)
}

// strike applies a fault.
func (network *network) strike(fault string) {
	random := network.random
	chosen := network.daemons[random.IntN(len(network.daemons))]
	switch fault {
	case "cut", "asymmetric":
		sides := make([]int, len(network.daemons))
		parts := 2 + random.IntN(4)
		for index := range sides {
			sides[index] = random.IntN(parts)
		}
		mutual := fault == "cut"
		network.cut = func(from, to int) bool {
			return mutual && sides[from] != sides[to] || !mutual && sides[from] < sides[to]
		}
		for _, observer := range network.daemons {
			for _, subject := range network.daemons {
				if sides[observer.index] != sides[subject.index] && random.IntN(4) > 0 {
					network.after(network.detection(), func() { observer.live[subject.index] = !mutual; network.publish(observer) })
				}
			}
		}
	case "heal":
		network.cut = func(int, int) bool { return false }
		for _, daemon := range network.daemons {
			for index := range daemon.live {
				daemon.live[index] = true
			}
			network.publish(daemon)
		}
	case "kill":
		network.kill(chosen)
	case "herd":
		for _, daemon := range network.daemons {
			if random.IntN(2) == 0 {
				network.kill(daemon)
			}
		}
	case "freeze":
		for _, daemon := range network.daemons {
			if daemon == chosen || random.IntN(5) == 0 {
				daemon.frozenUntil = network.now + time.Duration(random.Int64N(int64(5*time.Second)))
			}
		}
	case "restart":
		for _, daemon := range network.daemons {
			if !daemon.up {
				network.restart(daemon)
			}
		}
	case "burst":
		overload(network, 7.5, network.now+6*time.Second, network.anywhere)
	}
}

// usedOfCentral returns the part of what one bucket for all daemons would have granted.
func usedOfCentral(network *network, workspace string) float64 {
	return float64(network.granted[workspace]) / float64(max(1, network.central[workspace].granted))
}

// used returns the part of the quota of a workspace that was granted in a time.
func used(network *network, workspace string, before int, duration time.Duration) float64 {
	return float64(network.granted[workspace]-before) / (network.limits[workspace].Rate * duration.Seconds())
}

// TestUse guards against quotas that callers cannot use in calm.
func TestUse(t *testing.T) {
	for _, size := range []int{1, 6, 60, 200} {
		for name, place := range map[string]func(*network) func() int{
			"callers everywhere":    func(network *network) func() int { return network.anywhere },
			"callers at one daemon": func(*network) func() int { return func() int { return 0 } },
			"callers at one of three regions": func(network *network) func() int {
				return func() int { return network.random.IntN(max(1, size/regions)) * regions }
			},
		} {
			for _, factor := range []float64{1.2, 7.5} {
				t.Run(fmt.Sprintf("%d daemons, %s, demand %g of the quota", size, name, factor), func(t *testing.T) {
					network := newNetwork(1, size, limitsOfTest)
					const duration = 60 * time.Second
					overload(network, factor, network.now+duration, place(network))
					network.run(duration)
					for workspace := range network.limits {
						if part := usedOfCentral(network, workspace); part < 0.95 {
							t.Errorf("%s: only %.3f of the quota was granted; refused %d, unreachable %d", workspace, part, network.refused[workspace], network.unreachable[workspace])
						}
						if part := used(network, workspace, 0, duration); factor > 2 && part < 0.95 {
							t.Errorf("%s: only %.3f of the rate was granted; refused %d, unreachable %d", workspace, part, network.refused[workspace], network.unreachable[workspace])
						}
					}
					expectBound(t, network)
				})
			}
		}
	}
}

// TestUsualDemand guards against refusals of requests within the quota.
func TestUsualDemand(t *testing.T) {
	network := newNetwork(1, 60, map[string]quota.Limit{"medium": {Rate: 20, Burst: 20}, "large": {Rate: 203, Burst: 203}})
	network.loadAll(1/1.6, 60*time.Second, network.anywhere)
	network.run(61 * time.Second)
	for workspace := range network.limits {
		t.Logf("%s: granted %d, refused %d, unreachable %d", workspace, network.granted[workspace], network.refused[workspace], network.unreachable[workspace])
		is.New(t).Equal(network.refused[workspace]+network.unreachable[workspace], 0)
	}
}

// TestMove guards against refusals when the callers of a workspace move to another place.
func TestMove(t *testing.T) {
	network := newNetwork(1, 60, map[string]quota.Limit{"large": {Rate: 203, Burst: 203}})
	network.load("large", 203/1.6, network.now+20*time.Second, func() int { return 0 })
	network.run(20 * time.Second)
	network.load("large", 203/1.6, network.now+20*time.Second, func() int { return 31 })
	network.run(20 * time.Second)
	is.New(t).Equal(network.refused["large"]+network.unreachable["large"], 0)
}

// TestHerdKill guards against service that does not resume after half of the daemons were
// killed.
func TestHerdKill(t *testing.T) {
	for seed := range uint64(8) {
		network := newNetwork(seed, 60, limitsOfTest)
		overload(network, 1/1.6, network.now+40*time.Second, network.anywhere)
		network.run(10 * time.Second)
		killHalf(network, "large", seed)
		network.run(2 * time.Second)
		before := network.granted["large"]
		network.run(3 * time.Second)
		// Half of the votes make half of the rate; the committee has at least three of nine
		// votes left.
		if part := used(network, "large", before, 3*time.Second); part < 0.3 {
			t.Errorf("seed %d: %.3f of the rate was granted from the third to the fifth second", seed, part)
		}
		expectBound(t, network)
	}
}

// killHalf kills half of the daemons, among them at most six of the nine voters of a
// workspace. The choice does not depend on the messages before.
func killHalf(network *network, workspace string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	voters := rankedMembers(network, workspace)[:9]
	for {
		var chosen []*daemon
		for _, daemon := range network.daemons {
			if random.IntN(2) == 0 {
				chosen = append(chosen, daemon)
			}
		}
		dead := 0
		for _, voter := range voters {
			if slices.Contains(chosen, voter) {
				dead++
			}
		}
		if dead > 6 {
			continue
		}
		for _, daemon := range chosen {
			network.kill(daemon)
		}
		return
	}
}

// TestUnnoticedDeath guards against requests that wait for a dead owner again and again
// while the membership does not record its death.
func TestUnnoticedDeath(t *testing.T) {
	network := newNetwork(1, 5, map[string]quota.Limit{"medium": {Rate: 50, Burst: 10}})
	network.load("medium", 30, network.now+20*time.Second, network.anywhere)
	network.run(5 * time.Second)
	for _, daemon := range network.daemons {
		if daemon.machine.Counts().Owned > 0 {
			daemon.up = false
			daemon.life++
		}
	}
	network.run(3 * time.Second)
	network.waited = nil
	before := network.unreachable["medium"]
	network.run(12 * time.Second)
	slow := 0
	for _, wait := range network.waited {
		if wait > 100*time.Millisecond {
			slow++
		}
	}
	t.Logf("%d of %d requests waited for more than 100 ms, %d were refused without an owner", slow, len(network.waited), network.unreachable["medium"]-before)
	is.New(t).True(len(network.waited) > 250)
	is.New(t).True(slow < len(network.waited)/10)
}

// TestLoweredRate guards against a rate that is lowered and not enforced a window later.
func TestLoweredRate(t *testing.T) {
	network := newNetwork(1, 30, map[string]quota.Limit{"large": {Rate: 203, Burst: 203}})
	network.transit = 250 * time.Millisecond
	network.load("large", 400, network.now+30*time.Second, network.anywhere)
	network.run(10 * time.Second)
	lowered := quota.Limit{Rate: 2, Burst: 2}
	network.limits = map[string]quota.Limit{"large": lowered}
	for _, daemon := range network.daemons {
		network.after(time.Duration(network.random.Int64N(int64(3*time.Second))), func() { network.publish(daemon) })
	}
	network.run(3*time.Second + testWindow)
	network.arrivals["large"] = nil
	network.run(10 * time.Second)
	expectBound(t, network)
	is.New(t).True(len(network.arrivals["large"]) >= 19) // the lower rate is usable
}

// TestJoiningDaemons guards against a bound that is exceeded while daemons join, so that
// the committees that daemons know differ.
func TestJoiningDaemons(t *testing.T) {
	for seed := range uint64(4) {
		network := newNetwork(seed, 24, limitsOfTest)
		network.transit = 250 * time.Millisecond
		for _, daemon := range network.daemons {
			if daemon.index >= 16 {
				daemon.hidden = true
				daemon.up = false
			}
		}
		for _, daemon := range network.daemons {
			network.restartIfUp(daemon)
		}
		network.run(startUp)
		overload(network, 3, network.now+20*time.Second, network.anywhere)
		for _, daemon := range network.daemons[16:] {
			network.run(time.Second)
			daemon.hidden = false
			network.start(daemon)
			for _, observer := range network.daemons {
				network.after(time.Duration(network.random.Int64N(int64(time.Second))), func() { network.publish(observer) })
			}
		}
		network.run(10 * time.Second)
		expectBound(t, network)
	}
}

// TestOrderlyStop guards against requests that are refused because their owner stops, as
// in each restart for an upgrade.
func TestOrderlyStop(t *testing.T) {
	network := newNetwork(1, 30, map[string]quota.Limit{"large": {Rate: 203, Burst: 203}, "medium": {Rate: 20, Burst: 20}})
	network.loadAll(1/1.6, 40*time.Second, network.anywhere)
	network.run(5 * time.Second)
	for range 8 {
		for _, daemon := range network.daemons {
			if daemon.up && daemon.machine.Counts().Owned > 0 {
				network.stop(daemon)
				break
			}
		}
		network.run(4 * time.Second)
	}
	granted, lost := 0, 0
	for workspace := range network.limits {
		granted += network.granted[workspace]
		lost += network.refused[workspace] + network.unreachable[workspace]
	}
	t.Logf("granted %d, refused %d", granted, lost)
	is.New(t).True(lost*200 < granted) // the new owner's bucket starts empty
}

// grants returns the grants among the effects.
func grants(effects []quota.Effect) []quota.Grant {
	var found []quota.Grant
	for _, effect := range effects {
		send, isSend := effect.(quota.Send)
		if grant, isGrant := send.Message.(quota.Grant); isSend && isGrant {
			found = append(found, grant)
		}
	}
	return found
}

// slotOfFew is the slot of the workspace few.
var slotOfFew = uint32(xxhash.Sum64String("few") % 512)

// soleOwner returns the state machine of a daemon that knows another one and has all the
// votes of the workspace few.
func soleOwner(t *testing.T) *quota.Quota {
	t.Helper()
	machine := &quota.Quota{Self: "a", Settings: quota.Settings{Window: testWindow, Overshoot: 0.1, Slack: 20}}
	members := []quota.Member{{ID: "a", Live: true}, {ID: "b", Live: true}}
	machine.Update(quota.FleetChanged{Members: members, Limits: limitsOfTest, Joined: true})
	at := 20 * time.Second
	effects := machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Ask{Workspace: "few", Sequence: 1, Tokens: 1}})
	is.New(t).Equal(len(grants(effects)), 1) // its own vote, half of all, covers a token
	for _, effect := range effects {
		send, _ := effect.(quota.Send)
		if borrow, isBorrow := send.Message.(quota.Borrow); isBorrow {
			machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Lend{Slot: borrow.Slot, Sequence: borrow.Sequence, Lent: true, Idle: time.Minute}})
		}
	}
	return machine
}

func TestOwner(t *testing.T) {
	at := 20*time.Second + time.Millisecond
	ask := func(sequence uint64, tokens int) quota.Event {
		return quota.MessageReceived{At: at, From: "b", Message: quota.Ask{Workspace: "few", Sequence: sequence, Tokens: tokens}}
	}
	t.Run("a repeated request is not granted twice", func(t *testing.T) {
		machine := soleOwner(t)
		is := is.New(t)
		is.Equal(len(grants(machine.Update(ask(1, 1)))), 0)
		is.Equal(len(grants(machine.Update(ask(3, 1)))), 1)
		is.Equal(len(grants(machine.Update(ask(2, 1)))), 1) // overtaken, not repeated
		is.Equal(len(grants(machine.Update(ask(2, 1)))), 0)
	})
	t.Run("daemons that are refused are told different times", func(t *testing.T) {
		machine := soleOwner(t)
		first := grants(machine.Update(ask(2, 9)))[0]
		second := grants(machine.Update(ask(3, 1)))[0]
		third := grants(machine.Update(ask(4, 1)))[0]
		is := is.New(t)
		is.Equal(first.Tokens, 4) // of the five that a small bucket holds
		is.Equal(second.Tokens, 0)
		is.True(first.RetryAfter > 0)
		is.True(second.RetryAfter >= first.RetryAfter+300*time.Millisecond) // a token comes every 333 ms
		is.True(third.RetryAfter > second.RetryAfter)
	})
	t.Run("a rate below one a second names the time of its next token", func(t *testing.T) {
		machine := soleOwner(t)
		slow := map[string]quota.Limit{"few": {Rate: 0.1, Burst: 1}}
		machine.Update(quota.FleetChanged{At: at, Members: []quota.Member{{ID: "a", Live: true}, {ID: "b", Live: true}}, Limits: slow, Joined: true})
		reply := grants(machine.Update(ask(2, 9)))[0]
		is.New(t).True(reply.RetryAfter > 9*time.Second && reply.RetryAfter <= 10*time.Second)
	})
	t.Run("an owner that was frozen while its votes went to another one grants nothing", func(t *testing.T) {
		machine := soleOwner(t)
		at = 23 * time.Second
		machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Borrow{Slot: slotOfFew, Sequence: 5}})
		for _, grant := range grants(machine.Update(ask(2, 1))) {
			is.New(t).Equal(grant.Tokens, 0)
		}
	})
	t.Run("a workspace without a limit here is declined", func(t *testing.T) {
		machine := soleOwner(t)
		reply := grants(machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Ask{Workspace: "unknown", Sequence: 9, Tokens: 1}}))
		is.New(t).True(reply[0].Declined)
	})
	t.Run("a daemon that is not a member gets no reply", func(t *testing.T) {
		machine := soleOwner(t)
		effects := machine.Update(quota.MessageReceived{At: at, From: "stranger", Message: quota.Ask{Workspace: "few", Sequence: 2, Tokens: 1}})
		is.New(t).Equal(len(effects), 0)
	})
}

// TestRefusalsWithoutAsking guards against a daemon that asks the owner for each request
// over the quota, and against callers that are all sent back at the same time.
func TestRefusalsWithoutAsking(t *testing.T) {
	is := is.New(t)
	machine := &quota.Quota{Self: "a", Settings: quota.Settings{Window: testWindow, Overshoot: 0.1, Slack: 20}}
	machine.Update(quota.FleetChanged{Members: []quota.Member{{ID: "b", Live: true}}, Limits: limitsOfTest, Joined: true})
	at := 20 * time.Second
	want := func(id uint64) []quota.Effect {
		return machine.Update(quota.TokenWanted{At: at, ID: id, Workspace: "few", Deadline: at + time.Second})
	}
	ask := want(1)[0].(quota.Send).Message.(quota.Ask)
	machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Grant{Workspace: "few", Sequence: ask.Sequence, RetryAfter: 300 * time.Millisecond, Spread: time.Second}})
	times := map[time.Duration]bool{}
	for id := range uint64(10) {
		decide := want(2 + id)[0].(quota.Decide)
		is.Equal(decide.Decision.Verdict, quota.OverQuota)
		is.True(decide.Decision.RetryAfter >= 300*time.Millisecond)
		is.True(decide.Decision.RetryAfter <= 1300*time.Millisecond)
		times[decide.Decision.RetryAfter] = true
	}
	is.Equal(len(times), 10)
	peek := machine.Update(quota.TokenWanted{At: at, ID: 50, Workspace: "few", Peek: true})[0].(quota.Decide)
	is.Equal(peek.Decision.Verdict, quota.OverQuota)
	peek = machine.Update(quota.TokenWanted{At: at, ID: 51, Workspace: "large", Peek: true})[0].(quota.Decide)
	is.Equal(peek.Decision.Verdict, quota.Granted)
	at += 301 * time.Millisecond
	_, asks := want(99)[0].(quota.Send)
	is.True(asks)
}

// TestPartition guards against sides of a partition that each grant the whole quota: both
// fill their buckets for a while, and then get more requests than the quota.
func TestPartition(t *testing.T) {
	for _, sides := range []int{2, 3, 5} {
		network := newNetwork(1, 60, limitsOfTest)
		overload(network, 0.1, network.now+12*time.Second, network.anywhere)
		network.run(2 * time.Second)
		network.cut = func(from, to int) bool { return from%sides != to%sides }
		for _, observer := range network.daemons {
			for index := range observer.live {
				observer.live[index] = index%sides == observer.index%sides
			}
			network.after(network.detection(), func() { network.publish(observer) })
		}
		network.run(10 * time.Second)
		before := network.granted["large"]
		overload(network, 3, network.now+10*time.Second, network.anywhere)
		network.run(10 * time.Second)
		part := used(network, "large", before, 10*time.Second)
		t.Logf("%d sides: %.2f of the rate of the largest workspace in 10 s with the burst", sides, part)
		is.New(t).True(part > 0.8)
		expectBound(t, network)
	}
}

// ends returns how many requests of all workspaces were granted and how many were refused.
func (network *network) ends() (granted, refused int) {
	for workspace := range network.limits {
		granted += network.granted[workspace]
		refused += network.refused[workspace] + network.unreachable[workspace]
	}
	return granted, refused
}

// TestCutBetweenDataCentres guards against refusals while two data centres do not reach each
// other and all daemons are alive: the owner is reached through a third one.
func TestCutBetweenDataCentres(t *testing.T) {
	limits := map[string]quota.Limit{}
	for index := range 40 {
		limits[fmt.Sprintf("w%d", index)] = quota.Limit{Rate: 20, Burst: 20}
	}
	network := newNetwork(1, 60, limits)
	network.transit = 250 * time.Millisecond
	network.loadAll(1/1.6, 20*time.Second, network.anywhere)
	network.run(5 * time.Second)
	const dataCentres = 6
	network.cut = func(from, to int) bool {
		return min(from%dataCentres, to%dataCentres) == 0 && max(from%dataCentres, to%dataCentres) == 1
	}
	network.run(15 * time.Second)
	granted, refused := network.ends()
	t.Logf("granted %d, refused %d", granted, refused)
	is.New(t).True(refused*100 < granted)
	expectBound(t, network)
}

// TestLoss guards against refusals because single datagrams are lost.
func TestLoss(t *testing.T) {
	network := newNetwork(1, 60, limitsOfTest)
	network.loss = 0.05
	overload(network, 1/1.6, network.now+30*time.Second, network.anywhere)
	network.run(31 * time.Second)
	granted, refused := network.ends()
	t.Logf("granted %d, refused %d", granted, refused)
	is.New(t).True(refused*100 < granted)
}
