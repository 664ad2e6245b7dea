// Package link simulates the network links between data centres and regions. It
// gives loopback connections a latency, and lets a test cut them in one
// direction or in both.
//
// The IP address of an instance encodes its location: 127.R.D.N is the N-th
// instance of data centre D in region R.
//
// # Usage
//
//	links := &link.Links{LocalIP: "127.11.1.1", RegionLatency: 30 * time.Millisecond}
//	conn, err := links.Dial(ctx, "127.12.1.1:8001")
//	links.Cut("12", link.Both)
package link

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction in which a link is cut, seen from the local
// instance.
type Direction string

// The directions of a cut. None means that the link works.
const (
	None Direction = ""
	Out  Direction = "out"
	In   Direction = "in"
	Both Direction = "both"
)

// Links simulates the links of one instance. Set the exported fields before the
// first use.
type Links struct {
	// LocalIP is the IP address of the instance.
	LocalIP string
	// DataCentreLatency is the one-way latency between data centres of a region,
	// RegionLatency that between regions.
	DataCentreLatency time.Duration
	RegionLatency     time.Duration

	bytesOut atomic.Int64
	bytesIn  atomic.Int64
	mutex    sync.Mutex
	cuts     map[string]Direction
	changed  chan struct{}
}

// Traffic holds the bytes of TCP payload sent and received over the connections
// that an instance has opened.
type Traffic struct {
	Out int64 `json:"out"`
	In  int64 `json:"in"`
}

// Traffic returns the bytes sent and received so far.
func (links *Links) Traffic() Traffic {
	return Traffic{Out: links.bytesOut.Load(), In: links.bytesIn.Load()}
}

// errCut is returned by Dial if the link to the address is cut.
var errCut = errors.New("the link is cut")

// Cut cuts the links to all addresses in a location: "12" stands for region 12,
// that is 127.12.*, and "12.1" for data centre 1 of that region. The direction
// None restores the links.
func (links *Links) Cut(location string, direction Direction) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.cuts == nil {
		links.cuts = map[string]Direction{}
	}
	links.cuts[location] = direction
	if links.changed != nil {
		close(links.changed)
	}
	links.changed = make(chan struct{})
}

// cutTo returns the direction in which the link to an address is cut, and a
// channel that is closed when a link is next cut or restored.
func (links *Links) cutTo(address string) (Direction, <-chan struct{}) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.changed == nil {
		links.changed = make(chan struct{})
	}
	for location, direction := range links.cuts {
		if direction != None && strings.HasPrefix(address, "127."+location+".") {
			return direction, links.changed
		}
	}
	return None, links.changed
}

// latency returns the one-way latency to an address.
func (links *Links) latency(address string) time.Duration {
	local, remote := strings.Split(links.LocalIP, "."), strings.Split(address, ".")
	switch {
	case len(local) != 4 || len(remote) < 3 || local[1] != remote[1]:
		return links.RegionLatency
	case local[2] != remote[2]:
		return links.DataCentreLatency
	default:
		return 0
	}
}

// Dial connects to an address over the simulated link. If the link is cut in any
// direction, Dial blocks until the context ends.
func (links *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	if direction, _ := links.cutTo(address); direction != None {
		<-ctx.Done()
		return nil, errCut
	}
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return links.wrap(conn, address), nil
}

// chunk is a piece of a byte stream, or the error that ends the stream, with the
// time at which it is due at the receiver.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// maxChunksInFlight limits the chunks that are in flight in one direction.
const maxChunksInFlight = 1024

// conn is a connection over a simulated link.
type conn struct {
	net.Conn
	links    *Links
	address  string
	outgoing chan chunk
	incoming chan chunk
	closed   chan struct{}
	once     sync.Once
	unread   []byte

	mutex           sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{}
}

func (links *Links) wrap(netConn net.Conn, address string) net.Conn {
	conn := &conn{
		Conn:            netConn,
		links:           links,
		address:         address,
		outgoing:        make(chan chunk, maxChunksInFlight),
		incoming:        make(chan chunk, maxChunksInFlight),
		closed:          make(chan struct{}),
		deadlineChanged: make(chan struct{}),
	}
	go conn.sendLoop()
	go conn.receiveLoop()
	return conn
}

func (conn *conn) Write(data []byte) (int, error) {
	due := time.Now().Add(conn.links.latency(conn.address))
	conn.links.bytesOut.Add(int64(len(data)))
	select {
	case conn.outgoing <- chunk{data: append([]byte(nil), data...), due: due}:
		return len(data), nil
	case <-conn.closed:
		return 0, net.ErrClosed
	}
}

// sendLoop writes each outgoing chunk to the connection when it is due.
func (conn *conn) sendLoop() {
	for {
		select {
		case next := <-conn.outgoing:
			if !conn.awaitDelivery(next.due, Out) {
				return
			}
			if _, err := conn.Conn.Write(next.data); err != nil {
				_ = conn.Close()
				return
			}
		case <-conn.closed:
			return
		}
	}
}

// receiveLoop reads chunks from the connection and records when each of them is
// due.
func (conn *conn) receiveLoop() {
	for {
		buffer := make([]byte, 32<<10)
		count, err := conn.Conn.Read(buffer)
		conn.links.bytesIn.Add(int64(count))
		due := time.Now().Add(conn.links.latency(conn.address))
		select {
		case conn.incoming <- chunk{data: buffer[:count], due: due, err: err}:
		case <-conn.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (conn *conn) Read(buffer []byte) (int, error) {
	for len(conn.unread) == 0 {
		timeout, deadlineChanged := conn.timeout()
		select {
		case <-timeout:
			return 0, os.ErrDeadlineExceeded
		case <-deadlineChanged:
		case next := <-conn.incoming:
			if !conn.awaitDelivery(next.due, In) {
				return 0, net.ErrClosed
			}
			if len(next.data) == 0 && next.err != nil {
				return 0, next.err
			}
			conn.unread = next.data
		case <-conn.closed:
			return 0, net.ErrClosed
		}
	}
	count := copy(buffer, conn.unread)
	conn.unread = conn.unread[count:]
	return count, nil
}

// awaitDelivery waits until a chunk is due and its direction is not cut. It
// reports false if the connection was closed while the direction was cut.
func (conn *conn) awaitDelivery(due time.Time, direction Direction) bool {
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		cut, changed := conn.links.cutTo(conn.address)
		if cut != Both && cut != direction {
			return true
		}
		select {
		case <-changed:
		case <-conn.closed:
			return false
		}
	}
}

func (conn *conn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}

// IsQuiet reports whether no chunk or error is waiting to be read.
func (conn *conn) IsQuiet() bool { return len(conn.incoming) == 0 && len(conn.unread) == 0 }

// timeout returns a channel that delivers a value at the read deadline, or nil if
// there is no deadline, and a channel that is closed when the deadline changes.
func (conn *conn) timeout() (<-chan time.Time, <-chan struct{}) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.deadline.IsZero() {
		return nil, conn.deadlineChanged
	}
	return time.After(time.Until(conn.deadline)), conn.deadlineChanged
}

// SetReadDeadline sets the deadline of reads. It also applies to a read that is
// already blocked.
func (conn *conn) SetReadDeadline(at time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.deadline = at
	close(conn.deadlineChanged)
	conn.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline sets the deadline of reads. Writes need none, since a write only
// adds a chunk to a buffer.
func (conn *conn) SetDeadline(at time.Time) error { return conn.SetReadDeadline(at) }

// SetWriteDeadline does nothing, since a write only adds a chunk to a buffer.
func (conn *conn) SetWriteDeadline(time.Time) error { return nil }
