package platform_test

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/platform"
)

// invalidCodec decodes each reply as a list with an invalid object.
type invalidCodec struct{}

func (invalidCodec) Request(kernel.PlatformCall, string) *http.Request {
	request, _ := http.NewRequest(http.MethodGet, "/", nil)
	return request
}

func (invalidCodec) Result(kernel.PlatformCall, *http.Response) (kernel.PlatformResult, string, error) {
	return kernel.PlatformResult{Revision: 7, Invalid: 1}, "", platform.InvalidObjectError.New("route-type: \"other\" is unknown")
}

func (invalidCodec) Era(*http.Response) uint64 { return 0 }

func TestInvalidObject(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var logged strings.Builder
	counted := map[string]int{}
	client := &platform.Client{
		Address: strings.TrimPrefix(server.URL, "http://"), Codec: invalidCodec{},
		Log:       slog.New(slog.NewTextHandler(&logged, nil)),
		OnCallEnd: func(kind, result string) { counted[kind+" "+result]++ },
	}
	is := is.New(t)
	for range 3 {
		result := client.Do(context.Background(), kernel.ListObjects{Prefix: "config/"})
		is.Equal(result.Status, kernel.PlatformOK)
		is.Equal(result.Revision, uint64(7))
	}
	is.Equal(counted["list invalid"], 3)
	is.Equal(strings.Count(logged.String(), "route-type"), 1)
}

// An object that another writer has stored in an unknown form does not hide the others.
func TestOddObjects(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 20_000) + `1` + strings.Repeat(`}`, 20_000)
	for name, odd := range map[string]string{
		"nested deeply":      `{"name":"config/b","version":2,"body":` + deep + `}`,
		"a version too high": `{"name":"config/b","version":1e400,"body":1}`,
		"a version as text":  `{"name":"config/b","version":"2","body":1}`,
		"no object":          `[]`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, `{"revision":7,"objects":[{"name":"config/a","version":1,"body":{}},`+odd+`,{"name":"config/c","version":3,"body":{}}]}`)
			}))
			defer server.Close()
			client := &platform.Client{Address: strings.TrimPrefix(server.URL, "http://"), Log: slog.New(slog.DiscardHandler)}
			is := is.New(t)
			for _, call := range []kernel.PlatformCall{kernel.ListObjects{Prefix: "config/"}, kernel.WatchObjects{Prefix: "config/"}} {
				result := client.Do(context.Background(), call)
				is.Equal(result.Status, kernel.PlatformOK)
				is.Equal(result.Revision, uint64(7))
				is.Equal(result.Objects[0].Name, "config/a")
				is.Equal(result.Objects[len(result.Objects)-1].Name, "config/c")
			}
		})
	}
}

func TestReplyTooLong(t *testing.T) {
	var parsed struct{}
	is.New(t).True(platform.ReadReply(strings.NewReader(`{"a":"`+strings.Repeat("x", 17<<20)+`"}`), &parsed) != nil)
}

// Connections may go silent without being closed, while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var mutex sync.Mutex
	silent := map[string]bool{}
	connections := map[string]bool{}
	bothArrived := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mutex.Lock()
		connections[request.RemoteAddr] = true
		isSilent := silent[request.RemoteAddr]
		mutex.Unlock()
		if isSilent {
			<-request.Context().Done()
			return
		}
		if request.URL.Query().Get("prefix") == "both" {
			bothArrived <- struct{}{}
			for len(bothArrived) < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		_, _ = io.WriteString(writer, `{"revision":7}`)
	}))
	defer server.Close()
	client := &platform.Client{Address: strings.TrimPrefix(server.URL, "http://"), Log: slog.New(slog.DiscardHandler)}
	is := is.New(t)
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { client.Do(context.Background(), kernel.ListObjects{Prefix: "both"}) })
	}
	group.Wait()
	mutex.Lock()
	is.Equal(len(connections), 2)
	maps.Copy(silent, connections)
	mutex.Unlock()
	is.Equal(client.Do(context.Background(), kernel.ReadRevision{}).Status, kernel.PlatformUnknown)
	result := client.Do(context.Background(), kernel.ReadRevision{})
	is.Equal(result.Status, kernel.PlatformOK)
	is.Equal(result.Revision, uint64(7))
}

func TestCallsAreCounted(t *testing.T) {
	status := http.StatusNotFound
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, "no JSON")
	}))
	defer server.Close()
	var counted []string
	client := &platform.Client{
		Address:   strings.TrimPrefix(server.URL, "http://"),
		Log:       slog.New(slog.DiscardHandler),
		OnCallEnd: func(kind, result string) { counted = append(counted, kind+" "+result) },
	}
	ctx := context.Background()
	client.Do(ctx, kernel.ReadObject{Name: "a"})
	status = http.StatusServiceUnavailable
	client.Do(ctx, kernel.WriteObject{Name: "a", Body: []byte("{}")})
	status = http.StatusOK
	client.Do(ctx, kernel.ListObjects{Prefix: "a"})
	status = http.StatusInternalServerError
	client.Do(ctx, kernel.DeleteObject{Name: "a"})
	is.New(t).Equal(counted, []string{"read absent", "write refused", "list unknown", "delete unknown"})
}
