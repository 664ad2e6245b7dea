package play

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Tally counts the results of a class's requests.
type Tally struct {
	Class   string
	Offered int
	// InTime counts the responses within the objective, Late those after it but
	// within the deadline.
	InTime  int
	Late    int
	Refused int
	Failed  int
	// LeftEarly counts the requests whose callers left early and expect no
	// response.
	LeftEarly int
	// WastedSeconds is the work of runs whose responses no caller received, in
	// seconds of an idle target.
	WastedSeconds float64
	// ExtraAttempts counts the attempts of daemons after the first of each
	// request, CallerRetries the retries of callers.
	ExtraAttempts int
	CallerRetries int
	// CameBack counts the retries of callers after a refusal, RefusedAgain those of them
	// that were refused again.
	CameBack     int
	RefusedAgain int
	// CrossZoneBytes are the bytes of bodies that were sent to another zone of
	// the region, CrossRegionBytes those to another region.
	CrossZoneBytes   float64
	CrossRegionBytes float64
	Credit           float64

	maxCredit float64
	latencies []time.Duration
}

// recordResponse counts a complete response.
func (tally *Tally) recordResponse(elapsed time.Duration, class *Class, credit float64) {
	tally.latencies = append(tally.latencies, elapsed)
	if elapsed <= milliseconds(class.Objective) {
		tally.InTime++
		tally.Credit += credit
		return
	}
	tally.Late++
	if credit > 0 {
		tally.Credit += class.LateValue
	}
}

// Awaited returns the number of requests whose callers waited for a response.
func (tally *Tally) Awaited() int { return tally.Offered - tally.LeftEarly }

// Quantile returns a quantile of the response times.
func (tally *Tally) Quantile(fraction float64) time.Duration {
	if len(tally.latencies) == 0 {
		return 0
	}
	return tally.latencies[int(fraction*float64(len(tally.latencies)-1))]
}

// Report holds the results of a scenario under one policy.
type Report struct {
	Scenario string
	Policy   string
	// Classes holds a tally for each class, also for those that only runs call,
	// in the order of the scenario.
	Classes []*Tally
	// Workspaces holds a tally for each workspace, the largest first.
	Workspaces []*WorkspaceTally
	// SlotSeconds is the total time for which runs held slots, in seconds. Slots
	// is the number of slots.
	SlotSeconds float64
	Slots       int
	// OverLimit counts the requests that targets got above the rate limit that they
	// named.
	OverLimit int
	// OverWarmup counts the requests and health probes that cold targets got above the
	// bound of a second.
	OverWarmup int
	// AboveHeadroom counts the requests with which more slots of a target were in use than
	// those without the headroom, and FoundFull those that found no free slot. HighestUse is
	// the highest number of requests at a target, as a fraction of its slots. HeldInVain counts
	// the requests that were handed over while a slot was held for a cancelled run that had
	// ended.
	AboveHeadroom int
	FoundFull     int
	HighestUse    float64
	HeldInVain    int
	// LastAbove is when AboveHeadroom last rose, from the start.
	LastAbove time.Duration
	// LoadProbes counts the probes for how many requests a target runs.
	LoadProbes int
	refusals   []refusal
	// Probes counts the probes for a target's slowness.
	Probes int
	// Steps holds the results over time, in steps of StepTime.
	Steps []Step

	byName  map[string]*Tally
	seconds float64
	// zoneBytePrice and regionBytePrice are the prices of the scenario.
	zoneBytePrice, regionBytePrice float64
}

// StepTime is the length of one step of a report.
const StepTime = 500 * time.Millisecond

// Step holds the results of the requests whose first attempt falls in a step.
type Step struct {
	Offered int
	InTime  int
	P50     time.Duration
	P99     time.Duration

	latencies []time.Duration
}

func newReport(scenario *Scenario, policy Policy) *Report {
	report := &Report{
		Scenario: scenario.Name, Policy: policy.Name, byName: map[string]*Tally{}, seconds: scenario.Seconds,
		zoneBytePrice: scenario.ZoneBytePrice, regionBytePrice: scenario.RegionBytePrice,
	}
	for _, class := range scenario.Classes {
		tally := &Tally{Class: class.Name, maxCredit: class.Value}
		if class.Weight == 0 {
			tally.maxCredit = 0
		}
		report.Classes = append(report.Classes, tally)
		report.byName[class.Name] = tally
	}
	report.Steps = make([]Step, int(math.Ceil(scenario.Seconds/StepTime.Seconds())))
	return report
}

func (report *Report) step(at time.Duration) *Step {
	return &report.Steps[min(len(report.Steps)-1, int(at/StepTime))]
}

func (report *Report) recordOffered(at time.Duration) { report.step(at).Offered++ }

func (report *Report) recordResponse(at, elapsed time.Duration, inTime bool) {
	step := report.step(at)
	step.latencies = append(step.latencies, elapsed)
	if inTime {
		step.InTime++
	}
}

// refusal is a refusal that a caller got. at is the arrival of the request since the start
// of the simulation, and took how long the caller waited.
type refusal struct{ at, took time.Duration }

func (report *Report) recordRefusal(refusal refusal) {
	report.refusals = append(report.refusals, refusal)
}

// RefusalTime returns a quantile of the times that callers waited for a refusal, of the
// requests that arrived at from or later.
func (report *Report) RefusalTime(from time.Duration, fraction float64) time.Duration {
	var times []time.Duration
	for _, refusal := range report.refusals {
		if refusal.at >= from {
			times = append(times, refusal.took)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(fraction*float64(len(times)-1))]
}

// sortLatencies sorts the collected latencies and sets the quantiles of the
// steps.
func (report *Report) sortLatencies() {
	for _, tally := range report.Classes {
		slices.Sort(tally.latencies)
	}
	for index := range report.Steps {
		step := &report.Steps[index]
		slices.Sort(step.latencies)
		if count := len(step.latencies); count > 0 {
			step.P50 = step.latencies[count/2]
			step.P99 = step.latencies[(count-1)*99/100]
		}
	}
}

// Credit returns the credit that callers' requests earned, as a fraction of the
// credit for responses in time to all awaited requests.
func (report *Report) Credit() float64 {
	earned := 0.0
	for _, tally := range report.Classes {
		earned += tally.Credit
	}
	return earned / report.maxCredit()
}

// maxCredit returns the credit for responses in time to all awaited requests.
func (report *Report) maxCredit() float64 {
	awaited := 0.0
	for _, tally := range report.Classes {
		awaited += tally.maxCredit * float64(tally.Awaited())
	}
	return max(1, awaited)
}

// NetCredit returns the credit minus the price of the bytes between zones and regions, as
// a fraction of the same credit. A price of 1 counts as a credit of 1.
func (report *Report) NetCredit() float64 {
	price := 0.0
	for _, tally := range report.Classes {
		price += (tally.CrossZoneBytes*report.zoneBytePrice + tally.CrossRegionBytes*report.regionBytePrice) / 1e6
	}
	return report.Credit() - price/report.maxCredit()
}

// CrossRegionBytes returns the bytes of bodies that were sent to another region.
func (report *Report) CrossRegionBytes() float64 {
	bytes := 0.0
	for _, tally := range report.Classes {
		bytes += tally.CrossRegionBytes
	}
	return bytes
}

// ServedFraction returns the fraction of callers' awaited requests that got a
// complete response.
func (report *Report) ServedFraction() float64 {
	served, awaited := 0, 0
	for _, tally := range report.Classes {
		if tally.maxCredit > 0 {
			served += tally.InTime + tally.Late
			awaited += tally.Awaited()
		}
	}
	return float64(served) / float64(max(1, awaited))
}

// SlotUtilization returns the mean fraction of the slots that was in use.
func (report *Report) SlotUtilization() float64 {
	return report.SlotSeconds / (float64(report.Slots) * report.seconds)
}

// Write prints the results by class.
func (report *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, policy %s: credit %.3f of the maximum, served %.3f, slots in use %.2f\n",
		report.Scenario, report.Policy, report.Credit(), report.ServedFraction(), report.SlotUtilization())
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "class\toffered\tin time\tlate\trefused\tfailed\tleft early\tp50\tp99\twasted s\textra attempts\tcaller retries\tMB between zones\tMB between regions")
	for _, tally := range report.Classes {
		share := func(count int) string { return fmt.Sprintf("%.3f", float64(count)/float64(max(1, tally.Awaited()))) }
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%.1f\t%d\t%d\t%.1f\t%.1f\n", tally.Class, tally.Offered,
			share(tally.InTime), share(tally.Late), share(tally.Refused), share(tally.Failed), tally.LeftEarly,
			tally.Quantile(0.5).Round(time.Millisecond), tally.Quantile(0.99).Round(time.Millisecond),
			tally.WastedSeconds, tally.ExtraAttempts, tally.CallerRetries, tally.CrossZoneBytes/1e6, tally.CrossRegionBytes/1e6)
	}
	_ = table.Flush()
	report.writeWorkspaces(out)
}

// Compare prints one line per report, with its policy.
func Compare(out io.Writer, reports []*Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tcredit\tnet of bytes\tserved\tslots in use\twasted s\textra attempts\tcaller retries\tMB between zones\tMB between regions\tprobes\tworst class")
	for _, report := range reports {
		var wasted, zoneBytes, regionBytes float64
		extraAttempts, callerRetries := 0, 0
		worst, name := 2.0, ""
		for _, tally := range report.Classes {
			wasted += tally.WastedSeconds
			zoneBytes += tally.CrossZoneBytes
			regionBytes += tally.CrossRegionBytes
			extraAttempts += tally.ExtraAttempts
			callerRetries += tally.CallerRetries
			if tally.maxCredit > 0 {
				if fraction := tally.Credit / max(1, tally.maxCredit*float64(tally.Awaited())); fraction < worst {
					worst, name = fraction, tally.Class
				}
			}
		}
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%d\t%d\t%.1f\t%.1f\t%d\t%s %.2f\n", report.Policy, report.Credit(), report.NetCredit(), report.ServedFraction(),
			report.SlotUtilization(), wasted, extraAttempts, callerRetries, zoneBytes/1e6, regionBytes/1e6, report.Probes, name, worst)
	}
	_ = table.Flush()
}

// Refusals returns the number of refusals that callers got.
func (report *Report) Refusals() int { return len(report.refusals) }
