package main

import (
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/deployment"
)

// TestColdBreaches guards against a check that misses a target which got more than it may
// while it was cold, in any of its lives, or that counts targets without a warm-up rate.
func TestColdBreaches(t *testing.T) {
	names := []string{"desk-1", "desk-2", "desk-3"}
	for _, test := range []struct {
		name string
		text string
		want []string
	}{
		{"no cold target", fabricate("s3-", 100, 0, quotaWindow), nil},
		{"as many as are allowed", "desk-1 mostInASecond 13\ndesk-1 mostInASecond 14\n", nil},
		{"one more, and fewer in a later life", "desk-1 mostInASecond 15\ndesk-1 mostInASecond 3\ndesk-2 mostInASecond 14\n", []string{"upstream desk-1 was cold and got 15 requests in a second, 14 are allowed"}},
		{"without a warm-up rate", "log-1 mostInASecond 40\n", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(coldBreaches(deployment.ParseLedger(test.text), names), test.want)
		})
	}
}
