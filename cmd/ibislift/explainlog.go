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

// maxLogLine bounds a line of a log file, in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a daemon's log. Text before the first brace, such as a
// collector's own time stamp, is not looked at.
type logLine struct {
	Time     time.Time     `json:"time"`
	Message  string        `json:"msg"`
	Instance string        `json:"instance"`
	Request  string        `json:"request"`
	Status   int           `json:"status"`
	Outcome  string        `json:"outcome"`
	Took     time.Duration `json:"took"`
	Problem  string        `json:"problem"`
	Steps    string        `json:"steps"`
	Reason   string        `json:"reason"`
	Error    string        `json:"error"`
	Crashed  bool          `json:"crashed"`

	text string
}

// explainLog prints the lines about a request, and about the calls that its
// run made, from the logs of all daemons, and what they say together.
func explainLog(path, request string, out io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	defer func() { _ = file.Close() }()
	lines, err := linesOf(file, request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &exitError{code: exitFailure, cause: fmt.Errorf("the log has no line about request %q", request)}
	}
	for _, line := range lines {
		fmt.Fprintf(out, "%s %s %s\n", line.Time.Format("15:04:05.000"), line.Instance, line.text)
	}
	fmt.Fprintln(out, verdictOf(lines, request))
	return nil
}

// linesOf reads the lines about a request and the calls of its run, whose
// names start with its own, in the order of their times.
func linesOf(reader io.Reader, request string) ([]logLine, error) {
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
		if line.Request == request || strings.HasPrefix(line.Request, request+".") {
			lines = append(lines, line)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines, scanner.Err()
}

// verdictOf says in one sentence what happened to a request. A call that its
// run made and that failed explains the failure of the run.
func verdictOf(lines []logLine, request string) string {
	var own, inner *logLine
	for index := range lines {
		line := &lines[index]
		if line.Message != "request ended" {
			continue
		}
		if line.Request == request {
			own = line
			continue
		}
		inner = line
	}
	switch {
	case own == nil && inner == nil:
		return "The logs do not have the end of the request; its entry may have been killed."
	case own == nil:
		return fmt.Sprintf("The logs do not have the end of the request; a call of its run ended with %d: %s.", inner.Status, causeOf(*inner, lines))
	case inner != nil && own.Status >= 500 && own.Outcome == "run":
		return fmt.Sprintf("The target answered %d after a call of its run ended with %d: %s.", own.Status, inner.Status, causeOf(*inner, lines))
	default:
		return fmt.Sprintf("The request ended with %d (%s) after %s: %s.", own.Status, own.Outcome, own.Took.Round(time.Millisecond), causeOf(*own, lines))
	}
}

// causes maps what the steps of a request's end say to sentences, the more
// telling ones first.
var causes = []struct{ step, sentence string }{
	{"crashed true", "the target crashed while it ran"},
	{"callerLeft", "the caller left"},
	{"noTargetLeft", "no further target was worth asking"},
	{"deadlinePassed", "the route's timeout or the caller's deadline passed"},
	{"lost", "the answer was lost on its way"},
	{"failing", "the target itself answered with a failure"},
	{"relayed", "the target's own answer was passed on"},
}

// early maps the problems of requests that were refused before a target was
// chosen to sentences.
var early = map[string]string{
	"notReady":       "the daemon had no configuration yet",
	"unknownRoute":   "no route of the table in force matched; see the line \"route table in force\"",
	"unknownService": "no target and no operator has named the service",
	"crashSuspect":   "targets have crashed on requests like it, and it is blocked for a time",
	"badHeader":      "a header of the request was missing or wrong",
	"badBody":        "the body could not be read",
	"bodyTooLarge":   "the body was longer than the limit",
	"bodyTooSlow":    "the body did not come within the deadline",
}

func causeOf(ended logLine, lines []logLine) string {
	var sentence []string
	for _, cause := range causes {
		if strings.Contains(ended.Steps, cause.step) {
			sentence = append(sentence, cause.sentence)
			break
		}
	}
	if refusals := strings.Count(ended.Steps, " refused ("); refusals > 0 {
		last := ended.Steps[strings.LastIndex(ended.Steps, " refused ("):]
		reason := strings.TrimSuffix(strings.SplitN(strings.SplitN(last, ": ", 2)[1], ";", 2)[0], ")")
		sentence = append(sentence, fmt.Sprintf("%d gates refused it, the last as %q", refusals, reason))
	}
	for _, line := range lines {
		if line.Request == ended.Request && line.Error != "" {
			sentence = append(sentence, "the gate saw "+line.Error)
			break
		}
	}
	switch {
	case len(sentence) > 0:
		return strings.Join(sentence, "; ")
	case early[ended.Problem] != "":
		return early[ended.Problem]
	default:
		return "it was refused before a target was chosen"
	}
}
