package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/load"
	"ibislift/standin/upstream"
)

func TestBreach(t *testing.T) {
	complete, cut := load.Result{Status: http.StatusOK, Complete: true}, load.Result{Broken: true}
	late := maxUnheardTime + time.Millisecond
	for _, test := range []struct {
		name    string
		attempt attempt
		took    time.Duration
		runs    int
		want    string
	}{
		{"an answer", attempt{whole: true, result: complete}, late, 1, ""},
		{"a refusal", attempt{whole: true, result: load.Result{Status: 503, Outcome: "notRun"}}, late, 0, ""},
		{"a connection that ends at once", attempt{whole: true, result: cut}, maxUnheardTime, 0, ""},
		{"a connection that ends late", attempt{whole: true, result: cut}, late, 0, "was neither answered nor refused"},
		{"a request that was not sent to its end", attempt{result: cut}, late, 0, ""},
		{"a request behind another that has not run", attempt{whole: true, behind: true, result: cut}, late, 0, ""},
		{"a request behind another that has run", attempt{whole: true, behind: true, result: cut}, 0, 1, "has run and was cut"},
		{"a request that has run and is cut at once", attempt{whole: true, result: cut}, 0, 1, "has run and was cut"},
		{"a request whose deadline passed", attempt{whole: true, result: cut}, stopDeadline, 1, ""},
		{"a wrong response", attempt{whole: true, result: load.Result{Status: 200, Wrong: true}}, 0, 1, "wrong response"},
		{"a refused request that has run", attempt{whole: true, result: load.Result{Status: 503, Outcome: "notRun"}}, 0, 1, "despite the outcome"},
		{"a change that ran twice", attempt{request: load.Request{Method: "POST"}, whole: true, result: complete}, 0, 2, "ran 2 times"},
		{"a lookup that ran twice", attempt{request: load.Request{Method: "GET"}, whole: true, result: complete}, 0, 2, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.attempt.sentAt = time.Now()
			test.attempt.endedAt = test.attempt.sentAt.Add(test.took)
			test.attempt.request.Deadline = stopDeadline
			breach := test.attempt.breach(test.runs)
			is.True(strings.Contains(breach, test.want))
			is.Equal(breach == "", test.want == "")
		})
	}
}

// startServer starts a server whose only connection the given function answers,
// request by request, until it reports that the connection ends. The channel is
// closed when the server is gone.
func startServer(t *testing.T, answer func(net.Conn, *http.Request) bool) (address string, gone chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	gone = make(chan struct{})
	go func() {
		defer close(gone)
		conn, err := listener.Accept()
		_ = listener.Close()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil || !answer(conn, request) {
				return
			}
		}
	}()
	return listener.Addr().String(), gone
}

// respond sends the stand-in upstream's response to a request.
func respond(conn net.Conn, request *http.Request, header string) {
	text := fmt.Sprintf(`{"service":"desk","trial":%q}`, request.Header.Get(upstream.AttemptIDHeader))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(text), text)
}

// runCaller runs a caller until the server is gone.
func runCaller(t *testing.T, manner manner, answer func(net.Conn, *http.Request) bool) []*attempt {
	address, gone := startServer(t, answer)
	sent := 0
	caller := &caller{
		manner: manner, address: address, random: rand.New(rand.NewPCG(1, 1)), windowAt: time.Now(), gone: gone,
		nextRequest: func(*rand.Rand) (load.Request, string) {
			sent++
			return load.Request{Address: address, Service: "desk", Method: "GET", Path: "/entries", Deadline: stopDeadline}, fmt.Sprint(sent)
		},
	}
	caller.run()
	return caller.attempts
}

func TestCaller(t *testing.T) {
	t.Run("a keeping caller uses its connection until the daemon cuts it", func(t *testing.T) {
		is := is.New(t)
		answered := 0
		attempts := runCaller(t, keeping, func(conn net.Conn, request *http.Request) bool {
			if answered == 3 {
				time.Sleep(maxUnheardTime + 20*time.Millisecond)
				return false
			}
			answered++
			respond(conn, request, "")
			return true
		})
		is.Equal(len(attempts), 4)
		for _, attempt := range attempts[:3] {
			is.True(attempt.result.Complete)
			is.Equal(attempt.breach(1), "")
		}
		is.True(strings.HasPrefix(attempts[3].breach(0), "was neither answered nor refused"))
	})
	t.Run("a caller that sends ahead finds its second request unanswered behind the last response", func(t *testing.T) {
		is := is.New(t)
		attempts := runCaller(t, ahead, func(conn net.Conn, request *http.Request) bool {
			respond(conn, request, "Connection: close\r\n")
			return false
		})
		is.Equal(len(attempts), 2)
		is.True(attempts[0].result.Complete)
		is.True(attempts[1].behind && attempts[1].result.Broken)
		is.Equal(attempts[1].breach(0), "")
		is.True(attempts[1].breach(1) != "")
	})
	t.Run("an incomplete response is no answer", func(t *testing.T) {
		is := is.New(t)
		attempts := runCaller(t, opening, func(conn net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut sh")
			return false
		})
		is.Equal(len(attempts), 1)
		is.True(attempts[0].result.Broken)
		is.True(strings.HasPrefix(attempts[0].breach(1), "has run and was cut"))
	})
}
