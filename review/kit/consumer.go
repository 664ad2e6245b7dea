package kit

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is a request of a consumer. Body may be nil. A body whose length is not
// known is sent in chunks.
type Request struct {
	Method, Host, Path string
	Body               io.Reader
	Budget             time.Duration
}

// Answer is what a consumer gets. Status is 0 if there is no whole answer.
type Answer struct {
	ID     string
	SentAt float64
	Status int
	Sealed bool
	Body   string
}

// Consumer sends requests to daemons, each on a connection of its own.
type Consumer struct {
	Record *Record

	lastID atomic.Uint64
}

// NextID returns a new request id.
func (consumer *Consumer) NextID() string {
	return fmt.Sprintf("%016x", 0x9c41d07be2000000+consumer.lastID.Add(1))
}

// Send sends a request to a daemon and returns the answer.
func (consumer *Consumer) Send(machine *Machine, id string, request Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), request.Budget)
	defer cancel()
	answer := Answer{ID: id, SentAt: consumer.Record.Seconds()}
	call, err := http.NewRequestWithContext(ctx, request.Method, "http://"+machine.Outbound()+request.Path, request.Body)
	if err != nil {
		return answer
	}
	call.Host = request.Host
	call.Header.Set(Name("requestID"), id)
	call.Header.Set(Name("deadline"), strconv.FormatInt(request.Budget.Milliseconds(), 10))
	consumer.Record.Line("consumer: sends %s to %s: %s %s%s", id, machine.Node, request.Method, request.Host, request.Path)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(call)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			answer.Status, answer.Sealed, answer.Body = response.StatusCode, response.Header.Get(Name("seal")) != "", string(body)
		}
	}
	consumer.Record.Line("consumer: answer to %s: status %d, sealed %v, %v", id, answer.Status, answer.Sealed, err)
	return answer
}
