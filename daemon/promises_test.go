package daemon_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ibislift/daemon"
	"ibislift/io/dialect"
	usersplatform "ibislift/platform"
	"ibislift/standin/platform"
)

// newStatusCluster starts one daemon whose callers learn only from the status whether
// their request was executed, as on the users' platform.
func newStatusCluster(t *testing.T) *cluster {
	t.Helper()
	status := dialect.Default()
	status.Outcome = ""
	status.NotRun = func(response *http.Response) bool { return response.Header.Get("Not-Run") != "" }
	status.PromisesNotRun = usersplatform.Dialect().PromisesNotRun
	cluster := &cluster{t: t, store: &platform.Store{}}
	t.Cleanup(func() { cluster.logs.printIfFailed(t) })
	cluster.prefix = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, clusterCount.Add(1))
	serveUntilEnd(t, cluster.prefix+".1:7000", cluster.store.Handler())
	instance := &instance{ip: cluster.prefix + ".10", ended: make(chan error, 1)}
	running := &daemon.Daemon{
		Settings: cluster.settings(instance.ip, 0),
		Site:     daemon.Site{Dialect: status},
		Log:      slog.New(slog.NewTextHandler(&cluster.logs, &slog.HandlerOptions{Level: slog.LevelDebug})),
	}
	ctx, stop := context.WithCancel(context.Background())
	instance.stop = stop
	go func() { instance.ended <- running.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-instance.ended
	})
	cluster.instances = append(cluster.instances, instance)
	cluster.startUpstream(instance, 0)
	cluster.await("the daemon is ready", func() bool { return cluster.ready(instance) && cluster.targets(instance) == 1 })
	return cluster
}

// Callers take these statuses for the promise that their request has not run.
func TestStatusOfAnExecutedRequestPromisesNothing(t *testing.T) {
	cluster := newStatusCluster(t)
	raw := cluster.replaceUpstream(0)
	cluster.await("the raw upstream serves", func() bool {
		raw.respond.Store(text(rawHead + "Content-Length: 2\r\n\r\nok"))
		return cluster.send(0, request{method: "GET", path: "/warm"}).body == "ok"
	})
	var ran atomic.Int64
	respond := func(text string) respondFunc {
		ran.Store(0)
		return func(conn net.Conn, _ *http.Request) bool {
			ran.Add(1)
			_, err := conn.Write([]byte(text))
			return err == nil
		}
	}
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		for framing, rest := range map[string]string{
			"short":   "Content-Length: 2\r\n\r\nok",
			"chunked": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		} {
			t.Run(status+", "+framing, func(t *testing.T) {
				is := is.New(t)
				raw.respond.Store(respond("HTTP/1.1 " + status + "\r\n" + rest))
				for _, method := range []string{"POST", "GET"} {
					response := cluster.send(0, request{method: method, path: "/enrol"})
					is.NoErr(response.err)
					is.Equal(response.status, http.StatusBadGateway)
				}
				is.True(ran.Load() >= 2)
			})
		}
	}
	t.Run("with the upstream's statement the promise is kept", func(t *testing.T) {
		raw.respond.Store(respond("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		response := cluster.send(0, request{method: "POST", path: "/enrol"})
		is := is.New(t)
		is.NoErr(response.err)
		is.Equal(response.status, http.StatusServiceUnavailable)
	})
	t.Run("another failure is relayed", func(t *testing.T) {
		raw.respond.Store(respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nok"))
		response := cluster.send(0, request{method: "POST", path: "/enrol"})
		is := is.New(t)
		is.NoErr(response.err)
		is.Equal(response.status, http.StatusInternalServerError)
		is.Equal(response.body, "ok")
	})
}
