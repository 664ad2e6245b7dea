package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	leastLatency     = 1
	greatestLatency  = 60_000_000
	significantDigit = 3
)

// RowKey names a row of a report.
type RowKey struct {
	Service string
	Class   string
}

// Row counts the requests of a service and class.
type Row struct {
	Requests int
	Whole    int
	// InTime counts the whole answers within the deadline.
	InTime  int
	Failed  int
	NotRun  int
	Unknown int
	Wrong   int
	Dropped int
	Latency *hdrhistogram.Histogram
}

// Report is the outcome of a run.
type Report struct {
	Rows map[RowKey]*Row
	Took time.Duration
	// NotRun holds the sendings that were told notRun, Changes the sendings of
	// each request that may run once at most.
	NotRun map[string]bool
	// Broken are the sendings whose connection ended without a whole answer.
	Broken  []string
	Changes map[string][]string
}

func newRow() *Row {
	return &Row{Latency: hdrhistogram.New(leastLatency, greatestLatency, significantDigit)}
}

func (report *Report) row(request Request) *Row {
	key := RowKey{Service: request.Service, Class: request.Class}
	row, known := report.Rows[key]
	if !known {
		row = newRow()
		report.Rows[key] = row
	}
	return row
}

func (generator *Generator) drop(request Request) {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	row := generator.report.row(request)
	row.Requests++
	row.Dropped++
}

// note keeps what is needed to compare a sending with what has run.
func (generator *Generator) note(request Request, trial, name string, result result) {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	if request.Method != "GET" {
		generator.report.Changes[trial] = append(generator.report.Changes[trial], name)
	}
	if result.outcome == "notRun" {
		generator.report.NotRun[name] = true
	}
	if result.broken {
		generator.report.Broken = append(generator.report.Broken, name)
	}
}

// record counts the end of a request.
func (generator *Generator) record(request Request, intended time.Time, result result) {
	took := time.Since(intended)
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	row := generator.report.row(request)
	row.Requests++
	switch {
	case result.wrong:
		row.Wrong++
	case result.whole:
		row.Whole++
		_ = row.Latency.RecordValue(max(leastLatency, took.Microseconds()))
		if took <= request.Deadline {
			row.InTime++
		}
	case result.outcome == "notRun":
		row.NotRun++
	case result.outcome == "run":
		row.Failed++
	default:
		row.Unknown++
	}
}

// Total adds up the rows of a class, or of all if it is empty.
func (report *Report) Total(class string) *Row {
	total := newRow()
	for key, row := range report.Rows {
		if class != "" && key.Class != class {
			continue
		}
		total.Requests += row.Requests
		total.Whole += row.Whole
		total.InTime += row.InTime
		total.Failed += row.Failed
		total.NotRun += row.NotRun
		total.Unknown += row.Unknown
		total.Wrong += row.Wrong
		total.Dropped += row.Dropped
		total.Latency.Merge(row.Latency)
	}
	return total
}

// Quantile is a quantile of the whole answers, from 0 to 100.
func (row *Row) Quantile(quantile float64) time.Duration {
	return time.Duration(row.Latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Audit compares what callers were told with what has run: the changes that
// ran more than once, over all their sendings, and the sendings that ran
// although notRun was told.
func (report *Report) Audit(runs map[string]int) (doubled, wrong int) {
	for _, sendings := range report.Changes {
		count := 0
		for _, name := range sendings {
			count += runs[name]
		}
		if count > 1 {
			doubled++
		}
	}
	for name := range report.NotRun {
		if runs[name] > 0 {
			wrong++
		}
	}
	for _, row := range report.Rows {
		wrong += row.Wrong
	}
	return doubled, wrong
}

// Findings are what Audit counts, one line each.
func (report *Report) Findings(runs map[string]int) []string {
	var findings []string
	for trial, sendings := range report.Changes {
		count := 0
		for _, name := range sendings {
			count += runs[name]
		}
		if count > 1 {
			findings = append(findings, fmt.Sprintf("%s ran %d times, in %d sendings", trial, count, len(sendings)))
		}
	}
	for name := range report.NotRun {
		if runs[name] > 0 {
			findings = append(findings, name+" has run although notRun was told")
		}
	}
	for key, row := range report.Rows {
		if row.Wrong > 0 {
			findings = append(findings, fmt.Sprintf("%d wrong answers to %s %s", row.Wrong, key.Service, key.Class))
		}
	}
	sort.Strings(findings)
	return findings
}

// Cut are the sendings that have run and whose answer broke off.
func (report *Report) Cut(runs map[string]int) []string {
	var cut []string
	for _, name := range report.Broken {
		if runs[name] > 0 {
			cut = append(cut, name)
		}
	}
	return cut
}

// Print writes the report as a table.
func (report *Report) Print(to io.Writer) {
	writer := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(writer, "service\tclass\trequests\tanswered\tfailed\tnotRun\tunknown\tp50\tp99\t")
	var keys []RowKey
	for key := range report.Rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].Service+"\x00"+keys[i].Class < keys[j].Service+"\x00"+keys[j].Class
	})
	for _, key := range keys {
		row := report.Rows[key]
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", key.Service, key.Class, row.Requests,
			row.Whole, row.Failed, row.NotRun, row.Unknown, row.Quantile(50), row.Quantile(99))
	}
	_ = writer.Flush()
}
