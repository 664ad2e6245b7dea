package daemon

import (
	"context"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/once"
	"ibislift/io/metrics"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// claims asks the clerk of a key's partition, which may be this daemon.
type claims struct {
	control *control
	peers   *peer.Peers
	meter   *metrics.Meter
}

// clerkTimeout is how long a clerk may take before the next one is asked to
// take over.
const clerkTimeout = 500 * time.Millisecond

// claimRounds is how often all clerks are asked in turn: each may have lost the
// partition to one asked before it, and knows so only when it is asked.
const claimRounds = 3

// Claim asks for a key. If the partition's clerk cannot be reached or has lost
// it, the next one is asked to take over: the log decides which of them it is.
func (claims *claims) Claim(ctx context.Context, service, key, request string) (kernel.ClaimResult, error) {
	partition, clerks := claims.clerksOf(service, key)
	asked := kernel.ClaimRequested{Partition: partition, Key: fullKey(service, key), RequestID: request}
	result, err := askInTurn(ctx, len(clerks), func(turn int) (kernel.ClaimResult, error) {
		asked.TakeOver = turn > 0
		return claims.ask(ctx, clerks[turn], asked)
	})
	claims.meter.Claim(resultName(result, err))
	return result, err
}

// askInTurn asks the clerks until one decides. A further round is worth it only
// if a clerk was reached that said that it had lost the partition: that one
// takes it back when it is asked again.
func askInTurn(ctx context.Context, clerks int, ask func(turn int) (kernel.ClaimResult, error)) (kernel.ClaimResult, error) {
	result := kernel.ClaimResult{Status: kernel.ClaimUnavailable}
	var err error
	for range claimRounds {
		lost := false
		for turn := range clerks {
			result, err = ask(turn)
			if err == nil && result.Status != kernel.ClaimNotCoordinator {
				return result, nil
			}
			lost = lost || err == nil
		}
		if !lost || ctx.Err() != nil {
			break
		}
	}
	return result, err
}

func resultName(result kernel.ClaimResult, err error) string {
	switch {
	case err != nil:
		return "failed"
	case result.Status == kernel.ClaimGranted:
		return "granted"
	case result.Status == kernel.ClaimAlreadyRun, result.Status == kernel.ClaimOutcomeUnknown:
		return "held"
	default:
		return "unavailable"
	}
}

func (claims *claims) ask(ctx context.Context, clerk kernel.Member, asked kernel.ClaimRequested) (kernel.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, clerkTimeout)
	defer cancel()
	if clerk.ID == claims.control.kernel.Settings.Self {
		return claims.control.Claim(ctx, asked)
	}
	client, err := claims.peers.Client(clerk.PeerAddress)
	if err != nil {
		return kernel.ClaimResult{}, err
	}
	reply, err := client.Claim(ctx, &peerpb.ClaimRequest{
		Partition: uint32(asked.Partition), Key: asked.Key, RequestId: asked.RequestID, TakeOver: asked.TakeOver,
	})
	if err != nil {
		return kernel.ClaimResult{}, Error.Wrap(err)
	}
	return kernel.ClaimResult{Status: kernel.ClaimStatus(reply.GetStatus()), Holder: reply.GetHolder()}, nil
}

// CloseClaim tells the clerks how a claimed request ended; the one that holds
// the claim takes note. An end that is not heard of after some tries leaves
// the key claimed, which is safe.
func (claims *claims) CloseClaim(service, key, request string, released bool) {
	partition, clerks := claims.clerksOf(service, key)
	closed := kernel.ClaimClosed{Partition: partition, Key: fullKey(service, key), RequestID: request, Released: released}
	for _, clerk := range clerks {
		claims.tell(clerk, closed)
	}
}

func (claims *claims) tell(clerk kernel.Member, closed kernel.ClaimClosed) {
	if clerk.ID == claims.control.kernel.Settings.Self {
		claims.control.CloseClaim(closed)
		return
	}
	message := &peerpb.ClaimClosed{
		Partition: uint32(closed.Partition), Key: closed.Key, RequestId: closed.RequestID, Released: closed.Released,
	}
	var failed error
	for range closeTries {
		if failed = claims.tellOnce(clerk, message); failed == nil {
			return
		}
	}
	claims.control.log.Warn("a clerk was not told the end of a claim", "clerk", clerk.ID, "request", closed.RequestID, "error", failed)
}

// closeTries is how often a clerk is told the end of a claim until it answers.
const closeTries = 3

func (claims *claims) tellOnce(clerk kernel.Member, message *peerpb.ClaimClosed) error {
	client, err := claims.peers.Client(clerk.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	_, err = client.CloseClaim(ctx, message)
	return err
}

// clerksOf returns a key's partition, and its clerks in the order of their
// turn.
func (claims *claims) clerksOf(service, key string) (int, []kernel.Member) {
	view := claims.control.view.Load()
	if len(view.ClaimCoordinators) == 0 {
		return 0, nil
	}
	partition := once.PartitionOf(fullKey(service, key), len(view.ClaimCoordinators))
	var clerks []kernel.Member
	for _, id := range view.ClaimCoordinators[partition] {
		if member, known := view.Member(id); known {
			clerks = append(clerks, member)
		}
	}
	return partition, clerks
}

// fullKey keeps the keys of different services apart.
func fullKey(service, key string) string { return service + "/" + key }
