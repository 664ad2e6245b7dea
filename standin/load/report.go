package load

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms in microseconds, and their precision in
// significant digits.
const (
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 3
)

// RowKey identifies a row of a report.
type RowKey struct {
	Service string
	Class   string
}

// Row holds the counts and latencies of the requests of a service and class.
type Row struct {
	Requests int
	Complete int
	// InTime is the number of complete responses within the deadline.
	InTime int
	// Failed is the number of requests with an error response and the outcome run.
	// NotRun and Unknown count those with the other outcomes.
	Failed  int
	NotRun  int
	Unknown int
	// Wrong is the number of responses with status 200 and the body of another
	// request, or a truncated body.
	Wrong int
	// Dropped is the number of requests that were not sent because too many were
	// in flight.
	Dropped int
	Latency *hdrhistogram.Histogram
}

// Report holds the results of a run.
type Report struct {
	Rows    map[RowKey]*Row
	Elapsed time.Duration
	// NotRun holds the IDs of the attempts that ended with the outcome notRun.
	NotRun map[string]bool
	// Broken lists the IDs of the attempts whose connection ended before the
	// response was complete.
	Broken []string
	// Unauthorized lists the IDs of the attempts that ended with status 401.
	Unauthorized []string
	// ChangeAttempts lists, by request ID, the attempt IDs of each request that may
	// run at most once.
	ChangeAttempts map[string][]string
}

func newRow() *Row {
	return &Row{Latency: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
}

func (report *Report) row(request Request) *Row {
	key := RowKey{Service: request.Service, Class: request.Class}
	row, found := report.Rows[key]
	if !found {
		row = newRow()
		report.Rows[key] = row
	}
	return row
}

func (generator *Generator) recordDropped(request Request) {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	row := generator.report.row(request)
	row.Requests++
	row.Dropped++
}

// recordAttempt keeps what Audit needs to compare an attempt with the ledger.
func (generator *Generator) recordAttempt(request Request, requestID, attemptID string, result Result) {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	if request.Method != "GET" {
		generator.report.ChangeAttempts[requestID] = append(generator.report.ChangeAttempts[requestID], attemptID)
	}
	if result.Outcome == "notRun" {
		generator.report.NotRun[attemptID] = true
	}
	if result.Status == http.StatusUnauthorized {
		generator.report.Unauthorized = append(generator.report.Unauthorized, attemptID)
	}
	if result.Broken {
		generator.report.Broken = append(generator.report.Broken, attemptID)
	}
}

// recordResult counts a request by its final result.
func (generator *Generator) recordResult(request Request, intended time.Time, result Result) {
	took := time.Since(intended)
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	row := generator.report.row(request)
	row.Requests++
	switch {
	case result.Wrong:
		row.Wrong++
	case result.Complete:
		row.Complete++
		_ = row.Latency.RecordValue(max(minLatency, took.Microseconds()))
		if took <= request.Deadline {
			row.InTime++
		}
	case result.Outcome == "notRun":
		row.NotRun++
	case result.Outcome == "run":
		row.Failed++
	default:
		row.Unknown++
	}
}

// Total returns the sum of the rows of a class, or of all rows if class is empty.
func (report *Report) Total(class string) *Row {
	total := newRow()
	for key, row := range report.Rows {
		if class != "" && key.Class != class {
			continue
		}
		total.Requests += row.Requests
		total.Complete += row.Complete
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

// Percentile returns a latency percentile, from 0 to 100, of the complete
// responses.
func (row *Row) Percentile(percentile float64) time.Duration {
	return time.Duration(row.Latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Audit compares the responses with how often each attempt has run. It counts as
// doubled the changes that ran more than once over all their attempts, and as
// wrong the attempts that ran despite the outcome notRun and the wrong responses.
func (report *Report) Audit(runs map[string]int) (doubled, wrong int) {
	for _, attempts := range report.ChangeAttempts {
		count := 0
		for _, attemptID := range attempts {
			count += runs[attemptID]
		}
		if count > 1 {
			doubled++
		}
	}
	for attemptID := range report.NotRun {
		if runs[attemptID] > 0 {
			wrong++
		}
	}
	for _, row := range report.Rows {
		wrong += row.Wrong
	}
	return doubled, wrong
}

// Findings describes what Audit counts, one line each.
func (report *Report) Findings(runs map[string]int) []string {
	var findings []string
	for requestID, attempts := range report.ChangeAttempts {
		count := 0
		for _, attemptID := range attempts {
			count += runs[attemptID]
		}
		if count > 1 {
			findings = append(findings, fmt.Sprintf("%s ran %d times in %d attempts", requestID, count, len(attempts)))
		}
	}
	for attemptID := range report.NotRun {
		if runs[attemptID] > 0 {
			findings = append(findings, attemptID+" ran despite the outcome notRun")
		}
	}
	for _, attemptID := range report.Unauthorized {
		findings = append(findings, attemptID+" was refused although its key is valid")
	}
	for key, row := range report.Rows {
		if row.Wrong > 0 {
			findings = append(findings, fmt.Sprintf("%d wrong responses to %s %s", row.Wrong, key.Service, key.Class))
		}
	}
	sort.Strings(findings)
	return findings
}

// RunButBroken returns the IDs of the attempts that have run and whose connection
// ended before the response was complete.
func (report *Report) RunButBroken(runs map[string]int) []string {
	var broken []string
	for _, attemptID := range report.Broken {
		if runs[attemptID] > 0 {
			broken = append(broken, attemptID)
		}
	}
	return broken
}

// Print writes the rows as a table.
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
			row.Complete, row.Failed, row.NotRun, row.Unknown, row.Percentile(50), row.Percentile(99))
	}
	_ = writer.Flush()
}
