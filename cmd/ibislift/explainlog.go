package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"
)

// maxLogLine limits the length of a line of a log file, in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a daemon's log. Text before the first brace, such as the
// time stamp of a log collector, is ignored.
type logLine struct {
	Time      time.Time     `json:"time"`
	Message   string        `json:"msg"`
	Instance  string        `json:"instance"`
	RequestID string        `json:"request"`
	Status    int           `json:"status"`
	Outcome   string        `json:"outcome"`
	Elapsed   time.Duration `json:"took"`
	Problem   string        `json:"problem"`
	Steps     string        `json:"steps"`
	Reason    string        `json:"reason"`
	Regions   string        `json:"regions"`
	Error     string        `json:"error"`
	Crashed   bool          `json:"crashed"`

	text string
}

// explainLog prints the log lines about a request and about the calls that its
// target made while it ran, and a sentence that sums them up. The file holds
// the logs of all daemons.
func explainLog(path, requestID string, out io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	defer func() { _ = file.Close() }()
	lines, err := readLines(file, requestID)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &exitError{code: exitFailure, cause: fmt.Errorf("the log has no line about request %q", requestID)}
	}
	for _, line := range lines {
		fmt.Fprintf(out, "%s %s %s\n", line.Time.Format("15:04:05.000"), line.Instance, line.text)
	}
	fmt.Fprintln(out, summarize(lines, requestID))
	return nil
}

// readLines returns the lines about a request and about the calls that its
// target made while it ran, sorted by time. The IDs of such calls start with
// the ID of the request and a dot.
func readLines(reader io.Reader, requestID string) ([]logLine, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLine)
	var lines []logLine
	for scanner.Scan() {
		start := strings.Index(scanner.Text(), "{")
		if start < 0 {
			continue
		}
		line := logLine{text: scanner.Text()[start:]}
		if json.Unmarshal([]byte(line.text), &line) != nil {
			continue
		}
		if line.RequestID == requestID || strings.HasPrefix(line.RequestID, requestID+".") {
			lines = append(lines, line)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines, scanner.Err()
}

// summarize describes in one sentence what happened to a request. If the target
// failed after one of its own calls had failed, the call explains the failure.
func summarize(lines []logLine, requestID string) string {
	var requestEnd, callEnd *logLine
	for index := range lines {
		line := &lines[index]
		if line.Message != "request ended" {
			continue
		}
		if line.RequestID == requestID {
			requestEnd = line
			continue
		}
		callEnd = line
	}
	switch {
	case requestEnd == nil && callEnd == nil:
		return "The logs have no line about the end of the request; the daemon that received it may have been killed."
	case requestEnd == nil:
		return fmt.Sprintf("The logs have no line about the end of the request; a call that its target made ended with %d: %s.", callEnd.Status, describeCause(*callEnd, lines))
	case callEnd != nil && requestEnd.Status >= 500 && requestEnd.Outcome == "run":
		return fmt.Sprintf("The target responded with %d after a call that it made ended with %d: %s.", requestEnd.Status, callEnd.Status, describeCause(*callEnd, lines))
	default:
		return fmt.Sprintf("The request ended with %d (%s) after %s: %s.", requestEnd.Status, requestEnd.Outcome, requestEnd.Elapsed.Round(time.Millisecond), describeCause(*requestEnd, lines))
	}
}

// stepCauses maps texts in the steps of a "request ended" line to explanations.
// The first text that matches is used, so the more specific ones come first.
var stepCauses = []struct{ step, sentence string }{
	{"overQuota", "the workspace had used up its quota; the step names the quota and the daemon that decided"},
	{"quotaUnavailable", "no daemon that counts the requests of the workspace replied; see the lines \"owner of quotas does not reply\""},
	{"noToken", "the quota of the workspace left no token for another attempt"},
	{"crashed true", "the target crashed while the request ran"},
	{"callerLeft", "the caller left"},
	{"noTargetLeft", "no further target was worth trying"},
	{"deadlinePassed", "the route's timeout or the caller's deadline passed"},
	{"lost", "the response was lost"},
	{"failing", "the target itself responded with a server error"},
	{"relayed", "the target's own response was relayed"},
}

// targetStates maps texts in the steps of a "request ended" line to what they say of the
// targets of a refused request.
var targetStates = []struct{ step, sentence string }{
	{", cold, next in ", "a target was cold and took only its warm-up rate"},
	{" evacuated: ", "targets were in evacuated data centres"},
}

// earlyCauses maps the problems of requests that were refused before a target
// was chosen to explanations.
var earlyCauses = map[string]string{
	"evacuated":         "the data centres of all targets were evacuated",
	"notReady":          "the daemon had no configuration yet",
	"stopping":          "the daemon was stopping and had too little time left for the request",
	"unknownRoute":      "no route of the table in force matched; see the line \"route table in force\"",
	"unknownKey":        "no API key of the table in force; see the lines \"API keys changed\"",
	"noAllowedRegion":   "the route and the workspace allow no common region",
	"noTargetInRegions": "the service has no target for the request",
	"unknownService":    "no target, operator or route names the service",
	"crashSuspect":      "targets have crashed on requests like it, which are blocked for a time",
	"badHeader":         "a header of the request was missing or wrong",
	"badBody":           "the body could not be read",
	"bodyTooLarge":      "the body was longer than the limit",
	"bodyTooSlow":       "the body did not arrive before the deadline",
}

// describeCause explains how a request ended, from its own "request ended" line
// and from errors in other lines about it.
func describeCause(ended logLine, lines []logLine) string {
	var parts []string
	for _, cause := range stepCauses {
		if strings.Contains(ended.Steps, cause.step) {
			parts = append(parts, cause.sentence)
			break
		}
	}
	if refusals := strings.Count(ended.Steps, " refused ("); refusals > 0 {
		last := ended.Steps[strings.LastIndex(ended.Steps, " refused ("):]
		reason := strings.TrimSuffix(strings.SplitN(strings.SplitN(last, ": ", 2)[1], ";", 2)[0], ")")
		parts = append(parts, fmt.Sprintf("refusals by gates: %d, the last as %q", refusals, reason))
	}
	if ended.Regions != "" && ended.Status >= 500 && len(parts) > 0 {
		parts = append(parts, "only these regions are allowed: "+ended.Regions)
	}
	for _, state := range targetStates {
		if ended.Outcome == "notRun" && strings.Contains(ended.Steps, state.step) {
			parts = append(parts, state.sentence)
		}
	}
	if strings.Contains(ended.Steps, "arrived (withdrawn from callers") {
		parts = append(parts, "the daemon that received it was slow itself and had withdrawn from callers")
	}
	for _, line := range lines {
		if line.RequestID == ended.RequestID && line.Error != "" {
			parts = append(parts, "the gate reported "+line.Error)
			break
		}
	}
	switch {
	case len(parts) > 0:
		return strings.Join(parts, "; ")
	case earlyCauses[ended.Problem] != "":
		if ended.Reason != "" {
			return earlyCauses[ended.Problem] + ": " + ended.Reason
		}
		return earlyCauses[ended.Problem]
	default:
		return "it was refused before a target was chosen"
	}
}
