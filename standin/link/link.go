// Package link is a stand-in for the links between data centres and regions:
// connections on loopback that take time, and that a test can cut, in one
// direction or in both.
//
// The stand-ins' addresses say where an instance stands: 127.R.D.N is the N-th
// instance of data centre D in region R.
//
// # Usage
//
//	links := &link.Links{Self: "127.11.1.1", Region: 30 * time.Millisecond}
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

// Direction says which way a link is cut.
type Direction string

// The directions of a cut.
const (
	None Direction = ""
	Out  Direction = "out"
	In   Direction = "in"
	Both Direction = "both"
)

// Links are the links of one instance. Set the fields before first use.
type Links struct {
	// Self is the instance's IP number.
	Self string
	// DataCentre and Region are one-way latencies between data centres of a
	// region and between regions.
	DataCentre time.Duration
	Region     time.Duration

	out     atomic.Int64
	in      atomic.Int64
	mutex   sync.Mutex
	cuts    map[string]Direction
	changed chan struct{}
}

// Traffic is what has passed the connections that an instance has set up, in
// bytes of TCP payload.
type Traffic struct {
	Out int64 `json:"out"`
	In  int64 `json:"in"`
}

// Traffic returns the bytes so far.
func (links *Links) Traffic() Traffic {
	return Traffic{Out: links.out.Load(), In: links.in.Load()}
}

// errCut is the end of a connection that is set up over a cut link.
var errCut = errors.New("the link is cut")

// Cut cuts the links to all addresses that begin with "127." and the place,
// such as "12" for a region or "12.1" for a data centre. None mends them.
func (links *Links) Cut(place string, direction Direction) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.cuts == nil {
		links.cuts = map[string]Direction{}
	}
	links.cuts[place] = direction
	if links.changed != nil {
		close(links.changed)
	}
	links.changed = make(chan struct{})
}

// state returns the cut of the link to an address, and a channel that is
// closed when any link changes.
func (links *Links) state(address string) (Direction, <-chan struct{}) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.changed == nil {
		links.changed = make(chan struct{})
	}
	for place, direction := range links.cuts {
		if direction != None && strings.HasPrefix(address, "127."+place+".") {
			return direction, links.changed
		}
	}
	return None, links.changed
}

// latency is the one-way latency to an address.
func (links *Links) latency(address string) time.Duration {
	own, other := strings.Split(links.Self, "."), strings.Split(address, ".")
	switch {
	case len(own) != 4 || len(other) < 3 || own[1] != other[1]:
		return links.Region
	case own[2] != other[2]:
		return links.DataCentre
	default:
		return 0
	}
}

// Dial connects to an address over its link.
func (links *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	if direction, _ := links.state(address); direction != None {
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

// parcel is a piece of a stream that is due at a time.
type parcel struct {
	data []byte
	due  time.Time
	err  error
}

// parcelBuffer is how many pieces may be on their way.
const parcelBuffer = 1024

// linked is a connection over a link.
type linked struct {
	net.Conn
	links   *Links
	address string
	out     chan parcel
	in      chan parcel
	closed  chan struct{}
	once    sync.Once
	rest    []byte

	mutex    sync.Mutex
	deadline time.Time
	moved    chan struct{}
}

func (links *Links) wrap(conn net.Conn, address string) net.Conn {
	linked := &linked{
		Conn:    conn,
		links:   links,
		address: address,
		out:     make(chan parcel, parcelBuffer),
		in:      make(chan parcel, parcelBuffer),
		closed:  make(chan struct{}),
		moved:   make(chan struct{}),
	}
	go linked.carryOut()
	go linked.carryIn()
	return linked
}

func (linked *linked) Write(data []byte) (int, error) {
	due := time.Now().Add(linked.links.latency(linked.address))
	linked.links.out.Add(int64(len(data)))
	select {
	case linked.out <- parcel{data: append([]byte(nil), data...), due: due}:
		return len(data), nil
	case <-linked.closed:
		return 0, net.ErrClosed
	}
}

// carryOut writes what is due.
func (linked *linked) carryOut() {
	for {
		select {
		case next := <-linked.out:
			if !linked.await(next.due, Out) {
				return
			}
			if _, err := linked.Conn.Write(next.data); err != nil {
				_ = linked.Close()
				return
			}
		case <-linked.closed:
			return
		}
	}
}

// carryIn reads what has arrived, and notes when it is due.
func (linked *linked) carryIn() {
	for {
		buffer := make([]byte, 32<<10)
		count, err := linked.Conn.Read(buffer)
		linked.links.in.Add(int64(count))
		due := time.Now().Add(linked.links.latency(linked.address))
		select {
		case linked.in <- parcel{data: buffer[:count], due: due, err: err}:
		case <-linked.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (linked *linked) Read(buffer []byte) (int, error) {
	for len(linked.rest) == 0 {
		timeout, moved := linked.timeout()
		select {
		case <-timeout:
			return 0, os.ErrDeadlineExceeded
		case <-moved:
		case next := <-linked.in:
			if !linked.await(next.due, In) {
				return 0, net.ErrClosed
			}
			if len(next.data) == 0 && next.err != nil {
				return 0, next.err
			}
			linked.rest = next.data
		case <-linked.closed:
			return 0, net.ErrClosed
		}
	}
	count := copy(buffer, linked.rest)
	linked.rest = linked.rest[count:]
	return count, nil
}

// await waits until a piece is due and its direction is not cut.
func (linked *linked) await(due time.Time, direction Direction) bool {
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		cut, changed := linked.links.state(linked.address)
		if cut != Both && cut != direction {
			return true
		}
		select {
		case <-changed:
		case <-linked.closed:
			return false
		}
	}
}

func (linked *linked) Close() error {
	linked.once.Do(func() { close(linked.closed) })
	return linked.Conn.Close()
}

// IsQuiet says whether nothing is on its way to this end.
func (linked *linked) IsQuiet() bool { return len(linked.in) == 0 && len(linked.rest) == 0 }

// timeout returns a channel for the read deadline, and one that is closed when
// the deadline moves.
func (linked *linked) timeout() (<-chan time.Time, <-chan struct{}) {
	linked.mutex.Lock()
	defer linked.mutex.Unlock()
	if linked.deadline.IsZero() {
		return nil, linked.moved
	}
	return time.After(time.Until(linked.deadline)), linked.moved
}

// SetReadDeadline bounds the waiting of reads, also of one that waits now.
func (linked *linked) SetReadDeadline(at time.Time) error {
	linked.mutex.Lock()
	defer linked.mutex.Unlock()
	linked.deadline = at
	close(linked.moved)
	linked.moved = make(chan struct{})
	return nil
}

// SetDeadline bounds reads; writes never wait.
func (linked *linked) SetDeadline(at time.Time) error { return linked.SetReadDeadline(at) }

// SetWriteDeadline does nothing, since writes never wait.
func (linked *linked) SetWriteDeadline(time.Time) error { return nil }
