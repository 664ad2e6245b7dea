// Command slopes measures how the cost of control traffic and of claims grows with
// the size of the fleet and the load. It prints tables for docs/CAPACITY.md.
//
// The kernels command simulates a fleet in one process and measures messages,
// bytes, CPU time and how soon a change is in force everywhere. The processes
// command measures the resources that real daemons use in an idle fleet. The claims
// command measures the platform writes at several rates of claims, and the holders
// command the memory of a claim coordinator.
//
// # Usage
//
//	slopes kernels
//	slopes processes --programs bin
//	slopes claims --programs bin
//	slopes holders
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("slopes", "Measure how the cost of control traffic grows with the fleet.")
	kernels := app.Command("kernels", "Measure kernels in one process, in virtual time.")
	sizes := kernels.Flag("size", "Number of daemons; may be repeated.").Default("50", "100", "200", "400").Ints()
	processes := app.Command("processes", "Measure idle daemons as real processes.")
	claims := app.Command("claims", "Measure platform writes at several rates of claims, with real processes.")
	holders := app.Command("holders", "Measure the memory and the segments of a claim coordinator.")
	programs := app.Flag("programs", "Directory of the programs.").Default("bin").String()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case kernels.FullCommand():
		measureKernels(*sizes)
	case holders.FullCommand():
		measureCoordinator()
	case processes.FullCommand():
		err = measureProcesses(*programs)
	case claims.FullCommand():
		err = measureClaims(*programs)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
