package upstream_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/dialect"
)

// A caller whose own ID is that of probes accepts responses without an ID.
func TestCallersDoNotShareTheIDOfProbes(t *testing.T) {
	client := newClient(newScriptedServer(t, respond(okHead+"Content-Length: 3\r\n\r\none")))
	client.SetEchoesRequestID(true)
	request := newRequest(t, http.MethodGet, "/1")
	request.Header.Set(dialect.Default().RequestID, "probe")
	_, err := fetch(t, client, request)
	is.New(t).True(err != nil)
}
