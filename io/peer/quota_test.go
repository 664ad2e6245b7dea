package peer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/quota"
	"ibislift/io/peer"
)

// newQuotaReporter starts a reporter that passes on messages about quotas.
func newQuotaReporter(t *testing.T) (reporter *peer.Reporter, address string, received chan []quota.Message) {
	t.Helper()
	received = make(chan []quota.Message, 64)
	reporter, address = newReporter(t, func() admit.Load { return admit.Load{} }, func(receivedReport) {},
		func(reporter *peer.Reporter) {
			reporter.OnQuota = func(_ string, messages []quota.Message) { received <- messages }
		})
	return reporter, address, received
}

func TestQuotaMessages(t *testing.T) {
	_, address, received := newQuotaReporter(t)
	sender, _, _ := newQuotaReporter(t)
	t.Run("every field arrives", func(t *testing.T) {
		sent := []quota.Message{
			quota.Ask{Workspace: "acme", Sequence: 1 << 50, Tokens: 7, Fallback: true, Regional: true, Advance: 3, Held: 2, Returned: 1},
			quota.Grant{Workspace: "acme", Sequence: 3, Tokens: 4, RetryAfter: 30 * time.Millisecond, Spread: time.Second, Declined: true, Lease: 70 * time.Millisecond, Renewed: 2, Queued: true},
			quota.Borrow{Slot: 511, Sequence: 5, Return: true, Idle: time.Minute},
			quota.Lend{Slot: 1, Sequence: 6, Lent: true, Idle: 2 * time.Second, Left: time.Millisecond},
		}
		sender.SendQuota(address, sent)
		is.New(t).Equal(<-received, sent)
	})
	t.Run("messages of many workspaces share few datagrams, none longer than a packet", func(t *testing.T) {
		var sent, got []quota.Message
		for index := range 100 {
			sent = append(sent, quota.Ask{Workspace: fmt.Sprintf("workspace-%036d", index), Sequence: uint64(index), Tokens: 1})
		}
		sender.SendQuota(address, sent)
		datagrams := 0
		for len(got) < len(sent) {
			got = append(got, <-received...)
			datagrams++
		}
		is.New(t).Equal(got, sent)
		is.New(t).True(datagrams <= 6)
	})
	t.Run("a message that fits into no datagram does not hold up the others", func(t *testing.T) {
		short := quota.Ask{Workspace: "acme", Sequence: 1, Tokens: 1}
		sender.SendQuota(address, []quota.Message{quota.Ask{Workspace: fmt.Sprintf("%02000d", 1), Tokens: 1}, short})
		is.New(t).Equal(<-received, []quota.Message{short})
	})
	t.Run("a bad address is not used", func(*testing.T) { sender.SendQuota("nowhere", []quota.Message{quota.Ask{}}) })
}
