package evacuate_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	_ "ibislift/core/evacuate"
	"ibislift/core/kernel"
	_ "ibislift/core/spread"
)

const prefix = "evacuations/"

// daemon is a kernel with the plug-in. It records the calls to the platform and the last
// published view.
type daemon struct {
	kernel    kernel.Kernel
	now       time.Time
	calls     []kernel.CallPlatform
	cancelled []kernel.CancelPlatformCall
	view      *kernel.View
}

func newDaemon(settings kernel.Settings) *daemon {
	daemon := &daemon{now: time.Unix(1_800_000_000, 0), kernel: kernel.Kernel{Settings: settings}, view: &kernel.View{}}
	daemon.update(kernel.Started{})
	return daemon
}

func newEnabled() *daemon {
	return newDaemon(kernel.Settings{Self: "a", EvacuationPrefix: prefix})
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

func (daemon *daemon) lastCall() kernel.PlatformCall {
	return daemon.calls[len(daemon.calls)-1].Call
}

// reply ends the latest call with the result.
func (daemon *daemon) reply(result kernel.PlatformResult) {
	call := daemon.calls[len(daemon.calls)-1]
	daemon.update(kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result})
}

// receive delivers a record from a neighbour.
func (daemon *daemon) receive(version uint64, body string) {
	record := kernel.Record{Key: kernel.Key{Kind: kernel.KindEvacuations, Name: prefix}, Version: version, Body: []byte(body)}
	daemon.update(kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "b", Records: []kernel.Record{record}}})
}

// holding returns a result with the objects of some data centres.
func holding(revision uint64, dataCentres ...string) kernel.PlatformResult {
	result := kernel.PlatformResult{Revision: revision}
	for _, name := range dataCentres {
		result.Objects = append(result.Objects, kernel.Object{Name: prefix + name, Version: 1, Body: []byte(`{}`)})
	}
	return result
}

// watching returns a daemon without neighbours that watches from revision 10.
func watching(t *testing.T, dataCentres ...string) *daemon {
	t.Helper()
	daemon := newEnabled()
	daemon.reply(holding(10, dataCentres...))
	daemon.update(kernel.NoPeersFound{})
	daemon.advance(5 * time.Second)
	daemon.reply(holding(10, dataCentres...))
	is.New(t).Equal(daemon.lastCall(), kernel.WatchObjects{Prefix: prefix, Revision: 10, Wait: 25 * time.Second})
	return daemon
}

func requireEvacuated(t *testing.T, daemon *daemon, dataCentres ...string) {
	t.Helper()
	is.New(t).Equal(append([]string{}, daemon.view.Evacuated...), append([]string{}, dataCentres...))
	for _, name := range dataCentres {
		is.New(t).True(daemon.view.IsEvacuated(name))
	}
	is.New(t).True(!daemon.view.IsEvacuated("other"))
}

// A daemon that does not know an evacuation would send requests to the data centre.
func TestStart(t *testing.T) {
	t.Run("the first read may be stale and does not suffice without a neighbour", func(t *testing.T) {
		is := is.New(t)
		daemon := newEnabled()
		is.Equal(daemon.lastCall(), kernel.ListObjects{Prefix: prefix, StaleAllowed: true})
		is.True(daemon.view.EvacuationsUnknown)
		daemon.reply(holding(10))
		is.True(daemon.view.EvacuationsUnknown)
		daemon.advance(3 * time.Second)
		is.Equal(daemon.lastCall(), kernel.ListObjects{Prefix: prefix})
		daemon.reply(holding(11, "east"))
		is.True(!daemon.view.EvacuationsUnknown)
		requireEvacuated(t, daemon, "east")
	})
	t.Run("with a neighbour it suffices if that one knows no more", func(t *testing.T) {
		is := is.New(t)
		daemon := newEnabled()
		daemon.reply(holding(10, "east"))
		daemon.update(kernel.PeerSynced{})
		is.True(!daemon.view.EvacuationsUnknown)
		requireEvacuated(t, daemon, "east")
	})
	t.Run("what a neighbour knows goes before the first read", func(t *testing.T) {
		is := is.New(t)
		daemon := newEnabled()
		daemon.receive(20, `{"dataCentres":["east"]}`)
		is.True(daemon.view.EvacuationsUnknown) // more records may follow
		daemon.update(kernel.PeerSynced{})
		is.True(!daemon.view.EvacuationsUnknown)
		daemon.reply(holding(30)) // some seconds old
		requireEvacuated(t, daemon, "east")
	})
	t.Run("the store is down and no neighbour knows the evacuations", func(t *testing.T) {
		is := is.New(t)
		daemon := newEnabled()
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted})
		daemon.update(kernel.PeerSynced{})
		is.True(daemon.view.EvacuationsUnknown) // the neighbour has just started, too
		calls := len(daemon.calls)
		daemon.advance(10 * time.Second)
		is.Equal(len(daemon.calls), calls+1) // the read waits
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformUnknown})
		is.True(daemon.view.EvacuationsUnknown)
	})
	t.Run("without a prefix there are no calls", func(t *testing.T) {
		is := is.New(t)
		daemon := newDaemon(kernel.Settings{Self: "a"})
		daemon.advance(30 * time.Second)
		is.Equal(len(daemon.calls), 0)
		is.True(!daemon.view.EvacuationsUnknown)
	})
}

func TestWatch(t *testing.T) {
	t.Run("an evacuation and its end", func(t *testing.T) {
		daemon := watching(t, "west")
		daemon.reply(holding(12, "east"))
		requireEvacuated(t, daemon, "east", "west")
		daemon.reply(kernel.PlatformResult{Revision: 13, Deleted: []string{prefix + "west"}})
		requireEvacuated(t, daemon, "east")
		is.New(t).Equal(daemon.lastCall(), kernel.WatchObjects{Prefix: prefix, Revision: 13, Wait: 25 * time.Second})
	})
	t.Run("odd names evacuate nothing else", func(t *testing.T) {
		daemon := watching(t)
		daemon.reply(holding(12, "", strings.Repeat("x", 1000)))
		requireEvacuated(t, daemon)
	})
	t.Run("the history is lost", func(t *testing.T) {
		daemon := watching(t, "west")
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformHistoryLost})
		daemon.advance(kernel.TickInterval)
		is.New(t).Equal(daemon.lastCall(), kernel.ListObjects{Prefix: prefix})
		daemon.reply(holding(20, "east"))
		requireEvacuated(t, daemon, "east")
	})
	t.Run("an object that was written and removed is read again", func(t *testing.T) {
		daemon := watching(t)
		changes := holding(13, "east")
		changes.Deleted = []string{prefix + "east"}
		daemon.reply(changes)
		is.New(t).Equal(daemon.lastCall(), kernel.ListObjects{Prefix: prefix})
		daemon.reply(holding(13, "east"))
		requireEvacuated(t, daemon, "east")
	})
	t.Run("objects that cannot be decoded end no evacuation", func(t *testing.T) {
		daemon := watching(t, "east")
		daemon.reply(kernel.PlatformResult{Revision: 12, Invalid: 1})
		is.New(t).Equal(daemon.lastCall(), kernel.ListObjects{Prefix: prefix})
		daemon.reply(kernel.PlatformResult{Revision: 12, Invalid: 1})
		requireEvacuated(t, daemon, "east")
	})
	t.Run("a check shows a removal that the watch has missed", func(t *testing.T) {
		is := is.New(t)
		daemon := watching(t, "east")
		watch := daemon.calls[len(daemon.calls)-1]
		daemon.advance(2 * time.Second)
		is.Equal(daemon.lastCall(), kernel.ReadRevision{Prefix: prefix})
		daemon.reply(kernel.PlatformResult{Revision: 12})
		is.Equal(daemon.lastCall(), kernel.ListObjects{Prefix: prefix, StaleAllowed: true})
		daemon.reply(holding(11)) // too old to show all
		requireEvacuated(t, daemon)
		is.Equal(daemon.cancelled, []kernel.CancelPlatformCall{{Owner: watch.Owner, Token: watch.Token}})
	})
	t.Run("a read that is too old to show the change is repeated, not at once", func(t *testing.T) {
		is := is.New(t)
		daemon := watching(t, "east")
		daemon.advance(2 * time.Second)
		daemon.reply(kernel.PlatformResult{Revision: 12})
		daemon.reply(holding(10, "east"))
		calls := len(daemon.calls)
		daemon.advance(time.Second)
		is.Equal(len(daemon.calls), calls)
		daemon.advance(2 * time.Second)
		is.True(len(daemon.calls) > calls)
	})
	t.Run("a failed call is repeated once within 1.5 s", func(t *testing.T) {
		daemon := watching(t, "east")
		for range 5 {
			daemon.reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted})
			calls := len(daemon.calls)
			daemon.advance(1500 * time.Millisecond)
			is.New(t).Equal(len(daemon.calls), calls+1)
		}
		requireEvacuated(t, daemon, "east")
	})
}

// Of two states the later one is in force.
func TestOrder(t *testing.T) {
	inEra := func(era uint64, result kernel.PlatformResult) kernel.PlatformResult {
		result.Era = era
		return result
	}
	t.Run("an earlier revision does not replace a later one", func(t *testing.T) {
		daemon := watching(t, "east")
		daemon.reply(holding(14, "west"))
		daemon.reply(kernel.PlatformResult{Status: kernel.PlatformHistoryLost})
		daemon.advance(kernel.TickInterval)
		daemon.reply(holding(12)) // from a replica that lags
		requireEvacuated(t, daemon, "east", "west")
	})
	t.Run("a reply of an earlier era is dropped", func(t *testing.T) {
		daemon := watching(t, "east")
		daemon.reply(inEra(2, holding(12, "west")))
		daemon.reply(inEra(2, holding(12, "east", "west")))
		daemon.reply(inEra(1, kernel.PlatformResult{Revision: 20, Deleted: []string{prefix + "east"}}))
		requireEvacuated(t, daemon, "east", "west")
	})
	t.Run("a damaged record is refused", func(t *testing.T) {
		daemon := watching(t, "east")
		for _, body := range []string{``, `{`, `[]`, `{"dataCentres":["b","a"]}`, `{"dataCentres":[""]}`, `{"lost":["a","a"]}`} {
			daemon.receive(1<<60, body)
			requireEvacuated(t, daemon, "east")
		}
		daemon.reply(holding(12, "west"))
		requireEvacuated(t, daemon, "east", "west")
	})
}
