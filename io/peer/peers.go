package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"ibislift/core/kernel"
	"ibislift/io/peer/peerpb"
	"ibislift/io/tcp"
)

// Limits of the connections between daemons. Sizes are in bytes.
const (
	// MaxMessageSize is the maximum size of a message.
	MaxMessageSize   = 16 << 20
	streamWindowSize = 256 << 10
	bufferSize       = 16 << 10
	// maxBackoff is the maximum delay between two attempts to connect.
	maxBackoff = time.Second
)

// Peers manages the connections to other daemons. Set the fields before first
// use. It is safe for concurrent use.
type Peers struct {
	// Self and Server are the ID and the server of this daemon. Requests for its
	// own target do not leave the process.
	Self   string
	Server *Server
	// Dial, if set, replaces tcp.Dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// CountBytes, if set, is called for each message of a forwarded request.
	CountBytes CountBytes
	// StatsHandler, if set, observes the gRPC connections.
	StatsHandler stats.Handler

	idleConns   connPool
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Open starts a request to the gate of a member and may wait for a new connection
// to open. The request is cancelled when the context ends.
func (peers *Peers) Open(ctx context.Context, member kernel.Member) (IngressStream, error) {
	if stream, ready := peers.OpenReady(ctx, member); ready {
		return stream, nil
	}
	return peers.openNew(ctx, member.ForwardAddress)
}

// OpenReady is like Open, but reports false instead of opening a new connection.
func (peers *Peers) OpenReady(ctx context.Context, member kernel.Member) (IngressStream, bool) {
	if member.ID == peers.Self {
		return peers.openLocal(ctx), true
	}
	return peers.openIdle(ctx, member.ForwardAddress)
}

func (peers *Peers) openLocal(ctx context.Context) IngressStream {
	requestPipe := newPipe(ctx)
	go func() {
		defer close(requestPipe.done)
		_ = peers.Server.ServeStream(gatePipeStream{requestPipe})
	}()
	return ingressPipeStream{requestPipe}
}

// Client returns a gRPC client for the daemon at an address.
func (peers *Peers) Client(address string) (peerpb.PeerClient, error) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if existing, found := peers.connections[address]; found {
		return peerpb.NewPeerClient(existing), nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address, peers.dialOptions()...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if peers.connections == nil {
		peers.connections = map[string]*grpc.ClientConn{}
	}
	peers.connections[address] = connection
	return peerpb.NewPeerClient(connection), nil
}

func (peers *Peers) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(streamWindowSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageSize), grpc.MaxCallSendMsgSize(MaxMessageSize)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: time.Second,
		}),
	}
	dial := tcp.Dial
	if peers.Dial != nil {
		dial = peers.Dial
	}
	options = append(options, grpc.WithContextDialer(dial))
	if peers.StatsHandler != nil {
		options = append(options, grpc.WithStatsHandler(peers.StatsHandler))
	}
	return options
}

// CloseUnused closes the connections that the view does not call for: control
// connections to daemons that are neither neighbours nor claim coordinators, and
// idle connections to the gates of dead members.
func (peers *Peers) CloseUnused(view *kernel.View) {
	controlAddresses, forwardAddresses := map[string]bool{}, map[string]bool{}
	for _, neighbour := range view.Neighbours {
		controlAddresses[neighbour.Address] = true
	}
	for _, coordinators := range view.ClaimCoordinators {
		for _, id := range coordinators {
			coordinator, _ := view.Member(id)
			controlAddresses[coordinator.PeerAddress] = true
		}
	}
	for _, member := range view.Members {
		forwardAddresses[member.ForwardAddress] = member.State != kernel.MemberDead
	}
	peers.idleConns.closeExcept(forwardAddresses)
	peers.closeUnusedControl(controlAddresses)
}

// dropGracePeriod is how long the remaining calls on a dropped connection may
// take to end.
const dropGracePeriod = 3 * time.Second

// DropConnection makes the next call to an address use a new control connection.
// It is used after a call has timed out, since a connection may stop responding
// for good while a new one works. Other calls on the old connection may still end
// within dropGracePeriod.
func (peers *Peers) DropConnection(address string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if connection, known := peers.connections[address]; known {
		delete(peers.connections, address)
		time.AfterFunc(dropGracePeriod, func() { _ = connection.Close() })
	}
}

func (peers *Peers) closeUnusedControl(wanted map[string]bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for address, connection := range peers.connections {
		if !wanted[address] {
			delete(peers.connections, address)
			_ = connection.Close()
		}
	}
}

// NewRPCServer returns a gRPC server with the limits and buffer sizes of the
// connections between daemons. The handler may be nil.
func NewRPCServer(handler stats.Handler) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageSize),
		grpc.MaxSendMsgSize(MaxMessageSize),
		grpc.InitialWindowSize(streamWindowSize),
		grpc.WriteBufferSize(bufferSize),
		grpc.ReadBufferSize(bufferSize),
	}
	if handler != nil {
		options = append(options, grpc.StatsHandler(handler))
	}
	return grpc.NewServer(options...)
}

// StopRPC stops a gRPC server. It takes no further calls, and calls in progress, such
// as claims, get their replies unless the context ends first.
func StopRPC(ctx context.Context, server *grpc.Server) {
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	server.GracefulStop()
}
