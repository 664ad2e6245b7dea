package call_test

import (
	"testing"

	"ibislift/core/call"
)

// Each run of an upstream calls a second service, so a retry of the first repeats the call.
// All attempts at both are refused or fail.
func TestSharedBudgetCoversRepeatedCalls(t *testing.T) {
	const daemons = 24
	shared := &call.SharedBudget{Ratio: 0.2, Slack: 64}
	newBudgets := func() []*call.Budget {
		budgets := make([]*call.Budget, daemons)
		for index := range budgets {
			budgets[index] = &call.Budget{}
			shared.AssignShare(budgets[index], daemons)
		}
		return budgets
	}
	callers, called := newBudgets(), newBudgets()
	requests, extra := 0, 0
	// callOnce is one call of a run, with the retries that the ingress makes for it.
	callOnce := func(index int, isRepeated bool) {
		called[index].CountRequest()
		if isRepeated {
			extra++
		} else {
			requests++
		}
		for range call.MaxAttempts - 1 {
			if !called[index].Spend() {
				break
			}
			extra++
		}
	}
	for number := range 100_000 {
		index := number % daemons
		callers[index].CountRequest()
		callOnce((number*7+3)%daemons, false)
		for range call.MaxAttempts - 1 {
			if !callers[index].Spend() {
				break
			}
			callOnce((number*5+1)%daemons, true)
		}
		if allowed := shared.Ratio*float64(requests) + shared.Slack; float64(extra) > allowed {
			t.Fatalf("%d extra attempts for %d requests, at most %.0f allowed", extra, requests, allowed)
		}
	}
}
