package daemon_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/upstream"
)

// A daemon that has been restarted may first hear of a target when that one is leaving.
func TestTargetThatIsLeavingGetsNothing(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 1)
	instance := cluster.instances[0]
	instance.stopAnnouncing()
	listener, err := net.Listen("tcp", instance.ip+":9001")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	raw := &rawUpstream{listener: listener}
	var reached atomic.Int64
	raw.respond.Store(respondFunc(func(conn net.Conn, _ *http.Request) bool {
		reached.Add(1)
		return text(rawHead+"Content-Length: 2\r\n\r\nok")(conn, nil)
	}))
	go raw.serve()
	startedAt := time.Now().UnixMilli()
	announce := func(leaving bool) {
		startedAt++
		body, err := json.Marshal(upstream.Announcement{
			Service: "intake", Address: instance.ip + ":9001", Slots: 4, HealthPath: "/health", StartedAt: startedAt, Draining: leaving,
		})
		is.NoErr(err)
		reply, err := http.Post("http://"+instance.ip+":8002/announce", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		_ = reply.Body.Close()
	}
	announce(true)
	reached.Store(0)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					cluster.send(0, request{method: "POST", path: "/enrol"})
				}
			}
		})
	}
	for range 2000 {
		announce(true)
	}
	close(stop)
	senders.Wait()
	is.Equal(reached.Load(), int64(0))
	announce(false)
	cluster.await("the next target serves", func() bool { return cluster.send(0, request{method: "GET", path: "/warm"}).body == "ok" })
}
