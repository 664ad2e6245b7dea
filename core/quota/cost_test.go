package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/quota"
)

// deployment returns limits like those of a deployment: a few large workspaces and many
// small ones, 1.6 times 650 requests a second in all.
func deployment() map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for index := range 72 {
		rate := 1 + float64(index%9)
		switch {
		case index < 2:
			rate = 203
		case index < 8:
			rate = 50
		}
		limits[fmt.Sprintf("workspace-%02d", index)] = quota.Limit{Rate: rate, Burst: rate}
	}
	return limits
}

// measure runs a fleet for some seconds and returns the messages a second of a daemon.
func measure(t *testing.T, size int, demand float64, regionless bool) float64 {
	t.Helper()
	network := newNetwork(1, size, deployment())
	network.setRegionless(regionless)
	total := 0.0
	for _, limit := range network.limits {
		total += limit.Rate * demand
	}
	network.loadAll(demand, 20*time.Second, network.anywhere)
	network.run(10 * time.Second)
	before := network.messages
	network.run(10 * time.Second)
	perDaemon := float64(network.messages-before) / 10 / float64(size)
	t.Logf("%d daemons, %.0f requests a second: %.1f messages a second from each daemon", size, total, perDaemon)
	return perDaemon
}

// TestMessages guards against messages that grow beyond the control budget of a daemon.
func TestMessages(t *testing.T) {
	t.Run("usual demand, no regions", func(t *testing.T) { is.New(t).True(measure(t, 60, 1/1.6, true) < 75) })
	t.Run("every workspace far over its quota, no regions", func(t *testing.T) { is.New(t).True(measure(t, 60, 4.7, true) < 170) })
	t.Run("300 daemons, no regions", func(t *testing.T) { is.New(t).True(measure(t, 300, 1/1.6, true) < 16) })
	// Caches have leases renewed: 95 messages of 72 bytes, sent and received, are 14 KB of
	// the 21 KB a second of a daemon.
	t.Run("usual demand", func(t *testing.T) { is.New(t).True(measure(t, 60, 1/1.6, false) < 95) })
	t.Run("every workspace far over its quota", func(t *testing.T) { is.New(t).True(measure(t, 60, 4.7, false) < 170) })
	t.Run("300 daemons", func(t *testing.T) { is.New(t).True(measure(t, 300, 1/1.6, false) < 20) })
}

// TestIdleWorkspaces guards against state and messages of workspaces that are not used.
func TestIdleWorkspaces(t *testing.T) {
	is := is.New(t)
	network := newNetwork(1, 12, deployment())
	network.loadAll(1, 3*time.Second, network.anywhere)
	network.run(80 * time.Second)
	before := network.messages
	network.run(10 * time.Second)
	is.Equal(network.messages, before)
	for _, daemon := range network.daemons {
		counts := daemon.machine.Counts()
		is.Equal(counts.Holdings+counts.Owned+counts.Buckets, 0)
		is.True(!daemon.machine.Active())
	}
}

// TestFirstRequestAfterAPause guards against the refusal of the first requests of a
// workspace that was idle, at any length of the pause.
func TestFirstRequestAfterAPause(t *testing.T) {
	for _, pause := range []time.Duration{6 * time.Second, 9950 * time.Millisecond, 11 * time.Second, 20 * time.Second, 40 * time.Second, 2 * time.Minute} {
		for seed := range uint64(20) {
			network := newNetwork(seed, 12, map[string]quota.Limit{"few": {Rate: 1, Burst: 6}})
			for round := range 3 {
				network.run(pause + time.Duration(network.random.IntN(100))*time.Millisecond)
				for range 6 {
					network.request((round*5)%12, "few")
				}
			}
			network.run(time.Second)
			if network.granted["few"] != 18 {
				t.Errorf("after pauses of %s, seed %d: granted %d of 18, refused %d, unreachable %d", pause, seed, network.granted["few"], network.refused["few"], network.unreachable["few"])
			}
		}
	}
}

// largeMachine returns a daemon of a fleet with 3,000 members and 10,000 workspaces.
func largeMachine() (*quota.Quota, []quota.Member, map[string]quota.Limit) {
	var members []quota.Member
	for index := range 3000 {
		members = append(members, quota.Member{ID: fmt.Sprintf("sidecar-%04d", index), Live: true})
	}
	limits := map[string]quota.Limit{}
	for index := range 10_000 {
		limits[fmt.Sprintf("workspace-%05d", index)] = quota.Limit{Rate: 10, Burst: 10}
	}
	machine := &quota.Quota{Self: members[0].ID, Settings: quota.Settings{Window: testWindow, Overshoot: 0.1, Slack: 20}}
	machine.Update(quota.FleetChanged{Members: members, Limits: limits, Joined: true})
	return machine, members, limits
}

// BenchmarkOwner is the work of an owner for a request for a token, with a vote reply for
// every tenth.
func BenchmarkOwner(b *testing.B) {
	machine, members, _ := largeMachine()
	at, sequence := 10*time.Second, uint64(0)
	for b.Loop() {
		sequence++
		at += 100 * time.Microsecond
		effects := machine.Update(quota.MessageReceived{At: at, From: members[1+sequence%2000].ID, Message: quota.Ask{
			Workspace: fmt.Sprintf("workspace-%05d", sequence%200), Sequence: sequence, Tokens: 1,
		}})
		for _, effect := range effects {
			send, isSend := effect.(quota.Send)
			if borrow, isBorrow := send.Message.(quota.Borrow); isSend && isBorrow {
				machine.Update(quota.MessageReceived{At: at, From: send.To, Message: quota.Lend{Slot: borrow.Slot, Sequence: borrow.Sequence, Lent: true, Idle: time.Minute}})
			}
		}
	}
}

// BenchmarkRequest is the work of a daemon for a request and the grant of its token.
func BenchmarkRequest(b *testing.B) {
	machine, _, _ := largeMachine()
	at, id := 10*time.Second, uint64(0)
	for b.Loop() {
		id++
		at += 100 * time.Millisecond
		workspace := fmt.Sprintf("workspace-%05d", id%200)
		for _, effect := range machine.Update(quota.TokenWanted{At: at, ID: id, Workspace: workspace, Deadline: at + time.Second}) {
			if send, isSend := effect.(quota.Send); isSend {
				if ask, isAsk := send.Message.(quota.Ask); isAsk {
					machine.Update(quota.MessageReceived{At: at, From: send.To, Message: quota.Grant{Workspace: workspace, Sequence: ask.Sequence, Tokens: 1}})
				}
			}
		}
	}
}

// BenchmarkFleetChanged is the work after a change of the members, with 20 slots in use.
func BenchmarkFleetChanged(b *testing.B) {
	machine, members, limits := largeMachine()
	id := uint64(0)
	for b.Loop() {
		id++
		members[1].Live = !members[1].Live
		machine.Update(quota.FleetChanged{At: 10 * time.Second, Members: members, Limits: limits, Joined: true})
		for index := range 20 {
			machine.Update(quota.TokenWanted{At: 10 * time.Second, ID: id, Workspace: fmt.Sprintf("workspace-%05d", (id*20+uint64(index))%10_000), Deadline: time.Minute})
		}
	}
}

// BenchmarkState reports the memory of a daemon that gets requests of 1,000 workspaces and
// owns those of some.
func BenchmarkState(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		machine, members, _ := largeMachine()
		runtime.GC()
		runtime.ReadMemStats(&before)
		for index := range uint64(1000) {
			workspace := fmt.Sprintf("workspace-%05d", index)
			machine.Update(quota.TokenWanted{At: 10 * time.Second, ID: index, Workspace: workspace, Deadline: time.Minute})
			machine.Update(quota.MessageReceived{At: 10 * time.Second, From: members[1+index%2999].ID, Message: quota.Ask{Workspace: workspace, Sequence: index + 1, Tokens: 1}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1000, "B/workspace")
		runtime.KeepAlive(machine)
	}
}

// BenchmarkTick is the work of a tick, of which there are 50 a second, at a daemon that gets
// requests of 100 workspaces and owns 20.
func BenchmarkTick(b *testing.B) {
	machine, members, _ := largeMachine()
	at := 10 * time.Second
	for index := range uint64(100) {
		machine.Update(quota.TokenReturned{At: at, Workspace: fmt.Sprintf("workspace-%05d", index), Expires: time.Hour})
	}
	for index := range uint64(20) {
		machine.Update(quota.MessageReceived{At: at, From: members[1].ID, Message: quota.Ask{Workspace: fmt.Sprintf("workspace-%05d", index), Sequence: index + 1, Tokens: 1}})
	}
	for b.Loop() {
		machine.Update(quota.Ticked{At: at})
	}
}

// BenchmarkViewChanged is the work after a change of the view that leaves the members as
// they are.
func BenchmarkViewChanged(b *testing.B) {
	machine, members, limits := largeMachine()
	for b.Loop() {
		machine.Update(quota.FleetChanged{At: 10 * time.Second, Members: members, Limits: limits, Joined: true})
	}
}
