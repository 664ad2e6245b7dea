package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/proxy"
)

// echoed starts an echo server behind a proxy, and returns the proxy and a
// connection through it.
func echoed(t *testing.T) (*proxy.Proxy, net.Conn) {
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
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	_ = free.Close()
	harmed := &proxy.Proxy{Target: server.Addr().String()}
	is.NoErr(harmed.Listen(address))
	t.Cleanup(harmed.Close)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return harmed, conn
}

// exchange sends a byte, and says whether it comes back in time.
func exchange(conn net.Conn, within time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProxy(t *testing.T) {
	const long, short = 10 * time.Second, 50 * time.Millisecond
	t.Run("passes", func(t *testing.T) {
		_, conn := echoed(t)
		is.New(t).NoErr(exchange(conn, long))
	})
	for _, mode := range []proxy.Mode{proxy.Silent, proxy.SilentIn, proxy.SilentOut} {
		t.Run(string(mode)+" holds bytes back until it ends", func(t *testing.T) {
			harmed, conn := echoed(t)
			is := is.New(t)
			harmed.Turn(mode)
			is.True(exchange(conn, short) != nil)
			harmed.Turn(proxy.Pass)
			_ = conn.SetDeadline(time.Now().Add(long))
			_, err := io.ReadFull(conn, make([]byte, 1))
			is.NoErr(err)
		})
	}
	for _, mode := range []proxy.Mode{proxy.Reset, proxy.Refuse} {
		t.Run(string(mode)+" breaks what is open", func(t *testing.T) {
			harmed, conn := echoed(t)
			is := is.New(t)
			is.NoErr(exchange(conn, long))
			harmed.Turn(mode)
			is.True(exchange(conn, long) != nil)
		})
	}
}
