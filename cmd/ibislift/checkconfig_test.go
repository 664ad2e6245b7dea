package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const soundTable = `{"version":2,"services":{"one":{}},"routes":[{"name":"a","host":"h","prefix":"/","parts":[{"service":"one","weight":1}]}]}`

// runCheckConfig checks a text and returns what is printed and the exit code. The text in
// force may be empty.
func runCheckConfig(t *testing.T, text, inForce string, configCheck configCheck) (string, int) {
	t.Helper()
	is := is.New(t)
	directory := t.TempDir()
	configCheck.file = filepath.Join(directory, "new.json")
	is.NoErr(os.WriteFile(configCheck.file, []byte(text), 0o600))
	if inForce != "" {
		configCheck.inForce = filepath.Join(directory, "old.json")
		is.NoErr(os.WriteFile(configCheck.inForce, []byte(inForce), 0o600))
	}
	var written strings.Builder
	if err := configCheck.run(&written); err != nil {
		return written.String(), exitCode(err)
	}
	return written.String(), 0
}

// readTestFile returns the content of a file.
func readTestFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	return string(content)
}

// A deployment script goes on or stops by the exit code.
func TestExitCodesOfCheckConfig(t *testing.T) {
	for name, test := range map[string]struct {
		text, inForce string
		code          int
	}{
		"no findings":                      {soundTable, "", 0},
		"only differences":                 {soundTable, strings.Replace(soundTable, `"version":2`, `"version":1`, 1), 0},
		"a warning":                        {strings.Replace(soundTable, `"one":{}`, ``, 1), "", exitCheckWarnings},
		"an error":                         {strings.Replace(soundTable, `"host":"h",`, ``, 1), "", exitCheckErrors},
		"an error and a warning":           {strings.NewReplacer(`"host":"h",`, ``, `"one":{}`, ``).Replace(soundTable), "", exitCheckErrors},
		"a text that is not JSON":          {"version: 2", "", exitCheckErrors},
		"the platform's form":              {readTestFile(t, "../../platform/testdata/incompleteRoute.json"), "", exitCheckErrors},
		"a version that is not newer":      {strings.Replace(soundTable, `"h"`, `"i"`, 1), soundTable, exitCheckErrors},
		"one in force that cannot be read": {soundTable, "version: 1", exitCheckErrors},
	} {
		t.Run(name, func(t *testing.T) {
			_, code := runCheckConfig(t, test.text, test.inForce, configCheck{})
			is.New(t).Equal(code, test.code)
		})
	}
	t.Run("a file that does not exist", func(t *testing.T) {
		missing := configCheck{file: filepath.Join(t.TempDir(), "none")}
		is.New(t).Equal(exitCode(missing.run(&strings.Builder{})), exitCheckUnreadable)
	})
	t.Run("one in force that does not exist", func(t *testing.T) {
		_, code := runCheckConfig(t, soundTable, "", configCheck{inForce: filepath.Join(t.TempDir(), "none")})
		is.New(t).Equal(code, exitCheckUnreadable)
	})
}

func TestArgumentsOfCheckConfig(t *testing.T) {
	t.Run("regions and targets", func(t *testing.T) {
		table := strings.Replace(soundTable, `"host"`, `"regions":["east","west"],"host"`, 1)
		arguments := configCheck{regions: []string{"east,west"}, targets: []string{"one=east:2:9"}}
		written, code := runCheckConfig(t, table, "", arguments)
		is := is.New(t)
		is.Equal(code, exitCheckWarnings)
		is.Equal(written, "warning routes[0].regions[1]: service \"one\" has no targets in region \"west\" (regionWithoutTargets)\n")
	})
	t.Run("service times", func(t *testing.T) {
		table := strings.Replace(soundTable, `"services"`, `"workspaces":[{"name":"w","keys":["AAAAAAAAAAAAAAAAAAAAAA"],"rate":100,"burst":1}],"services"`, 1)
		arguments := configCheck{targets: []string{"one=east:2:9"}, times: []string{"one=200ms"}, isJSON: true}
		written, code := runCheckConfig(t, table, "", arguments)
		is := is.New(t)
		is.Equal(code, exitCheckWarnings)
		is.True(strings.Contains(written, `"code": "quotaAboveCapacity"`))
	})
	for name, arguments := range map[string]configCheck{
		"targets without slots":     {targets: []string{"one=east:2"}},
		"targets without a service": {targets: []string{"=east:2:9"}},
		"a negative count":          {targets: []string{"one=east:-2:9"}},
		"a time without a unit":     {times: []string{"one=200"}},
		"a time of 0":               {times: []string{"one=0s"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, code := runCheckConfig(t, soundTable, "", arguments)
			is.New(t).Equal(code, exitUsage)
		})
	}
}
