package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/daemon"
)

// registerDaemon adds the command that runs the daemon.
func registerDaemon(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("daemon", "Run the daemon beside an upstream.")
	flags := &daemon.Flags{}
	flags.Register(command)
	commands[command.FullCommand()] = func() error {
		settings, err := flags.Validate()
		if err != nil {
			return &exitError{code: exitUsage, cause: err}
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		localDaemon := &daemon.Daemon{Settings: settings, Log: flags.Logger()}
		return localDaemon.Run(ctx)
	}
}
