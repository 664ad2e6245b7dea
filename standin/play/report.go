package play

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Tally counts what became of the requests of a class.
type Tally struct {
	Class   string
	Offered int
	// InTime answers came within the objective, Late ones within the deadline.
	InTime  int
	Late    int
	Refused int
	Failed  int
	// Left callers went away early; they are not owed an answer.
	Left int
	// Wasted is the work, in seconds of an idle target, of runs whose answers
	// nobody got.
	Wasted float64
	// Extra counts sendings by daemons beyond the first, Returns the callers'.
	Extra     int
	Returns   int
	ZoneBytes float64
	Credit    float64

	worth     float64
	latencies []time.Duration
}

// answered counts a whole answer.
func (tally *Tally) answered(took time.Duration, class *Class, worth float64) {
	tally.latencies = append(tally.latencies, took)
	if took <= milliseconds(class.Objective) {
		tally.InTime++
		tally.Credit += worth
		return
	}
	tally.Late++
	if worth > 0 {
		tally.Credit += class.LateWorth
	}
}

// Owed is the number of requests whose callers waited.
func (tally *Tally) Owed() int { return tally.Offered - tally.Left }

// Quantile is a quantile of the time to an answer.
func (tally *Tally) Quantile(part float64) time.Duration {
	if len(tally.latencies) == 0 {
		return 0
	}
	return tally.latencies[int(part*float64(len(tally.latencies)-1))]
}

// Report is a day under one policy.
type Report struct {
	Scenario string
	Policy   string
	// Classes are those of callers and of calls of runs, in the scenario's
	// order.
	Classes []*Tally
	// Busy is the time that runs have held slots, in seconds; Slots the number
	// of slots.
	Busy  float64
	Slots int
	// Probes counts the health checks.
	Probes int
	// Steps are the day in steps of StepTime.
	Steps []Step

	classes map[string]*Tally
	seconds float64
}

// StepTime is the length of a step of a day.
const StepTime = 500 * time.Millisecond

// Step counts the requests that callers first sent in a step.
type Step struct {
	Offered int
	InTime  int
	P50     time.Duration
	P99     time.Duration

	latencies []time.Duration
}

func newReport(scenario *Scenario, policy Policy) *Report {
	report := &Report{Scenario: scenario.Name, Policy: policy.Name, classes: map[string]*Tally{}, seconds: scenario.Seconds}
	for _, class := range scenario.Classes {
		tally := &Tally{Class: class.Name, worth: class.Worth}
		if class.Part == 0 {
			tally.worth = 0
		}
		report.Classes = append(report.Classes, tally)
		report.classes[class.Name] = tally
	}
	report.Steps = make([]Step, int(math.Ceil(scenario.Seconds/StepTime.Seconds())))
	return report
}

func (report *Report) step(at time.Duration) *Step {
	return &report.Steps[min(len(report.Steps)-1, int(at/StepTime))]
}

func (report *Report) offered(at time.Duration) { report.step(at).Offered++ }

func (report *Report) answered(at, took time.Duration, inTime bool) {
	step := report.step(at)
	step.latencies = append(step.latencies, took)
	if inTime {
		step.InTime++
	}
}

// close sorts what was collected.
func (report *Report) close() {
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

// Credit is the credit that callers' requests earned, as a part of what was
// owed.
func (report *Report) Credit() float64 {
	earned, owed := 0.0, 0.0
	for _, tally := range report.Classes {
		earned += tally.Credit
		owed += tally.worth * float64(tally.Owed())
	}
	return earned / max(1, owed)
}

// Served is the part of callers' requests that got a whole answer.
func (report *Report) Served() float64 {
	served, owed := 0, 0
	for _, tally := range report.Classes {
		if tally.worth > 0 {
			served += tally.InTime + tally.Late
			owed += tally.Owed()
		}
	}
	return float64(served) / float64(max(1, owed))
}

// Use is the part of the slots that was held, over the day.
func (report *Report) Use() float64 { return report.Busy / (float64(report.Slots) * report.seconds) }

// Write prints the day class by class.
func (report *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, policy %s: credit %.3f of what is owed, served %.3f, slots held %.2f\n",
		report.Scenario, report.Policy, report.Credit(), report.Served(), report.Use())
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "class\toffered\tin time\tlate\trefused\tfailed\tleft\tp50\tp99\twasted s\textra\treturns\tMB between zones")
	for _, tally := range report.Classes {
		share := func(count int) string { return fmt.Sprintf("%.3f", float64(count)/float64(max(1, tally.Owed()))) }
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%.1f\t%d\t%d\t%.1f\n", tally.Class, tally.Offered,
			share(tally.InTime), share(tally.Late), share(tally.Refused), share(tally.Failed), tally.Left,
			tally.Quantile(0.5).Round(time.Millisecond), tally.Quantile(0.99).Round(time.Millisecond),
			tally.Wasted, tally.Extra, tally.Returns, tally.ZoneBytes/1e6)
	}
	_ = table.Flush()
}

// Compare prints one line for each policy.
func Compare(out io.Writer, reports []*Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tcredit\tserved\tslots held\twasted s\textra\treturns\tMB between zones\tprobes\tworst class")
	for _, report := range reports {
		var wasted, bytes float64
		extra, returns := 0, 0
		worst, name := 2.0, ""
		for _, tally := range report.Classes {
			wasted += tally.Wasted
			bytes += tally.ZoneBytes
			extra += tally.Extra
			returns += tally.Returns
			if tally.worth > 0 {
				if part := tally.Credit / max(1, tally.worth*float64(tally.Owed())); part < worst {
					worst, name = part, tally.Class
				}
			}
		}
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.2f\t%.1f\t%d\t%d\t%.1f\t%d\t%s %.2f\n", report.Policy, report.Credit(), report.Served(),
			report.Use(), wasted, extra, returns, bytes/1e6, report.Probes, name, worst)
	}
	_ = table.Flush()
}
