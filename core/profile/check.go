package profile

import (
	"strconv"
	"strings"
	"time"

	"ibislift/core/admit"
)

// Limits of the fields of a profile.
const (
	maxQueueBound      = 100_000
	maxDeadline        = time.Hour
	maxProbesPerMinute = 1_000_000
	maxBudgetBurst     = 10_000
	maxCrashes         = 100
)

// KnownPolicies is the set of policy names that a profile may use. The route
// package adds the names of its registered policies. While the set is empty,
// any name is accepted.
var KnownPolicies = map[string]bool{}

// Validate returns an error for the first field with an invalid value.
func (profile Profile) Validate() error {
	for _, fieldError := range []*FieldError{
		checkPolicy(profile.Policy),
		checkRange("weights.latency", profile.Weights.Latency, 0, 1),
		checkRange("weights.measuring", profile.Weights.LinkCost, 0, 1),
		checkDuration("defaultDeadline", time.Duration(profile.DefaultDeadline), time.Millisecond, maxDeadline),
		checkRules("repeatable", profile.RepeatableRules),
		checkRules("important", profile.ImportantRules),
		checkRange("retryBudget.ratio", profile.RetryBudget.Ratio, 0, 1),
		checkRange("retryBudget.burst", float64(profile.RetryBudget.Burst), 0, maxBudgetBurst),
		checkRange("hedgeBudget.ratio", profile.HedgeBudget.Ratio, 0, 1),
		checkRange("hedgeBudget.burst", float64(profile.HedgeBudget.Burst), 0, maxBudgetBurst),
		checkRange("queueBound", float64(profile.QueueBound), 0, maxQueueBound),
		checkRange("maxBodyBytes", float64(profile.MaxBodyBytes), 1, 1<<40),
		checkRange("measuringBudget.probesPerMinute", float64(profile.MeasuringBudget.ProbesPerMinute), 0, maxProbesPerMinute),
		checkRange("ejection.consecutiveFailures", float64(profile.Ejection.ConsecutiveFailures), 1, 1000),
		checkDuration("ejection.baseTime", time.Duration(profile.Ejection.BaseTime), time.Millisecond, time.Hour),
		checkRange("ejection.maxFraction", profile.Ejection.MaxFraction, 0, 1),
		checkDuration("slowStart", time.Duration(profile.SlowStart), 0, time.Hour),
		checkRange("crashLimit.crashes", float64(profile.CrashLimit.Crashes), 1, maxCrashes),
		checkDuration("crashLimit.blockFor", time.Duration(profile.CrashLimit.BlockFor), time.Second, 24*time.Hour),
		checkQueueOrder(profile.QueueOrder),
		checkCrossing(profile.Crossing),
	} {
		if fieldError != nil {
			return Error.Wrap(fieldError)
		}
	}
	return nil
}

func checkPolicy(policy string) *FieldError {
	if KnownPolicies[policy] || len(KnownPolicies) == 0 {
		return nil
	}
	return &FieldError{Path: "policy", Reason: strconv.Quote(policy) + " is not a known policy"}
}

// checkCrossing checks what decides whether requests go to another region.
func checkCrossing(crossing Crossing) *FieldError {
	if crossing == CrossingAuto || crossing == CrossingByValue || crossing == CrossingByTime {
		return nil
	}
	return &FieldError{Path: "crossing", Reason: strconv.Quote(string(crossing)) + " is none of auto, value and time"}
}

func checkQueueOrder(order admit.Order) *FieldError {
	if order == admit.OrderCost || order == admit.OrderObjective {
		return nil
	}
	return &FieldError{Path: "queueOrder", Reason: strconv.Quote(string(order)) + " is neither cost nor objective"}
}

func checkRange(path string, value, low, high float64) *FieldError {
	if value >= low && value <= high {
		return nil
	}
	number := func(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
	return &FieldError{Path: path, Reason: number(value) + " is not in the range " + number(low) + " to " + number(high)}
}

func checkDuration(path string, value, low, high time.Duration) *FieldError {
	if value >= low && value <= high {
		return nil
	}
	return &FieldError{Path: path, Reason: value.String() + " is not in the range " + low.String() + " to " + high.String()}
}

func checkRules(path string, rules []Rule) *FieldError {
	for index, rule := range rules {
		field := path + "[" + strconv.Itoa(index) + "]"
		if rule.Method == "" || rule.Method != strings.ToUpper(rule.Method) {
			return &FieldError{Path: field + ".method", Reason: "must be an upper-case method or *"}
		}
		if !strings.HasPrefix(rule.Path, "/") {
			return &FieldError{Path: field + ".path", Reason: "must start with /"}
		}
	}
	return nil
}
