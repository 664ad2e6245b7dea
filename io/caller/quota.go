package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"ibislift/core/call"
	"ibislift/core/quota"
	"ibislift/core/routes"
)

// Quotas limits the requests of workspaces over all daemons.
type Quotas interface {
	// Take takes a token for a request. It may wait for a reply of another daemon, at
	// most quota.MaxWait, until the deadline, and while the context lasts.
	Take(ctx context.Context, workspace *routes.Workspace, deadline time.Time) quota.Decision
	// TryTake takes a token only if that is possible without waiting.
	TryTake(workspace *routes.Workspace) quota.Decision
	// Peek returns a refusal if requests of the workspace are refused here now. It takes no
	// token.
	Peek(workspace *routes.Workspace) quota.Decision
	// GiveBack returns a token whose request did not reach a target.
	GiveBack(workspace *routes.Workspace, decision quota.Decision)
}

// minQuotaRetryAfter keeps refused callers from retrying at once.
const minQuotaRetryAfter = 50 * time.Millisecond

// isLimited reports whether a request needs tokens.
func (handler *Handler) isLimited(request *request) bool {
	return handler.Quotas != nil && request.workspace != nil && request.workspace.Rate > 0
}

// checkQuota returns a problem if requests of the workspace are refused here now. It is
// checked before the body is read, which may take long. The token is taken afterwards,
// since it must be used soon.
func (handler *Handler) checkQuota(request *request) *problem {
	if !handler.isLimited(request) {
		return nil
	}
	request.token = handler.Quotas.Peek(request.workspace)
	if request.token.Verdict == quota.Granted {
		return nil
	}
	return quotaProblem(request.workspace, request.token)
}

// takeToken takes the token for the first attempt of a request. It returns a problem if
// there is none.
func (handler *Handler) takeToken(request *request, original *http.Request) *problem {
	if !handler.isLimited(request) {
		return nil
	}
	request.token = handler.Quotas.Take(original.Context(), request.workspace, request.deadline)
	request.hasToken = request.token.Verdict == quota.Granted
	if request.hasToken {
		return nil
	}
	return quotaProblem(request.workspace, request.token)
}

// describeQuota names a quota.
func describeQuota(workspace *routes.Workspace) string {
	return fmt.Sprintf("workspace %q may send %g requests a second, %g at once", workspace.Name, workspace.Rate, workspace.Burst)
}

// quotaProblem returns the problem of a request without a token.
func quotaProblem(workspace *routes.Workspace, decision quota.Decision) *problem {
	refusal := &problem{
		Type: problemType + "overQuota", Title: "the workspace has used up its quota",
		Status: http.StatusTooManyRequests, Detail: describeQuota(workspace), retryAfter: max(minQuotaRetryAfter, decision.RetryAfter),
	}
	if decision.Verdict == quota.Unreachable {
		refusal.Type, refusal.Title = problemType+"quotaUnavailable", "the daemons that count the requests of the workspace do not reply"
		refusal.Status = http.StatusServiceUnavailable
	}
	return refusal
}

// quotaStep returns the step in which a quota left a request without a token, for the log
// and for explain. It names the quota and the daemon that decided.
func quotaStep(event string, request *request) Step {
	detail := describeQuota(request.workspace)
	if request.token.Owner != "" {
		detail += "; decided by " + request.token.Owner
	}
	return Step{Event: event, Detail: detail}
}

// quotaSteps returns the steps of a request that was refused by a quota, and nil for
// other refusals.
func quotaSteps(refusal *problem, request *request, took time.Duration) steps {
	if refusal.kind() != "overQuota" && refusal.kind() != "quotaUnavailable" {
		return nil
	}
	step := quotaStep(refusal.kind(), request)
	step.Elapsed = took
	return steps{step}
}

// hasTokenForAttempt reports whether a further attempt may be sent, and takes a token for
// it if needed. An attempt that needs a commit spends its token only then, so several may
// be sent with one.
func (exchange *exchange) hasTokenForAttempt() bool {
	request, handler := exchange.request, exchange.handler
	if !handler.isLimited(request) || request.hasToken {
		return true
	}
	if exchange.hedging {
		request.token = handler.Quotas.TryTake(request.workspace)
	} else {
		request.token = handler.Quotas.Take(exchange.original.Context(), request.workspace, exchange.endAt())
	}
	request.hasToken = request.token.Verdict == quota.Granted
	return request.hasToken
}

// spendToken spends the token of the request on an attempt that may run from now on.
func (exchange *exchange) spendToken(attempt *attempt) {
	request := exchange.request
	if request.hasToken {
		request.hasToken = false
		attempt.token, attempt.spentToken = request.token, true
	}
}

// recoverToken takes back the token of an attempt that did not reach its target.
func (exchange *exchange) recoverToken(event call.Event) {
	var index int
	switch event := event.(type) {
	case call.AttemptRefused:
		if event.ReachedUpstream {
			return
		}
		index = event.Attempt
	case call.AttemptLost:
		if !event.Unsent {
			return
		}
		index = event.Attempt
	default:
		return
	}
	if index < 0 || index >= len(exchange.attempts) || !exchange.attempts[index].spentToken {
		return
	}
	attempt := exchange.attempts[index]
	attempt.spentToken = false
	if exchange.request.hasToken {
		exchange.handler.Quotas.GiveBack(exchange.request.workspace, attempt.token)
		return
	}
	exchange.request.token, exchange.request.hasToken = attempt.token, true
}

// returnToken returns the token that the request has left at its end.
func (exchange *exchange) returnToken() {
	request := exchange.request
	if request.hasToken {
		request.hasToken = false
		exchange.handler.Quotas.GiveBack(request.workspace, request.token)
	}
}
