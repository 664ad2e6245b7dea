package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/daemon"
	"ibislift/io/logs"
	"ibislift/platform"
)

// settingsInterval is the time between two looks at the settings file, which
// may also change without a signal.
const settingsInterval = 2 * time.Second

// registerPlatform adds the command that runs the daemon on the users'
// platform, with the settings that the platform lays down.
func registerPlatform(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("platform", "Run the daemon on the users' platform, with the platform's settings file.")
	path := command.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	level := command.Flag("log-level", "Least level that is logged.").Default("info").Enum("debug", "info", "warn", "error")
	commands[command.FullCommand()] = func() error { return runOnPlatform(*path, *level) }
}

func runOnPlatform(path, level string) error {
	// Without a receiver a SIGHUP would end the process, also while it starts.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	log, writer, flush := startLog(level)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	started := &daemon.Daemon{Settings: settings, Site: platform.Site(), Log: log.With("instance", settings.Name), DroppedLogLines: writer.Dropped}
	go followSettings(ctx, path, hangups, started)
	return started.Run(ctx)
}

// startLog returns a logger to standard output that never waits, its writer,
// and a function that writes what is left.
func startLog(text string) (*slog.Logger, *logs.Writer, func()) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(text))
	writer := logs.New(os.Stdout)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		writer.Run(ctx)
		close(done)
	}()
	return slog.New(writer.Handler(level)), writer, func() {
		cancel()
		<-done
	}
}

// followSettings reloads the settings at a SIGHUP or when the file has
// changed. A file that cannot be read leaves the old settings in force.
func followSettings(ctx context.Context, path string, hangups <-chan os.Signal, started *daemon.Daemon) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	known, _ := os.ReadFile(path)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err == nil && bytes.Equal(text, known) && !asked {
			continue
		}
		known = text
		settings, err := platform.ReadSettings(path)
		if err != nil {
			started.Log.Warn("the settings were not reloaded; the old ones stay in force", "error", err)
			continue
		}
		started.Reload(settings)
	}
}
