package check_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/check"
	"ibislift/core/routes"
)

// sound is a configuration without findings.
const sound = `{"version":7,
"routes":[{"name":"r-1","host":"a.example","prefix":"/p/","repeatable":true,"timeout":1500000000,"objective":500000000,"rank":1,"maxAttempts":2,
"parts":[{"service":"one","weight":90},{"service":"two","weight":10}],"regions":["east","west"]}],
"services":{"one":{"healthPath":"/health","maxConnections":260,"warmupRate":12,"warmupTime":3000000000},"two":{"healthPath":"/health"}},
"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerTime":3000000000,"idleTime":15000000000},
"workspaces":[{"name":"w-1","keys":["KEY1"],"rank":0,"rate":20,"burst":5,"regions":["east"]}]}`

// digests replaces KEY1 and KEY2 by the digests of keys.
func digests(text string) string {
	for _, key := range []string{"KEY1", "KEY2"} {
		digest, _ := routes.DigestKey(key).MarshalText()
		text = strings.ReplaceAll(text, key, string(digest))
	}
	return text
}

// change returns the sound configuration with replacements, which come in pairs.
func change(t *testing.T, replacements ...string) string {
	t.Helper()
	text := sound
	for index := 0; index < len(replacements); index += 2 {
		if !strings.Contains(text, replacements[index]) {
			t.Fatalf("%q is not in the configuration", replacements[index])
		}
		text = strings.Replace(text, replacements[index], replacements[index+1], 1)
	}
	return digests(text)
}

// checkFindings checks the severities, paths and codes of what is found in a configuration.
func checkFindings(t *testing.T, text string, options check.Options, want ...string) check.Report {
	t.Helper()
	report := check.Run([]byte(text), options)
	got := []string{}
	for _, finding := range report.Findings {
		got = append(got, strings.TrimSpace(string(finding.Severity)+" "+finding.Path)+" "+finding.Code)
	}
	is.New(t).Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
	return report
}

// findingCase is a change of the sound configuration and what is found then.
type findingCase struct {
	replacements []string
	want         []string
}

func checkCases(t *testing.T, options check.Options, cases map[string]findingCase) {
	t.Helper()
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { checkFindings(t, change(t, test.replacements...), options, test.want...) })
	}
}

func TestSoundConfiguration(t *testing.T) {
	checkFindings(t, digests(sound), check.Options{})
}

func TestUnreadableFiles(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "cut": `{"version":7`, "not JSON": "version=7", "two values": "{} {}", "nested without end": strings.Repeat("[", 20_000)} {
		t.Run(name, func(t *testing.T) { checkFindings(t, text, check.Options{}, "error unreadable") })
	}
	for name, text := range map[string]string{"a list": "[]", "a text": `"x"`, "null": "null"} {
		t.Run(name, func(t *testing.T) { checkFindings(t, text, check.Options{}, "error wrongType") })
	}
	t.Run("the message has the line and the column", func(t *testing.T) {
		report := check.Run([]byte("{\"version\":7,\n \"routes\":x}"), check.Options{})
		is.New(t).True(strings.HasPrefix(report.Findings[0].Message, "line 2, column 11: "))
	})
}

// A daemon rejects each of these, or would do what cannot be meant.
func TestErrors(t *testing.T) {
	checkCases(t, check.Options{}, map[string]findingCase{
		"no version":          {[]string{`"version":7,`, ``}, []string{"error version versionMissing"}},
		"version 0":           {[]string{`"version":7`, `"version":0`}, []string{"error version versionMissing"}},
		"a version too high":  {[]string{`"version":7`, `"version":4503599627370496`}, []string{"error version versionTooHigh"}},
		"a version as text":   {[]string{`"version":7`, `"version":"7"`}, []string{"error version wrongType"}},
		"a fraction":          {[]string{`"version":7`, `"version":7.0`}, []string{"error version wrongType"}},
		"a rank as text":      {[]string{`"rank":1`, `"rank":"high"`}, []string{"error routes[0].rank wrongType"}},
		"a time as text":      {[]string{`1500000000`, `"1.5s"`}, []string{"error routes[0].timeout wrongType"}},
		"a list as an object": {[]string{`["east","west"]`, `{}`}, []string{"error routes[0].regions wrongType"}},
		"a region as number":  {[]string{`["east","west"]`, `["east",3]`}, []string{"error routes[0].regions[1] wrongType"}},
		"a route as text":     {[]string{`"routes":[`, `"routes":["r",`}, []string{"error routes[0] wrongType"}},
		"a number too high":   {[]string{`"rate":20`, `"rate":1e400`}, []string{"error workspaces[0].rate wrongType", "warning workspaces[0].burst burstWithoutRate"}},
		"other letters":       {[]string{`"prefix":"/p/"`, `"prefix":"/p/","Host":"b"`}, []string{"error routes[0].host fieldCase"}},
		"a field twice":       {[]string{`"prefix":"/p/"`, `"prefix":"/p/","prefix":"/q/"`}, []string{"error routes[0].prefix duplicateField"}},
		"no host":             {[]string{`"host":"a.example",`, ``}, []string{"error routes[0].host hostMissing"}},
		"no slash before":     {[]string{`/p/`, `p/`}, []string{"error routes[0].prefix prefixStart"}},
		"no slash behind":     {[]string{`/p/`, `/p`}, []string{"error routes[0].prefix prefixEnd"}},
		"no destinations":     {[]string{`[{"service":"one","weight":90},{"service":"two","weight":10}]`, `[]`}, []string{"error routes[0].parts destinationsMissing", `warning services["one"] serviceUnused`, `warning services["two"] serviceUnused`}},
		"weights of 0": {[]string{`90`, `0`, `"weight":10`, `"weight":0`}, []string{
			"error routes[0].parts weightsNotPositive",
			"warning routes[0].parts[0].weight destinationWeightZero", "warning routes[0].parts[1].weight destinationWeightZero",
		}},
		"a negative weight":       {[]string{`90`, `-1`}, []string{"error routes[0].parts[0].weight negativeNumber"}},
		"no service":              {[]string{`"service":"one"`, `"service":""`}, []string{"error routes[0].parts[0].service serviceMissing", `warning services["one"] serviceUnused`}},
		"negative attempts":       {[]string{`"maxAttempts":2`, `"maxAttempts":-1`}, []string{"error routes[0].maxAttempts negativeNumber"}},
		"a negative limit":        {[]string{`67108864`, `-1`}, []string{"error limits.bodyBytes negativeNumber"}},
		"a negative rate":         {[]string{`"rate":20`, `"rate":-1`}, []string{"error workspaces[0].rate negativeNumber"}},
		"a negative warm-up":      {[]string{`"warmupRate":12`, `"warmupRate":-1`}, []string{`error services["one"].warmupRate negativeNumber`}},
		"a route twice":           {[]string{`"routes":[`, `"routes":[{"name":"r-1","host":"b","prefix":"/","parts":[{"service":"one","weight":1}]},`}, []string{"error routes[1].name nameDuplicate"}},
		"a service twice":         {[]string{`"two":{`, `"one":{`}, []string{`error services["one"] nameDuplicate`, "warning routes[0].parts[1].service serviceWithoutEntry"}},
		"a workspace twice":       {[]string{`"workspaces":[`, `"workspaces":[{"name":"w-1","keys":["KEY2"]},`}, []string{"error workspaces[1].name nameDuplicate"}},
		"a workspace, no name":    {[]string{`"name":"w-1",`, ``}, []string{"error workspaces[0].name nameMissing"}},
		"a key twice":             {[]string{`["KEY1"]`, `["KEY2","KEY1","KEY2"]`}, []string{"error workspaces[0].keys[2] keyTwice"}},
		"a key of two workspaces": {[]string{`"workspaces":[`, `"workspaces":[{"name":"w-0","keys":["KEY2","KEY1"]},`}, []string{"error workspaces[1].keys[0] keyOfTwoWorkspaces"}},
		"no digest":               {[]string{`["KEY1"]`, `["a-secret"]`}, []string{"error workspaces[0].keys[0] wrongType", "warning workspaces[0].keys keysMissing"}},
		"a null digest":           {[]string{`["KEY1"]`, `["KEY1",null]`}, []string{"error workspaces[0].keys[1] wrongType"}},
	})
}

func TestEntriesThatNeverMatch(t *testing.T) {
	second := `"routes":[{"name":"r-2","host":"A.example","prefix":"/p/","parts":[{"service":"one","weight":1}]},`
	targets := []check.Targets{{Service: "one", Region: "east", Count: 2, Slots: 9}, {Service: "one", Region: "west", Count: 0, Slots: 9}}
	checkCases(t, check.Options{Regions: []string{"east", "west"}, Targets: targets}, map[string]findingCase{
		"a region without targets of one of two services": {nil, []string{"warning routes[0].regions[1] regionWithoutTargets"}},
		"a route without targets":                         {[]string{`["east","west"]`, `["west"]`, `"regions":["east"]`, `"regions":[]`}, []string{"warning routes[0].regions routeUnreachable", "warning routes[0].regions[0] regionWithoutTargets"}},
		"all regions":                                     {[]string{`,"regions":["east","west"]`, ``}, nil},
		"a region that does not exist":                    {[]string{`["east","west"]`, `["east","esat"]`}, []string{"warning routes[0].regions[1] regionUnknown", "warning routes[0].regions[1] regionWithoutTargets"}},
		"a workspace in a region without targets": {[]string{`,"regions":["east","west"]`, ``, `"regions":["east"]`, `"regions":["east","west"]`}, []string{
			"warning workspaces[0].regions[1] regionWithoutTargets",
		}},
	})
	checkCases(t, check.Options{}, map[string]findingCase{
		"the same host and prefix": {[]string{`"routes":[`, second}, []string{"warning routes[1].prefix routeShadowed"}},
		"the same host only":       {[]string{`"routes":[`, strings.Replace(second, "/p/", "/p/q/", 1)}, nil},
		"a host with a port":       {[]string{`"a.example"`, `"a.example:80"`}, []string{"warning routes[0].host hostNeverMatches"}},
		"a pattern":                {[]string{`"a.example"`, `"*.example"`}, []string{"warning routes[0].host hostNeverMatches"}},
		"a weight of 0":            {[]string{`"weight":10`, `"weight":0`}, []string{"warning routes[0].parts[1].weight destinationWeightZero"}},
		"no entry":                 {[]string{`,"two":{"healthPath":"/health"}`, ``}, []string{"warning routes[0].parts[1].service serviceWithoutEntry"}},
		"a service without routes": {[]string{`"two":{`, `"three":{},"two":{`}, []string{`warning services["three"] serviceUnused`}},
		"no key":                   {[]string{`["KEY1"]`, `[]`}, []string{"warning workspaces[0].keys keysMissing"}},
		"a route without a name":   {[]string{`"name":"r-1",`, ``}, []string{"warning routes[0].name nameMissing"}},
		"a field that is ignored":  {[]string{`"maxAttempts"`, `"max_attempts"`}, []string{"warning routes[0].maxAttempts fieldSpelling"}},
		"a field of another kind":  {[]string{`"maxAttempts"`, `"protocol":"h1","maxAttempts"`}, nil},
	})
	t.Run("no routes", func(t *testing.T) { checkFindings(t, `{"version":1}`, check.Options{}, "warning noRoutes") })
}

func TestLimitsThatContradictEachOther(t *testing.T) {
	checkCases(t, check.Options{}, map[string]findingCase{
		"a timeout below the objective": {[]string{`1500000000`, `400000000`}, []string{"warning routes[0].timeout timeoutBelowObjective"}},
		"no timeout":                    {[]string{`1500000000`, `0`}, nil},
		"0 attempts":                    {[]string{`"maxAttempts":2`, `"maxAttempts":0`}, []string{"warning routes[0].maxAttempts attemptsBelowOne"}},
		"the default of attempts":       {[]string{`"maxAttempts":2,`, ``}, nil},
		"a body limit of 0":             {[]string{`67108864`, `0`}, []string{"warning limits.bodyBytes limitZero"}},
		"no body limit":                 {[]string{`"bodyBytes":67108864,`, ``}, nil},
		"a burst below 1":               {[]string{`"burst":5`, `"burst":0.5`}, []string{"warning workspaces[0].burst burstBelowOne"}},
		"no burst":                      {[]string{`"burst":5,`, ``}, []string{"warning workspaces[0].burst burstBelowOne"}},
		"a burst without a rate":        {[]string{`"rate":20,`, ``}, []string{"warning workspaces[0].burst burstWithoutRate"}},
		"no common region":              {[]string{`"regions":["east"]`, `"regions":["north"]`}, []string{"warning workspaces[0].regions regionsDisjoint"}},
		"a route without a workspace":   {[]string{`"regions":["east"]`, `"regions":["north"]`, `"rank":1`, `"rank":1,"anonymous":true`}, nil},
		"a warm-up rate without a time": {[]string{`,"warmupTime":3000000000`, ``}, []string{`warning services["one"] warmupIncomplete`}},
	})
	// Four slots of 250 ms serve 16 requests a second in the east, and as many in the west.
	options := check.Options{
		Targets:      []check.Targets{{Service: "one", Region: "east", Count: 2, Slots: 2}, {Service: "two", Region: "west", Count: 1, Slots: 4}, {Service: "two", Region: "east"}, {Service: "one", Region: "west", Count: 1}},
		ServiceTimes: map[string]time.Duration{"one": 250 * time.Millisecond, "two": 250 * time.Millisecond},
	}
	east := []string{`["east","west"]`, `["east","west"]`}
	reachable := []string{"warning routes[0].regions[0] regionWithoutTargets"}
	checkCases(t, options, map[string]findingCase{
		"a quota above the slots of its regions": {east, append([]string{reachable[0]}, "warning workspaces[0].rate quotaAboveCapacity")},
		"a quota within them":                    {[]string{`"rate":20`, `"rate":16`}, reachable},
		"quotas above all slots": {[]string{`"rate":20`, `"rate":16`, `"workspaces":[`, `"workspaces":[{"name":"w-0","keys":["KEY2"],"rate":17,"burst":1},`}, []string{
			"warning quotasAboveCapacity", reachable[0],
		}},
	})
	t.Run("a service time that is not known", func(t *testing.T) {
		options.ServiceTimes = map[string]time.Duration{"one": time.Second}
		checkFindings(t, digests(sound), options, reachable...)
	})
}

// checkDifferences checks what differs between two configurations, as text.
func checkDifferences(t *testing.T, before, after string, want ...string) {
	t.Helper()
	report := check.Run([]byte(after), check.Options{InForce: []byte(before)})
	var got []string
	for _, difference := range report.Differences {
		got = append(got, difference.String())
	}
	is.New(t).Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}

func TestDifferences(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		checkDifferences(t, digests(sound), digests(sound))
		checkFindings(t, digests(sound), check.Options{InForce: []byte(digests(sound))})
	})
	t.Run("the order of entries and spaces do not count", func(t *testing.T) {
		checkDifferences(t, digests(sound), change(t, `["east","west"]`, `[ "west", "east" ]`, `{"service":"one","weight":90},{"service":"two","weight":10}`, `{"service":"two","weight":10},{"service":"one","weight":90}`))
	})
	t.Run("fields", func(t *testing.T) {
		after := change(t, `"version":7`, `"version":8`, `/p/`, `/q/`, `1500000000`, `2000000000`, `"weight":10`, `"weight":20`, `"rank":0,`, ``,
			`"burst":5`, `"burst":6`, `260`, `300`, `67108864`, `1000`, `"regions":["east"]`, `"regions":[]`)
		checkDifferences(
			t, digests(sound), after, `changed version 7 -> 8`, `changed limits: maxBodyBytes 67108864 -> 1000`, `changed route "r-1": prefix /p/ -> /q/`,
			`changed route "r-1": timeout 1.5s -> 2s`, `changed route "r-1": destinations one 90, two 10 -> one 90, two 20`,
			`changed service "one": maxConnections 260 -> 300`, `changed workspace "w-1": rank 0 -> none`, `changed workspace "w-1": burst 5 -> 6`, `changed workspace "w-1": regions east -> all`,
		)
	})
	t.Run("entries and keys", func(t *testing.T) {
		after := change(t, `"version":7`, `"version":8`, `"r-1"`, `"r-2"`, `"two":{`, `"three":{`, `["KEY1"]`, `["KEY2"]`, `"workspaces":[`, `"workspaces":[{"name":"w-10"},{"name":"w-9"},`)
		checkDifferences(
			t, digests(sound), after, `changed version 7 -> 8`, `removed route "r-1"`, `added route "r-2"`, `added service "three"`, `removed service "two"`,
			`changed workspace "w-1": keys 1 removed, 1 added`, `added workspace "w-9"`, `added workspace "w-10"`,
		)
	})
	t.Run("a version that is not newer", func(t *testing.T) {
		checkFindings(t, change(t, `/p/`, `/q/`), check.Options{InForce: []byte(digests(sound))}, "error version versionNotNewer")
		checkFindings(t, change(t, `"version":7`, `"version":6`), check.Options{InForce: []byte(digests(sound))}, "error version versionNotNewer")
		checkFindings(t, change(t, `"version":7`, `"version":8`), check.Options{InForce: []byte(digests(sound))})
	})
	t.Run("one in force that is not JSON", func(t *testing.T) {
		checkFindings(t, digests(sound), check.Options{InForce: []byte("x")}, "error inForceUnreadable")
	})
}

// Scripts read the report, so its form does not change.
func TestReportForms(t *testing.T) {
	text := change(t, `"host":"a.example",`, ``, `1500000000`, `400000000`)
	report := check.Run([]byte(text), check.Options{InForce: []byte(digests(sound))})
	t.Run("text", func(t *testing.T) {
		is := is.New(t)
		var written strings.Builder
		is.NoErr(report.WriteText(&written))
		is.Equal(written.String(), `error routes[0].host: route "r-1" has no host (hostMissing)
error version: version 7 is not above version 7, which is in force (versionNotNewer)
warning routes[0].timeout: the timeout of 400ms ends requests before their objective of 500ms (timeoutBelowObjective)
changed route "r-1": host a.example -> ""
changed route "r-1": timeout 1.5s -> 400ms
`)
	})
	t.Run("JSON", func(t *testing.T) {
		is := is.New(t)
		var written strings.Builder
		is.NoErr(report.WriteJSON(&written))
		var decoded check.Report
		is.NoErr(json.Unmarshal([]byte(written.String()), &decoded))
		is.Equal(decoded, report)
		is.True(strings.Contains(written.String(), `"code": "hostMissing"`))
	})
	t.Run("JSON without findings has empty lists", func(t *testing.T) {
		var written strings.Builder
		is := is.New(t)
		is.NoErr(check.Run([]byte(digests(sound)), check.Options{}).WriteJSON(&written))
		is.Equal(written.String(), "{\n  \"findings\": [],\n  \"differences\": []\n}\n")
	})
	t.Run("numbers in paths follow their value", func(t *testing.T) {
		var routes strings.Builder
		var want []string
		for index := range 12 {
			routes.WriteString(`{"host":"h` + string(rune('a'+index)) + `","prefix":"/","parts":[{"service":"one","weight":1}]},`)
			want = append(want, "warning routes["+strings.Repeat("1", index/10)+string(rune('0'+index%10))+"].name nameMissing")
		}
		checkFindings(t, `{"version":1,"services":{"one":{}},"routes":[`+strings.TrimSuffix(routes.String(), ",")+`]}`, check.Options{}, want...)
	})
}
