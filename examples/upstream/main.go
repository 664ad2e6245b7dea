// Command upstream is a minimal upstream for ibislift. It serves requests,
// announces itself to the daemon beside it, and asks the daemon to drain before
// it stops.
//
// # Usage
//
//	go run ./examples/upstream
//	curl -H 'Host: hello' http://127.0.0.1:8000/
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"ibislift/io/dialect"
	"ibislift/io/upstream"
)

const (
	address          = "127.0.0.1:9000"
	daemon           = "http://127.0.0.1:8002"
	announceInterval = 500 * time.Millisecond
)

func main() {
	http.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(dialect.Default().RequestID, request.Header.Get(dialect.Default().RequestID))
		_, _ = fmt.Fprintln(writer, "hello")
	})
	go func() { fmt.Fprintln(os.Stderr, http.ListenAndServe(address, nil)) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	announce(ctx)
	// The daemon responds once no request is running any more.
	post("/drain", nil)
}

// announce announces this upstream to the daemon at a regular interval until the
// context ends.
func announce(ctx context.Context) {
	body, _ := json.Marshal(upstream.Announcement{
		Service: "hello", Address: address, Slots: 8, HealthPath: "/",
		StartedAt: time.Now().UnixMilli(), EchoesRequestID: true,
	})
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		post("/announce", body)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func post(path string, body []byte) {
	response, err := http.Post(daemon+path, "application/json", bytes.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	_ = response.Body.Close()
}
