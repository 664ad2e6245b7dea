package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runExplainLog returns what explainLog prints for a request and a log file
// with the given lines.
func runExplainLog(t *testing.T, requestID string, lines ...string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	is.New(t).NoErr(os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
	var out strings.Builder
	err := explainLog(path, requestID, &out)
	return out.String(), err
}

// refusedLine returns the log line of a request that was refused before a
// target was chosen.
func refusedLine(requestID, status, problem string) string {
	return `{"time":"2026-12-04T05:00:01Z","msg":"request ended","instance":"a","request":"` + requestID + `","status":` + status +
		`,"outcome":"notRun","problem":"` + problem + `","steps":""}`
}

// endedLine returns the log line of a request that ended.
func endedLine(requestID, outcome, status, steps string) string {
	return `{"time":"2026-12-04T05:00:01Z","msg":"request ended","instance":"a","request":"` + requestID + `","status":` + status +
		`,"outcome":"` + outcome + `","took":5000000,"steps":"` + steps + `"}`
}

func TestExplainLog(t *testing.T) {
	for name, test := range map[string]struct {
		lines []string
		want  string
	}{
		"refused under load": {
			[]string{endedLine("r", "notRun", "503", "0 arrived; 1 refused (attempt 0: busy); 3 refused (attempt 1: slower); 3 noTargetLeft")},
			`no further target was worth trying; refusals by gates: 2, the last as "slower"`,
		},
		"crashed": {
			[]string{
				`12.5 a {"time":"2026-12-04T05:00:00Z","msg":"upstream failed","request":"r","error":"connection reset"}`,
				endedLine("r", "unknown", "502", "0 arrived; 9 lost (attempt 0, crashed true, unsent false)"),
			},
			"the target crashed while the request ran; the gate reported connection reset",
		},
		"a call of the target failed": {
			[]string{endedLine("r", "run", "500", "9 failing (attempt 0)"), endedLine("r.1", "notRun", "503", "1 refused (attempt 0: late); 1 noTargetLeft")},
			"The target responded with 500 after a call that it made ended with 503",
		},
		"refused by cold targets": {
			[]string{endedLine("r", "notRun", "503", "0 arrived; 0 considered 2, t0: running 2 of 9, queued 1, slowness 1.00, cold, next in 83ms, failing 0.00, age 5ms; 1 refused (attempt 0: busy); 1 noTargetLeft")},
			`the last as "busy"; a target was cold and took only its warm-up rate`,
		},
		"refused because of the use of the workspace": {
			[]string{endedLine("r", "notRun", "503", "0 arrived; 1 refused (attempt 0: queueFull, displaced, workspace uses 3.1 times its share); 1 noTargetLeft")},
			`the last as "queueFull, displaced, workspace uses 3.1 times its share"`,
		},
		"received by a daemon that had withdrawn": {
			[]string{endedLine("r", "unknown", "504", "0 arrived (withdrawn from callers: timers have fired late by a mean of 60ms for 1s, and 1 of 12 daemons of the data centre are slow); 90 deadlinePassed")},
			"the route's timeout or the caller's deadline passed; the daemon that received it was slow itself and had withdrawn from callers",
		},
		"other targets evacuated": {
			[]string{endedLine("r", "notRun", "503", "1 refused (attempt 0: evacuated); 1 excluded (1 tried: t0, 3 evacuated: t1 t2 t3); 1 noTargetLeft")},
			`the last as "evacuated"; targets were in evacuated data centres`,
		},
		"all evacuated": {[]string{refusedLine("r", "503", "evacuated")}, "the data centres of all targets were evacuated"},
		"no route":      {[]string{refusedLine("r", "404", "unknownRoute")}, "no route of the table in force matched"},
		"unknown key": {
			[]string{strings.Replace(refusedLine("r", "401", "unknownKey"), `"steps"`, `"reason":"the request has no API key, version 7","steps"`, 1)},
			`no API key of the table in force; see the lines "API keys changed": the request has no API key, version 7`,
		},
		"no common region": {[]string{refusedLine("r", "503", "noAllowedRegion")}, "the route and the workspace allow no common region"},
		"no capacity in the allowed regions": {
			[]string{strings.Replace(endedLine("r", "notRun", "503", "1 refused (attempt 0: busy); 3 noTargetLeft"), `"steps"`, `"regions":"north","steps"`, 1)},
			`the last as "busy"; only these regions are allowed: north`,
		},
		"no configuration": {[]string{refusedLine("r", "503", "notReady")}, "the daemon had no configuration yet"},
		"suspect":          {[]string{refusedLine("r", "503", "crashSuspect")}, "targets have crashed on requests like it"},
		"end not logged":   {[]string{`{"msg":"upstream failed","request":"r"}`}, "the daemon that received it may have been killed"},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := runExplainLog(t, "r", test.lines...)
			is := is.New(t)
			is.NoErr(err)
			is.True(strings.Contains(text, test.want))
		})
	}
	t.Run("no line about the request", func(t *testing.T) {
		_, err := runExplainLog(t, "other", endedLine("r", "run", "500", ""), "not a line")
		is.New(t).True(err != nil)
	})
}
