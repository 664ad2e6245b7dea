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

// TestIdleTimeBeginsWithTheArrivalOfAResponse guards against a request that is written
// to a connection which the upstream is about to close: the upstream counts the time
// during which the process was paused, or its caller was slow to read.
func TestIdleTimeBeginsWithTheArrivalOfAResponse(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		want  string
	}{
		"a response that is read at once":  {0, "same"},
		"a response that is read too late": {800 * time.Millisecond, "new"},
	} {
		t.Run(name, func(t *testing.T) {
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
			first, err := client.Do(context.Background(), newRequest(t, http.MethodGet, "/1"), nil)
			is.NoErr(err)
			time.Sleep(test.pause)
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
			is.Equal(string(body), test.want)
		})
	}
}
