package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	_ "ibislift/core/rollout"
)

var start = time.Unix(1_800_000_000, 0)

// daemon is a kernel with the plug-in, and the calls that it has made.
type daemon struct {
	kernel kernel.Kernel
	now    time.Time
	calls  []kernel.CallPlatform
	view   *kernel.View
}

func newDaemon() *daemon {
	daemon := &daemon{now: start, kernel: kernel.Kernel{Settings: kernel.Settings{Self: "a", RouteObject: "config/main"}}}
	daemon.update(kernel.Started{})
	return daemon
}

func (daemon *daemon) update(message kernel.Message) {
	for _, effect := range daemon.kernel.Update(kernel.Event{At: daemon.now, Random: 1, Message: message}) {
		switch effect := effect.(type) {
		case kernel.CallPlatform:
			daemon.calls = append(daemon.calls, effect)
		case kernel.Publish:
			daemon.view = effect.View
		}
	}
}

// pass lets time go by.
func (daemon *daemon) pass(span time.Duration) {
	for end := daemon.now.Add(span); daemon.now.Before(end); {
		daemon.now = daemon.now.Add(kernel.TickInterval)
		daemon.update(kernel.Ticked{})
	}
}

// answer ends the newest call.
func (daemon *daemon) answer(result kernel.PlatformResult) {
	call := daemon.calls[len(daemon.calls)-1]
	daemon.update(kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result})
}

// lose lets exchanges with two neighbours fail, so that the daemon looks for
// itself.
func (daemon *daemon) lose() {
	for _, address := range []string{"b", "c"} {
		daemon.update(kernel.PeerFailed{Peer: kernel.Neighbour{ID: address, Address: address}})
	}
	daemon.pass(kernel.TickInterval)
}

func table(version int) kernel.Object {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","prefix":"/","parts":[{"service":"s","weight":1}]}]}`, version)
	return kernel.Object{Name: "config/main", Version: uint64(version), Body: []byte(body)}
}

func listed(version int, revision uint64) kernel.PlatformResult {
	return kernel.PlatformResult{Objects: []kernel.Object{table(version)}, Revision: revision}
}

func inForce(t *testing.T, daemon *daemon, version uint64) {
	t.Helper()
	is := is.New(t)
	is.True(daemon.view != nil && daemon.view.Ready)
	is.Equal(daemon.view.Routes.Version, version)
}

func TestRollout(t *testing.T) {
	t.Run("not ready before the first table", func(t *testing.T) {
		daemon := newDaemon()
		is.New(t).True(daemon.view == nil || !daemon.view.Ready)
	})
	t.Run("a watch brings the next one", func(t *testing.T) {
		daemon := newDaemon()
		daemon.answer(listed(3, 10))
		inForce(t, daemon, 3)
		daemon.lose()
		daemon.answer(listed(5, 11))
		daemon.answer(listed(7, 12))
		inForce(t, daemon, 7)
		watch := daemon.calls[len(daemon.calls)-1].Call.(kernel.WatchObjects)
		is.New(t).Equal(watch.Revision, uint64(12))
	})
	t.Run("never an older one after a newer one", func(t *testing.T) {
		daemon := newDaemon()
		daemon.answer(listed(7, 10))
		daemon.answer(listed(3, 9))
		inForce(t, daemon, 7)
	})
	t.Run("a daemon in touch with its neighbours leaves the watch to the watchers", func(t *testing.T) {
		daemon := newDaemon()
		daemon.answer(listed(3, 10))
		before := len(daemon.calls)
		for range 20 {
			daemon.update(kernel.PeerReplied{Peer: kernel.Neighbour{ID: "b", Address: "b"}})
			daemon.pass(time.Second)
		}
		is.New(t).Equal(len(daemon.calls), before)
	})
	t.Run("one that has lost touch reads, and then watches", func(t *testing.T) {
		daemon := newDaemon()
		daemon.answer(listed(3, 10))
		daemon.pass(4 * time.Second)
		is := is.New(t)
		_, isList := daemon.calls[len(daemon.calls)-1].Call.(kernel.ListObjects)
		is.True(isList)
		daemon.answer(listed(4, 20))
		inForce(t, daemon, 4)
		_, isWatch := daemon.calls[len(daemon.calls)-1].Call.(kernel.WatchObjects)
		is.True(isWatch)
	})
	t.Run("after lost history the table is read again at once", func(t *testing.T) {
		daemon := newDaemon()
		daemon.answer(listed(3, 10))
		daemon.lose()
		daemon.answer(listed(3, 10))
		daemon.answer(kernel.PlatformResult{Status: kernel.PlatformGone})
		daemon.pass(kernel.TickInterval)
		_, isList := daemon.calls[len(daemon.calls)-1].Call.(kernel.ListObjects)
		is.New(t).True(isList)
	})
	t.Run("a platform that is down is asked again within the time of a change, and not in a flood", func(t *testing.T) {
		daemon := newDaemon()
		for range 10 {
			daemon.answer(kernel.PlatformResult{Status: kernel.PlatformRefused})
			before := len(daemon.calls)
			daemon.pass(1500 * time.Millisecond)
			is.New(t).Equal(len(daemon.calls), before+1)
		}
	})
	t.Run("neighbours bring it where the platform does not", func(t *testing.T) {
		daemon := newDaemon()
		record := kernel.Record{Key: kernel.Key{Kind: kernel.KindRoutes, Name: "config/main"}, Version: 5, Body: table(5).Body}
		daemon.answer(kernel.PlatformResult{Status: kernel.PlatformRefused})
		adopt := kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "b", Records: []kernel.Record{record}}}
		daemon.update(adopt)
		daemon.update(kernel.RecordsMerged{From: "b", Records: []kernel.Record{record}})
		inForce(t, daemon, 5)
	})
	t.Run("a table that makes no sense is not taken", func(t *testing.T) {
		daemon := newDaemon()
		daemon.answer(listed(3, 10))
		daemon.answer(kernel.PlatformResult{Revision: 11, Objects: []kernel.Object{{Name: "config/main", Body: []byte(`{"version":9,"routes":[{}]}`)}}})
		inForce(t, daemon, 3)
	})
}
