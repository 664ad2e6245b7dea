package platform_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/platform"
)

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
