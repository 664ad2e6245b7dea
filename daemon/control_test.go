package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/platform"
)

func TestCancelledPlatformCallEnds(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-request.Context().Done()
	}))
	defer server.Close()
	control := newControl(kernel.Settings{})
	control.ctx = t.Context()
	control.platform = &platform.Client{Address: strings.TrimPrefix(server.URL, "http://"), Log: slog.New(slog.DiscardHandler)}
	control.perform(kernel.CallPlatform{Owner: "test", Token: 3, Call: kernel.WatchObjects{Prefix: "config/", Wait: time.Minute}})
	<-arrived
	control.perform(kernel.CancelPlatformCall{Owner: "test", Token: 2}) // another call
	control.perform(kernel.CancelPlatformCall{Owner: "test", Token: 3})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is := is.New(t)
	select {
	case message := <-control.messages:
		ended := message.(kernel.PlatformCallEnded)
		is.Equal(ended.Token, uint64(3))
		is.Equal(ended.Result.Status, kernel.PlatformUnknown)
	case <-ctx.Done():
		t.Fatal("the call has not ended")
	}
	is.Equal(len(control.platformCalls), 0)
}
