// Command ibislift is the load balancer: the daemon that runs beside each
// upstream, and the command-line tool for operators.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings, 3 conflict with
// another change, 4 the platform or the daemon is unavailable, 5 it is unknown
// whether the change was accepted. check-config has exit codes of its own.
//
// # Usage
//
//	ibislift daemon --name sleeplog-1 --region gauteng --data-centre jnb1 ...
//	ibislift profile apply fast -f fast.json
//	ibislift status
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is set at build time.
var version = "development"

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUnknown     = 5
)

// exitError is an error that determines the exit code.
type exitError struct {
	code  int
	cause error
}

func (exitError *exitError) Error() string { return exitError.cause.Error() }

func (exitError *exitError) Unwrap() error { return exitError.cause }

func main() {
	app := kingpin.New("ibislift", "A load balancer that runs beside each upstream, without a central tier.")
	app.DefaultEnvars()
	app.UsageWriter(os.Stderr)
	app.Terminate(nil)
	commands := map[string]func() error{}
	registerDaemon(app, commands)
	registerPlatform(app, commands)
	registerClient(app, commands)
	registerCheck(app, commands)
	registerCheckConfig(app, commands)
	commands[app.Command("version", "Print the version.").FullCommand()] = func() error {
		_, err := fmt.Println("ibislift " + version)
		return err
	}
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibislift:", err)
		os.Exit(exitUsage)
	}
	run, known := commands[chosen]
	if !known {
		return
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ibislift:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var failure *exitError
	if errors.As(err, &failure) {
		return failure.code
	}
	return exitFailure
}
