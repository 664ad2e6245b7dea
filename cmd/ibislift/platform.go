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

// settingsInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// registerPlatform adds the command that runs the daemon on the users'
// platform, with the settings file that the platform provides.
func registerPlatform(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("platform", "Run the daemon on the users' platform, with the platform's settings file.")
	path := command.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	level := command.Flag("log-level", "Minimum level that is logged.").Default("info").Enum("debug", "info", "warn", "error")
	commands[command.FullCommand()] = func() error { return runOnPlatform(*path, *level) }
}

func runOnPlatform(path, level string) error {
	// Without a handler, a SIGHUP would end the process, even while it starts.
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
	localDaemon := &daemon.Daemon{Settings: settings, Site: platform.Site(), Log: log.With("instance", settings.Name), DroppedLogLines: writer.Dropped}
	go followSettings(ctx, path, hangups, localDaemon)
	return localDaemon.Run(ctx)
}

// startLog returns a logger that writes to standard output without blocking,
// its writer, and a function that stops the writer after it has written the
// buffered lines.
func startLog(levelName string) (*slog.Logger, *logs.Writer, func()) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(levelName))
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

// followSettings reloads the settings on a SIGHUP or when the file has changed.
// If the file cannot be read or parsed, the old settings stay in force.
func followSettings(ctx context.Context, path string, hangups <-chan os.Signal, localDaemon *daemon.Daemon) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastText, _ := os.ReadFile(path)
	for {
		reloadRequested := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reloadRequested = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err == nil && bytes.Equal(text, lastText) && !reloadRequested {
			continue
		}
		lastText = text
		settings, err := platform.ReadSettings(path)
		if err != nil {
			localDaemon.Log.Warn("the settings were not reloaded; the old ones stay in force", "error", err)
			continue
		}
		localDaemon.Reload(settings)
	}
}
