package logs_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/logs"
)

// written returns what a writer has written when its context has ended, and the
// writer.
func written(t *testing.T, log func(*slog.Logger)) (string, *logs.Writer) {
	t.Helper()
	var stream bytes.Buffer
	writer := logs.New(&stream)
	log(slog.New(writer.Handler(slog.LevelDebug)))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	writer.Run(ctx)
	return stream.String(), writer
}

func TestBudget(t *testing.T) {
	t.Run("a flood of ordinary lines does not displace a warning", func(t *testing.T) {
		text, writer := written(t, func(log *slog.Logger) {
			for range 10_000 {
				log.Debug("ordinary")
			}
			log.Warn("important")
		})
		is := is.New(t)
		is.True(strings.Contains(text, "important"))
		is.True(strings.Count(text, "ordinary") < 100)
		is.True(writer.Dropped() > 9_000)
	})
	t.Run("long texts are truncated", func(t *testing.T) {
		text, _ := written(t, func(log *slog.Logger) { log.Info("line", "request", strings.Repeat("x", 10_000)) })
		is.New(t).True(len(text) < 2*logs.MaxValueLength+200)
	})
}

func TestStalledReader(t *testing.T) {
	reader, stream := io.Pipe()
	defer func() { _ = reader.Close() }()
	writer := logs.New(stream)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go writer.Run(ctx)
	log := slog.New(writer.Handler(slog.LevelInfo))
	for range 100_000 {
		log.Warn("nobody reads")
	}
	is.New(t).True(writer.Dropped() > 0)
}
