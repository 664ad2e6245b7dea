package daemon

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// scriptedCoordinator is a claim coordinator that gives the same reply to each claim.
type scriptedCoordinator struct {
	peerpb.UnimplementedPeerServer
	reply *peerpb.ClaimReply
}

func (scriptedCoordinator scriptedCoordinator) Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return scriptedCoordinator.reply, nil
}

// askScripted claims a key for request 17 at a coordinator with the given reply.
func askScripted(t *testing.T, reply *peerpb.ClaimReply) (kernel.ClaimResult, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	rpc := peer.NewRPCServer(nil)
	peerpb.RegisterPeerServer(rpc, scriptedCoordinator{reply: reply})
	go func() { _ = rpc.Serve(listener) }()
	t.Cleanup(rpc.Stop)
	claims := &claims{control: newControl(kernel.Settings{Self: "ingress"}), peers: &peer.Peers{Self: "ingress"}}
	coordinator := kernel.Member{ID: "coordinator", PeerAddress: listener.Addr().String()}
	return claims.askCoordinator(t.Context(), coordinator, kernel.ClaimRequested{Key: "k", RequestID: "17"})
}

// An empty reply has the status of a grant, 0. If it counted, two requests with the same
// key could run.
func TestRepliesToClaims(t *testing.T) {
	for _, reply := range []*peerpb.ClaimReply{
		{},
		{Holder: "16"},
		{Status: 5, Holder: "17"},
		{Status: 256, Holder: "17"},
		{Status: 1<<32 - 1, Holder: "17"},
	} {
		t.Run(fmt.Sprintf("invalid: %d %q", reply.GetStatus(), reply.GetHolder()), func(t *testing.T) {
			_, err := askScripted(t, reply)
			is.New(t).True(err != nil)
		})
	}
	for status, holder := range map[kernel.ClaimStatus]string{
		kernel.ClaimGranted: "17", kernel.ClaimAlreadyRun: "16", kernel.ClaimOutcomeUnknown: "16", kernel.ClaimUnavailable: "", kernel.ClaimNotCoordinator: "",
	} {
		t.Run(fmt.Sprintf("valid: %d", status), func(t *testing.T) {
			is := is.New(t)
			result, err := askScripted(t, &peerpb.ClaimReply{Status: uint32(status), Holder: holder})
			is.NoErr(err)
			is.Equal(result, kernel.ClaimResult{Status: status, Holder: holder})
		})
	}
}
