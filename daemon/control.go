package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/platform"
)

// peerTimeout bounds one exchange with another daemon.
const peerTimeout = time.Second

// messageBuffer is how many messages may wait for the control goroutine.
const messageBuffer = 4096

// control runs the kernel: one goroutine takes messages in, and carries the
// effects out or starts them.
type control struct {
	kernel   *kernel.Kernel
	platform *platform.Client
	peers    *peer.Peers
	probe    func()
	now      func() time.Time
	log      *slog.Logger

	messages chan kernel.Message
	view     atomic.Pointer[kernel.View]
	done     chan struct{}
	ctx      context.Context
	waking   atomic.Bool

	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan<- kernel.Effect
}

func newControl(settings kernel.Settings) *control {
	control := &control{
		kernel:   &kernel.Kernel{Settings: settings},
		messages: make(chan kernel.Message, messageBuffer),
		done:     make(chan struct{}),
		waiting:  map[uint64]chan<- kernel.Effect{},
	}
	control.view.Store(&kernel.View{Self: settings.Self})
	return control
}

// run is the control goroutine. It ends with the context.
func (control *control) run(ctx context.Context) {
	defer close(control.done)
	control.ctx = ctx
	ticker := time.NewTicker(kernel.TickInterval)
	defer ticker.Stop()
	control.update(kernel.Started{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			control.update(kernel.Ticked{})
		case message := <-control.messages:
			control.update(message)
		}
	}
}

func (control *control) update(message kernel.Message) {
	event := kernel.Event{At: control.now(), Random: rand.Uint64(), Message: message}
	for _, effect := range control.kernel.Update(event) {
		control.perform(effect)
	}
}

// tell gives the kernel a message. It drops it when the daemon has stopped.
func (control *control) tell(message kernel.Message) {
	select {
	case control.messages <- message:
	case <-control.done:
	}
}

func (control *control) perform(effect kernel.Effect) {
	switch effect := effect.(type) {
	case kernel.Publish:
		control.view.Store(effect.View)
	case kernel.Wake:
		control.wake(effect.After)
	case kernel.ProbeUpstream:
		go control.probe()
	case kernel.CallPeer:
		go control.askPeer(effect)
	case kernel.CallPlatform:
		go control.callPlatform(effect)
	case kernel.ReplyToPeer:
		control.answer(effect.Token, effect)
	case kernel.ReplyToChange:
		control.answer(effect.Token, effect)
	case kernel.ReplyToClaim:
		control.answer(effect.Token, effect)
	}
}

// wake lets a Ticked message come early. One at a time is enough.
func (control *control) wake(after time.Duration) {
	if !control.waking.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(after, func() {
		control.waking.Store(false)
		control.tell(kernel.Ticked{})
	})
}

func (control *control) askPeer(ask kernel.CallPeer) {
	ctx, cancel := context.WithTimeout(control.ctx, peerTimeout)
	defer cancel()
	client, err := control.peers.Client(ask.Peer.Address)
	if err != nil {
		control.tell(kernel.PeerFailed{Peer: ask.Peer})
		return
	}
	answer, err := client.Exchange(ctx, peer.EnvelopeMessage(ask.Envelope))
	if err != nil {
		control.log.Debug("peer did not answer", "peer", ask.Peer.ID, "address", ask.Peer.Address, "error", err)
		if ctx.Err() != nil {
			control.peers.Drop(ask.Peer.Address)
		}
		control.tell(kernel.PeerFailed{Peer: ask.Peer})
		return
	}
	control.tell(kernel.PeerReplied{Peer: ask.Peer, Envelope: peer.EnvelopeOf(answer)})
}

func (control *control) callPlatform(call kernel.CallPlatform) {
	result := control.platform.Do(control.ctx, call.Call)
	control.tell(kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result})
}

// ask gives the kernel a message with a token, and waits for the effect that
// answers it.
func (control *control) ask(ctx context.Context, message func(token uint64) kernel.Message) (kernel.Effect, error) {
	answered := make(chan kernel.Effect, 1)
	control.mutex.Lock()
	control.next++
	token := control.next
	control.waiting[token] = answered
	control.mutex.Unlock()
	defer control.forget(token)
	control.tell(message(token))
	select {
	case effect := <-answered:
		return effect, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-control.done:
		return nil, Error.New("the daemon has stopped")
	}
}

func (control *control) forget(token uint64) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	delete(control.waiting, token)
}

func (control *control) answer(token uint64, effect kernel.Effect) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if waiting, known := control.waiting[token]; known {
		waiting <- effect
		delete(control.waiting, token)
	}
}

// Exchange answers another daemon's envelope.
func (control *control) Exchange(ctx context.Context, envelope kernel.Envelope) (kernel.Envelope, error) {
	effect, err := control.ask(ctx, func(token uint64) kernel.Message {
		return kernel.EnvelopeReceived{Token: token, Envelope: envelope}
	})
	if err != nil {
		return kernel.Envelope{}, err
	}
	return effect.(kernel.ReplyToPeer).Envelope, nil
}

// Claim asks this daemon as a clerk.
func (control *control) Claim(ctx context.Context, asked kernel.ClaimRequested) (kernel.ClaimResult, error) {
	effect, err := control.ask(ctx, func(token uint64) kernel.Message {
		asked.Token = token
		return asked
	})
	if err != nil {
		return kernel.ClaimResult{}, err
	}
	return effect.(kernel.ReplyToClaim).Result, nil
}

// CloseClaim tells this daemon as a clerk how a claimed request ended.
func (control *control) CloseClaim(closed kernel.ClaimClosed) { control.tell(closed) }

// Change asks for a change of the configuration.
func (control *control) Change(ctx context.Context, asked kernel.ChangeRequested) (kernel.ChangeResult, error) {
	effect, err := control.ask(ctx, func(token uint64) kernel.Message {
		asked.Token = token
		return asked
	})
	if err != nil {
		return kernel.ChangeResult{}, err
	}
	return effect.(kernel.ReplyToChange).Result, nil
}
