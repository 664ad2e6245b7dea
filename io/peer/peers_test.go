package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// lateControl is a Control that replies to claims when it is released.
type lateControl struct {
	peer.Control
	arrived chan struct{}
	release chan struct{}
}

func (lateControl lateControl) Claim(context.Context, kernel.ClaimRequested) (kernel.ClaimResult, error) {
	close(lateControl.arrived)
	<-lateControl.release
	return kernel.ClaimResult{Status: kernel.ClaimGranted}, nil
}

// An ingress whose claim is cut has to take over the partition.
func TestStopAnswersClaimsInProgress(t *testing.T) {
	for name, allowed := range map[string]bool{"the stop has time": true, "the stop may take no longer": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			control := lateControl{arrived: make(chan struct{}), release: make(chan struct{})}
			rpc := peer.NewRPCServer(nil)
			peerpb.RegisterPeerServer(rpc, &peer.Server{Control: control})
			go func() { _ = rpc.Serve(listener) }()
			client, err := (&peer.Peers{}).Client(listener.Addr().String())
			is.NoErr(err)
			claimed := make(chan error, 1)
			go func() {
				_, err := client.Claim(t.Context(), &peerpb.ClaimRequest{})
				claimed <- err
			}()
			<-control.arrived
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stopped := make(chan struct{})
			go func() {
				peer.StopRPC(ctx, rpc)
				close(stopped)
			}()
			awaitClosed(listener)
			if !allowed {
				cancel()
				is.True(<-claimed != nil)
			}
			close(control.release)
			if allowed {
				is.NoErr(<-claimed)
			}
			<-stopped
		})
	}
}

// awaitClosed waits until a listener takes no more connections.
func awaitClosed(listener net.Listener) {
	for {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
}
