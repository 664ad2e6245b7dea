package caller

import (
	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/route"
)

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
	class := exchange.service.book.Class(exchange.request.class)
	request := route.Request{
		Random:  exchange.nextRandom(),
		Weights: exchange.service.rules.Weights,
		Work:    class.Work,
		Bytes:   class.Bytes,
	}
	request.UsualLoad, request.UsualSlowness = exchange.service.book.Usual()
	if exchange.refusals > 0 && exchange.isHopeless(request, candidates) {
		exchange.apply(call.NoneLeft{})
		return
	}
	index := exchange.pick(request, candidates)
	exchange.explainChoice(candidates, index)
	exchange.apply(call.Chosen{Target: members[index].ID})
}

// isHopeless says whether no target is expected to answer within the request's
// objective. A request that was refused once already is then better told to
// come back than sent around.
func (exchange *exchange) isHopeless(request route.Request, candidates []route.Candidate) bool {
	if exchange.request.route == nil || request.Work == 0 {
		return false
	}
	left := exchange.request.objective.Sub(exchange.handler.Now())
	return route.SoonestTime(request, candidates) > left
}

// pick chooses a candidate. The gate of one that has not refused yet is told
// how long the request may take there before another is better, since it knows
// its own load best.
func (exchange *exchange) pick(request route.Request, candidates []route.Candidate) int {
	exchange.patience = 0
	if exchange.request.route == nil || request.Work == 0 {
		return exchange.service.policy.Choose(request, candidates)
	}
	index, patience := route.ChooseSoonest(request, candidates)
	if !exchange.declined[candidates[index].ID] {
		exchange.patience = patience
	}
	return index
}

// nextRandom steps a small generator that starts at the request's own value.
func (exchange *exchange) nextRandom() uint64 {
	exchange.random ^= exchange.random << 13
	exchange.random ^= exchange.random >> 7
	exchange.random ^= exchange.random << 17
	return exchange.random
}

// noteDeclined lets a target be asked again whose gate refused only because
// the request is better off elsewhere.
func (exchange *exchange) noteDeclined(event call.Event) {
	refused, is := event.(call.Refused)
	if !is {
		return
	}
	switch admit.Reason(refused.Reason) {
	case admit.ReasonSlower:
	case admit.ReasonBusy, admit.ReasonLate, admit.ReasonQueueFull:
		exchange.refusals++
		return
	default:
		return
	}
	target := exchange.targets[refused.Attempt]
	exchange.declined[target] = true
	delete(exchange.tried, target)
}
