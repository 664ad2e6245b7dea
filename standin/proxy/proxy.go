// Package proxy is a loopback proxy of TCP connections that harms what passes
// it: it delays, resets, silences one way or both, and refuses.
//
// # Usage
//
//	harmed := &proxy.Proxy{Target: "127.0.0.1:8000"}
//	err := harmed.Listen("127.0.0.2:8000")
//	harmed.Turn(proxy.Silent)
//	harmed.Close()
package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("proxy")

// Mode is what the proxy does to connections.
type Mode string

// The modes. Bytes that are held back by a silence go on when it ends.
const (
	Pass      Mode = "pass"
	Delay     Mode = "delay"
	Reset     Mode = "reset"
	SilentOut Mode = "silentOut"
	SilentIn  Mode = "silentIn"
	Silent    Mode = "silent"
	Refuse    Mode = "refuse"
)

// Modes are those that harm.
var Modes = []Mode{Delay, Reset, SilentOut, SilentIn, Silent, Refuse}

// delayTime is what Delay adds to each piece, one way.
const delayTime = 150 * time.Millisecond

// Proxy passes connections on to a target. Set the fields before Listen.
type Proxy struct {
	Target string

	mutex    sync.Mutex
	mode     Mode
	changed  chan struct{}
	open     map[net.Conn]bool
	listener net.Listener
}

// Listen begins to take connections.
func (proxy *Proxy) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	proxy.listener = listener
	proxy.mode = Pass
	proxy.changed = make(chan struct{})
	proxy.open = map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
	return nil
}

// Close ends the proxy and its connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.breakAll()
}

// Turn sets the mode. Reset breaks what is open at that moment, and then
// passes.
func (proxy *Proxy) Turn(mode Mode) {
	proxy.mutex.Lock()
	proxy.mode = mode
	if mode == Reset {
		proxy.mode = Pass
	}
	close(proxy.changed)
	proxy.changed = make(chan struct{})
	proxy.mutex.Unlock()
	if mode == Reset || mode == Refuse {
		proxy.breakAll()
	}
}

func (proxy *Proxy) breakAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.open {
		breakOff(conn)
	}
}

// breakOff closes a connection so that the other side sees a reset.
func breakOff(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *Proxy) state() (Mode, <-chan struct{}) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode, proxy.changed
}

func (proxy *Proxy) note(conn net.Conn, open bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if open {
		proxy.open[conn] = true
		return
	}
	delete(proxy.open, conn)
}

func (proxy *Proxy) serve(near net.Conn) {
	if mode, _ := proxy.state(); mode == Refuse {
		breakOff(near)
		return
	}
	far, err := net.Dial("tcp", proxy.Target)
	if err != nil {
		breakOff(near)
		return
	}
	for _, conn := range []net.Conn{near, far} {
		proxy.note(conn, true)
		defer proxy.note(conn, false)
	}
	done := make(chan struct{}, 2)
	go proxy.carry(near, far, SilentOut, done)
	go proxy.carry(far, near, SilentIn, done)
	<-done
	<-done
	_ = near.Close()
	_ = far.Close()
}

// carry passes bytes one way until either side ends.
func (proxy *Proxy) carry(from, to net.Conn, silence Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		proxy.await(silence)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				breakOff(from)
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.CloseWrite()
	}
}

// await waits while its direction is silent, and for the delay.
func (proxy *Proxy) await(silence Mode) {
	for {
		mode, changed := proxy.state()
		switch mode {
		case Delay:
			time.Sleep(delayTime)
			return
		case Silent, silence:
			<-changed
		default:
			return
		}
	}
}
