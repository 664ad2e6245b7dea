package peer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// Guards against slots that stay occupied while the daemon that a response goes to is
// suspended and does not read it.
func TestSlotIsFreeAfterTheDeadlineWhenAnIngressStalls(t *testing.T) {
	const deadline = 300 * time.Millisecond
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for range 1000 {
			if _, err := io.WriteString(writer, strings.Repeat("b", MaxChunkSize)); err != nil {
				return
			}
		}
	}))
	t.Cleanup(target.Close)
	gate := &upstream.Gate{Now: time.Now}
	gate.Resize(2, 2)
	client := &upstream.Client{}
	client.SetAddress(strings.TrimPrefix(target.URL, "http://"))
	server := &Server{Gate: gate, Upstream: client, Control: anyControl{}}
	listener := listen(t)
	go func() { _ = server.ServeForwardConns(listener) }()
	t.Cleanup(server.CloseForwardConns)
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	head := &peerpb.CallHead{Method: http.MethodGet, Host: "shop", Target: []byte("/"), RemainingMicroseconds: deadline.Microseconds()}
	_, err = protodelim.MarshalTo(conn, &peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: head}})
	is.NoErr(err)
	started := time.Now()
	for gate.Load().Running == 0 {
		is.True(time.Since(started) < answerTimeout) // the request runs
		time.Sleep(time.Millisecond)
	}
	for gate.Load().Running > 0 {
		if time.Since(started) > deadline+2*sendSlack {
			t.Fatalf("the slot is occupied after %s", time.Since(started))
		}
		time.Sleep(time.Millisecond)
	}
}
