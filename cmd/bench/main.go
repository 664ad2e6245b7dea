// Command bench measures ibislift with real processes on loopback. It compares
// the policies in several scenarios, and measures the latency that the path
// through the ingress and the gate adds to a direct call.
//
// # Usage
//
//	bench scenarios --deployment bureau
//	bench added
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// readyTimeout limits the wait for a deployment to become ready.
const readyTimeout = 40 * time.Second

func main() {
	app := kingpin.New("bench", "Measure ibislift on loopback.")
	programs := app.Flag("programs", "Directory that contains the programs.").Default("bin").String()
	scenarios := app.Command("scenarios", "Compare the policies in several scenarios.")
	name := scenarios.Flag("deployment", "Deployment to run: bureau or kaldreikn.").Default("bureau").String()
	policies := scenarios.Flag("policy", "Policy to measure; may be repeated.").Default("adaptive", "random", "roundRobin", "leastInFlight", "powerOfTwo").Strings()
	only := scenarios.Flag("scenario", "Run only this scenario; may be repeated.").Strings()
	seconds := scenarios.Flag("seconds", "Duration of one run in seconds.").Default("3").Int()
	added := app.Command("added", "Measure the latency added to a call.")
	profile := added.Flag("profile", "File for a CPU profile of the ingress.").String()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case scenarios.FullCommand():
		err = runScenarios(*programs, *name, *policies, *only, time.Duration(*seconds)*time.Second)
	case added.FullCommand():
		err = runAdded(*programs, *profile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
