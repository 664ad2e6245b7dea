package deployment

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/matryer/is"
)

// answerOperators starts an operator API that answers every call with a status and a
// body, and returns its instance.
func answerOperators(t *testing.T, number, status int, body string) *Instance {
	t.Helper()
	instance := &Instance{IP: fmt.Sprintf("127.%d.9.%d", 200+os.Getpid()%20, number)}
	listener, err := net.Listen("tcp", instance.OperatorAddress())
	is.New(t).NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return instance
}

func TestApply(t *testing.T) {
	running := &Running{}
	t.Run("an accepted change returns the new object", func(t *testing.T) {
		instance := answerOperators(t, 1, http.StatusOK, `{"name": "soak", "version": 7}`)
		status, object, err := running.Apply(instance, "/profiles/soak", 6, "{}")
		is := is.New(t)
		is.NoErr(ApplyError(status, err))
		is.Equal(object.Version, uint64(7))
	})
	t.Run("a conflict returns the current object", func(t *testing.T) {
		instance := answerOperators(t, 2, http.StatusConflict, `{"title": "conflict", "status": 409, "current": {"name": "soak", "version": 9}}`)
		status, object, err := running.Apply(instance, "/profiles/soak", 6, "{}")
		is := is.New(t)
		is.NoErr(err)
		is.Equal(object.Version, uint64(9))
		is.Equal(ApplyError(status, err).Error(), "deployment: the change was refused with status 409")
	})
	t.Run("an error is returned as it is", func(t *testing.T) {
		failure := errors.New("connection refused")
		is.New(t).Equal(ApplyError(0, failure), failure)
	})
}
