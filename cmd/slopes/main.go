// Command slopes measures how the cost of control grows with the fleet, for
// docs/CAPACITY.md: with kernels joined in one process for messages, bytes,
// processor time and the time in which a change spreads, and with real
// processes for what they use on an idle fleet.
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
	app := kingpin.New("slopes", "Measure how the cost of control grows with the fleet.")
	kernels := app.Command("kernels", "Kernels in one process, virtual time.")
	sizes := kernels.Flag("size", "Daemons; may be repeated.").Default("50", "100", "200", "400").Ints()
	processes := app.Command("processes", "Daemons as processes, idle.")
	claims := app.Command("claims", "Platform writes against claims, as processes.")
	holders := app.Command("holders", "Memory and segments of a clerk.")
	programs := app.Flag("programs", "Directory of the programs.").Default("bin").String()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case kernels.FullCommand():
		measureKernels(*sizes)
	case holders.FullCommand():
		measureHolders()
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
