package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/proxy"
)

// startEchoProxy starts an echo server and a proxy in front of it. It returns
// the proxy and a connection through it.
func startEchoProxy(t *testing.T) (*proxy.Proxy, net.Conn) {
	t.Helper()
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := unused.Addr().String()
	_ = unused.Close()
	faulty := &proxy.Proxy{Target: server.Addr().String()}
	is.NoErr(faulty.Listen(address))
	t.Cleanup(faulty.Close)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return faulty, conn
}

// exchange sends a byte and returns an error if it is not echoed in time.
func exchange(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxy(t *testing.T) {
	const longTimeout, shortTimeout = 10 * time.Second, 50 * time.Millisecond
	t.Run("forwards bytes", func(t *testing.T) {
		_, conn := startEchoProxy(t)
		is.New(t).NoErr(exchange(conn, longTimeout))
	})
	for _, mode := range []proxy.Mode{proxy.Silent, proxy.SilentIn, proxy.SilentOut} {
		t.Run(string(mode)+" holds bytes back until the mode changes", func(t *testing.T) {
			faulty, conn := startEchoProxy(t)
			is := is.New(t)
			faulty.SetMode(mode)
			is.True(exchange(conn, shortTimeout) != nil)
			faulty.SetMode(proxy.Pass)
			_ = conn.SetDeadline(time.Now().Add(longTimeout))
			_, err := io.ReadFull(conn, make([]byte, 1))
			is.NoErr(err)
		})
	}
	for _, mode := range []proxy.Mode{proxy.Reset, proxy.Refuse} {
		t.Run(string(mode)+" breaks open connections", func(t *testing.T) {
			faulty, conn := startEchoProxy(t)
			is := is.New(t)
			is.NoErr(exchange(conn, longTimeout))
			faulty.SetMode(mode)
			is.True(exchange(conn, longTimeout) != nil)
		})
	}
}
