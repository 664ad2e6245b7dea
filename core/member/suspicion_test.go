package member_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// observer is a kernel that knows one neighbour, "other", by its own word.
type observer struct {
	kernel  kernel.Kernel
	now     time.Time
	view    *kernel.View
	adopted int
	other   kernel.Neighbour
	version uint64
}

func newObserver(t *testing.T) *observer {
	t.Helper()
	observer := &observer{
		kernel: kernel.Kernel{Settings: kernel.Settings{Self: "self", Region: "r", DataCentre: "r", PeerAddress: "self", NoClaims: true}},
		now:    time.Unix(1_800_000_000, 0),
		other:  kernel.Neighbour{ID: "other", Address: "other", Monitored: true},
	}
	observer.update(kernel.Started{})
	observer.refute(t)
	return observer
}

func (observer *observer) update(message kernel.Message) {
	for _, effect := range observer.kernel.Update(kernel.Event{At: observer.now, Message: message}) {
		if publish, is := effect.(kernel.Publish); is {
			observer.view = publish.View
			observer.adopted++
		}
	}
}

// refute brings the neighbour's next word about itself.
func (observer *observer) refute(t *testing.T) {
	t.Helper()
	// A version has the incarnation above, then the member's count, then a
	// rank of two bits, of which 0 is the member's own word.
	observer.version += 1 << 2
	body, err := json.Marshal(kernel.Member{ID: "other", Region: "r", DataCentre: "r", PeerAddress: "other", State: kernel.MemberAlive})
	is.New(t).NoErr(err)
	record := kernel.Record{Key: kernel.Key{Kind: kernel.KindMember, Name: "other"}, Version: observer.version, Body: body}
	observer.update(kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "other", Records: []kernel.Record{record}}})
	observer.now = observer.now.Add(kernel.TickInterval)
	observer.update(kernel.Ticked{})
}

func (observer *observer) state() kernel.MemberState {
	known, _ := observer.view.Member("other")
	return known.State
}

// A neighbour that lives but cannot be reached from here refutes each
// suspicion. Suspecting it again at once kept the whole fleet busy with
// records about it.
func TestSuspicionDoesNotFlap(t *testing.T) {
	t.Run("messages that fail together count once", func(t *testing.T) {
		observer := newObserver(t)
		for range 20 {
			observer.update(kernel.PeerFailed{Peer: observer.other})
		}
		is.New(t).Equal(observer.state(), kernel.MemberAlive)
	})
	t.Run("failures on their own suspect", func(t *testing.T) {
		observer := newObserver(t)
		observer.fail(2)
		is.New(t).Equal(observer.state(), kernel.MemberSuspect)
	})
	t.Run("after a refutation it takes new failures", func(t *testing.T) {
		observer := newObserver(t)
		observer.fail(2)
		observer.refute(t)
		observer.fail(1)
		is.New(t).Equal(observer.state(), kernel.MemberAlive)
	})
}

// fail lets probes fail, a second apart.
func (observer *observer) fail(count int) {
	for range count {
		observer.now = observer.now.Add(time.Second)
		observer.update(kernel.PeerFailed{Peer: observer.other})
	}
	observer.update(kernel.Ticked{})
}
