// Package check validates a configuration before it is sent to the platform: the route
// table that operators write, in ibislift's own encoding or another Format.
//
// It reports errors with the path of the field, entries that can never match, limits that
// contradict each other, and what differs from the configuration in force. It is stricter
// than a daemon, which accepts what it can use. An API key appears in no result.
//
// A Finding has a stable code for scripts. An error is something that a daemon rejects, or
// that cannot be intended. A warning is something that a daemon accepts and that is
// unlikely to be intended.
//
// # Usage
//
//	report := check.Run(text, check.Options{Formats: []check.Format{platform.ConfigFormat{}}})
//	_ = report.WriteText(os.Stdout)
//	if report.Errors() > 0 {
//		// A daemon would reject the configuration, or serve requests wrongly.
//	}
package check

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ibislift/core/routes"
)

// Severity orders findings by importance.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is something that is wrong, or probably wrong, with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the path of the field in the file, such as routes[3].timeout. It is empty
	// for a finding about the whole file.
	Path string `json:"path"`
	// Code names the kind of the finding. It does not change between versions.
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Differences are what differs from the configuration in force, if one was given.
	Differences []Difference `json:"differences"`
}

// Targets describes targets that a service has in a region.
type Targets struct {
	Service string
	Region  string
	Count   int
	// Slots is the number of requests that each target runs at once.
	Slots int
}

// Options says what is known besides the configuration. All fields are optional.
type Options struct {
	// Formats are encodings besides ibislift's own, which is tried last.
	Formats []Format
	// InForce is the configuration in force. It may have another format.
	InForce []byte
	// Regions are the names of all regions.
	Regions []string
	// Targets are the targets of services. A service that is not listed is not checked
	// against them.
	Targets []Targets
	// ServiceTimes holds how long a request to a service usually occupies a slot.
	ServiceTimes map[string]time.Duration
}

// Format is an encoding of configurations.
type Format interface {
	// Matches reports whether a file seems to have the format.
	Matches(root Value) bool
	// Read reads a configuration and reports fields that it cannot read.
	Read(root Value) Configuration
	// Decode converts a file to ibislift's own encoding, as a daemon does.
	Decode(text []byte) ([]byte, error)
}

// Run checks a configuration.
func Run(text []byte, options Options) Report {
	config, findings := readConfiguration(text, options.Formats)
	report := Report{Findings: findings, Differences: []Difference{}}
	if config != nil {
		checker := &checker{Configuration: config, options: options, findings: findings}
		checker.checkFields()
		checker.checkMatches()
		checker.checkLimits()
		if options.InForce != nil {
			report.Differences = checker.compareWithInForce()
		}
		report.Findings = checker.findings
	}
	if report.Errors() == 0 {
		report.Findings = append(report.Findings, rejection(text, config.format)...)
	}
	report.Findings = tidy(report.Findings)
	return report
}

// checker collects the findings about a configuration.
type checker struct {
	*Configuration
	options  Options
	findings []Finding
}

func (checker *checker) fail(path, code, format string, arguments ...any) {
	checker.findings = append(checker.findings, Finding{SeverityError, path, code, fmt.Sprintf(format, arguments...)})
}

func (checker *checker) warn(path, code, format string, arguments ...any) {
	checker.findings = append(checker.findings, Finding{SeverityWarning, path, code, fmt.Sprintf(format, arguments...)})
}

// readConfiguration reads a configuration in the first format that matches. It returns
// nil if the text is not JSON.
func readConfiguration(text []byte, formats []Format) (*Configuration, []Finding) {
	reader := &reader{given: map[string]bool{}}
	node, err := parse(text)
	if err != nil {
		return nil, []Finding{{SeverityError, "", CodeUnreadable, syntaxMessage(text, err)}}
	}
	root := Value{node: node, reader: reader}
	for _, format := range append(slices.Clone(formats), ownFormat{}) {
		if format.Matches(root) {
			config := format.Read(root)
			config.format = format
			config.given = reader.given
			return &config, reader.findings
		}
	}
	return nil, []Finding{{SeverityError, "", CodeWrongType, "the file holds no object"}}
}

// syntaxMessage describes a syntax error with its line and column.
func syntaxMessage(text []byte, err error) string {
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return err.Error()
	}
	before := string(text[:min(int(syntaxError.Offset), len(text))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n") - 1
	return fmt.Sprintf("line %d, column %d: %v", line, column, err)
}

// rejection decodes a configuration as a daemon does. A failure that no other check has
// found is reported without a path.
func rejection(text []byte, format Format) []Finding {
	body, err := format.Decode(text)
	if err == nil {
		_, err = routes.Parse(body)
	}
	if err == nil {
		return nil
	}
	return []Finding{{SeverityError, "", CodeRejected, "a daemon rejects the configuration: " + err.Error()}}
}

// Errors returns the number of errors.
func (report Report) Errors() int { return report.count(SeverityError) }

// Warnings returns the number of warnings.
func (report Report) Warnings() int { return report.count(SeverityWarning) }

func (report Report) count(severity Severity) int {
	count := 0
	for _, finding := range report.Findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// tidy sorts findings: errors first, and then by path. A value that could not be read, and
// the fields in it, have no other findings, which would be about what stands in for it.
func tidy(findings []Finding) []Finding {
	unread := map[string]bool{}
	for _, finding := range findings {
		if finding.Code == CodeWrongType {
			unread[finding.Path] = true
		}
	}
	tidied := []Finding{}
	for _, finding := range findings {
		if finding.Code == CodeWrongType || !isIn(unread, finding.Path) {
			tidied = append(tidied, finding)
		}
	}
	slices.SortStableFunc(tidied, compareFindings)
	return slices.Compact(tidied)
}

// isIn reports whether a path, or that of a value around it, is in a set.
func isIn(paths map[string]bool, path string) bool {
	for end := range path {
		if (path[end] == '.' || path[end] == '[') && paths[path[:end]] {
			return true
		}
	}
	return paths[path]
}
