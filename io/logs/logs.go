// Package logs writes structured log lines without blocking requests.
//
// Lines are put into a bounded queue, which a separate goroutine writes to the
// stream. Each level has a budget of lines per second, so that a flood of ordinary
// lines does not displace important ones. Lines that are left out are counted, and
// the count is logged at most once per second.
//
// # Usage
//
//	writer := logs.New(os.Stdout)
//	go writer.Run(ctx)
//	log := slog.New(writer.Handler(slog.LevelInfo))
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// queueSize limits the number of lines that wait to be written.
const queueSize = 1024

// The numbers of lines per second that each level may write. Higher levels have
// larger budgets, since failures and changes of state are more important than the
// ordinary ends of requests.
const (
	debugBudget = 20
	infoBudget  = 60
	warnBudget  = 120
)

// MaxValueLength limits the length in bytes of a text value in a line.
const MaxValueLength = 1024

// Writer queues lines and writes them to a stream. It is safe for concurrent use by
// multiple goroutines. Make one with New.
type Writer struct {
	stream  io.Writer
	queue   chan []byte
	dropped atomic.Uint64

	mutex sync.Mutex
	// second is the Unix time to which linesWritten applies.
	second       int64
	linesWritten map[slog.Level]int
	now          func() time.Time
}

// New returns a writer that writes to a stream.
func New(stream io.Writer) *Writer {
	return &Writer{stream: stream, queue: make(chan []byte, queueSize), linesWritten: map[slog.Level]int{}, now: time.Now}
}

// Run writes lines until the context ends, and then the lines left in the queue.
func (writer *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-writer.queue:
			writer.emit(line)
		case <-ticker.C:
			if dropped := writer.dropped.Load(); dropped > reported {
				writer.emit(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines were left out","count":%d,"total":%d}`+"\n",
					writer.now().Format(time.RFC3339Nano), dropped-reported, dropped))
				reported = dropped
			}
		case <-ctx.Done():
			writer.flush()
			return
		}
	}
}

// flush writes the lines in the queue without waiting for further ones.
func (writer *Writer) flush() {
	for {
		select {
		case line := <-writer.queue:
			writer.emit(line)
		default:
			return
		}
	}
}

// emit writes a line to the stream. Write errors are ignored, since there is no
// other place to report them.
func (writer *Writer) emit(line []byte) { _, _ = writer.stream.Write(line) }

// Dropped returns the number of lines that were left out.
func (writer *Writer) Dropped() uint64 { return writer.dropped.Load() }

// Write queues a line. It never blocks. If the queue is full, the line is left
// out.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.queue <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// allows takes one line out of its level's budget for the current second. It
// returns false if the budget is spent.
func (writer *Writer) allows(level slog.Level) bool {
	budget := debugBudget
	switch {
	case level >= slog.LevelWarn:
		level, budget = slog.LevelWarn, warnBudget
	case level >= slog.LevelInfo:
		level, budget = slog.LevelInfo, infoBudget
	}
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if second := writer.now().Unix(); second != writer.second {
		writer.second = second
		clear(writer.linesWritten)
	}
	if writer.linesWritten[level] >= budget {
		writer.dropped.Add(1)
		return false
	}
	writer.linesWritten[level]++
	return true
}

// Handler returns a handler that writes records of at least the given level as JSON
// lines.
func (writer *Writer) Handler(level slog.Level) slog.Handler {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: truncate}
	return handler{Handler: slog.NewJSONHandler(writer, options), writer: writer}
}

// truncate shortens text values to MaxValueLength. Values from callers and
// upstreams can have any length.
func truncate(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() == slog.KindString && len(attribute.Value.String()) > MaxValueLength {
		attribute.Value = slog.StringValue(attribute.Value.String()[:MaxValueLength])
	}
	return attribute
}

// handler is a JSON handler that applies the writer's budgets.
type handler struct {
	slog.Handler
	writer *Writer
}

// Handle writes a record if its level has budget left.
func (handler handler) Handle(ctx context.Context, record slog.Record) error {
	if !handler.writer.allows(record.Level) {
		return nil
	}
	return handler.Handler.Handle(ctx, record)
}

// WithAttrs returns a copy of the handler that adds attributes.
func (handler handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	handler.Handler = handler.Handler.WithAttrs(attributes)
	return handler
}

// WithGroup returns a copy of the handler that opens a group.
func (handler handler) WithGroup(name string) slog.Handler {
	handler.Handler = handler.Handler.WithGroup(name)
	return handler
}
