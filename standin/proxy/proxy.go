// Package proxy implements a TCP proxy for loopback that injects faults: it can
// delay bytes, reset connections, hold bytes back in one direction or both, and
// refuse connections.
//
// # Usage
//
//	faulty := &proxy.Proxy{Target: "127.0.0.1:8000"}
//	err := faulty.Listen("127.0.0.2:8000")
//	faulty.SetMode(proxy.Silent)
//	faulty.Close()
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

// The modes. The silent modes hold bytes back, SilentOut those to the target and
// SilentIn those from it; the bytes are forwarded once the mode changes.
const (
	Pass      Mode = "pass"
	Delay     Mode = "delay"
	Reset     Mode = "reset"
	SilentOut Mode = "silentOut"
	SilentIn  Mode = "silentIn"
	Silent    Mode = "silent"
	Refuse    Mode = "refuse"
)

// FaultModes are all modes except Pass.
var FaultModes = []Mode{Delay, Reset, SilentOut, SilentIn, Silent, Refuse}

// addedDelay is the one-way delay that Delay adds to the bytes of each read.
const addedDelay = 150 * time.Millisecond

// Proxy forwards connections to a target. Set Target before Listen is called.
type Proxy struct {
	Target string

	mutex    sync.Mutex
	mode     Mode
	changed  chan struct{}
	open     map[net.Conn]bool
	listener net.Listener
}

// Listen starts to accept connections at the address.
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

// Close closes the listener and resets all open connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.resetAll()
}

// SetMode sets the mode. Reset resets the connections that are open now and then
// acts as Pass. Refuse resets them too, and refuses new ones.
func (proxy *Proxy) SetMode(mode Mode) {
	proxy.mutex.Lock()
	proxy.mode = mode
	if mode == Reset {
		proxy.mode = Pass
	}
	close(proxy.changed)
	proxy.changed = make(chan struct{})
	proxy.mutex.Unlock()
	if mode == Reset || mode == Refuse {
		proxy.resetAll()
	}
}

func (proxy *Proxy) resetAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.open {
		reset(conn)
	}
}

// reset closes a connection so that the other side receives a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// currentMode returns the mode and a channel that is closed when it changes.
func (proxy *Proxy) currentMode() (Mode, <-chan struct{}) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode, proxy.changed
}

// setOpen adds a connection to the open ones, or removes it.
func (proxy *Proxy) setOpen(conn net.Conn, open bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if open {
		proxy.open[conn] = true
		return
	}
	delete(proxy.open, conn)
}

func (proxy *Proxy) serve(callerConn net.Conn) {
	if mode, _ := proxy.currentMode(); mode == Refuse {
		reset(callerConn)
		return
	}
	targetConn, err := net.Dial("tcp", proxy.Target)
	if err != nil {
		reset(callerConn)
		return
	}
	for _, conn := range []net.Conn{callerConn, targetConn} {
		proxy.setOpen(conn, true)
		defer proxy.setOpen(conn, false)
	}
	done := make(chan struct{}, 2)
	go proxy.forward(callerConn, targetConn, SilentOut, done)
	go proxy.forward(targetConn, callerConn, SilentIn, done)
	<-done
	<-done
	_ = callerConn.Close()
	_ = targetConn.Close()
}

// forward copies bytes in one direction until either side ends. It holds them
// back in the modes Silent and silentMode.
func (proxy *Proxy) forward(from, to net.Conn, silentMode Mode, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		proxy.awaitMode(silentMode)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				reset(from)
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
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// awaitMode blocks while the mode holds bytes back in this direction, or for the
// added delay.
func (proxy *Proxy) awaitMode(silentMode Mode) {
	for {
		mode, changed := proxy.currentMode()
		switch mode {
		case Delay:
			time.Sleep(addedDelay)
			return
		case Silent, silentMode:
			<-changed
		default:
			return
		}
	}
}
