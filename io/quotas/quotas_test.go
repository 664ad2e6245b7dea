package quotas_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/quota"
	"ibislift/core/routes"
	"ibislift/io/peer"
	"ibislift/io/quotas"
)

// instance is the part of a daemon that keeps quotas, with a socket of its own.
type instance struct {
	*quotas.Quotas
	stop context.CancelFunc
}

var acme = &routes.Workspace{Name: "acme", Rate: 50, Burst: 10}

// settings are those of a deployment.
var settings = quota.Settings{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// newFleet starts daemons on loopback addresses that have joined each other. region returns
// the region of each.
func newFleet(t *testing.T, size int, region func(number int) string) []*instance {
	t.Helper()
	view := &kernel.View{Synced: true, Routes: &routes.Table{Workspaces: []routes.Workspace{*acme}}}
	for number := range size {
		listener, err := net.ListenPacket("udp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		view.Members = append(view.Members, kernel.Member{ID: fmt.Sprintf("d%d", number), State: kernel.MemberAlive, PeerAddress: listener.LocalAddr().String(), Region: region(number)})
		is.New(t).NoErr(listener.Close())
	}
	var fleet []*instance
	for _, member := range view.Members {
		reporter := &peer.Reporter{
			Self: member.ID, Service: func() string { return "" }, Load: func() admit.Load { return admit.Load{} },
			InSameRegion: func(string) bool { return true }, OnReport: func(string, string, admit.Load) {},
		}
		driver := &quotas.Quotas{
			Self: member.ID, Epoch: time.Now().UnixMilli(), Settings: settings, View: func() *kernel.View { return view },
			Send: reporter.SendQuota, Log: slog.New(slog.DiscardHandler),
		}
		reporter.OnQuota = driver.Receive
		is.New(t).NoErr(reporter.Listen(member.PeerAddress))
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go reporter.Run(ctx)
		go driver.Run(ctx)
		fleet = append(fleet, &instance{driver, stop})
	}
	return fleet
}

func noRegion(int) string { return "" }

// take takes tokens at all daemons, more often than the quota allows, and returns how many
// were granted and by which daemons.
func take(fleet []*instance, duration time.Duration) (granted int64, owners map[string]bool) {
	var count atomic.Int64
	var mutex sync.Mutex
	var group sync.WaitGroup
	owners = map[string]bool{}
	end := time.Now().Add(duration)
	for _, instance := range fleet {
		group.Go(func() {
			for time.Now().Before(end) {
				decision := instance.Take(context.Background(), acme, time.Now().Add(time.Second))
				if decision.Verdict == quota.Granted {
					count.Add(1)
					mutex.Lock()
					owners[decision.Owner] = true
					mutex.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return count.Load(), owners
}

// TestQuotasOverLoopback guards against daemons that do not understand each other: that
// together grant more than the quota, or too little, or nothing after the owner's end.
func TestQuotasOverLoopback(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 5, noRegion)
	_, _ = take(fleet, 2*time.Second) // until the votes are lent and the buckets fill
	started := time.Now()
	granted, owners := take(fleet, 3*time.Second)
	elapsed := time.Since(started).Seconds()
	most := (acme.Rate*elapsed+acme.Burst)*(1+settings.Overshoot) + settings.Slack
	t.Logf("granted %d of at most %.0f in %.1f s, owners %v", granted, most, elapsed, owners)
	is.True(float64(granted) <= most)
	is.True(float64(granted) >= 0.8*acme.Rate*3) // a busy machine delays datagrams
	is.Equal(len(owners), 1)
	var rest []*instance
	for number, instance := range fleet {
		if owners[fmt.Sprintf("d%d", number)] {
			instance.stop()
			continue
		}
		rest = append(rest, instance)
	}
	_, _ = take(rest, 2*time.Second)
	granted, owners = take(rest, 3*time.Second)
	t.Logf("granted %d in 3 s after the end of the owner, owners %v", granted, owners)
	is.True(float64(granted) >= 0.5*acme.Rate*3) // four of five votes, and a busy machine
}

// TestCacheOverLoopback guards against daemons and caches of their regions that do not
// understand each other.
func TestCacheOverLoopback(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 6, func(number int) string { return fmt.Sprint(number % 2) })
	_, _ = take(fleet[:1], 2*time.Second) // until the votes are lent and the buckets fill
	granted, deciders := 0, map[string]bool{}
	for round := range 60 { // 30 requests a second of the 50 that are allowed
		decision := fleet[round%len(fleet)].Take(context.Background(), acme, time.Now().Add(time.Second))
		if decision.Verdict == quota.Granted {
			granted++
			deciders[decision.Owner] = true
		}
		time.Sleep(33 * time.Millisecond)
	}
	t.Logf("granted %d of 60, decided by %v", granted, deciders)
	is.True(granted >= 48) // a busy machine delays datagrams
	is.Equal(len(deciders), 2)
}

// TestWithdrawnRequest guards against a wait that outlasts the caller.
func TestWithdrawnRequest(t *testing.T) {
	fleet := newFleet(t, 2, noRegion)
	fleet[1].stop()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.New(t).Equal(fleet[0].Take(ctx, acme, time.Now().Add(time.Second)).Verdict, quota.Unreachable)
}
