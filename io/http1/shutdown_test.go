package http1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/http1"
)

// lateness is how late the goroutines of the server run in these tests.
const lateness = 20 * time.Millisecond

// lateListener delays the goroutines of a server, as a busy machine does.
type lateListener struct {
	net.Listener
	// wakeLate delays Accept when it is called, acceptLate after a connection was
	// opened, and readLate delays the reads of connections after data has arrived.
	wakeLate, acceptLate, readLate time.Duration
	// accepted receives a value when a connection was opened.
	accepted chan struct{}
}

func (lateListener *lateListener) Accept() (net.Conn, error) {
	time.Sleep(lateListener.wakeLate)
	conn, err := lateListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lateListener.accepted <- struct{}{}
	time.Sleep(lateListener.acceptLate)
	return &lateConn{TCPConn: conn.(*net.TCPConn), late: lateListener.readLate}, nil
}

// SetDeadline limits the wait of Accept.
func (lateListener *lateListener) SetDeadline(deadline time.Time) error {
	return lateListener.Listener.(*net.TCPListener).SetDeadline(deadline)
}

// SyscallConn returns the socket of the listener.
func (lateListener *lateListener) SyscallConn() (syscall.RawConn, error) {
	return lateListener.Listener.(*net.TCPListener).SyscallConn()
}

// lateConn delays each read after it has waited for data.
type lateConn struct {
	*net.TCPConn
	late time.Duration
}

func (lateConn *lateConn) Read(into []byte) (int, error) {
	if err := lateConn.awaitData(); err != nil {
		return 0, err
	}
	time.Sleep(lateConn.late)
	return lateConn.TCPConn.Read(into)
}

// awaitData waits until a read returns at once, and reads nothing.
func (lateConn *lateConn) awaitData() error {
	raw, err := lateConn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// stopping is a server that is shut down and then closed, as a daemon does at its end.
type stopping struct {
	server *http1.Server
	conn   net.Conn
	reader *bufio.Reader
	ended  sync.WaitGroup
}

// serveLate starts a server behind a late listener and opens a connection to it.
func serveLate(t *testing.T, late *lateListener, handler http.Handler) *stopping {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	late.Listener, late.accepted = listener, make(chan struct{}, 2)
	stopping := &stopping{server: &http1.Server{Handler: handler, AllowConcurrent: always}}
	go func() { _ = stopping.server.Serve(late) }()
	stopping.conn, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	<-late.accepted
	_ = stopping.conn.SetDeadline(time.Now().Add(10 * time.Second))
	stopping.reader = bufio.NewReader(stopping.conn)
	t.Cleanup(func() {
		stopping.ended.Wait()
		_ = stopping.conn.Close()
	})
	return stopping
}

// stop shuts the server down in the background and closes it afterwards.
func (stopping *stopping) stop() {
	stopping.server.Drain()
	stopping.ended.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = stopping.server.Shutdown(ctx)
		_ = stopping.server.Close()
	})
}

// slowEcho responds after a time in which a shutdown that does not wait is over.
var slowEcho = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(5 * lateness)
	echo.ServeHTTP(writer, request)
})

func TestShutdownAnswersWhatHasArrived(t *testing.T) {
	t.Run("on a connection that is being accepted", func(t *testing.T) {
		stopping := serveLate(t, &lateListener{acceptLate: lateness}, slowEcho)
		send(t, stopping.conn, get("/1"))
		stopping.stop()
		expectResponse(t, stopping.reader, http.StatusOK, "/1")
	})
	t.Run("on a connection that waits to be accepted", func(t *testing.T) {
		late := &lateListener{wakeLate: lateness}
		stopping := serveLate(t, late, slowEcho)
		waiting, err := net.Dial("tcp", late.Addr().String())
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = waiting.Close() })
		send(t, waiting, get("/1"))
		stopping.stop()
		expectResponse(t, bufio.NewReader(waiting), http.StatusOK, "/1")
	})
	t.Run("on connections that wait for longer than any limit, as on a starved machine", func(t *testing.T) {
		late := &lateListener{wakeLate: 700 * time.Millisecond}
		stopping := serveLate(t, late, slowEcho)
		late.accepted = make(chan struct{}, 10)
		var readers []*bufio.Reader
		for range 3 {
			waiting, err := net.Dial("tcp", late.Addr().String())
			is.New(t).NoErr(err)
			t.Cleanup(func() { _ = waiting.Close() })
			send(t, waiting, get("/1"))
			readers = append(readers, bufio.NewReader(waiting))
		}
		stopping.stop()
		for _, reader := range readers {
			expectResponse(t, reader, http.StatusOK, "/1")
		}
	})
	t.Run("on a kept connection whose goroutine runs late", func(t *testing.T) {
		stopping := serveLate(t, &lateListener{readLate: lateness}, slowEcho)
		send(t, stopping.conn, get("/1"))
		expectResponse(t, stopping.reader, http.StatusOK, "/1")
		send(t, stopping.conn, get("/2"))
		stopping.stop()
		expectResponse(t, stopping.reader, http.StatusOK, "/2")
	})
	t.Run("when the shutdown is tried again", func(t *testing.T) {
		stopping := serveLate(t, &lateListener{readLate: lateness}, slowEcho)
		time.Sleep(260 * time.Millisecond)
		send(t, stopping.conn, get("/1"))
		time.Sleep(lateness / 2)
		for range 4 {
			ctx, cancel := context.WithTimeout(context.Background(), lateness/2)
			_ = stopping.server.Shutdown(ctx)
			cancel()
		}
		stopping.stop()
		expectResponse(t, stopping.reader, http.StatusOK, "/1")
	})
	t.Run("on a connection that was opened some time before its first request", func(t *testing.T) {
		stopping := serveLate(t, &lateListener{readLate: lateness}, slowEcho)
		time.Sleep(260 * time.Millisecond)
		send(t, stopping.conn, get("/1"))
		stopping.stop()
		expectResponse(t, stopping.reader, http.StatusOK, "/1")
	})
}

// A reset destroys what the caller has not received yet.
func TestShutdownDoesNotResetLastResponse(t *testing.T) {
	const size = 100_000
	for name, begunBeforeStop := range map[string]bool{"begun after the stop": false, "begun before the stop": true} {
		t.Run(name, func(t *testing.T) {
			started, finish := make(chan struct{}), make(chan struct{})
			stopping := serveLate(t, &lateListener{readLate: lateness}, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path != "/1" {
					return
				}
				if begunBeforeStop {
					writer.(http.Flusher).Flush()
				}
				close(started)
				<-finish
				_, _ = io.WriteString(writer, strings.Repeat("x", size))
			}))
			is := is.New(t)
			is.NoErr(stopping.conn.(*net.TCPConn).SetReadBuffer(16 << 10)) // most of the response stays at the server
			send(t, stopping.conn, get("/1"))
			<-started
			stopping.server.Drain()
			if begunBeforeStop {
				stopping.stop()
				time.Sleep(lateness)
			}
			close(finish)
			response, err := http.ReadResponse(stopping.reader, nil)
			is.NoErr(err)
			is.Equal(response.Close, !begunBeforeStop)
			time.Sleep(lateness) // the response has been written
			send(t, stopping.conn, get("/2"))
			if !begunBeforeStop {
				stopping.stop()
			}
			time.Sleep(2 * lateness)
			count, err := io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.Equal(count, int64(size))
		})
	}
}

func TestCloseEndsConnectionThatIsBeingAccepted(t *testing.T) {
	stopping := serveLate(t, &lateListener{acceptLate: lateness}, slowEcho)
	send(t, stopping.conn, get("/1"))
	_ = stopping.server.Close()
	_, err := http.ReadResponse(stopping.reader, nil)
	is.New(t).True(err != nil)
}
