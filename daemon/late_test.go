package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/upstream"
)

// Guards against requests that are passed on so late in a planned stop that they are cut at
// its end.
func TestStoppingDaemonRefusesWhatItCannotFinish(t *testing.T) {
	const (
		drainTimeout = 2 * time.Second
		slowFactor   = 600 // 600 ms for each request
	)
	for _, test := range []struct {
		name   string
		wait   time.Duration
		status int
		ran    int
	}{
		{name: "early enough", wait: 200 * time.Millisecond, status: http.StatusOK, ran: 1},
		{name: "too late", wait: drainTimeout - 300*time.Millisecond, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newStoppingCluster(t, 2, 100*time.Millisecond, drainTimeout)
			for _, instance := range cluster.instances {
				instance.upstream.SetSwitches(upstream.Switches{SlowFactor: slowFactor})
			}
			for range 8 {
				checkServed(t, cluster.send(0, request{method: "POST", path: "/enrol"}))
			}
			conn, reader := cluster.connect(0)
			_, err := fmt.Fprintf(conn, "POST /enrol HTTP/1.1\r\nHost: intake\r\n%s: late\r\nContent-Length: 4\r\n\r\nbo", upstream.AttemptIDHeader)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			cluster.instances[0].stop()
			time.Sleep(test.wait)
			_, err = io.WriteString(conn, "dy")
			is.NoErr(err)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			t.Logf("%d %s %s", response.StatusCode, response.Header.Get("Retry-After"), body)
			is.Equal(response.StatusCode, test.status)
			is.Equal(cluster.ledger.runs("late"), test.ran)
		})
	}
}
