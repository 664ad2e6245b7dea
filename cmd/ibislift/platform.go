package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/daemon"
	"ibislift/io/logs"
	"ibislift/platform"
)

// registerPlatform adds the command that runs the daemon on the users'
// platform, with the settings that the platform lays down.
func registerPlatform(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("platform", "Run the daemon on the users' platform, with the platform's settings file.")
	path := command.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	commands[command.FullCommand()] = func() error { return runOnPlatform(*path) }
}

func runOnPlatform(path string) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	writer := logs.New(os.Stdout)
	writing, endWriting := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		writer.Run(writing)
		close(written)
	}()
	defer func() {
		endWriting()
		<-written
	}()
	log := slog.New(writer.Handler(slog.LevelInfo)).With("instance", settings.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	started := &daemon.Daemon{Settings: settings, Site: platform.Site(), Log: log}
	return started.Run(ctx)
}
