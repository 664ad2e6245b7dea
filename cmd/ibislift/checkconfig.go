package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/core/check"
	"ibislift/platform"
)

// The exit codes of check-config besides 0, which means that there is no finding. They
// differ from those of the other commands.
const (
	exitCheckWarnings   = 1
	exitCheckErrors     = 2
	exitCheckUnreadable = 3
)

// configCheck holds the arguments of check-config.
type configCheck struct {
	file    string
	inForce string
	isJSON  bool
	regions []string
	targets []string
	times   []string
}

// registerCheckConfig adds the command that checks a configuration before it is sent.
func registerCheckConfig(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("check-config", "Check a configuration before it is sent. Exit codes: 0 no findings, 1 warnings, 2 errors, 3 a file cannot be read.")
	configCheck := &configCheck{}
	command.Arg("file", "File with the route table, as JSON in ibislift's or the platform's form.").Required().StringVar(&configCheck.file)
	command.Flag("against", "File with the configuration in force: show what differs, and require a newer version.").StringVar(&configCheck.inForce)
	command.Flag("json", "Print JSON.").BoolVar(&configCheck.isJSON)
	command.Flag("regions", "Names of all regions, with commas; may be repeated.").StringsVar(&configCheck.regions)
	command.Flag("targets", "Targets of a service in a region, as SERVICE=REGION:COUNT:SLOTS; may be repeated.").StringsVar(&configCheck.targets)
	command.Flag("service-time", "How long a request usually occupies a slot, as SERVICE=DURATION; may be repeated.").StringsVar(&configCheck.times)
	commands[command.FullCommand()] = func() error { return configCheck.run(os.Stdout) }
}

// run checks the file and writes the report.
func (configCheck *configCheck) run(writer io.Writer) error {
	options, err := configCheck.options()
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	text, err := os.ReadFile(configCheck.file)
	if err == nil && configCheck.inForce != "" {
		options.InForce, err = os.ReadFile(configCheck.inForce)
	}
	if err != nil {
		return &exitError{code: exitCheckUnreadable, cause: err}
	}
	report := check.Run(text, options)
	write := report.WriteText
	if configCheck.isJSON {
		write = report.WriteJSON
	}
	if err := write(writer); err != nil {
		return &exitError{code: exitCheckUnreadable, cause: err}
	}
	return reportError(configCheck.file, report)
}

// reportError returns the error that a report means, or nil if it has no findings.
func reportError(file string, report check.Report) error {
	if len(report.Findings) == 0 {
		return nil
	}
	failure := &exitError{code: exitCheckWarnings, cause: fmt.Errorf("%s: %d errors, %d warnings", file, report.Errors(), report.Warnings())}
	if report.Errors() > 0 {
		failure.code = exitCheckErrors
	}
	return failure
}

// options parses the arguments about regions, targets and service times.
func (configCheck *configCheck) options() (check.Options, error) {
	options := check.Options{Formats: []check.Format{platform.ConfigFormat{}}, ServiceTimes: map[string]time.Duration{}}
	for _, names := range configCheck.regions {
		for name := range strings.SplitSeq(names, ",") {
			options.Regions = append(options.Regions, strings.TrimSpace(name))
		}
	}
	for _, text := range configCheck.targets {
		targets, err := parseTargets(text)
		if err != nil {
			return options, err
		}
		options.Targets = append(options.Targets, targets)
	}
	for _, text := range configCheck.times {
		service, duration, found := strings.Cut(text, "=")
		parsed, err := time.ParseDuration(duration)
		if !found || service == "" || err != nil || parsed <= 0 {
			return options, fmt.Errorf("--service-time: %q is not SERVICE=DURATION", text)
		}
		options.ServiceTimes[service] = parsed
	}
	return options, nil
}

// parseTargets parses targets of the form SERVICE=REGION:COUNT:SLOTS.
func parseTargets(text string) (check.Targets, error) {
	service, rest, _ := strings.Cut(text, "=")
	parts := strings.Split(rest, ":")
	if service == "" || len(parts) != 3 || parts[0] == "" {
		return check.Targets{}, fmt.Errorf("--targets: %q is not SERVICE=REGION:COUNT:SLOTS", text)
	}
	count, countErr := strconv.ParseUint(parts[1], 10, 31)
	slots, slotsErr := strconv.ParseUint(parts[2], 10, 31)
	if err := cmp.Or(countErr, slotsErr); err != nil {
		return check.Targets{}, fmt.Errorf("--targets: %q: %w", text, err)
	}
	return check.Targets{Service: service, Region: parts[0], Count: int(count), Slots: int(slots)}, nil
}
