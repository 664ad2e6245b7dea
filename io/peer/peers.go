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

// Settings of the connections between daemons.
const (
	// MaxMessageSize bounds one message, in bytes.
	MaxMessageSize = 16 << 20
	streamWindow   = 256 << 10
	bufferSize     = 16 << 10
	maxBackoff     = time.Second
)

// Peers keeps the connections to other daemons. Set the fields before first
// use. It may be used by many goroutines.
type Peers struct {
	// Self and Server are this daemon: requests for its own target stay in the
	// process.
	Self   string
	Server *Server
	// Dial replaces the usual way to connect, if it is set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Stats counts what passes, if it is set.
	Stats stats.Handler

	lines       lines
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Open starts one request to the gate of a member. The request ends with the
// context. It may have to wait for a connection.
func (peers *Peers) Open(ctx context.Context, member kernel.Member) (CallStream, error) {
	if stream, ready := peers.OpenReady(ctx, member); ready {
		return stream, nil
	}
	return peers.openNew(ctx, member.ForwardAddress)
}

// OpenReady is Open if that needs no waiting.
func (peers *Peers) OpenReady(ctx context.Context, member kernel.Member) (CallStream, bool) {
	if member.ID == peers.Self {
		return peers.openOwn(ctx), true
	}
	return peers.openIdle(ctx, member.ForwardAddress)
}

func (peers *Peers) openOwn(ctx context.Context) CallStream {
	joined := newPipe(ctx)
	go func() {
		defer close(joined.done)
		_ = peers.Server.Serve(pipeGate{joined})
	}()
	return pipeCall{joined}
}

// Client returns a client of the daemon at an address.
func (peers *Peers) Client(address string) (peerpb.PeerClient, error) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if known, found := peers.connections[address]; found {
		return peerpb.NewPeerClient(known), nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address, peers.options()...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if peers.connections == nil {
		peers.connections = map[string]*grpc.ClientConn{}
	}
	peers.connections[address] = connection
	return peerpb.NewPeerClient(connection), nil
}

func (peers *Peers) options() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(streamWindow),
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
	if peers.Stats != nil {
		options = append(options, grpc.WithStatsHandler(peers.Stats))
	}
	return options
}

// Keep closes the connections that a view has no use for: control connections
// to others than neighbours and clerks, and idle lines to targets that are gone.
func (peers *Peers) Keep(view *kernel.View) {
	control, carry := map[string]bool{}, map[string]bool{}
	for _, neighbour := range view.Neighbours {
		control[neighbour.Address] = true
	}
	for _, clerks := range view.ClaimCoordinators {
		for _, id := range clerks {
			clerk, _ := view.Member(id)
			control[clerk.PeerAddress] = true
		}
	}
	for _, member := range view.Members {
		carry[member.ForwardAddress] = member.State != kernel.MemberDead
	}
	peers.lines.keep(carry)
	peers.keepControl(control)
}

// dropDelay is how long the other calls on a dropped connection get to end.
const dropDelay = 3 * time.Second

// Drop lets the next call to an address use a new control connection, after a
// call has got no answer in time: a connection may have gone silent for good
// while a new one works. The other calls on the old one may still end.
func (peers *Peers) Drop(address string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if connection, known := peers.connections[address]; known {
		delete(peers.connections, address)
		time.AfterFunc(dropDelay, func() { _ = connection.Close() })
	}
}

func (peers *Peers) keepControl(wanted map[string]bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for address, connection := range peers.connections {
		if !wanted[address] {
			delete(peers.connections, address)
			_ = connection.Close()
		}
	}
}

// NewRPCServer returns a gRPC server with the settings that daemons use.
func NewRPCServer(handler stats.Handler) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageSize),
		grpc.MaxSendMsgSize(MaxMessageSize),
		grpc.InitialWindowSize(streamWindow),
		grpc.WriteBufferSize(bufferSize),
		grpc.ReadBufferSize(bufferSize),
	}
	if handler != nil {
		options = append(options, grpc.StatsHandler(handler))
	}
	return grpc.NewServer(options...)
}
