// Command play simulates a deployment in virtual time and compares load-balancing
// policies. See package play.
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
	app := kingpin.New("play", "Simulates a deployment in virtual time and compares load-balancing policies.")
	policies := app.Flag("policies", "Policies to compare, separated by commas, or all.").Default(play.Current).String()
	seed := app.Flag("seed", "Seed to use instead of the scenario's.").Uint64()
	plot := app.Flag("plot", "File for a plot of latency and goodput over time. Its extension selects the format: svg or png.").String()
	brief := app.Flag("brief", "Print the comparison only.").Bool()
	files := app.Arg("scenario", "Scenario files.").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(os.Stdout, *files, *policies, *seed, *plot, *brief); err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		os.Exit(1)
	}
}

// run simulates each scenario under each policy.
func run(out io.Writer, files []string, names string, seed uint64, plotFile string, brief bool) error {
	policies, err := parsePolicies(names)
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
		startedAt := time.Now()
		var reports []*play.Report
		for _, policy := range policies {
			report := play.Run(scenario, policy)
			reports = append(reports, report)
			if !brief {
				report.Write(out)
				fmt.Fprintln(out)
			}
		}
		fmt.Fprintf(out, "%s, %d policies in %s\n", scenario.Name, len(policies), time.Since(startedAt).Round(time.Millisecond))
		play.Compare(out, reports)
		if plotFile != "" {
			if err := plotReports(plotFile, reports); err != nil {
				return err
			}
		}
	}
	return nil
}
