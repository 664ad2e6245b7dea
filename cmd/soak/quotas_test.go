package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/deployment"
)

// fabricate returns a ledger with requests that run at equal distances over a time, which
// begins after a pause.
func fabricate(prefix string, count int, pause, length time.Duration) string {
	var text strings.Builder
	start := time.UnixMicro(1_800_000_000_000_000).Add(pause)
	for number := range count {
		at := start.Add(length * time.Duration(number) / time.Duration(count))
		fmt.Fprintf(&text, "log-%d GET %d %s%d.0\n", number%6+1, at.UnixMicro(), prefix, number)
	}
	return text.String()
}

// TestQuotaBreach guards against a check that misses a window in which the upstreams of
// all daemons together ran too many requests of the workspace, or that counts others.
func TestQuotaBreach(t *testing.T) {
	bound := int(quotaBound())
	is.New(t).Equal(bound, 141) // (20 x 5 + 10) x 1.1 + 20
	for _, test := range []struct {
		name string
		text string
		most int
		want string
	}{
		{"no requests", "", 0, ""},
		{"as many as are allowed", fabricate("qf3-", bound, 0, quotaWindow), bound, ""},
		{"one more", fabricate("qf3-", bound+1, 0, quotaWindow), bound + 1, "upstreams ran 142 requests"},
		{"in a window that begins later", fabricate("qf3-", 50, 0, quotaWindow) + fabricate("qc3-", bound+1, 11*time.Second, time.Second), bound + 1, "142 requests"},
		{"out of order", fabricate("qf3-", 100, time.Second, time.Second) + fabricate("qc3-", 50, 0, time.Second), 150, "150 requests"},
		{"over two windows", fabricate("qf3-", 2*bound, 0, 2*quotaWindow), bound, ""},
		{"of other workspaces", fabricate("s3-", 3*bound, 0, quotaWindow), 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			most, breach := quotaBreach(deployment.ParseLedger(test.text))
			is.Equal(most, test.most)
			is.True(strings.Contains(breach, test.want))
			is.Equal(breach == "", test.want == "")
		})
	}
}

// TestServedBreach guards against a workspace that the quota refuses without need.
func TestServedBreach(t *testing.T) {
	is := is.New(t)
	is.Equal(servedBreach(40, 4*time.Second), "")
	is.True(strings.Contains(servedBreach(39, 4*time.Second), "served 39 requests in 4s without faults, at least 40"))
}
