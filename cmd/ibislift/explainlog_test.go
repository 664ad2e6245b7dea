package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// explained is what explainLog prints of a log file.
func explained(t *testing.T, request string, lines ...string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	is.New(t).NoErr(os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
	var out strings.Builder
	err := explainLog(path, request, &out)
	return out.String(), err
}

// refusedEarly is the end of a request that no target was chosen for.
func refusedEarly(request, status, problem string) string {
	return `{"time":"2026-12-04T05:00:01Z","msg":"request ended","instance":"a","request":"` + request + `","status":` + status +
		`,"outcome":"notRun","problem":"` + problem + `","steps":""}`
}

func ended(request, outcome, status, steps string) string {
	return `{"time":"2026-12-04T05:00:01Z","msg":"request ended","instance":"a","request":"` + request + `","status":` + status +
		`,"outcome":"` + outcome + `","took":5000000,"steps":"` + steps + `"}`
}

func TestExplainLog(t *testing.T) {
	for name, test := range map[string]struct {
		lines []string
		want  string
	}{
		"refused under load": {
			[]string{ended("r", "notRun", "503", "0 arrived; 1 refused (attempt 0: busy); 3 refused (attempt 1: slower); 3 noTargetLeft")},
			`no further target was worth asking; 2 gates refused it, the last as "slower"`,
		},
		"crashed": {
			[]string{
				`12.5 a {"time":"2026-12-04T05:00:00Z","msg":"upstream failed","request":"r","error":"connection reset"}`,
				ended("r", "unknown", "502", "0 arrived; 9 lost (attempt 0, crashed true, unsent false)"),
			},
			"the target crashed while it ran; the gate saw connection reset",
		},
		"a call of the run failed": {
			[]string{ended("r", "run", "500", "9 failing (attempt 0)"), ended("r.1", "notRun", "503", "1 refused (attempt 0: late); 1 noTargetLeft")},
			"The target answered 500 after a call of its run ended with 503",
		},
		"no route":   {[]string{refusedEarly("r", "404", "unknownRoute")}, "no route of the table in force matched"},
		"no table":   {[]string{refusedEarly("r", "503", "notReady")}, "the daemon had no configuration yet"},
		"suspect":    {[]string{refusedEarly("r", "503", "crashSuspect")}, "targets have crashed on requests like it"},
		"not logged": {[]string{`{"msg":"upstream failed","request":"r"}`}, "its entry may have been killed"},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := explained(t, "r", test.lines...)
			is := is.New(t)
			is.NoErr(err)
			is.True(strings.Contains(text, test.want))
		})
	}
	t.Run("nothing about it", func(t *testing.T) {
		_, err := explained(t, "other", ended("r", "run", "500", ""), "not a line")
		is.New(t).True(err != nil)
	})
}
