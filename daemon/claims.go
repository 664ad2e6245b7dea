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

// claimTries is how often a claim follows the clerk when it has moved.
const claimTries = 3

// claimPause is the time between two tries, in which views come together.
const claimPause = 100 * time.Millisecond

// Claim asks for a key. A clerk that is not the clerk any more is followed to
// the next one.
func (claims *claims) Claim(ctx context.Context, service, key, request string) (kernel.ClaimResult, error) {
	result := kernel.ClaimResult{Status: kernel.ClaimUnavailable}
	var err error
	for range claimTries {
		result, err = claims.try(ctx, service, key, request)
		if err != nil || result.Status != kernel.ClaimElsewhere {
			break
		}
		time.Sleep(claimPause)
	}
	claims.meter.Claim(resultName(result, err))
	return result, err
}

func resultName(result kernel.ClaimResult, err error) string {
	switch {
	case err != nil:
		return "failed"
	case result.Status == kernel.ClaimGranted:
		return "granted"
	case result.Status == kernel.ClaimRun, result.Status == kernel.ClaimUnknown:
		return "held"
	default:
		return "unavailable"
	}
}

func (claims *claims) try(ctx context.Context, service, key, request string) (kernel.ClaimResult, error) {
	clerk, partition, known := claims.clerkOf(service, key)
	if !known {
		return kernel.ClaimResult{Status: kernel.ClaimUnavailable}, nil
	}
	full := fullKey(service, key)
	if clerk.ID == claims.control.kernel.Settings.Self {
		return claims.control.Claim(ctx, kernel.ClaimAsked{Partition: partition, Key: full, Request: request})
	}
	client, err := claims.peers.Client(clerk.PeerAddress)
	if err != nil {
		return kernel.ClaimResult{}, err
	}
	reply, err := client.Claim(ctx, &peerpb.ClaimRequest{Partition: uint32(partition), Key: full, RequestId: request})
	if err != nil {
		return kernel.ClaimResult{}, Error.Wrap(err)
	}
	return kernel.ClaimResult{Status: kernel.ClaimStatus(reply.GetStatus()), Holder: reply.GetHolder()}, nil
}

// CloseClaim tells the clerk how a claimed request ended. It is not tried
// again: an end that is not heard of leaves the key claimed, which is safe.
func (claims *claims) CloseClaim(service, key, request string, released bool) {
	clerk, partition, known := claims.clerkOf(service, key)
	if !known {
		return
	}
	closed := kernel.ClaimClosed{Partition: partition, Key: fullKey(service, key), Request: request, Released: released}
	if clerk.ID == claims.control.kernel.Settings.Self {
		claims.control.CloseClaim(closed)
		return
	}
	client, err := claims.peers.Client(clerk.PeerAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	_, _ = client.CloseClaim(ctx, &peerpb.ClaimClosed{
		Partition: uint32(partition), Key: closed.Key, RequestId: request, Released: released,
	})
}

func (claims *claims) clerkOf(service, key string) (kernel.Member, int, bool) {
	view := claims.control.view.Load()
	if len(view.Clerks) == 0 {
		return kernel.Member{}, 0, false
	}
	partition := once.PartitionOf(fullKey(service, key), len(view.Clerks))
	clerk, known := view.Member(view.Clerks[partition])
	return clerk, partition, known
}

// fullKey keeps the keys of different services apart.
func fullKey(service, key string) string { return service + "/" + key }
