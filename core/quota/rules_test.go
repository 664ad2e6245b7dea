package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/quota"
)

// newMachine returns a daemon a that was started at a time and knows the members.
func newMachine(startedAt time.Duration, members ...string) *quota.Quota {
	machine := &quota.Quota{Self: "a", Settings: quota.Settings{Window: testWindow, Overshoot: 0.1, Slack: 20}, StartedAt: startedAt}
	var fleet []quota.Member
	for _, id := range members {
		fleet = append(fleet, quota.Member{ID: id, Live: true})
	}
	machine.Update(quota.FleetChanged{At: startedAt, Members: fleet, Limits: limitsOfTest, Joined: true})
	return machine
}

// lend passes a request for a vote to a daemon and returns its reply.
func lend(machine *quota.Quota, at time.Duration, from string, borrow quota.Borrow) quota.Lend {
	for _, effect := range machine.Update(quota.MessageReceived{At: at, From: from, Message: borrow}) {
		send, _ := effect.(quota.Send)
		if reply, isLend := send.Message.(quota.Lend); isLend && send.To == from {
			return reply
		}
	}
	return quota.Lend{}
}

// TestVoter guards against votes that two daemons have at the same time.
func TestVoter(t *testing.T) {
	const at = time.Minute
	t.Run("a vote is lent to one daemon at a time", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(0, "a", "b", "c")
		is.True(lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 1}).Lent)
		is.True(!lend(machine, at+1100*time.Millisecond, "c", quota.Borrow{Slot: 1, Sequence: 1}).Lent)
		is.True(lend(machine, at+2*time.Second, "c", quota.Borrow{Slot: 1, Sequence: 2}).Lent)
	})
	t.Run("a daemon that has just started lends nothing, since it may have lent before", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(at, "a", "b", "c")
		is.True(!lend(machine, at+1100*time.Millisecond, "b", quota.Borrow{Slot: 1, Sequence: 1}).Lent)
		is.True(lend(machine, at+1300*time.Millisecond, "b", quota.Borrow{Slot: 1, Sequence: 2}).Lent)
	})
	t.Run("a returned vote is free", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(0, "a", "b", "c")
		is.True(lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 3}).Lent)
		lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 3, Return: true, Idle: time.Second})
		reply := lend(machine, at, "c", quota.Borrow{Slot: 1, Sequence: 1})
		is.True(reply.Lent)
		is.Equal(reply.Idle, time.Second)
	})
	t.Run("a late return of an earlier loan has no effect", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(0, "a", "b", "c")
		is.True(lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 3}).Lent)
		is.True(lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 5}).Lent)
		lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 3, Return: true})
		is.True(!lend(machine, at, "c", quota.Borrow{Slot: 1, Sequence: 1}).Lent)
	})
	t.Run("a request that was sent before a return and overtaken by it is not granted", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(0, "a", "b", "c")
		is.True(lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 3}).Lent)
		lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 5, Return: true})
		is.True(!lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 5}).Lent)
		is.True(lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 6}).Lent)
	})
	t.Run("a slot that does not exist is not kept", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(0, "a", "b", "c")
		is.True(!lend(machine, at, "b", quota.Borrow{Slot: 512, Sequence: 1}).Lent)
		is.True(!machine.Active())
	})
	t.Run("a return by another daemon has no effect", func(t *testing.T) {
		machine := newMachine(0, "a", "b", "c")
		lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 3})
		lend(machine, at, "c", quota.Borrow{Slot: 1, Sequence: 9, Return: true})
		is.New(t).True(!lend(machine, at, "c", quota.Borrow{Slot: 1, Sequence: 10}).Lent)
	})
	t.Run("a vote that was in use is not lent with unused time", func(t *testing.T) {
		is := is.New(t)
		machine := newMachine(0, "a", "b", "c")
		lend(machine, at, "b", quota.Borrow{Slot: 1, Sequence: 1})
		is.Equal(lend(machine, at+1300*time.Millisecond, "c", quota.Borrow{Slot: 1, Sequence: 1}).Idle, 100*time.Millisecond)
	})
}

// tokensAfter asks an owner that has borrowed the vote of b for tokens, and returns how many
// it grants. replyAfter is the time between its request for the vote and the reply, askAfter
// the time between that and the request for tokens.
func tokensAfter(t *testing.T, replyAfter, askAfter time.Duration) int {
	t.Helper()
	machine := newMachine(0, "a", "b")
	at := 20 * time.Second
	// The daemon's own vote belongs to b.
	is.New(t).True(lend(machine, at, "b", quota.Borrow{Slot: slotOfFew, Sequence: 1}).Lent)
	var borrowed quota.Borrow
	for _, effect := range machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Ask{Workspace: "few", Sequence: 2, Tokens: 1}}) {
		send, _ := effect.(quota.Send)
		if borrow, isBorrow := send.Message.(quota.Borrow); isBorrow {
			borrowed = borrow
		}
	}
	at += replyAfter
	count := 0
	for _, grant := range grants(machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Lend{Slot: slotOfFew, Sequence: borrowed.Sequence, Lent: true, Idle: time.Minute}})) {
		count += grant.Tokens
	}
	at += askAfter
	lend(machine, at, "b", quota.Borrow{Slot: slotOfFew, Sequence: 3})
	for _, grant := range grants(machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Ask{Workspace: "few", Sequence: 4, Tokens: 1}})) {
		count += grant.Tokens
	}
	return count
}

// TestVoteLease guards against an owner that counts on a vote which its voter may have lent
// to another one meanwhile.
func TestVoteLease(t *testing.T) {
	t.Run("a vote that came in time is used", func(t *testing.T) {
		is.New(t).Equal(tokensAfter(t, 30*time.Millisecond, 30*time.Millisecond), 2)
	})
	t.Run("the lease counts from before the request", func(t *testing.T) {
		is.New(t).Equal(tokensAfter(t, 1100*time.Millisecond, 200*time.Millisecond), 1)
	})
	t.Run("a vote that came after its lease is not used", func(t *testing.T) {
		is.New(t).Equal(tokensAfter(t, 1300*time.Millisecond, 10*time.Millisecond), 0)
	})
}

// TestTokenLease guards against tokens that are used so late that they count in another
// window than that in which they were granted.
func TestTokenLease(t *testing.T) {
	// verdictAfter has one token granted to a request that has left, and returns whether a
	// request gets it some time after it was requested.
	spendable := func(t *testing.T, replyAfter, useAfter time.Duration) bool {
		t.Helper()
		machine := newMachine(0, "b")
		at := 20 * time.Second
		ask := machine.Update(quota.TokenWanted{At: at, ID: 1, Workspace: "few", Deadline: at + time.Second})[0].(quota.Send).Message.(quota.Ask)
		machine.Update(quota.WaitEnded{At: at, ID: 1, Workspace: "few"})
		machine.Update(quota.MessageReceived{At: at + replyAfter, From: "b", Message: quota.Grant{Workspace: "few", Sequence: ask.Sequence, Tokens: 1}})
		decide, decided := machine.Update(quota.TokenWanted{At: at + useAfter, ID: 2, Workspace: "few", Immediate: true})[0].(quota.Decide)
		return decided && decide.Decision.Verdict == quota.Granted
	}
	t.Run("in time", func(t *testing.T) { is.New(t).True(spendable(t, 60*time.Millisecond, 240*time.Millisecond)) })
	t.Run("after the lease", func(t *testing.T) { is.New(t).True(!spendable(t, 60*time.Millisecond, 260*time.Millisecond)) })
	t.Run("granted late", func(t *testing.T) { is.New(t).True(!spendable(t, 260*time.Millisecond, 270*time.Millisecond)) })
	t.Run("a repeated grant counts once", func(t *testing.T) {
		machine := newMachine(0, "b")
		at := 20 * time.Second
		ask := machine.Update(quota.TokenWanted{At: at, ID: 1, Workspace: "few", Deadline: at + time.Second})[0].(quota.Send).Message.(quota.Ask)
		grant := quota.MessageReceived{At: at, From: "b", Message: quota.Grant{Workspace: "few", Sequence: ask.Sequence, Tokens: 1}}
		machine.Update(grant)
		machine.Update(grant)
		decide := machine.Update(quota.TokenWanted{At: at, ID: 2, Workspace: "few", Immediate: true})[0].(quota.Decide)
		is.New(t).True(decide.Decision.Verdict != quota.Granted)
	})
	t.Run("a returned token keeps its lease", func(t *testing.T) {
		machine := newMachine(0, "b")
		machine.Update(quota.TokenReturned{At: time.Second, Workspace: "few", Expires: 1100 * time.Millisecond})
		decide := machine.Update(quota.TokenWanted{At: 1200 * time.Millisecond, ID: 2, Workspace: "few", Immediate: true})[0].(quota.Decide)
		is.New(t).True(decide.Decision.Verdict != quota.Granted)
	})
}

// TestWaits guards against requests that wait for ever, or not long enough for a reply.
func TestWaits(t *testing.T) {
	decidedAfter := func(deadline time.Duration) time.Duration {
		machine := newMachine(0, "b")
		const at = time.Second
		machine.Update(quota.TokenWanted{At: at, ID: 1, Workspace: "few", Deadline: at + deadline})
		for after := time.Duration(0); after < 2*time.Second; after += quota.TickInterval {
			for _, effect := range machine.Update(quota.Ticked{At: at + after}) {
				if decide, isDecide := effect.(quota.Decide); isDecide && decide.Decision.Verdict == quota.Unreachable && decide.Decision.RetryAfter > 0 {
					return after
				}
			}
		}
		return -1
	}
	t.Run("at most MaxWait", func(t *testing.T) {
		after := decidedAfter(10 * time.Second)
		is.New(t).True(after >= 200*time.Millisecond && after <= quota.MaxWait)
	})
	t.Run("not beyond the deadline of the request", func(t *testing.T) {
		is.New(t).Equal(decidedAfter(100*time.Millisecond), 100*time.Millisecond)
	})
}

// TestOutage guards against callers that use up their retries while no vote can be lent yet,
// after all daemons have been restarted.
func TestOutage(t *testing.T) {
	machine := newMachine(0, "b")
	const at = 100 * time.Millisecond
	machine.Update(quota.TokenWanted{At: at, ID: 1, Workspace: "few", Deadline: 10 * time.Second})
	for now := at; now < time.Second; now += quota.TickInterval {
		for _, effect := range machine.Update(quota.Ticked{At: now}) {
			if decide, isDecide := effect.(quota.Decide); isDecide {
				is.New(t).True(now+decide.Decision.RetryAfter >= 1200*time.Millisecond)
				return
			}
		}
	}
	t.Error("the request was not decided")
}

// TestRelay guards against tokens that are passed on after a part of their lease, which the
// daemon that gets them would count from its own request.
func TestRelay(t *testing.T) {
	is := is.New(t)
	machine := newMachine(0, "b", "c")
	at := 20 * time.Second
	machine.Update(quota.TokenReturned{At: at, Workspace: "few", Expires: at + 200*time.Millisecond})
	machine.Update(quota.MessageReceived{At: at, From: "c", Message: quota.Ask{Workspace: "few", Sequence: 7, Tokens: 3, Fallback: true}})
	at += 80 * time.Millisecond // the voters have not replied
	var asked quota.Ask
	for _, effect := range machine.Update(quota.Ticked{At: at}) {
		send, _ := effect.(quota.Send)
		if ask, isAsk := send.Message.(quota.Ask); isAsk {
			is.Equal(asked.Sequence, uint64(0)) // one request
			is.True(!ask.Fallback)              // it is not relayed again
			asked = ask
		}
		_, isGrant := send.Message.(quota.Grant)
		is.True(!isGrant)
	}
	relayed := grants(machine.Update(quota.MessageReceived{At: at, From: "b", Message: quota.Grant{Workspace: "few", Sequence: asked.Sequence, Tokens: asked.Tokens}}))
	if len(relayed) == 0 {
		relayed = grants(machine.Update(quota.MessageReceived{At: at, From: "c", Message: quota.Grant{Workspace: "few", Sequence: asked.Sequence, Tokens: asked.Tokens}}))
	}
	is.Equal(len(relayed), 1)
	is.Equal(relayed[0], quota.Grant{Workspace: "few", Sequence: 7, Tokens: 1})
}
