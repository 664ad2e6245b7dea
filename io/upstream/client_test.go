package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/dialect"
	"ibislift/io/upstream"
)

// script is an upstream whose connections are served by a function each, in
// their order.
type script struct {
	listener net.Listener
	served   chan int
}

func newScript(t *testing.T, connections ...func(net.Conn)) *script {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	script := &script{listener: listener, served: make(chan int, len(connections))}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number, serve := range connections {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
			script.served <- number
		}
	}()
	return script
}

// readRequest reads one request and returns its path.
func readRequest(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.URL.Path
}

func reply(conn net.Conn, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(number int) string {
	return strings.TrimLeft(string([]byte{byte('0' + number/10), byte('0' + number%10)}), "0")
}

func newRequest(t *testing.T, method, path string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://upstream"+path, nil)
	is.New(t).NoErr(err)
	request.Header.Set("Idempotency-Key", "key")
	request.Header.Set(dialect.Own().RequestID, "own")
	return request
}

// fetch makes one request and returns the body of its answer.
func fetch(t *testing.T, client *upstream.Client, request *http.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := client.Do(ctx, request, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		answer.Abort()
		return "", err
	}
	answer.Finish()
	return string(body), nil
}

// rest lets the idle connection become usable again. A longer rest changes
// nothing, so that the tests do not depend on the speed of the machine.
func rest() { time.Sleep(100 * time.Millisecond) }

func newClient(script *script) *upstream.Client {
	client := &upstream.Client{}
	client.Retarget(script.listener.Addr().String())
	return client
}

func TestRequestIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 4)
	script := newScript(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		seen <- readRequest(reader)
		reply(conn, "first")
		seen <- readRequest(reader)
		_ = conn.Close()
	}, func(conn net.Conn) {
		seen <- readRequest(bufio.NewReader(conn))
		_ = conn.Close()
	})
	client := newClient(script)
	body, err := fetch(t, client, newRequest(t, "GET", "/warm"))
	is.NoErr(err)
	is.Equal(body, "first")
	rest()
	_, err = fetch(t, client, newRequest(t, "POST", "/pay"))
	is.True(err != nil)
	is.True(!upstream.NotHandedOver(err))
	<-script.served
	is.Equal(<-seen, "/warm")
	is.Equal(<-seen, "/pay")
	is.Equal(len(seen), 0) // a second sending would stand here
}

func TestLateAnswerIsNotTakenForTheNext(t *testing.T) {
	is := is.New(t)
	late := make(chan struct{})
	script := newScript(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		reply(conn, "one")
		<-late
		reply(conn, "one")
	}, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "two")
	})
	client := newClient(script)
	body, err := fetch(t, client, newRequest(t, "GET", "/1"))
	is.NoErr(err)
	is.Equal(body, "one")
	close(late)
	<-script.served
	rest()
	body, err = fetch(t, client, newRequest(t, "GET", "/2"))
	is.NoErr(err)
	is.Equal(body, "two")
}

func TestLeftoverBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	script := newScript(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
	}, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "two")
	})
	client := newClient(script)
	body, err := fetch(t, client, newRequest(t, "GET", "/1"))
	is.NoErr(err)
	is.Equal(body, "one")
	rest()
	body, err = fetch(t, client, newRequest(t, "GET", "/2"))
	is.NoErr(err)
	is.Equal(body, "two")
}

func TestAnswerOfAnotherRequestIsRefused(t *testing.T) {
	script := newScript(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nIbislift-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	})
	_, err := fetch(t, newClient(script), newRequest(t, "GET", "/1"))
	is.New(t).True(err != nil)
}

func TestAnswerWithoutANameIsRefusedWhereNamesAreExpected(t *testing.T) {
	script := newScript(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "whose?")
	})
	client := newClient(script)
	client.ExpectEcho(true)
	_, err := fetch(t, client, newRequest(t, "GET", "/1"))
	is.New(t).True(err != nil)
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	script := newScript(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut")
		_ = conn.Close()
	})
	_, err := fetch(t, newClient(script), newRequest(t, "GET", "/1"))
	is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestRefusedConnectionIsProof(t *testing.T) {
	script := newScript(t)
	client := newClient(script)
	_ = script.listener.Close()
	_, err := fetch(t, client, newRequest(t, "POST", "/pay"))
	is := is.New(t)
	is.True(upstream.NotHandedOver(err))
	is.True(client.IsDown(context.Background()))
}

func TestEndOfContextReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan error, 1)
	script := newScript(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		close(arrived)
		_, err := reader.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := newClient(script).Do(ctx, newRequest(t, "GET", "/1"), nil)
	is.True(err != nil)
	is.True(errors.Is(<-ended, io.EOF))
}

func TestInterimAnswers(t *testing.T) {
	is := is.New(t)
	script := newScript(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n")
		reply(conn, "done")
	})
	var hints []string
	answer, err := newClient(script).Do(context.Background(), newRequest(t, "GET", "/1"), func(interim *http.Response) {
		hints = append(hints, interim.Header.Get("Link"))
	})
	is.NoErr(err)
	is.Equal(hints, []string{"</style.css>"})
	answer.Abort()
}
