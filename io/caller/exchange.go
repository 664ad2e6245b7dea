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

// eventBuffer holds every event that the attempts and the claim of one request
// can still send when nobody reads any more.
const eventBuffer = 4 * call.MaxAttempts

// claimTimeout bounds one request for a claim.
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
	// patience is that of the choice that is sent next.
	patience time.Duration

	machine  call.Call
	events   chan call.Event
	attempts []*attempt
	claiming bool
	over     bool
	record   Record
	// direct is the attempt that the request's own goroutine reads, following
	// counts those that others read.
	direct    *attempt
	following int
	hedgeAt   time.Time
	hedged    bool
}

// run sees the request through to its end.
func (exchange *exchange) run() {
	exchange.machine = call.Call{
		Repeatable: exchange.request.repeatable && !exchange.request.streamed,
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
		Request: exchange.request.id, Service: exchange.request.service, At: exchange.arrived,
		Method: exchange.original.Method, Path: exchange.original.URL.Path,
	}
	defer exchange.end()
	exchange.hedgeAt = exchange.arrived.Add(exchange.picker.HedgeDelay(exchange.arrived))
	exchange.apply(call.RequestArrived{})
	for !exchange.over {
		exchange.apply(exchange.await())
	}
}

// await waits for what happens next. While one attempt alone is under way this
// goroutine reads its answer itself; otherwise attempts and claims send events.
func (exchange *exchange) await() call.Event {
	if direct := exchange.direct; direct != nil {
		return exchange.awaitDirect(direct)
	}
	timer := time.NewTimer(exchange.nextTime().Sub(exchange.handler.Now()))
	defer timer.Stop()
	select {
	case event := <-exchange.events:
		return event
	case <-timer.C:
		return exchange.timeEvent()
	case <-exchange.original.Context().Done():
		return call.CallerLeft{}
	}
}

// awaitDirect reads the attempt's next word until something else is due.
func (exchange *exchange) awaitDirect(direct *attempt) call.Event {
	stop := context.AfterFunc(exchange.original.Context(), direct.stop)
	event, waiting := direct.nextUntil(exchange, exchange.nextTime())
	stop()
	switch {
	case exchange.original.Context().Err() != nil:
		return call.CallerLeft{}
	case waiting:
		return exchange.timeEvent()
	}
	exchange.direct = nil
	return event
}

// nextTime is when the hedge or the deadline is due, whichever is next.
func (exchange *exchange) nextTime() time.Time {
	if !exchange.hedged && exchange.hedgeAt.Before(exchange.request.deadline) {
		return exchange.hedgeAt
	}
	return exchange.request.deadline
}

func (exchange *exchange) timeEvent() call.Event {
	if exchange.handler.Now().Before(exchange.request.deadline) {
		exchange.hedged = true
		return call.HedgeDue{}
	}
	return call.DeadlinePassed{}
}

// read lets the attempt's next word arrive: directly if it is the only one
// under way, or else by a goroutine each.
func (exchange *exchange) read(attempt *attempt) {
	if exchange.direct == nil && exchange.following == 0 && attempt.stream != nil {
		exchange.direct = attempt
		return
	}
	exchange.demoteDirect()
	exchange.follow(attempt)
}

// demoteDirect lets a goroutine read the attempt that was read directly, since
// another one is under way beside it.
func (exchange *exchange) demoteDirect() {
	if direct := exchange.direct; direct != nil {
		exchange.direct = nil
		exchange.follow(direct)
	}
}

// follow reads the attempt's next word in a goroutine.
func (exchange *exchange) follow(attempt *attempt) {
	exchange.following++
	go func() { exchange.events <- attempt.next(exchange) }()
}

// end gives up what is still under way and keeps the record.
func (exchange *exchange) end() {
	for _, attempt := range exchange.attempts {
		attempt.cancel(exchange)
	}
	exchange.handler.Records.add(exchange.record)
	if exchange.claiming {
		go exchange.awaitClaim()
	}
}

// awaitClaim waits for a claim that comes too late, and gives it back.
func (exchange *exchange) awaitClaim() {
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	for exchange.claiming {
		select {
		case event := <-exchange.events:
			exchange.noteClaim(event)
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

func (exchange *exchange) noteClaim(event call.Event) {
	switch event.(type) {
	case call.ClaimGranted, call.ClaimRefused:
		exchange.claiming = false
	}
}

func (exchange *exchange) apply(event call.Event) {
	exchange.noteClaim(event)
	exchange.noteFollowed(event)
	exchange.explain(event)
	if refused, is := event.(call.AttemptRefused); is {
		exchange.picker.RecordRefusal(refused.Attempt, admit.Reason(refused.Reason))
	}
	for _, effect := range exchange.machine.Update(event) {
		exchange.perform(effect)
	}
}

// noteFollowed counts the goroutines that read attempts. A word of an attempt
// that was read directly comes when there are none.
func (exchange *exchange) noteFollowed(event call.Event) {
	switch event.(type) {
	case call.SlotGranted, call.AttemptRefused, call.AttemptLost, call.ResponseStarted, call.ServerErrorReceived:
		exchange.following = max(0, exchange.following-1)
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
	choice, found := exchange.picker.Choose(exchange.handler.Now(), exchange.service.members, exchange.handler.Distance)
	if !found {
		exchange.apply(call.NoTargetLeft{})
		return
	}
	exchange.patience = choice.Patience
	exchange.explainChoice(choice.Candidates, choice.Index)
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
	started := startAttempt(exchange, member, send)
	exchange.attempts = append(exchange.attempts, started)
	started.send(exchange, callHead(exchange, send))
}

// claim asks for the request's key beside the loop.
func (exchange *exchange) claim() {
	exchange.claiming = true
	request := exchange.request
	claims := exchange.handler.Claims
	events := exchange.events
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		result, err := claims.Claim(ctx, request.service, request.key, request.id)
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
	go exchange.handler.Claims.CloseClaim(request.service, request.key, request.id, released)
}

func (exchange *exchange) finish(finish call.Finish) {
	exchange.over = true
	if exchange.request.route != nil {
		now := exchange.handler.Now()
		refusal := pick.Refusal{
			DeadlineIn: exchange.request.patience.Sub(now), ObjectiveIn: exchange.request.objective.Sub(now),
			CapacityIn: finish.RetryAfter, ExecutionTime: exchange.service.book.Class(exchange.request.class).ExecutionTime,
		}
		finish.RetryAfter = refusal.RetryAfter(rand.Float64())
	} else {
		finish.RetryAfter = max(finish.RetryAfter, call.DefaultRetryAfter)
	}
	answer := problemOf(finish, exchange.handler.Dialect)
	answer.RequestID = exchange.request.id
	answer.write(exchange.writer, exchange.handler.Dialect)
	exchange.conclude(finish.Outcome, answer.Status, answer.kind())
}

func (exchange *exchange) conclude(outcome call.Outcome, status int, problem string) {
	exchange.record.Outcome = outcome
	exchange.record.Status = status
	exchange.handler.note(exchange.request, exchange.service, ending{status, outcome, problem, exchange.record.Steps}, exchange.arrived)
}
