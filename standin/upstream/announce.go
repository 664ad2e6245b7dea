package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	wire "ibislift/io/upstream"
)

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// Announce announces the upstream to the daemon beside it at a regular interval
// until the context ends.
func (server *Server) Announce(ctx context.Context, daemon, address string) {
	announcement := wire.Announcement{
		Service:    server.Service,
		Address:    address,
		Slots:      server.Slots,
		HealthPath: "/health",
		LoadPath:   "/load",
		StartedAt:  time.Now().UnixMilli(),

		EchoesRequestID: true,
	}
	for ctx.Err() == nil {
		server.announceWarmup(&announcement)
		body, err := json.Marshal(announcement)
		if err != nil {
			return
		}
		_ = post(ctx, "http://"+daemon+"/announce", body)
		sleep(ctx, announceInterval)
	}
}

// Drain asks the daemon beside the upstream to drain. The daemon responds once no
// request is running any more.
func (server *Server) Drain(ctx context.Context, daemon string) error {
	return post(ctx, "http://"+daemon+"/drain", nil)
}

func post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
