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

// peerTimeout bounds a call to another daemon.
const peerTimeout = time.Second

// messageBuffer is the number of messages that can wait for the control
// goroutine.
const messageBuffer = 4096

// control runs the kernel in a single goroutine, which passes messages to it
// and performs the effects that it returns. Effects that involve the network
// run in goroutines of their own.
type control struct {
	kernel   *kernel.Kernel
	platform *platform.Client
	peers    *peer.Peers
	probe    func()
	now      func() time.Time
	log      *slog.Logger

	messages      chan kernel.Message
	view          atomic.Pointer[kernel.View]
	done          chan struct{}
	ctx           context.Context
	tickScheduled atomic.Bool

	mutex     sync.Mutex
	lastToken uint64
	pending   map[uint64]chan<- kernel.Effect
	// platformCalls holds the functions that cancel the calls to the platform.
	platformCalls map[kernel.CancelPlatformCall]context.CancelFunc
}

func newControl(settings kernel.Settings) *control {
	control := &control{
		kernel:   &kernel.Kernel{Settings: settings},
		messages: make(chan kernel.Message, messageBuffer),
		done:     make(chan struct{}),
		pending:  map[uint64]chan<- kernel.Effect{},

		platformCalls: map[kernel.CancelPlatformCall]context.CancelFunc{},
	}
	control.view.Store(&kernel.View{Self: settings.Self})
	return control
}

// run is the control goroutine. It returns when the context ends.
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

// send passes a message to the kernel. The message is dropped if the daemon has
// stopped.
func (control *control) send(message kernel.Message) {
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
		control.scheduleTick(effect.After)
	case kernel.ProbeUpstream:
		go control.probe()
	case kernel.CallPeer:
		go control.callPeer(effect)
	case kernel.CallPlatform:
		control.startPlatformCall(effect)
	case kernel.CancelPlatformCall:
		control.cancelPlatformCall(effect)
	case kernel.ReplyToPeer:
		control.deliverReply(effect.Token, effect)
	case kernel.ReplyToChange:
		control.deliverReply(effect.Token, effect)
	case kernel.ReplyToClaim:
		control.deliverReply(effect.Token, effect)
	}
}

// scheduleTick sends a Ticked message after the given time, before the regular
// one. It does nothing if such a message is already scheduled.
func (control *control) scheduleTick(after time.Duration) {
	if !control.tickScheduled.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(after, func() {
		control.tickScheduled.Store(false)
		control.send(kernel.Ticked{})
	})
}

func (control *control) callPeer(call kernel.CallPeer) {
	ctx, cancel := context.WithTimeout(control.ctx, peerTimeout)
	defer cancel()
	client, err := control.peers.Client(call.Peer.Address)
	if err != nil {
		control.send(kernel.PeerFailed{Peer: call.Peer})
		return
	}
	message := peer.EncodeEnvelope(call.Envelope)
	reply, err := client.Exchange(ctx, message, peer.CallOptions(message)...)
	if err != nil {
		control.log.Debug("peer did not reply", "peer", call.Peer.ID, "address", call.Peer.Address, "error", err)
		if ctx.Err() != nil {
			control.peers.DropConnection(call.Peer.Address)
		}
		control.send(kernel.PeerFailed{Peer: call.Peer})
		return
	}
	control.send(kernel.PeerReplied{Peer: call.Peer, Envelope: peer.DecodeEnvelope(reply)})
}

// startPlatformCall makes a call to the platform in a goroutine of its own.
func (control *control) startPlatformCall(call kernel.CallPlatform) {
	ctx, cancel := context.WithCancel(control.ctx)
	key := kernel.CancelPlatformCall{Owner: call.Owner, Token: call.Token}
	control.mutex.Lock()
	control.platformCalls[key] = cancel
	control.mutex.Unlock()
	go func() {
		defer cancel()
		result := control.platform.Do(ctx, call.Call)
		control.mutex.Lock()
		delete(control.platformCalls, key)
		control.mutex.Unlock()
		control.send(kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result})
	}()
}

// cancelPlatformCall cancels a call to the platform unless it has ended.
func (control *control) cancelPlatformCall(call kernel.CancelPlatformCall) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if cancel, pending := control.platformCalls[call]; pending {
		cancel()
	}
}

// sendAndWait passes a message with a new token to the kernel and waits for the
// effect with the same token.
func (control *control) sendAndWait(ctx context.Context, message func(token uint64) kernel.Message) (kernel.Effect, error) {
	replies := make(chan kernel.Effect, 1)
	control.mutex.Lock()
	control.lastToken++
	token := control.lastToken
	control.pending[token] = replies
	control.mutex.Unlock()
	defer control.removePending(token)
	control.send(message(token))
	select {
	case effect := <-replies:
		return effect, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-control.done:
		return nil, Error.New("the daemon has stopped")
	}
}

func (control *control) removePending(token uint64) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	delete(control.pending, token)
}

func (control *control) deliverReply(token uint64, effect kernel.Effect) {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	if replies, known := control.pending[token]; known {
		replies <- effect
		delete(control.pending, token)
	}
}

// Exchange handles an envelope from another daemon and returns the reply.
func (control *control) Exchange(ctx context.Context, envelope kernel.Envelope) (kernel.Envelope, error) {
	effect, err := control.sendAndWait(ctx, func(token uint64) kernel.Message {
		return kernel.EnvelopeReceived{Token: token, Envelope: envelope}
	})
	if err != nil {
		return kernel.Envelope{}, err
	}
	return effect.(kernel.ReplyToPeer).Envelope, nil
}

// Claim handles a claim request in this daemon's role as claim coordinator.
func (control *control) Claim(ctx context.Context, request kernel.ClaimRequested) (kernel.ClaimResult, error) {
	effect, err := control.sendAndWait(ctx, func(token uint64) kernel.Message {
		request.Token = token
		return request
	})
	if err != nil {
		return kernel.ClaimResult{}, err
	}
	result := effect.(kernel.ReplyToClaim).Result
	if result.Reason != "" {
		control.log.Debug("claim cannot be decided", "request", request.RequestID, "reason", result.Reason)
	}
	return result, nil
}

// CloseClaim handles the notice that a claimed request has ended, in this
// daemon's role as claim coordinator.
func (control *control) CloseClaim(closed kernel.ClaimClosed) { control.send(closed) }

// Change requests a change of the configuration and waits for its result.
func (control *control) Change(ctx context.Context, request kernel.ChangeRequested) (kernel.ChangeResult, error) {
	effect, err := control.sendAndWait(ctx, func(token uint64) kernel.Message {
		request.Token = token
		return request
	})
	if err != nil {
		return kernel.ChangeResult{}, err
	}
	return effect.(kernel.ReplyToChange).Result, nil
}
