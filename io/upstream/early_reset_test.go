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

	"ibislift/io/dialect"
	"ibislift/io/upstream"
)

// endlessBody is the body of an upload that goes on until the connection ends.
type endlessBody struct{}

func (endlessBody) Read(buffer []byte) (int, error) { return len(buffer), nil }

// waitingBody is the body of an upload whose next part does not come.
type waitingBody struct{ ended <-chan struct{} }

func (waitingBody waitingBody) Read([]byte) (int, error) {
	<-waitingBody.ended
	return 0, io.ErrUnexpectedEOF
}

// respondEarly sends a response without a length as soon as it has read the head of a
// request, and then ends the connection.
func respondEarly(end func(conn *net.TCPConn)) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		end(conn.(*net.TCPConn))
	}
}

// upload sends an upload and reads the response.
func upload(t *testing.T, server *scriptedServer, body io.Reader) (text string, err error) {
	t.Helper()
	client := &upstream.Client{}
	client.SetAddress(server.listener.Addr().String())
	request, err := http.NewRequest(http.MethodPost, "http://upstream/", io.NopCloser(body))
	is.New(t).NoErr(err)
	request.ContentLength = 1 << 40
	request.Header.Set(dialect.Default().RequestID, "own")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, request, nil)
	if err != nil {
		return "", err
	}
	defer response.Abort()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// Guards against a part of a response that looks complete: the operating system reports a
// reset only once, and a write of the upload may get it in place of the read.
func TestResponseWithoutALengthThatIsResetDuringAnUploadIsCut(t *testing.T) {
	const rounds = 100
	resets := map[string]func(conn *net.TCPConn){
		"at once": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"while the upload waits for the upstream": func(conn *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
		"while the upload goes on": func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, 1<<20)
			_ = conn.SetLinger(0)
		},
		"by unread bytes": func(*net.TCPConn) { time.Sleep(time.Millisecond) },
	}
	for name, reset := range resets {
		t.Run(name, func(t *testing.T) {
			complete := 0
			for range rounds {
				if _, err := upload(t, newScriptedServer(t, respondEarly(reset)), endlessBody{}); err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Fatalf("%d of %d responses that were reset look complete", complete, rounds)
			}
		})
	}
}

func TestResponseWithoutALengthIsCompleteDuringAnUpload(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	for name, test := range map[string]struct {
		body io.Reader
		end  func(conn *net.TCPConn)
	}{
		"the upstream reads on": {endlessBody{}, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		"the upstream reads nothing more": {endlessBody{}, func(conn *net.TCPConn) {
			time.Sleep(100 * time.Millisecond) // the buffers are full
			_ = conn.CloseWrite()
			time.Sleep(200 * time.Millisecond)
		}},
		"the upload waits for its next part": {waitingBody{ended}, func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started := time.Now()
			text, err := upload(t, newScriptedServer(t, respondEarly(test.end)), test.body)
			is.NoErr(err)
			is.Equal(text, "part")
			is.True(time.Since(started) < time.Second) // it does not wait for the rest of the upload
		})
	}
}
