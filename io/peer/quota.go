package peer

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"ibislift/core/quota"
	"ibislift/io/peer/peerpb"
)

const (
	// maxDatagramBytes is the size of the receive buffer for a datagram. It fits into a
	// packet of the usual 1500 bytes, so that datagrams are not fragmented.
	maxDatagramBytes = 1400
	// maxQuotaMessages limits the quota messages of a datagram.
	maxQuotaMessages = 64
)

// SendQuota sends messages about quotas to the daemon at an address, as few datagrams as
// possible. Lost messages are not repeated.
func (reporter *Reporter) SendQuota(address string, messages []quota.Message) {
	to, err := netip.ParseAddrPort(address)
	reporter.mutex.Lock()
	socket := reporter.socket
	reporter.mutex.Unlock()
	if err != nil || socket == nil {
		return
	}
	for len(messages) > 0 {
		encoded, count := reporter.encodeQuota(messages)
		messages = messages[count:]
		if encoded == nil {
			continue
		}
		// Reports yield to messages about quotas, since they share the control budget.
		_ = reporter.byteLimiter.AllowN(time.Now(), len(encoded)+datagramOverhead)
		// A datagram that cannot be sent is like one that is lost: the sender asks
		// another daemon after a time-out.
		_, _ = socket.WriteToUDPAddrPort(encoded, to)
		reporter.CountBytes.count("out", BytesQuota, address, len(encoded)+datagramOverhead)
	}
}

// encodeQuota encodes the first messages as one datagram, and returns how many they are.
// A message that does not fit alone is left out.
func (reporter *Reporter) encodeQuota(messages []quota.Message) (encoded []byte, count int) {
	datagram := &peerpb.Datagram{From: reporter.Self}
	for _, message := range messages[:min(len(messages), maxQuotaMessages)] {
		addQuotaMessage(datagram, message)
		if proto.Size(datagram) > maxDatagramBytes {
			break
		}
		count++
	}
	if count == 0 {
		return nil, 1
	}
	datagram = &peerpb.Datagram{From: reporter.Self}
	for _, message := range messages[:count] {
		addQuotaMessage(datagram, message)
	}
	encoded, err := proto.Marshal(datagram)
	if err != nil {
		return nil, count
	}
	return encoded, count
}

func addQuotaMessage(datagram *peerpb.Datagram, message quota.Message) {
	switch message := message.(type) {
	case quota.Ask:
		datagram.QuotaRequests = append(datagram.QuotaRequests, &peerpb.QuotaRequest{
			Workspace: message.Workspace, Sequence: message.Sequence, Tokens: uint32(message.Tokens), Fallback: message.Fallback,
			Regional: message.Regional, Advance: uint32(message.Advance), Held: uint32(message.Held), Returned: uint32(message.Returned),
		})
	case quota.Grant:
		datagram.QuotaGrants = append(datagram.QuotaGrants, &peerpb.QuotaGrant{
			Workspace: message.Workspace, Sequence: message.Sequence, Tokens: uint32(message.Tokens), Declined: message.Declined,
			RetryAfterMicroseconds: message.RetryAfter.Microseconds(), SpreadMicroseconds: message.Spread.Microseconds(),
			LeaseMicroseconds: message.Lease.Microseconds(), Renewed: uint32(message.Renewed), Queued: message.Queued,
		})
	case quota.Borrow:
		datagram.QuotaVoteRequests = append(datagram.QuotaVoteRequests, &peerpb.QuotaVoteRequest{
			Slot: message.Slot, Sequence: message.Sequence, Returned: message.Return, IdleMicroseconds: message.Idle.Microseconds(),
		})
	case quota.Lend:
		datagram.QuotaVoteReplies = append(datagram.QuotaVoteReplies, &peerpb.QuotaVoteReply{
			Slot: message.Slot, Sequence: message.Sequence, Lent: message.Lent,
			IdleMicroseconds: message.Idle.Microseconds(), LeftMicroseconds: message.Left.Microseconds(),
		})
	}
}

// quotaMessages decodes the messages about quotas of a datagram.
func quotaMessages(datagram *peerpb.Datagram) []quota.Message {
	var messages []quota.Message
	for _, request := range datagram.GetQuotaRequests() {
		messages = append(messages, quota.Ask{
			Workspace: request.GetWorkspace(), Sequence: request.GetSequence(), Tokens: int(request.GetTokens()), Fallback: request.GetFallback(),
			Regional: request.GetRegional(), Advance: int(request.GetAdvance()), Held: int(request.GetHeld()), Returned: int(request.GetReturned()),
		})
	}
	for _, grant := range datagram.GetQuotaGrants() {
		messages = append(messages, quota.Grant{
			Workspace: grant.GetWorkspace(), Sequence: grant.GetSequence(), Tokens: int(grant.GetTokens()), Declined: grant.GetDeclined(),
			RetryAfter: microseconds(grant.GetRetryAfterMicroseconds()), Spread: microseconds(grant.GetSpreadMicroseconds()),
			Lease: microseconds(grant.GetLeaseMicroseconds()), Renewed: int(grant.GetRenewed()), Queued: grant.GetQueued(),
		})
	}
	for _, request := range datagram.GetQuotaVoteRequests() {
		messages = append(messages, quota.Borrow{
			Slot: request.GetSlot(), Sequence: request.GetSequence(), Return: request.GetReturned(), Idle: microseconds(request.GetIdleMicroseconds()),
		})
	}
	for _, reply := range datagram.GetQuotaVoteReplies() {
		messages = append(messages, quota.Lend{
			Slot: reply.GetSlot(), Sequence: reply.GetSequence(), Lent: reply.GetLent(),
			Idle: microseconds(reply.GetIdleMicroseconds()), Left: microseconds(reply.GetLeftMicroseconds()),
		})
	}
	return messages
}

// maxQuotaTime is the longest time that a message about quotas may name. It keeps values
// that a faulty sender wrote from overflowing.
const maxQuotaTime = time.Hour

func microseconds(value int64) time.Duration {
	return time.Duration(min(max(0, value), maxQuotaTime.Microseconds())) * time.Microsecond
}
