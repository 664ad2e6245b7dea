package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The upstream counts idle time while the process is paused or its caller is slow to read.
func TestIdleTimeBeginsWithTheArrivalOfAResponse(t *testing.T) {
	t.Run("a response that is read at once", func(t *testing.T) {
		for range 5 {
			if body, took := fetchAfterPause(t, 0); took < 700*time.Millisecond {
				is.New(t).Equal(body, "same")
				return
			}
			// After such a stall of the machine the connection is too old.
		}
		t.Fatal("the machine stalled in each trial")
	})
	t.Run("a response that is read too late", func(t *testing.T) {
		body, _ := fetchAfterPause(t, 800*time.Millisecond)
		is.New(t).Equal(body, "new")
	})
}

// fetchAfterPause reads a response after a pause and then sends a request that may not
// be repeated. It returns which connection served that one and the time of both.
func fetchAfterPause(t *testing.T, pause time.Duration) (string, time.Duration) {
	t.Helper()
	is := is.New(t)
	client := newClient(newScriptedServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		reply(conn, "one")
		go func() {
			if readRequest(reader) != "" {
				reply(conn, "same")
			}
		}()
	}, respond(okHead+"Content-Length: 3\r\n\r\nnew")))
	started := time.Now()
	first, err := client.Do(context.Background(), newRequest(t, http.MethodGet, "/1"), nil)
	is.NoErr(err)
	time.Sleep(pause)
	_, err = io.Copy(io.Discard, first.Body)
	is.NoErr(err)
	first.Finish()
	waitUntilReusable()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := client.DoNonRepeatable(ctx, newRequest(t, http.MethodPost, "/2"), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	response.Finish()
	return string(body), time.Since(started)
}
