package upstream_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/dialect"
)

// TestCallersDoNotShareTheIDOfProbes guards against a caller whose own ID makes a
// response without an ID, or a late one to a probe, count as its own.
func TestCallersDoNotShareTheIDOfProbes(t *testing.T) {
	client := newClient(newScriptedServer(t, respond(okHead+"Content-Length: 3\r\n\r\none")))
	client.SetEchoesRequestID(true)
	request := newRequest(t, http.MethodGet, "/1")
	request.Header.Set(dialect.Default().RequestID, "probe")
	_, err := fetch(t, client, request)
	is.New(t).True(err != nil)
}
