package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"ibislift/core/quota"
)

// setRegionless gives all daemons views with or without regions.
func (network *network) setRegionless(regionless bool) {
	network.regionless = regionless
	for _, daemon := range network.daemons {
		network.publish(daemon)
	}
}

// rankedMembers returns the daemons in the hash order of a workspace's slot.
func rankedMembers(network *network, workspace string) []*daemon {
	slot := uint32(xxhash.Sum64String(workspace) % 512)
	rank := func(daemon *daemon) uint64 {
		return xxhash.Sum64(append([]byte{byte(slot), byte(slot >> 8), 0, 0}, daemon.id...))
	}
	return slices.SortedFunc(slices.Values(network.daemons), func(one, other *daemon) int {
		if rank(one) < rank(other) {
			return -1
		}
		return 1
	})
}

// cachesOf returns the caches of a workspace in the regions other than its owner's.
func cachesOf(network *network, workspace string) []*daemon {
	ranked := rankedMembers(network, workspace)
	found := map[int]bool{ranked[0].index % regions: true}
	var caches []*daemon
	for _, daemon := range ranked {
		if region := daemon.index % regions; !found[region] {
			found[region] = true
			caches = append(caches, daemon)
		}
	}
	return caches
}

// expectShortWaits guards against requests that wait for a round trip to another region.
func expectShortWaits(t *testing.T, network *network, part float64) {
	t.Helper()
	short := 0
	for _, wait := range network.waited {
		if wait < 5*time.Millisecond {
			short++
		}
	}
	t.Logf("%d of %d requests waited for less than 5 ms", short, len(network.waited))
	is.New(t).True(float64(short) >= part*float64(len(network.waited)))
}

// TestWaitForToken guards against requests of an usual demand that wait for a round trip to
// another region.
func TestWaitForToken(t *testing.T) {
	for _, demand := range []float64{10, 120} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%.0f requests a second, seed %d", demand, seed), func(t *testing.T) {
				workspace := fmt.Sprintf("workspace-%d", seed)
				network := newNetwork(seed, 60, map[string]quota.Limit{workspace: {Rate: 1.6 * demand, Burst: 1.6 * demand}})
				network.load(workspace, demand, network.now+40*time.Second, network.anywhere)
				network.run(5 * time.Second)
				network.waited = nil
				network.run(36 * time.Second)
				is.New(t).Equal(network.refused[workspace]+network.unreachable[workspace], 0)
				expectShortWaits(t, network, 0.9)
			})
		}
	}
}

// TestKilledCache guards against service that stops or becomes slow when a cache is killed
// and nobody has noticed.
func TestKilledCache(t *testing.T) {
	for seed := range uint64(4) {
		network := newNetwork(seed, 60, map[string]quota.Limit{"large": {Rate: 203, Burst: 203}})
		network.load("large", 203/1.6, network.now+20*time.Second, network.anywhere)
		network.run(10 * time.Second)
		for _, cache := range cachesOf(network, "large") {
			network.kill(cache)
		}
		network.waited = nil
		network.run(time.Second)
		late := 0
		for _, wait := range network.waited {
			if wait > 120*time.Millisecond { // cacheTimeout, a tick, and the round trip to the owner
				late++
			}
		}
		t.Logf("seed %d: %d of %d waited for more than 120 ms; refused %d, unreachable %d", seed, late, len(network.waited), network.refused["large"], network.unreachable["large"])
		is.New(t).Equal(network.refused["large"]+network.unreachable["large"], 0)
		is.New(t).True(late*20 <= len(network.waited))
		network.run(8 * time.Second)
		network.waited = nil
		network.run(2 * time.Second)
		expectShortWaits(t, network, 0.9)
	}
}

// TestOneDaemon guards against a quota that callers at a single daemon cannot use because
// the cache of its region has some of it.
func TestOneDaemon(t *testing.T) {
	for index := range regions {
		network := newNetwork(1, 60, map[string]quota.Limit{"medium": {Rate: 20, Burst: 20}, "large": {Rate: 203, Burst: 203}})
		for _, workspace := range []string{"medium", "large"} {
			network.load(workspace, 1.5*network.limits[workspace].Rate, network.now+30*time.Second, func() int { return 30 + index })
		}
		network.run(30 * time.Second)
		for workspace := range network.limits {
			part := usedOfCentral(network, workspace)
			t.Logf("daemon %d, %s: %.3f", 30+index, workspace, part)
			is.New(t).True(part >= 0.95)
		}
		expectBound(t, network)
	}
}

// newCache returns a daemon that is the cache of a region for a workspace, its owner, and
// another daemon of the region.
func newCache(t *testing.T, workspace string) (machine *quota.Quota, owner, other string) {
	t.Helper()
	network := newNetwork(1, 9, limitsOfTest)
	cache := cachesOf(network, workspace)[0]
	var members []quota.Member
	for _, daemon := range network.daemons {
		members = append(members, quota.Member{ID: daemon.id, Live: true, Region: fmt.Sprint(daemon.index % regions)})
		if daemon != cache && daemon.index%regions == cache.index%regions {
			other = daemon.id
		}
	}
	machine = &quota.Quota{Self: cache.id, Settings: network.settings}
	machine.Update(quota.FleetChanged{Members: members, Limits: limitsOfTest, Joined: true})
	return machine, rankedMembers(network, workspace)[0].id, other
}

// sentTo returns the messages for a daemon.
func sentTo(effects []quota.Effect, to string) []quota.Message {
	var found []quota.Message
	for _, effect := range effects {
		if send, isSend := effect.(quota.Send); isSend && send.To == to {
			found = append(found, send.Message)
		}
	}
	return found
}

// TestCache guards against a cache that passes tokens on with more than their lease, or that
// becomes an owner.
func TestCache(t *testing.T) {
	at := 20 * time.Second
	// prepare has a request of another daemon passed to the owner, which grants it with one
	// token in advance 60 ms later.
	prepare := func(t *testing.T) (*quota.Quota, string, string) {
		t.Helper()
		is := is.New(t)
		machine, owner, other := newCache(t, "few")
		effects := machine.Update(quota.MessageReceived{At: at, From: other, Message: quota.Ask{Workspace: "few", Sequence: 1, Tokens: 1, Regional: true}})
		is.Equal(sentTo(effects, other), []quota.Message{quota.Grant{Workspace: "few", Sequence: 1, Queued: true}})
		asks := sentTo(effects, owner)
		is.Equal(len(asks), 1) // no votes are borrowed
		asked := asks[0].(quota.Ask)
		is.Equal(asked.Tokens-asked.Advance, 1)
		is.Equal(machine.Counts().Owned, 0)
		effects = machine.Update(quota.MessageReceived{At: at + 60*time.Millisecond, From: owner, Message: quota.Grant{Workspace: "few", Sequence: asked.Sequence, Tokens: 2}})
		passed := grants(effects)
		is.Equal(len(passed), 1)
		is.Equal(passed[0].Lease, 250*time.Millisecond) // it was requested after the request here
		return machine, owner, other
	}
	again := func(machine *quota.Quota, other string, after time.Duration) quota.Grant {
		return grants(machine.Update(quota.MessageReceived{At: at + after, From: other, Message: quota.Ask{Workspace: "few", Sequence: 2, Tokens: 1, Regional: true}}))[0]
	}
	t.Run("a cached token has the rest of its lease", func(t *testing.T) {
		machine, _, other := prepare(t)
		is.New(t).Equal(again(machine, other, 100*time.Millisecond).Lease, 150*time.Millisecond)
	})
	t.Run("a token with too little lease is not passed on", func(t *testing.T) {
		machine, _, other := prepare(t)
		is.New(t).True(again(machine, other, 235*time.Millisecond).Queued)
	})
	t.Run("a refusal is passed on", func(t *testing.T) {
		machine, owner, other := newCache(t, "few")
		asked := sentTo(machine.Update(quota.MessageReceived{At: at, From: other, Message: quota.Ask{Workspace: "few", Sequence: 1, Tokens: 1, Regional: true}}), owner)[0].(quota.Ask)
		reply := grants(machine.Update(quota.MessageReceived{At: at, From: owner, Message: quota.Grant{Workspace: "few", Sequence: asked.Sequence, RetryAfter: 300 * time.Millisecond, Spread: time.Second}}))[0]
		is.New(t).Equal(reply, quota.Grant{Workspace: "few", Sequence: 1, RetryAfter: 300 * time.Millisecond, Spread: time.Second})
	})
}

// TestReserve guards against a bucket that grants again what a cache still has, and against
// tokens that are put back twice.
func TestReserve(t *testing.T) {
	sequence := uint64(1)
	at := 21 * time.Second
	// update passes an event to the owner, and lends it the vote of b.
	update := func(machine *quota.Quota, event quota.Event) []quota.Effect {
		effects := machine.Update(event)
		for _, effect := range effects {
			send, _ := effect.(quota.Send)
			if borrow, isBorrow := send.Message.(quota.Borrow); isBorrow && send.To == "b" {
				machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Lend{Slot: borrow.Slot, Sequence: borrow.Sequence, Lent: true}})
			}
		}
		return effects
	}
	ask := func(machine *quota.Quota, ask quota.Ask) []quota.Grant {
		sequence++
		ask.Workspace, ask.Sequence = "few", sequence
		return grants(update(machine, quota.MessageReceived{At: at, From: "b", Message: ask}))
	}
	// hold gives a cache three of the five tokens, whose lease is renewed for two seconds.
	hold := func(t *testing.T) *quota.Quota {
		t.Helper()
		is := is.New(t)
		machine := soleOwner(t)
		at = 20 * time.Second
		ask(machine, quota.Ask{Tokens: 1}) // renews the votes
		at += time.Second
		is.Equal(ask(machine, quota.Ask{Tokens: 9, Advance: 9})[0].Tokens, 3) // a quarter of the burst stays
		for range 10 {
			at += 200 * time.Millisecond
			update(machine, quota.Ticked{At: at})
			is.Equal(ask(machine, quota.Ask{Held: 3})[0].Renewed, 3)
		}
		return machine
	}
	t.Run("what a cache has is not refilled", func(t *testing.T) {
		is.New(t).Equal(ask(hold(t), quota.Ask{Tokens: 9})[0].Tokens, 2)
	})
	t.Run("what it has used is refilled", func(t *testing.T) {
		machine := hold(t)
		at += 200 * time.Millisecond
		is.New(t).Equal(ask(machine, quota.Ask{Held: 1})[0].Renewed, 1)
		for range 5 {
			at += 200 * time.Millisecond
			update(machine, quota.Ticked{At: at})
		}
		is.New(t).True(ask(machine, quota.Ask{Tokens: 9})[0].Tokens >= 4)
	})
	t.Run("what it returns is granted to others once", func(t *testing.T) {
		is := is.New(t)
		machine := hold(t)
		is.Equal(len(ask(machine, quota.Ask{Returned: 3})), 0)
		is.Equal(len(ask(machine, quota.Ask{Returned: 3})), 0)
		is.Equal(ask(machine, quota.Ask{Tokens: 9})[0].Tokens, 5)
		is.Equal(len(ask(machine, quota.Ask{Returned: 3})), 0)
		is.Equal(ask(machine, quota.Ask{Tokens: 9})[0].Tokens, 0)
	})
	t.Run("a lease that has ended is not renewed", func(t *testing.T) {
		machine := hold(t)
		at += 260 * time.Millisecond
		is.New(t).Equal(ask(machine, quota.Ask{Tokens: 1, Held: 3})[0].Renewed, 0)
	})
}

// TestKilledOwner guards against caches that make service resume later after a kill of the
// owner.
func TestKilledOwner(t *testing.T) {
	// refusedAfter returns the refusals in the seconds after the kill.
	refusedAfter := func(seed uint64, regionless bool) int {
		network := newNetwork(seed, 60, map[string]quota.Limit{"large": {Rate: 203, Burst: 203}})
		network.setRegionless(regionless)
		network.load("large", 203/1.6, network.now+20*time.Second, network.anywhere)
		network.run(10 * time.Second)
		network.kill(rankedMembers(network, "large")[0])
		network.run(10 * time.Second)
		return network.refused["large"] + network.unreachable["large"]
	}
	with, without := 0, 0
	for seed := range uint64(6) {
		one, other := refusedAfter(seed, false), refusedAfter(seed, true)
		t.Logf("seed %d: %d refused with caches, %d without", seed, one, other)
		with, without = with+one, without+other
	}
	is.New(t).True(with <= without+without/20)
}

// TestWithoutCache guards against a trip to a cache that saves none: members without regions,
// a region with one daemon, and a region whose daemon is the owner.
func TestWithoutCache(t *testing.T) {
	asksCache := func(t *testing.T, region func(*daemon, *daemon) string) bool {
		t.Helper()
		network := newNetwork(1, 9, limitsOfTest)
		ranked := rankedMembers(network, "few")
		var members []quota.Member
		for _, daemon := range network.daemons {
			members = append(members, quota.Member{ID: daemon.id, Live: true, Region: region(daemon, ranked[0])})
		}
		machine := &quota.Quota{Self: ranked[8].id, Settings: network.settings}
		machine.Update(quota.FleetChanged{Members: members, Limits: limitsOfTest, Joined: true})
		send := machine.Update(quota.TokenWanted{At: time.Minute, ID: 1, Workspace: "few", Deadline: 2 * time.Minute})[0].(quota.Send)
		return send.Message.(quota.Ask).Regional
	}
	t.Run("another region than the owner's", func(t *testing.T) {
		is.New(t).True(asksCache(t, func(daemon, owner *daemon) string { return fmt.Sprint(daemon == owner) }))
	})
	t.Run("no regions", func(t *testing.T) {
		is.New(t).True(!asksCache(t, func(*daemon, *daemon) string { return "" }))
	})
	t.Run("one daemon in each region", func(t *testing.T) {
		is.New(t).True(!asksCache(t, func(daemon, _ *daemon) string { return daemon.id }))
	})
	t.Run("the owner's region", func(t *testing.T) {
		is.New(t).True(!asksCache(t, func(*daemon, *daemon) string { return "one" }))
	})
}
