package peer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/dialect"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// repeatingUpstream refuses the first request with an ID that begins with "refused". On
// each kept connection it writes that refusal again, before the response to a request
// with the same ID.
type repeatingUpstream struct {
	mutex   sync.Mutex
	refused map[string]bool
	runs    map[string]int
}

func (repeatingUpstream *repeatingUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go repeatingUpstream.serveConn(conn)
	}
}

func (repeatingUpstream *repeatingUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for kept := false; ; kept = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(dialect.Default().RequestID)
		named := dialect.Default().RequestID + ": " + id + "\r\n"
		refusal := "HTTP/1.1 503 Service Unavailable\r\nStandin-Not-Run: 1\r\nContent-Length: 0\r\n" + named + "\r\n"
		repeatingUpstream.mutex.Lock()
		wasRefused := repeatingUpstream.refused[id]
		refuses := strings.HasPrefix(id, "refused") && !wasRefused
		repeatingUpstream.refused[id] = wasRefused || refuses
		if !refuses {
			repeatingUpstream.runs[id]++
		}
		repeatingUpstream.mutex.Unlock()
		if refuses {
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		if kept && wasRefused {
			_, _ = io.WriteString(conn, refusal)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+named+"\r\nok")
	}
}

// An upstream may write an earlier refusal again, where the response to the next request
// with the same ID is expected.
func TestEarlierRefusalIsNotTakenForTheNext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	repeating := &repeatingUpstream{refused: map[string]bool{}, runs: map[string]int{}}
	go repeating.serve(listener)
	stated := dialect.Default()
	stated.NotRun = func(response *http.Response) bool { return response.Header.Get("Standin-Not-Run") != "" }
	gate := &upstream.Gate{Now: time.Now}
	gate.Resize(4, 4)
	client := &upstream.Client{Dialect: stated}
	client.SetAddress(listener.Addr().String())
	client.SetEchoesRequestID(true)
	server := &peer.Server{Gate: gate, Upstream: client, Control: stubControl{service: "shop"}}
	send := func(id string) *peerpb.AnswerFrame {
		stream := &recordingStream{head: &peerpb.CallHead{RequestId: []byte(id), Service: "shop", Method: "POST", Target: []byte("/"), Host: "shop", RemainingMicroseconds: 5_000_000}}
		is.New(t).NoErr(server.ServeStream(stream))
		return stream.sent[len(stream.sent)-1]
	}
	is := is.New(t)
	for range 20 {
		is.True(send("refused-1").GetRefused() != nil || repeating.runs["refused-1"] > 0)
		is.Equal(send("other").GetHead().GetStatus(), int32(http.StatusOK)) // its connection is kept
		is.Equal(send("refused-1").GetHead().GetStatus(), int32(http.StatusOK))
	}
	for range 20 {
		before := repeating.runs["other"]
		is.Equal(send("other").GetHead().GetStatus(), int32(http.StatusOK))
		is.Equal(repeating.runs["other"], before+1)
	}
}
