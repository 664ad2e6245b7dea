package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// coordinatorScript holds the results of the calls to a coordinator, in order.
// The last one repeats.
type coordinatorScript []kernel.ClaimStatus

// unreachable stands for a coordinator that does not reply.
const unreachable kernel.ClaimStatus = 99

// claimWithScripts asks coordinators that follow scripts, and also returns the
// order in which they were asked.
func claimWithScripts(ctx context.Context, scripts ...coordinatorScript) (kernel.ClaimResult, []int, error) {
	var turns []int
	result, err := askInTurn(ctx, len(scripts), func(turn int) (kernel.ClaimResult, error) {
		turns = append(turns, turn)
		script := scripts[turn]
		if len(script) > 1 {
			scripts[turn] = script[1:]
		}
		if script[0] == unreachable {
			return kernel.ClaimResult{}, errors.New("no reply")
		}
		return kernel.ClaimResult{Status: script[0]}, nil
	})
	return result, turns, err
}

func TestAskInTurn(t *testing.T) {
	ctx := context.Background()
	t.Run("the result of the first coordinator that decides is used", func(t *testing.T) {
		is := is.New(t)
		result, turns, err := claimWithScripts(ctx, coordinatorScript{unreachable}, coordinatorScript{kernel.ClaimOutcomeUnknown}, coordinatorScript{kernel.ClaimGranted})
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimOutcomeUnknown)
		is.Equal(turns, []int{0, 1})
	})
	t.Run("coordinators that have all lost the partition are asked in another round", func(t *testing.T) {
		is := is.New(t)
		lost := coordinatorScript{kernel.ClaimNotCoordinator}
		result, turns, err := claimWithScripts(ctx, coordinatorScript{kernel.ClaimNotCoordinator, kernel.ClaimGranted}, lost, lost)
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimGranted)
		is.Equal(turns, []int{0, 1, 2, 0})
	})
	t.Run("coordinators that cannot be reached are asked once", func(t *testing.T) {
		is := is.New(t)
		_, turns, err := claimWithScripts(ctx, coordinatorScript{unreachable}, coordinatorScript{unreachable})
		is.True(err != nil)
		is.Equal(turns, []int{0, 1})
	})
	t.Run("no further round after the context has ended", func(t *testing.T) {
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, turns, _ := claimWithScripts(cancelled, coordinatorScript{kernel.ClaimNotCoordinator}, coordinatorScript{kernel.ClaimNotCoordinator})
		is.New(t).Equal(turns, []int{0, 1})
	})
	t.Run("no claim without coordinators", func(t *testing.T) {
		result, _, err := claimWithScripts(ctx)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimUnavailable)
	})
}

// lateCoordinator is the Control of a claim coordinator that records the end of a
// claim only when it is released.
type lateCoordinator struct {
	peer.Control
	arrived  chan struct{}
	release  chan struct{}
	recorded *atomic.Int64
}

func (lateCoordinator lateCoordinator) CloseClaim(kernel.ClaimClosed) {
	lateCoordinator.arrived <- struct{}{}
	<-lateCoordinator.release
	lateCoordinator.recorded.Add(1)
}

// serve starts the coordinator and returns it as a member.
func (lateCoordinator lateCoordinator) serve(t *testing.T, name string) kernel.Member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	rpc := peer.NewRPCServer(nil)
	peerpb.RegisterPeerServer(rpc, &peer.Server{Control: lateCoordinator})
	go func() { _ = rpc.Serve(listener) }()
	t.Cleanup(rpc.Stop)
	return kernel.Member{ID: name, PeerAddress: listener.Addr().String()}
}

// A key whose request has not run stays claimed if its coordinators are not told.
func TestStopWaitsForTheEndOfClaims(t *testing.T) {
	newCoordinator := func() lateCoordinator {
		return lateCoordinator{arrived: make(chan struct{}, 2), release: make(chan struct{}), recorded: &atomic.Int64{}}
	}
	newClaims := func() *claims {
		control := newControl(kernel.Settings{Self: "ingress"})
		control.log = slog.New(slog.DiscardHandler)
		return &claims{control: control, peers: &peer.Peers{Self: "ingress"}}
	}
	released := kernel.ClaimClosed{RequestID: "17", Released: true}
	t.Run("all coordinators are told at the same time", func(t *testing.T) {
		is := is.New(t)
		claims, first, second := newClaims(), newCoordinator(), newCoordinator()
		claims.notify([]kernel.Member{first.serve(t, "first"), second.serve(t, "second")}, released)
		<-first.arrived
		select {
		case <-second.arrived: // although the first has not recorded it
		case <-time.After((maxCloseAttempts - 1) * peerTimeout): // the first fails later
			t.Fatal("one coordinator waits for the other")
		}
		close(first.release)
		close(second.release)
		is.NoErr(claims.awaitClosed(t.Context()))
		is.Equal(first.recorded.Load(), int64(1))
		is.Equal(second.recorded.Load(), int64(1))
	})
	t.Run("a stop that may take no longer does not wait", func(t *testing.T) {
		is := is.New(t)
		claims, coordinator := newClaims(), newCoordinator()
		defer close(coordinator.release)
		claims.notify([]kernel.Member{coordinator.serve(t, "first")}, released)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(errors.Is(claims.awaitClosed(ended), context.Canceled))
	})
	t.Run("a stop without claims does not wait", func(t *testing.T) {
		is.New(t).NoErr(newClaims().awaitClosed(t.Context()))
	})
}
