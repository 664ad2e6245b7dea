// Command play plays days of a deployment in virtual time and compares ways to
// decide; see package play.
//
//	play scenarios/harbour.json
//	play --policies now,adaptive,roundRobin --plot harbour.svg scenarios/harbour.json
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/standin/play"
)

func main() {
	app := kingpin.New("play", "Plays days of a deployment in virtual time and compares ways to decide.")
	policies := app.Flag("policies", "Policies to compare, in commas; all means each.").Default(play.Now).String()
	seed := app.Flag("seed", "Seed in place of the scenario's.").Uint64()
	plot := app.Flag("plot", "File for a plot of latency and goodput over time; its ending, svg or png, gives the form.").String()
	brief := app.Flag("brief", "Print the comparison only.").Bool()
	files := app.Arg("scenario", "Scenario files.").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(os.Stdout, *files, *policies, *seed, *plot, *brief); err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		os.Exit(1)
	}
}

// run plays each scenario under each policy.
func run(out io.Writer, files []string, names string, seed uint64, plotted string, brief bool) error {
	policies, err := policiesOf(names)
	if err != nil {
		return err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		scenario, err := play.Parse(text)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if seed != 0 {
			scenario.Seed = seed
		}
		began := time.Now()
		var reports []*play.Report
		for _, policy := range policies {
			report := play.Run(scenario, policy)
			reports = append(reports, report)
			if !brief {
				report.Write(out)
				fmt.Fprintln(out)
			}
		}
		fmt.Fprintf(out, "%s, %d policies in %s\n", scenario.Name, len(policies), time.Since(began).Round(time.Millisecond))
		play.Compare(out, reports)
		if plotted != "" {
			if err := plotReports(plotted, reports); err != nil {
				return err
			}
		}
	}
	return nil
}
