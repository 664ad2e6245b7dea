package caller

import (
	"context"
	"net/http"
	"time"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/route"
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
	random   uint64

	machine  call.Call
	events   chan call.Event
	attempts []*attempt
	tried    map[string]bool
	claiming bool
	over     bool
	record   Record
	hedge    *time.Timer
}

// run sees the request through to its end.
func (exchange *exchange) run() {
	exchange.machine = call.Call{
		Repeatable: exchange.request.repeatable && !exchange.request.streamed,
		Keyed:      exchange.request.key != "" && !exchange.request.repeatable,
		Retries:    exchange.service.retries,
		Hedges:     exchange.service.hedges,
	}
	exchange.service.retries.Note()
	exchange.service.hedges.Note()
	exchange.record = Record{
		Request: exchange.request.id, Service: exchange.request.service, At: exchange.arrived,
		Method: exchange.original.Method, Path: exchange.original.URL.Path,
	}
	defer exchange.end()
	deadline := time.NewTimer(exchange.request.deadline.Sub(exchange.arrived))
	defer deadline.Stop()
	exchange.hedge = time.NewTimer(exchange.service.book.HedgeDelay())
	defer exchange.hedge.Stop()
	exchange.apply(call.Arrived{})
	for !exchange.over {
		select {
		case event := <-exchange.events:
			exchange.apply(event)
		case <-deadline.C:
			exchange.apply(call.DeadlinePassed{})
		case <-exchange.hedge.C:
			exchange.apply(call.HedgeDue{})
		case <-exchange.original.Context().Done():
			exchange.apply(call.CallerLeft{})
		}
	}
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
	exchange.explain(event)
	for _, effect := range exchange.machine.Update(event) {
		exchange.perform(effect)
	}
}

func (exchange *exchange) perform(effect call.Effect) {
	switch effect := effect.(type) {
	case call.Choose:
		exchange.choose()
	case call.Send:
		exchange.send(effect)
	case call.Claim:
		exchange.claim()
	case call.ReleaseClaim:
		exchange.closeClaim(true)
	case call.SettleClaim:
		exchange.closeClaim(false)
	case call.Commit:
		exchange.attempts[effect.Attempt].commit(exchange)
	case call.Withdraw:
		exchange.attempts[effect.Attempt].cancel(exchange)
	case call.Relay:
		exchange.relay(exchange.attempts[effect.Attempt])
	case call.Finish:
		exchange.finish(effect)
	}
}

// choose picks a target among those that this request has not tried.
func (exchange *exchange) choose() {
	now := exchange.handler.Now()
	var members []kernel.Member
	for _, member := range exchange.service.members {
		if !exchange.tried[member.ID] {
			members = append(members, member)
		}
	}
	if len(members) == 0 {
		exchange.apply(call.NoneLeft{})
		return
	}
	candidates := exchange.service.book.Candidates(now, exchange.service.rules, members, exchange.handler.Distance)
	request := route.Request{
		Random:    exchange.nextRandom(),
		Remaining: exchange.request.deadline.Sub(now),
		Weights:   exchange.service.rules.Weights,
	}
	index := exchange.service.policy.Choose(request, candidates)
	exchange.explainChoice(now, candidates, index)
	exchange.apply(call.Chosen{Target: members[index].ID})
}

// nextRandom steps a small generator that starts at the request's own value.
func (exchange *exchange) nextRandom() uint64 {
	exchange.random ^= exchange.random << 13
	exchange.random ^= exchange.random >> 7
	exchange.random ^= exchange.random << 17
	return exchange.random
}

func (exchange *exchange) send(send call.Send) {
	exchange.tried[send.Target] = true
	kind := "first"
	if send.Attempt > 0 {
		kind = "extra"
	}
	exchange.handler.Meter.Attempt(exchange.request.service, kind)
	member, _ := exchange.view.Member(send.Target)
	started := startAttempt(exchange, member, send)
	exchange.attempts = append(exchange.attempts, started)
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
	case result.Status == kernel.ClaimRun:
		return call.ClaimRefused{Held: true, Known: call.OutcomeRun}
	case result.Status == kernel.ClaimUnknown:
		return call.ClaimRefused{Held: true, Known: call.OutcomeUnknown}
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
	answer := problemOf(finish)
	answer.RequestID = exchange.request.id
	answer.write(exchange.writer)
	exchange.handler.Meter.Refusal(exchange.request.service, string(finish.Problem))
	exchange.conclude(finish.Outcome, answer.Status)
}

func (exchange *exchange) conclude(outcome call.Outcome, status int) {
	exchange.record.Outcome = outcome
	exchange.record.Status = status
	exchange.handler.note(exchange.request, exchange.service, outcome, status, exchange.arrived)
}
