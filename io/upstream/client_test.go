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

// scriptedServer is an upstream that serves its connections one after another,
// each by a function of its own.
type scriptedServer struct {
	listener net.Listener
	// served receives the index of each connection that has been served.
	served chan int
}

func newScriptedServer(t *testing.T, connections ...func(net.Conn)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &scriptedServer{listener: listener, served: make(chan int, len(connections))}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for index, serve := range connections {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
			server.served <- index
		}
	}()
	return server
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

// itoa formats a number from 1 to 99.
func itoa(number int) string {
	return strings.TrimLeft(string([]byte{byte('0' + number/10), byte('0' + number%10)}), "0")
}

func newRequest(t *testing.T, method, path string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://upstream"+path, nil)
	is.New(t).NoErr(err)
	request.Header.Set("Idempotency-Key", "key")
	request.Header.Set(dialect.Default().RequestID, "own")
	return request
}

// fetch sends one request and returns the body of the response.
func fetch(t *testing.T, client *upstream.Client, request *http.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, request, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		response.Abort()
		return "", err
	}
	response.Finish()
	return string(body), nil
}

// waitUntilReusable waits until an idle connection may be reused. Waiting longer
// changes nothing, so the tests don't depend on the speed of the machine.
func waitUntilReusable() { time.Sleep(100 * time.Millisecond) }

func newClient(server *scriptedServer) *upstream.Client {
	client := &upstream.Client{}
	client.SetAddress(server.listener.Addr().String())
	return client
}

// TestRequestIsWrittenOnce checks that a request is not sent again when the
// upstream closes a reused connection without a response, even though the
// request has an Idempotency-Key.
func TestRequestIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 4)
	server := newScriptedServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		seen <- readRequest(reader)
		reply(conn, "first")
		seen <- readRequest(reader)
		_ = conn.Close()
	}, func(conn net.Conn) {
		seen <- readRequest(bufio.NewReader(conn))
		_ = conn.Close()
	})
	client := newClient(server)
	body, err := fetch(t, client, newRequest(t, "GET", "/warm"))
	is.NoErr(err)
	is.Equal(body, "first")
	waitUntilReusable()
	_, err = fetch(t, client, newRequest(t, "POST", "/pay"))
	is.True(err != nil)
	is.True(!upstream.NotHandedOver(err))
	<-server.served
	is.Equal(<-seen, "/warm")
	is.Equal(<-seen, "/pay")
	is.Equal(len(seen), 0) // the request was not sent again
}

// TestLateAnswerIsNotTakenForTheNext checks that a duplicate response that
// arrives on an idle connection isn't read as the response to the next request.
func TestLateAnswerIsNotTakenForTheNext(t *testing.T) {
	is := is.New(t)
	sendDuplicate := make(chan struct{})
	server := newScriptedServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		reply(conn, "one")
		<-sendDuplicate
		reply(conn, "one")
	}, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "two")
	})
	client := newClient(server)
	body, err := fetch(t, client, newRequest(t, "GET", "/1"))
	is.NoErr(err)
	is.Equal(body, "one")
	close(sendDuplicate)
	<-server.served
	waitUntilReusable()
	body, err = fetch(t, client, newRequest(t, "GET", "/2"))
	is.NoErr(err)
	is.Equal(body, "two")
}

// TestLeftoverBytesCloseTheConnection checks the case where the duplicate
// response arrives in the same packet as the first.
func TestLeftoverBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	server := newScriptedServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
	}, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "two")
	})
	client := newClient(server)
	body, err := fetch(t, client, newRequest(t, "GET", "/1"))
	is.NoErr(err)
	is.Equal(body, "one")
	waitUntilReusable()
	body, err = fetch(t, client, newRequest(t, "GET", "/2"))
	is.NoErr(err)
	is.Equal(body, "two")
}

func TestAnswerOfAnotherRequestIsRefused(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nIbislift-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	})
	_, err := fetch(t, newClient(server), newRequest(t, "GET", "/1"))
	is.New(t).True(err != nil)
}

func TestAnswerWithoutANameIsRefusedWhereNamesAreExpected(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "whose?")
	})
	client := newClient(server)
	client.SetEchoesRequestID(true)
	_, err := fetch(t, client, newRequest(t, "GET", "/1"))
	is.New(t).True(err != nil)
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut")
		_ = conn.Close()
	})
	_, err := fetch(t, newClient(server), newRequest(t, "GET", "/1"))
	is.New(t).True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestRefusedConnectionIsProof(t *testing.T) {
	server := newScriptedServer(t)
	client := newClient(server)
	_ = server.listener.Close()
	_, err := fetch(t, client, newRequest(t, "POST", "/pay"))
	is := is.New(t)
	is.True(upstream.NotHandedOver(err))
	is.True(client.IsDown(context.Background()))
}

func TestEndOfContextReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan error, 1)
	server := newScriptedServer(t, func(conn net.Conn) {
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
	_, err := newClient(server).Do(ctx, newRequest(t, "GET", "/1"), nil)
	is.True(err != nil)
	is.True(errors.Is(<-ended, io.EOF))
}

func TestInterimResponses(t *testing.T) {
	is := is.New(t)
	server := newScriptedServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n")
		reply(conn, "done")
	})
	var links []string
	response, err := newClient(server).Do(context.Background(), newRequest(t, "GET", "/1"), func(interim *http.Response) {
		links = append(links, interim.Header.Get("Link"))
	})
	is.NoErr(err)
	is.Equal(links, []string{"</style.css>"})
	response.Abort()
}
