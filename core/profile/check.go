package profile

import (
	"strconv"
	"strings"
	"time"
)

// Limits of the fields of a profile.
const (
	maxQueueBound      = 100_000
	maxDeadline        = time.Hour
	maxProbesPerMinute = 1_000_000
	maxBudgetBurst     = 10_000
	maxCrashes         = 100
)

// Policies are the names that a profile may give as its policy. The route
// package adds its plug-ins here.
var Policies = map[string]bool{}

// Check reports the first field that is out of its range.
func (profile Profile) Check() error {
	for _, check := range []*FieldError{
		policyOf(profile.Policy),
		within("weights.latency", profile.Weights.Latency, 0, 1),
		within("weights.measuring", profile.Weights.Measuring, 0, 1),
		between("defaultDeadline", time.Duration(profile.DefaultDeadline), time.Millisecond, maxDeadline),
		rules("repeatable", profile.RepeatableRules),
		rules("important", profile.ImportantRules),
		within("retryBudget.ratio", profile.RetryBudget.Ratio, 0, 1),
		within("retryBudget.burst", float64(profile.RetryBudget.Burst), 0, maxBudgetBurst),
		within("hedgeBudget.ratio", profile.HedgeBudget.Ratio, 0, 1),
		within("hedgeBudget.burst", float64(profile.HedgeBudget.Burst), 0, maxBudgetBurst),
		within("queueBound", float64(profile.QueueBound), 0, maxQueueBound),
		within("maxBodyBytes", float64(profile.MaxBodyBytes), 1, 1<<40),
		within("measuringBudget.probesPerMinute", float64(profile.MeasuringBudget.ProbesPerMinute), 0, maxProbesPerMinute),
		within("ejection.consecutiveFailures", float64(profile.Ejection.ConsecutiveFailures), 1, 1000),
		between("ejection.baseTime", time.Duration(profile.Ejection.BaseTime), time.Millisecond, time.Hour),
		within("ejection.maxFraction", profile.Ejection.MaxFraction, 0, 1),
		between("slowStart", time.Duration(profile.SlowStart), 0, time.Hour),
		within("crashLimit.crashes", float64(profile.CrashLimit.Crashes), 1, maxCrashes),
		between("crashLimit.blockFor", time.Duration(profile.CrashLimit.BlockFor), time.Second, 24*time.Hour),
	} {
		if check != nil {
			return Error.Wrap(check)
		}
	}
	return nil
}

func policyOf(policy string) *FieldError {
	if Policies[policy] || len(Policies) == 0 {
		return nil
	}
	return &FieldError{Path: "policy", Reason: strconv.Quote(policy) + " is not a known policy"}
}

func within(path string, value, low, high float64) *FieldError {
	if value >= low && value <= high {
		return nil
	}
	number := func(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
	return &FieldError{Path: path, Reason: number(value) + " is not from " + number(low) + " to " + number(high)}
}

func between(path string, value, low, high time.Duration) *FieldError {
	if value >= low && value <= high {
		return nil
	}
	return &FieldError{Path: path, Reason: value.String() + " is not from " + low.String() + " to " + high.String()}
}

func rules(path string, rules []Rule) *FieldError {
	for index, rule := range rules {
		field := path + "[" + strconv.Itoa(index) + "]"
		if rule.Method == "" || rule.Method != strings.ToUpper(rule.Method) {
			return &FieldError{Path: field + ".method", Reason: "must be a method in capitals, or *"}
		}
		if !strings.HasPrefix(rule.Path, "/") {
			return &FieldError{Path: field + ".path", Reason: "must start with /"}
		}
	}
	return nil
}
