package rollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	_ "ibislift/core/rollout"
	_ "ibislift/core/spread"
)

var start = time.Unix(1_800_000_000, 0)

// daemon is a kernel with the plug-in. It records the calls to the platform and
// the last published view.
type daemon struct {
	kernel kernel.Kernel
	now    time.Time
	calls  []kernel.CallPlatform
	// cancelled holds the calls that the plug-in has cancelled.
	cancelled []kernel.CancelPlatformCall
	view      *kernel.View
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
		case kernel.CancelPlatformCall:
			daemon.cancelled = append(daemon.cancelled, effect)
		case kernel.Publish:
			daemon.view = effect.View
		}
	}
}

// advance moves the clock forward in ticks.
func (daemon *daemon) advance(duration time.Duration) {
	for end := daemon.now.Add(duration); daemon.now.Before(end); {
		daemon.now = daemon.now.Add(kernel.TickInterval)
		daemon.update(kernel.Ticked{})
	}
}

// reply ends the latest call with the result.
func (daemon *daemon) reply(result kernel.PlatformResult) {
	call := daemon.calls[len(daemon.calls)-1]
	daemon.update(kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result})
}

// failNeighbours reports failed exchanges with two neighbours some time after the
// start, so that the daemon watches the platform itself.
func (daemon *daemon) failNeighbours() {
	daemon.advance(4 * time.Second)
	for _, address := range []string{"b", "c"} {
		daemon.update(kernel.PeerFailed{Peer: kernel.Neighbour{ID: address, Address: address}})
	}
	daemon.advance(kernel.TickInterval)
}

func routeObject(version int) kernel.Object {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","prefix":"/","parts":[{"service":"s","weight":1}]}]}`, version)
	return kernel.Object{Name: "config/main", Version: uint64(version), Body: []byte(body)}
}

func listResult(version int, revision uint64) kernel.PlatformResult {
	return kernel.PlatformResult{Objects: []kernel.Object{routeObject(version)}, Revision: revision}
}

// requireRouteVersion checks that the daemon is ready and has applied the
// version of the route table.
func requireRouteVersion(t *testing.T, daemon *daemon, version uint64) {
	t.Helper()
	is := is.New(t)
	is.True(daemon.view != nil && daemon.view.Ready)
	is.Equal(daemon.view.Routes.Version, version)
}

func TestRollout(t *testing.T) {
	t.Run("a daemon is not ready before it has the first table", func(t *testing.T) {
		daemon := newDaemon()
		is.New(t).True(daemon.view == nil || !daemon.view.Ready)
	})
	t.Run("a watch returns the next table", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(listResult(3, 10))
		requireRouteVersion(t, daemon, 3)
		daemon.failNeighbours()
		daemon.reply(listResult(5, 11))
		daemon.reply(listResult(7, 12))
		requireRouteVersion(t, daemon, 7)
		watch := daemon.calls[len(daemon.calls)-1].Call.(kernel.WatchObjects)
		is.New(t).Equal(watch.Revision, uint64(12))
	})
	t.Run("an older table does not replace a newer one", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(listResult(7, 10))
		daemon.reply(listResult(3, 9))
		requireRouteVersion(t, daemon, 7)
	})
	t.Run("a daemon connected to its neighbours does not watch the platform", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(listResult(3, 10))
		callsBefore := len(daemon.calls)
		for range 20 {
			daemon.update(kernel.PeerReplied{Peer: kernel.Neighbour{ID: "b", Address: "b"}})
			daemon.advance(time.Second)
		}
		is.New(t).Equal(len(daemon.calls), callsBefore)
	})
	t.Run("a connected daemon learns that the platform is back", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted})
		daemon.advance(kernel.TickInterval)
		is := is.New(t)
		is.True(!daemon.view.PlatformDownSince.IsZero())
		calls := len(daemon.calls)
		for range 25 {
			daemon.update(kernel.PeerReplied{Peer: kernel.Neighbour{ID: "b", Address: "b"}})
			daemon.advance(time.Second)
		}
		is.Equal(len(daemon.calls), calls+1)
		daemon.reply(listResult(3, 10))
		is.True(daemon.view.PlatformDownSince.IsZero())
	})
	t.Run("a daemon without contact to its neighbours reads and then watches", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(listResult(3, 10))
		daemon.advance(4 * time.Second)
		is := is.New(t)
		_, isList := daemon.calls[len(daemon.calls)-1].Call.(kernel.ListObjects)
		is.True(isList)
		daemon.reply(listResult(4, 20))
		requireRouteVersion(t, daemon, 4)
		_, isWatch := daemon.calls[len(daemon.calls)-1].Call.(kernel.WatchObjects)
		is.True(isWatch)
	})
	t.Run("the table is read again at once if the platform has dropped the history", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(listResult(3, 10))
		daemon.failNeighbours()
		daemon.reply(listResult(3, 10))
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformHistoryLost})
		daemon.advance(kernel.TickInterval)
		_, isList := daemon.calls[len(daemon.calls)-1].Call.(kernel.ListObjects)
		is.New(t).True(isList)
	})
	t.Run("a failed call is repeated once within 1.5 s", func(t *testing.T) {
		daemon := newDaemon()
		for range 10 {
			daemon.reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted})
			callsBefore := len(daemon.calls)
			daemon.advance(1500 * time.Millisecond)
			is.New(t).Equal(len(daemon.calls), callsBefore+1)
		}
	})
	t.Run("a table from a neighbour is applied if the platform is unreachable", func(t *testing.T) {
		daemon := newDaemon()
		record := kernel.Record{Key: kernel.Key{Kind: kernel.KindRoutes, Name: "config/main"}, Version: 5, Body: routeObject(5).Body}
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted})
		received := kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "b", Records: []kernel.Record{record}}}
		daemon.update(received)
		daemon.update(kernel.RecordsMerged{From: "b", Records: []kernel.Record{record}})
		requireRouteVersion(t, daemon, 5)
	})
	t.Run("an invalid table is rejected", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(listResult(3, 10))
		daemon.reply(kernel.PlatformResult{Revision: 11, Objects: []kernel.Object{{Name: "config/main", Body: []byte(`{"version":9,"routes":[{}]}`)}}})
		requireRouteVersion(t, daemon, 3)
	})
}

// A watch that the platform does not answer hides neither a change nor the platform's
// silence.
func TestWatchesAreChecked(t *testing.T) {
	// watching returns a daemon that watches from revision 10 and has table 5.
	watching := func() *daemon {
		daemon := newDaemon()
		daemon.reply(listResult(5, 10))
		daemon.failNeighbours()
		daemon.reply(listResult(5, 10))
		return daemon
	}
	// checking returns it with a check in progress.
	checking := func(t *testing.T) *daemon {
		t.Helper()
		daemon := watching()
		calls := len(daemon.calls)
		daemon.advance(2 * time.Second)
		is.New(t).Equal(len(daemon.calls), calls+1)
		requireLastCall(t, daemon, kernel.ReadRevision{Prefix: "config/"})
		return daemon
	}
	t.Run("a revision without a change is not followed by a read", func(t *testing.T) {
		daemon := checking(t)
		daemon.reply(kernel.PlatformResult{Revision: 10})
		calls := len(daemon.calls)
		daemon.advance(kernel.TickInterval)
		is.New(t).Equal(len(daemon.calls), calls)
	})
	t.Run("a table that the watch has missed is applied, and the watch is abandoned", func(t *testing.T) {
		daemon := checking(t)
		watch := daemon.calls[len(daemon.calls)-2]
		daemon.reply(kernel.PlatformResult{Revision: 12})
		requireLastCall(t, daemon, kernel.ListObjects{Prefix: "config/", StaleAllowed: true})
		daemon.reply(listResult(11, 12))
		requireRouteVersion(t, daemon, 11)
		is := is.New(t)
		is.Equal(daemon.cancelled, []kernel.CancelPlatformCall{{Owner: watch.Owner, Token: watch.Token}})
		requireLastCall(t, daemon, kernel.ListObjects{Prefix: "config/"})
		daemon.reply(listResult(11, 12))
		next := daemon.calls[len(daemon.calls)-1]
		is.True(next.Token != watch.Token)
		calls := len(daemon.calls)
		daemon.update(kernel.PlatformCallEnded{Owner: watch.Owner, Token: watch.Token, Result: kernel.PlatformResult{Status: kernel.PlatformUnknown}})
		is.True(daemon.view.PlatformDownSince.IsZero())
		is.Equal(len(daemon.calls), calls)
	})
	t.Run("a watch goes on if other objects have changed", func(t *testing.T) {
		daemon := checking(t)
		daemon.reply(kernel.PlatformResult{Revision: 12})
		daemon.reply(listResult(5, 12))
		is := is.New(t)
		is.Equal(len(daemon.cancelled), 0)
		calls := len(daemon.calls)
		daemon.advance(2 * time.Second)
		daemon.reply(kernel.PlatformResult{Revision: 12})
		is.Equal(len(daemon.calls), calls+1) // the check only
	})
	t.Run("a check without a reply shows that the platform is silent, and is repeated", func(t *testing.T) {
		daemon := checking(t)
		daemon.advance(time.Second)
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformUnknown})
		is := is.New(t)
		is.True(!daemon.view.PlatformDownSince.IsZero())
		calls := len(daemon.calls)
		daemon.advance(1500 * time.Millisecond)
		is.Equal(len(daemon.calls), calls+1)
		daemon.reply(kernel.PlatformResult{Revision: 10})
		is.True(daemon.view.PlatformDownSince.IsZero())
	})
	t.Run("a check in a later era ends the watch", func(t *testing.T) {
		daemon := newDaemon()
		first := listResult(5, 10)
		first.Era = 1
		daemon.reply(first)
		daemon.failNeighbours()
		daemon.reply(first)
		daemon.advance(2 * time.Second)
		daemon.reply(kernel.PlatformResult{Era: 2, Revision: 4})
		is.New(t).Equal(len(daemon.cancelled), 1)
		requireLastCall(t, daemon, kernel.ListObjects{Prefix: "config/"})
	})
	t.Run("a read that ends with its timeout is repeated at once", func(t *testing.T) {
		daemon := newDaemon()
		daemon.advance(2 * time.Second)
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformUnknown})
		calls := len(daemon.calls)
		daemon.advance(kernel.TickInterval)
		is.New(t).Equal(len(daemon.calls), calls+1)
	})
}

func requireLastCall(t *testing.T, daemon *daemon, call kernel.PlatformCall) {
	t.Helper()
	is.New(t).Equal(daemon.calls[len(daemon.calls)-1].Call, call)
}

func TestCompression(t *testing.T) {
	large := []byte(`{"version":1,"routes":[` + strings.Repeat(`{"host":"h","prefix":"/","parts":[{"service":"s","weight":1}]},`, 100) + `{"host":"h","prefix":"/","parts":[{"service":"s","weight":1}]}]}`)
	deliver := func(body []byte) *daemon {
		daemon := newDaemon()
		daemon.update(kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "b", Records: []kernel.Record{
			{Key: kernel.Key{Kind: kernel.KindRoutes, Name: "config/main"}, Version: 1, Body: body},
		}}})
		return daemon
	}
	t.Run("a large table is sent compressed and applied", func(t *testing.T) {
		daemon := newDaemon()
		daemon.reply(kernel.PlatformResult{Objects: []kernel.Object{{Name: "config/main", Version: 1, Body: large}}, Revision: 1})
		requireRouteVersion(t, daemon, 1)
		is := is.New(t)
		is.Equal(len(daemon.view.Routes.Routes), 101)
		is.True(daemon.sent("config/main") != nil)
		is.True(len(daemon.sent("config/main")) < len(large)/10)
		requireRouteVersion(t, deliver(daemon.sent("config/main")), 1)
	})
	t.Run("a table without compression is applied", func(t *testing.T) {
		requireRouteVersion(t, deliver(large), 1)
	})
	t.Run("a damaged record is refused", func(t *testing.T) {
		for _, body := range [][]byte{{1}, {1, 0xff, 0xff}, {2}, nil} {
			daemon := deliver(body)
			is.New(t).True(daemon.view == nil || !daemon.view.Ready)
		}
	})
}

// sent returns the body that the daemon gives a peer which lacks the record.
func (daemon *daemon) sent(name string) []byte {
	all := make([]int, kernel.BucketCount)
	for bucket := range all {
		all[bucket] = bucket
	}
	for _, effect := range daemon.kernel.Update(kernel.Event{At: daemon.now, Random: 1, Message: kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "c", ComparedBuckets: all}}}) {
		reply, is := effect.(kernel.ReplyToPeer)
		if !is {
			continue
		}
		for _, record := range reply.Envelope.Records {
			if record.Name == name {
				return record.Body
			}
		}
	}
	return nil
}

func TestEras(t *testing.T) {
	inEra := func(era uint64, result kernel.PlatformResult) kernel.PlatformResult {
		result.Era = era
		return result
	}
	// watching returns a daemon that watches in era 1 and has table 5.
	watching := func() *daemon {
		daemon := newDaemon()
		daemon.reply(inEra(1, listResult(5, 10)))
		daemon.failNeighbours()
		daemon.reply(inEra(1, listResult(5, 10)))
		return daemon
	}
	lastCall := func(daemon *daemon) kernel.PlatformCall { return daemon.calls[len(daemon.calls)-1].Call }
	t.Run("the first read may be stale, later ones not", func(t *testing.T) {
		is := is.New(t)
		daemon := newDaemon()
		is.Equal(lastCall(daemon), kernel.ListObjects{Prefix: "config/", StaleAllowed: true})
		daemon.reply(inEra(1, listResult(5, 10)))
		daemon.failNeighbours()
		is.Equal(lastCall(daemon), kernel.ListObjects{Prefix: "config/"})
	})
	t.Run("a watch does not go on in a new era", func(t *testing.T) {
		daemon := watching()
		_, isWatch := lastCall(daemon).(kernel.WatchObjects)
		is := is.New(t)
		is.True(isWatch)
		daemon.reply(inEra(2, listResult(9, 11)))
		requireRouteVersion(t, daemon, 5)
		is.Equal(lastCall(daemon), kernel.ListObjects{Prefix: "config/"})
	})
	t.Run("the copy does not replace a table that the platform has lost", func(t *testing.T) {
		daemon := watching()
		daemon.reply(inEra(2, listResult(9, 11)))
		daemon.reply(inEra(2, listResult(3, 7)))
		requireRouteVersion(t, daemon, 5)
	})
	t.Run("a table that is written in the new era replaces it, also with a lower number", func(t *testing.T) {
		daemon := watching()
		daemon.reply(inEra(2, listResult(9, 11)))
		daemon.reply(inEra(2, listResult(3, 7)))
		daemon.reply(inEra(2, listResult(4, 8)))
		requireRouteVersion(t, daemon, 4)
	})
	t.Run("a lost table that is written again does not replace the one after it", func(t *testing.T) {
		daemon := watching()
		daemon.reply(inEra(1, listResult(9, 12)))
		daemon.reply(inEra(2, listResult(9, 13)))
		daemon.reply(inEra(2, listResult(3, 7)))
		daemon.reply(inEra(2, listResult(5, 8)))
		requireRouteVersion(t, daemon, 9)
		daemon.reply(inEra(2, listResult(9, 9)))
		requireRouteVersion(t, daemon, 9)
		daemon.reply(inEra(2, listResult(10, 10)))
		requireRouteVersion(t, daemon, 10)
	})
	t.Run("a table that was never known replaces it", func(t *testing.T) {
		daemon := watching()
		daemon.reply(inEra(1, listResult(9, 12)))
		daemon.reply(inEra(2, listResult(9, 13)))
		daemon.reply(inEra(2, listResult(5, 8)))
		requireRouteVersion(t, daemon, 9)
		daemon.reply(inEra(2, listResult(6, 9)))
		requireRouteVersion(t, daemon, 6)
	})
	t.Run("another table with the number of a lost one replaces it", func(t *testing.T) {
		daemon := watching()
		daemon.reply(inEra(1, listResult(9, 12)))
		daemon.reply(inEra(2, listResult(9, 13)))
		daemon.reply(inEra(2, listResult(3, 7)))
		other := listResult(5, 8)
		other.Objects[0].Body = []byte(strings.Replace(string(other.Objects[0].Body), `"host":"h"`, `"host":"other"`, 1))
		daemon.reply(inEra(2, other))
		requireRouteVersion(t, daemon, 5)
	})
	t.Run("a reply of an earlier era is dropped", func(t *testing.T) {
		daemon := watching()
		daemon.reply(inEra(2, listResult(9, 11)))
		daemon.reply(inEra(1, listResult(12, 20)))
		requireRouteVersion(t, daemon, 5)
		calls := len(daemon.calls)
		daemon.advance(500 * time.Millisecond)
		is.New(t).Equal(len(daemon.calls), calls) // the platform is not asked at once again
		daemon.advance(500 * time.Millisecond)
		is.New(t).Equal(len(daemon.calls), calls+1)
	})
}
