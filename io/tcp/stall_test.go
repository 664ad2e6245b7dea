package tcp_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/tcp"
)

// fill writes to a connection whose peer does not read until the connection fails or
// the time has passed, and returns the error.
func fill(conn net.Conn, duration time.Duration) error {
	_ = conn.SetWriteDeadline(time.Now().Add(duration))
	chunk := make([]byte, 1<<20)
	for {
		if _, err := conn.Write(chunk); err != nil {
			return err
		}
	}
}

// dialUnread connects to a peer that never reads.
func dialUnread(t *testing.T) net.Conn {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := tcp.Dial(context.Background(), listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = accepted.Close() })
	return conn
}

func TestStallTimeout(t *testing.T) {
	t.Run("a peer that does not read ends a connection", func(t *testing.T) {
		t.Parallel()
		err := fill(dialUnread(t), 5*tcp.StallTimeout)
		is.New(t).True(!errors.Is(err, os.ErrDeadlineExceeded))
	})
	t.Run("a longer limit keeps it", func(t *testing.T) {
		t.Parallel()
		conn := dialUnread(t)
		is := is.New(t)
		is.NoErr(tcp.SetStallTimeout(conn, time.Minute))
		is.True(errors.Is(fill(conn, 2*tcp.StallTimeout), os.ErrDeadlineExceeded))
	})
}
