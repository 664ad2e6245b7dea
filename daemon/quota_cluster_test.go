package daemon_test

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/quota"
	"ibislift/core/routes"
	"ibislift/standin/platform"
)

// TestQuotasOfDaemons guards against daemons that together let more requests of a workspace
// through than its quota, or too few, and against refusals that do not say when to come back.
func TestQuotasOfDaemons(t *testing.T) {
	is := is.New(t)
	const rate, burst, seconds = 20, 10, 5
	table := tableOf(routes.Workspace{Name: "acme", Rate: rate, Burst: burst, Keys: []routes.KeyDigest{routes.DigestKey("key")}})
	table.Version = 1
	body, err := json.Marshal(table)
	is.NoErr(err)
	cluster := &cluster{
		t: t, store: &platform.Store{}, drainTimeout: 10 * time.Second, routeTable: string(body),
		quotas: quota.Settings{Window: seconds * time.Second, Overshoot: 0.1, Slack: 20},
	}
	cluster.startAll(3)
	time.Sleep(2 * time.Second) // until the voters lend their votes
	counts, retryAfter := map[int]int{}, ""
	var mutex sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(seconds * time.Second)
	for index := range cluster.instances {
		group.Go(func() {
			for time.Now().Before(end) {
				response := cluster.send(index, request{method: "GET", path: "/", header: map[string]string{"Authorization": "Bearer key"}})
				mutex.Lock()
				counts[response.status]++
				if response.status == 429 {
					retryAfter = response.header.Get("Retry-After")
				}
				mutex.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	t.Logf("answers by status: %v", counts)
	is.True(float64(counts[200]) <= (rate*seconds+burst)*1.1+20)
	is.True(counts[200] >= 0.8*rate*seconds) // a busy machine delays datagrams
	is.Equal(len(counts), 2)                 // nothing but 200 and 429
	is.True(retryAfter != "")
	cluster.logs.mutex.Lock()
	defer cluster.logs.mutex.Unlock()
	is.True(strings.Contains(cluster.logs.text.String(), "workspace over its quota"))
}
