package check_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/check"
	"ibislift/core/routes"
)

// mutate replaces some parts of a text by others.
func mutate(t *rapid.T, text string, parts []string) string {
	for range rapid.IntRange(0, 4).Draw(t, "mutations") {
		before := rapid.SampledFrom(parts).Draw(t, "before")
		after := rapid.SampledFrom(parts).Draw(t, "after")
		text = strings.Replace(text, before, after, rapid.IntRange(1, 2).Draw(t, "count"))
	}
	return text
}

// parts are parts of the sound configuration, and others that may stand in their place.
var parts = []string{
	`"version":7`, `"version":0`, `"version":-1`, `"version":9007199254740993`, `"Version":7`, `"routes"`, `"services"`, `"limits"`, `"workspaces"`,
	`"name"`, `"host"`, `"prefix"`, `"Prefix"`, `"keys"`, `"KEYS"`, `"rank"`, `"rate"`, `"regions"`, `"parts"`, `"weight"`, `"r-1"`, `"a.example"`, `"/p/"`,
	`""`, `null`, `true`, `[]`, `{}`, `[null]`, `0`, `90`, `10`, `-1`, `1e3`, `1.5`, `1e400`, `500000000`, `["KEY1"]`, `["KEY1","KEY1"]`, `["KEY1",""]`, `["east","west"]`, `,`, `:`, `}`, `"\ud800"`,
}

// A configuration without errors must be one that daemons take, and one that they reject
// must be reported with the path of the field.
func TestErrorsAreThoseOfADaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := digests(mutate(t, sound, parts))
		report := check.Run([]byte(text), check.Options{InForce: []byte(digests(sound))})
		_, err := routes.Parse([]byte(text))
		if err == nil {
			return
		}
		is := is.New(t)
		is.True(report.Errors() > 0)
		for _, finding := range report.Findings {
			is.True(finding.Code != check.CodeRejected) // a check for it is missing
		}
	})
}

func TestCheckNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		check.Run(text, check.Options{InForce: []byte(sound)})
		check.Run([]byte(sound), check.Options{InForce: text})
	})
}

// A key that stands where a digest belongs must not appear in what is printed.
func TestKeysAreNotPrinted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secret := strings.Replace(sound, "KEY1", "the-secret", 1)
		text := mutate(t, secret, append(slices.Clone(parts), `"keys":["the-secret"],"keys"`))
		if !strings.Contains(text, `"keys":`) {
			return
		}
		var written strings.Builder
		report := check.Run([]byte(text), check.Options{InForce: []byte(secret)})
		is := is.New(t)
		is.NoErr(report.WriteText(&written))
		is.True(!strings.Contains(written.String(), "the-secret"))
	})
}
