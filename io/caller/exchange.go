package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/pick"
)

// eventBuffer has room for every event that the attempts and the claim of a
// request can still send after the exchange has stopped receiving, so that no
// sender blocks.
const eventBuffer = 4 * call.MaxAttempts

// claimTimeout limits one claim of an idempotency key.
const claimTimeout = 2 * time.Second

// exchange drives the state machine of one request.
type exchange struct {
	handler  *Handler
	request  *request
	service  *service
	view     *kernel.View
	original *http.Request
	writer   http.ResponseWriter
	arrived  time.Time
	picker   *pick.Picker
	// maxDelay is the MaxDelay of the target chosen last; see pick.Choice. It is
	// sent to that target with the request.
	maxDelay time.Duration

	machine  call.Call
	events   chan call.Event
	attempts []*attempt
	// claiming reports whether a claim of the idempotency key is in progress.
	claiming bool
	done     bool
	record   Record
	// direct is the attempt whose frames the goroutine of the request reads
	// itself. readers counts the goroutines that read other attempts.
	direct  *attempt
	readers int
	// hedgeAt is when the hedge is due. hedgeDue is set once that time has come,
	// whether or not a hedge is then sent.
	hedgeAt  time.Time
	hedgeDue bool
	// hedging is set while a hedge is sent.
	hedging bool
	// isCall is set if the request is marked as a call that a running request makes.
	isCall bool
}

// run processes the request until its response is complete.
func (exchange *exchange) run() {
	exchange.machine = call.Call{
		Repeatable: exchange.request.repeatable && !exchange.request.streamed,
		Streamed:   exchange.request.streamed,
		Keyed:      exchange.request.key != "" && !exchange.request.repeatable,
		Retries:    exchange.service.retries,
		Hedges:     exchange.service.hedges,
	}
	if route := exchange.request.route; route != nil {
		exchange.machine.MaxAttempts = route.MaxAttempts
	}
	exchange.service.retries.CountRequest()
	if exchange.service.hedges != exchange.service.retries {
		exchange.service.hedges.CountRequest()
	}
	exchange.record = Record{
		RequestID: exchange.request.id, Service: exchange.request.service, ArrivedAt: exchange.arrived,
		Method: exchange.original.Method, Path: exchange.original.URL.Path,
		Workspace: exchange.request.workspaceName(), Regions: exchange.request.regions,
	}
	exchange.markCall()
	defer exchange.cleanUp()
	exchange.hedgeAt = exchange.arrived.Add(exchange.picker.HedgeDelay(exchange.arrived))
	exchange.apply(call.RequestArrived{})
	for !exchange.done {
		if event := exchange.await(); event != nil {
			exchange.apply(event)
		}
	}
}

// await waits for the next event, and returns nil if none has come for maxWait. While
// there is a single attempt, this goroutine reads its frames itself. Otherwise attempts
// and claims send events from their own goroutines.
func (exchange *exchange) await() call.Event {
	if direct := exchange.direct; direct != nil {
		return exchange.awaitDirect(direct)
	}
	timer := time.NewTimer(exchange.nextTimeout().Sub(exchange.handler.Now()))
	defer timer.Stop()
	select {
	case event := <-exchange.events:
		return event
	case <-timer.C:
		return exchange.timeoutEvent()
	case <-exchange.original.Context().Done():
		return call.CallerLeft{}
	}
}

// awaitDirect waits for the next event of the direct attempt, until the next timeout or
// until the caller disconnects.
func (exchange *exchange) awaitDirect(direct *attempt) call.Event {
	stop := context.AfterFunc(exchange.original.Context(), direct.stop)
	event, timedOut := direct.nextEventUntil(exchange, exchange.nextTimeout())
	stop()
	switch {
	case exchange.original.Context().Err() != nil:
		return call.CallerLeft{}
	case timedOut:
		return exchange.timeoutEvent()
	}
	exchange.direct = nil
	return event
}

// maxWait limits a wait, after which the end of the request is determined again.
const maxWait = 500 * time.Millisecond

// nextTimeout returns the time of the hedge, of the end of the request or of maxWait,
// whichever comes next.
func (exchange *exchange) nextTimeout() time.Time {
	next := earlier(exchange.endAt(), exchange.handler.Now().Add(maxWait))
	if !exchange.hedgeDue {
		next = earlier(next, exchange.hedgeAt)
	}
	return next
}

// endAt returns the deadline of the request or, if that is earlier, the time at which
// the handler ends all requests.
func (exchange *exchange) endAt() time.Time {
	if endAt := exchange.handler.endAt.Load(); endAt != nil {
		return earlier(exchange.request.deadline, *endAt)
	}
	return exchange.request.deadline
}

// timeoutEvent returns the event that a timeout means, or nil if only maxWait has
// passed.
func (exchange *exchange) timeoutEvent() call.Event {
	now := exchange.handler.Now()
	switch {
	case !now.Before(exchange.endAt()):
		return call.DeadlinePassed{}
	case !exchange.hedgeDue && !now.Before(exchange.hedgeAt):
		exchange.hedgeDue = true
		return call.HedgeDue{}
	default:
		return nil
	}
}

// startReading arranges for the next event of an attempt to be read: directly
// if it is the only attempt, otherwise by a goroutine.
func (exchange *exchange) startReading(attempt *attempt) {
	if exchange.direct == nil && exchange.readers == 0 && attempt.stream != nil {
		exchange.direct = attempt
		return
	}
	exchange.readDirectAsync()
	exchange.readAsync(attempt)
}

// readDirectAsync hands the direct attempt over to a goroutine, since another
// attempt runs in parallel.
func (exchange *exchange) readDirectAsync() {
	if direct := exchange.direct; direct != nil {
		exchange.direct = nil
		exchange.readAsync(direct)
	}
}

// readAsync reads the next event of an attempt in a goroutine.
func (exchange *exchange) readAsync(attempt *attempt) {
	exchange.readers++
	go func() { exchange.events <- attempt.nextEvent(exchange) }()
}

// cleanUp cancels the remaining attempts and stores the record.
func (exchange *exchange) cleanUp() {
	for _, attempt := range exchange.attempts {
		attempt.cancel(exchange)
	}
	exchange.returnToken()
	exchange.endCall()
	exchange.handler.Records.add(exchange.record)
	if exchange.claiming {
		go exchange.awaitLateClaim()
	}
}

// awaitLateClaim waits for a claim whose result arrives after the end of the
// request, and releases the key if it was granted.
func (exchange *exchange) awaitLateClaim() {
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	for exchange.claiming {
		select {
		case event := <-exchange.events:
			exchange.updateClaiming(event)
			for _, effect := range exchange.machine.Update(event) {
				if _, release := effect.(call.ReleaseClaim); release {
					exchange.closeClaim(true)
				}
			}
		case <-timeout.C:
			return
		}
	}
}

func (exchange *exchange) updateClaiming(event call.Event) {
	switch event.(type) {
	case call.ClaimGranted, call.ClaimRefused:
		exchange.claiming = false
	}
}

func (exchange *exchange) apply(event call.Event) {
	exchange.updateClaiming(event)
	exchange.updateReaders(event)
	exchange.recordEvent(event)
	exchange.recoverToken(event)
	_, exchange.hedging = event.(call.HedgeDue)
	switch event := event.(type) {
	case call.AttemptRefused:
		exchange.picker.RecordRefusal(event.Attempt, admit.Reason(event.Reason))
	case call.AttemptLost:
		if !event.Crashed && !event.Unsent {
			exchange.picker.RecordLoss(event.Attempt)
		}
	case call.ResponseCut:
		if !event.Crashed {
			exchange.picker.RecordLoss(event.Attempt)
		}
	}
	for _, effect := range exchange.machine.Update(event) {
		exchange.perform(effect)
	}
}

// updateReaders counts a reader as finished when its event arrives. An event of
// the direct attempt arrives only while there are no readers, so the count
// stays at 0.
func (exchange *exchange) updateReaders(event call.Event) {
	switch event.(type) {
	case call.SlotGranted, call.AttemptRefused, call.AttemptLost, call.ResponseStarted, call.ServerErrorReceived:
		exchange.readers = max(0, exchange.readers-1)
	}
}

func (exchange *exchange) perform(effect call.Effect) {
	switch effect := effect.(type) {
	case call.ChooseTarget:
		exchange.choose()
	case call.Send:
		exchange.send(effect)
	case call.ClaimKey:
		exchange.claim()
	case call.ReleaseClaim:
		exchange.closeClaim(true)
	case call.CompleteClaim:
		exchange.closeClaim(false)
	case call.Commit:
		exchange.spendToken(exchange.attempts[effect.Attempt])
		exchange.attempts[effect.Attempt].commit(exchange)
	case call.Cancel:
		exchange.attempts[effect.Attempt].cancel(exchange)
	case call.Relay:
		exchange.relay(exchange.attempts[effect.Attempt])
	case call.Finish:
		exchange.finish(effect)
	}
}

// choose picks the next target.
func (exchange *exchange) choose() {
	if !exchange.hasTokenForAttempt() {
		exchange.addStep(quotaStep("noToken", exchange.request))
		exchange.apply(call.NoTargetLeft{})
		return
	}
	choice, found := exchange.picker.Choose(exchange.handler.Now(), exchange.service.membersIn(exchange.request.regions), exchange.handler.LinkTo)
	if !found {
		members, _ := exchange.view.Service(exchange.request.service)
		exchange.addStep(Step{Event: "excluded", Detail: exchange.picker.DescribeExclusions(members, exchange.service.membersIn(exchange.request.regions))})
		exchange.apply(call.NoTargetLeft{})
		return
	}
	exchange.maxDelay = choice.MaxDelay
	exchange.recordCandidates(choice.Candidates, choice.Index)
	exchange.apply(call.TargetChosen{Target: choice.Member.ID})
}

func (exchange *exchange) send(send call.Send) {
	exchange.picker.RecordAttempt(send.Target)
	kind := "first"
	if send.Attempt > 0 {
		kind = "extra"
	}
	exchange.handler.Meter.Attempt(exchange.request.service, kind)
	member, _ := exchange.view.Member(send.Target)
	attempt := newAttempt(exchange, member, send)
	exchange.attempts = append(exchange.attempts, attempt)
	if !send.Reserve {
		exchange.spendToken(attempt)
	}
	attempt.send(exchange, callHead(exchange, send))
}

// claim claims the idempotency key of the request in a goroutine.
func (exchange *exchange) claim() {
	exchange.claiming = true
	request := exchange.request
	claims := exchange.handler.Claims
	events := exchange.events
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		result, err := claims.Claim(ctx, request.service, request.claimKey(), request.id)
		events <- claimEvent(result, err)
	}()
}

func claimEvent(result kernel.ClaimResult, err error) call.Event {
	switch {
	case err != nil:
		return call.ClaimRefused{}
	case result.Status == kernel.ClaimGranted:
		return call.ClaimGranted{}
	case result.Status == kernel.ClaimAlreadyRun:
		return call.ClaimRefused{Held: true, HolderOutcome: call.OutcomeRun}
	case result.Status == kernel.ClaimOutcomeUnknown:
		return call.ClaimRefused{Held: true, HolderOutcome: call.OutcomeUnknown}
	default:
		return call.ClaimRefused{}
	}
}

func (exchange *exchange) closeClaim(released bool) {
	request := exchange.request
	exchange.handler.Claims.CloseClaim(request.service, request.claimKey(), request.id, released)
}

func (exchange *exchange) finish(finish call.Finish) {
	exchange.done = true
	if exchange.request.route != nil {
		now := exchange.handler.Now()
		refusal := pick.Refusal{
			DeadlineIn: exchange.request.callerDeadline.Sub(now), ObjectiveIn: exchange.request.objective.Sub(now),
			CapacityIn: finish.RetryAfter, IsCold: exchange.picker.WasLimitedByWarmup(), ServiceTime: exchange.service.tracker.Class(exchange.request.class).ServiceTime,
		}
		finish.RetryAfter = refusal.RetryAfter(rand.Float64())
	} else {
		finish.RetryAfter = max(finish.RetryAfter, call.DefaultRetryAfter)
	}
	response := newProblem(finish, exchange.handler.Dialect)
	response.RequestID = exchange.request.id
	response.write(exchange.writer, exchange.handler.Dialect)
	exchange.recordOutcome(finish.Outcome, response.Status, response.kind())
}

func (exchange *exchange) recordOutcome(outcome call.Outcome, status int, problem string) {
	exchange.record.Outcome = outcome
	exchange.record.Status = status
	exchange.handler.reportEnd(exchange.request, exchange.service, requestEnd{status, outcome, problem, "", exchange.record.Steps}, exchange.arrived)
}
