package daemon

import (
	"context"
	"sync"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/once"
	"ibislift/io/metrics"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// claims sends claim requests to the coordinator of a key's partition, which
// may be this daemon.
type claims struct {
	control *control
	peers   *peer.Peers
	meter   *metrics.Meter
	// notices counts the notices that are being sent to coordinators.
	notices sync.WaitGroup
}

// coordinatorTimeout bounds a request to one coordinator. After it, the next
// coordinator is asked to take over the partition.
const coordinatorTimeout = 500 * time.Millisecond

// maxClaimRounds bounds how often all coordinators are asked in turn. One round
// may not be enough: if one coordinator takes over the partition and another
// still considers itself in charge, the latter detects the loss only when it is
// asked, and its reply is then that it has lost the partition.
const maxClaimRounds = 3

// Claim requests the claim for a key. If the partition's coordinator cannot be
// reached or has lost the partition, the next one is asked to take over. The
// partition's log decides which of them succeeds.
func (claims *claims) Claim(ctx context.Context, service, key, requestID string) (kernel.ClaimResult, error) {
	partition, coordinators := claims.coordinatorsOf(service, key)
	request := kernel.ClaimRequested{Partition: partition, Key: fullKey(service, key), RequestID: requestID}
	result, err := askInTurn(ctx, len(coordinators), func(turn int) (kernel.ClaimResult, error) {
		request.TakeOver = turn > 0
		return claims.askCoordinator(ctx, coordinators[turn], request)
	})
	claims.meter.Claim(resultLabel(result, err))
	return result, err
}

// askInTurn asks the coordinators one after another until one of them decides.
// It starts another round only if a coordinator replied that it has lost the
// partition, since that one reclaims the partition when it is asked again.
func askInTurn(ctx context.Context, coordinators int, ask func(turn int) (kernel.ClaimResult, error)) (kernel.ClaimResult, error) {
	result := kernel.ClaimResult{Status: kernel.ClaimUnavailable}
	var err error
	for range maxClaimRounds {
		lost := false
		for turn := range coordinators {
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

func resultLabel(result kernel.ClaimResult, err error) string {
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

func (claims *claims) askCoordinator(ctx context.Context, coordinator kernel.Member, request kernel.ClaimRequested) (kernel.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	if coordinator.ID == claims.control.kernel.Settings.Self {
		return claims.control.Claim(ctx, request)
	}
	client, err := claims.peers.Client(coordinator.PeerAddress)
	if err != nil {
		return kernel.ClaimResult{}, err
	}
	reply, err := client.Claim(ctx, &peerpb.ClaimRequest{
		Partition: uint32(request.Partition), Key: request.Key, RequestId: request.RequestID, TakeOver: request.TakeOver,
	})
	if err != nil {
		return kernel.ClaimResult{}, Error.Wrap(err)
	}
	return decodeClaimReply(reply, request.RequestID)
}

// decodeClaimReply converts a coordinator's reply to the claim of a request. An empty reply
// has the status of a grant, so a grant has to name the request.
func decodeClaimReply(reply *peerpb.ClaimReply, requestID string) (kernel.ClaimResult, error) {
	if reply.GetStatus() > uint32(kernel.ClaimNotCoordinator) {
		return kernel.ClaimResult{}, Error.New("a claim ended with the unknown status %d", reply.GetStatus())
	}
	result := kernel.ClaimResult{Status: kernel.ClaimStatus(reply.GetStatus()), Holder: reply.GetHolder()}
	if result.Status == kernel.ClaimGranted && result.Holder != requestID {
		return kernel.ClaimResult{}, Error.New("a claim was granted to another request")
	}
	return result, nil
}

// CloseClaim notifies all coordinators of a partition that a claimed request
// has ended; only the one that holds the claim records it. If the notice does
// not arrive after some attempts, the key stays claimed, which is safe. CloseClaim
// returns at once; awaitClosed waits for the notices.
func (claims *claims) CloseClaim(service, key, requestID string, released bool) {
	partition, coordinators := claims.coordinatorsOf(service, key)
	closed := kernel.ClaimClosed{Partition: partition, Key: fullKey(service, key), RequestID: requestID, Released: released}
	claims.notify(coordinators, closed)
}

// notify notifies the coordinators at the same time, so that one that does not reply
// does not delay the notice to the one that holds the claim.
func (claims *claims) notify(coordinators []kernel.Member, closed kernel.ClaimClosed) {
	for _, coordinator := range coordinators {
		claims.notices.Go(func() { claims.notifyClosed(coordinator, closed) })
	}
}

// awaitClosed waits until the coordinators have been notified of all claims that were
// closed before, or the context ends. A stop that does not wait would leave keys
// claimed whose callers may send their request again.
func (claims *claims) awaitClosed(ctx context.Context) error {
	notified := make(chan struct{})
	go func() {
		claims.notices.Wait()
		close(notified)
	}()
	select {
	case <-notified:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (claims *claims) notifyClosed(coordinator kernel.Member, closed kernel.ClaimClosed) {
	if coordinator.ID == claims.control.kernel.Settings.Self {
		claims.control.CloseClaim(closed)
		return
	}
	message := &peerpb.ClaimClosed{
		Partition: uint32(closed.Partition), Key: closed.Key, RequestId: closed.RequestID, Released: closed.Released,
	}
	var lastErr error
	for range maxCloseAttempts {
		if lastErr = claims.sendClose(coordinator, message); lastErr == nil {
			return
		}
	}
	// The log field for the name of the claim coordinator is called clerk.
	claims.control.log.Warn("claim coordinator not notified of the end of a claim", "clerk", coordinator.ID, "request", closed.RequestID, "error", lastErr)
}

// maxCloseAttempts bounds how often the notice that a claim has ended is sent
// to a coordinator that does not confirm it.
const maxCloseAttempts = 3

func (claims *claims) sendClose(coordinator kernel.Member, message *peerpb.ClaimClosed) error {
	client, err := claims.peers.Client(coordinator.PeerAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	_, err = client.CloseClaim(ctx, message)
	return err
}

// coordinatorsOf returns a key's partition and its coordinators in the order in
// which they are asked.
func (claims *claims) coordinatorsOf(service, key string) (int, []kernel.Member) {
	view := claims.control.view.Load()
	if len(view.ClaimCoordinators) == 0 {
		return 0, nil
	}
	partition := once.PartitionOf(fullKey(service, key), len(view.ClaimCoordinators))
	var coordinators []kernel.Member
	for _, id := range view.ClaimCoordinators[partition] {
		if member, known := view.Member(id); known {
			coordinators = append(coordinators, member)
		}
	}
	return partition, coordinators
}

// fullKey adds the service to a key, since different services may use the same
// keys.
func fullKey(service, key string) string { return service + "/" + key }
