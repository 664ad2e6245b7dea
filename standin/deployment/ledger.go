package deployment

import (
	"os"
	"strconv"
	"strings"
	"time"

	"ibislift/standin/upstream"
)

// Run is a request that an upstream has started to run.
type Run struct {
	Upstream  string
	Method    string
	At        time.Time
	AttemptID string
}

// Ledger is what the upstreams of a deployment have recorded; package upstream describes
// the lines.
type Ledger struct {
	Runs []Run
	// Ends are the ends of responses that upstreams have written whole, of requests that
	// ask for it.
	Ends []Run
	// MostInASecond is the largest number of requests and health probes that an upstream
	// got in a second while it was cold, by its name.
	MostInASecond map[string]int
}

// ParseLedger parses the text of a ledger. It skips other lines.
func ParseLedger(text string) Ledger {
	ledger := Ledger{MostInASecond: map[string]int{}}
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[1] == "mostInASecond" {
			most, _ := strconv.Atoi(fields[2])
			ledger.MostInASecond[fields[0]] = max(ledger.MostInASecond[fields[0]], most)
		}
		if len(fields) != 4 {
			continue
		}
		microseconds, err := strconv.ParseInt(fields[2], 10, 64)
		if err != nil {
			continue
		}
		run := Run{Upstream: fields[0], Method: fields[1], At: time.UnixMicro(microseconds), AttemptID: fields[3]}
		if run.Method == upstream.EndOfResponse {
			ledger.Ends = append(ledger.Ends, run)
			continue
		}
		ledger.Runs = append(ledger.Runs, run)
	}
	return ledger
}

// RunCounts returns how often each attempt has run, by the value of
// upstream.AttemptIDHeader.
func (ledger Ledger) RunCounts() map[string]int {
	runs := map[string]int{}
	for _, run := range ledger.Runs {
		runs[run.AttemptID]++
	}
	return runs
}

// ReadLedger reads what the upstreams have recorded so far.
func (running *Running) ReadLedger() (Ledger, error) {
	text, err := os.ReadFile(running.Ledger)
	if err != nil && !os.IsNotExist(err) {
		return Ledger{}, Error.Wrap(err)
	}
	return ParseLedger(string(text)), nil
}

// RunCounts returns how often each attempt has run according to the upstreams' ledger.
func (running *Running) RunCounts() (map[string]int, error) {
	ledger, err := running.ReadLedger()
	return ledger.RunCounts(), err
}
