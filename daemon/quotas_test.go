package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/quota"
	"ibislift/standin/platform"
)

// metrics returns what a daemon serves to the metrics collector.
func (cluster *cluster) metrics(index int) string {
	cluster.t.Helper()
	httpResponse, err := http.Get("http://" + cluster.instances[index].operatorAddress() + "/metrics")
	is.New(cluster.t).NoErr(err)
	defer func() { _ = httpResponse.Body.Close() }()
	text, err := io.ReadAll(httpResponse.Body)
	is.New(cluster.t).NoErr(err)
	return string(text)
}

// TestQuotasAreOff guards against quotas in deployments that do not ask for them, and
// against their metrics missing in those that do.
func TestQuotasAreOff(t *testing.T) {
	t.Run("without a window", func(t *testing.T) {
		cluster := newCluster(t, 1)
		is.New(t).True(!strings.Contains(cluster.metrics(0), "ibislift_quota"))
	})
	t.Run("with a window, requests without a workspace are not limited", func(t *testing.T) {
		is := is.New(t)
		cluster := &cluster{t: t, store: &platform.Store{}, drainTimeout: 10 * time.Second, quotas: quota.Settings{Window: time.Second}}
		cluster.startAll(2)
		for range 20 {
			is.Equal(cluster.send(0, request{method: "GET", path: "/"}).status, 200)
		}
		text := cluster.metrics(0)
		is.True(strings.Contains(text, "ibislift_quota_granted_total 0"))
		is.True(!strings.Contains(text, `kind="quota"`)) // no message is sent
	})
}
