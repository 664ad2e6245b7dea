// Package logs writes structured log lines without ever making a request wait.
//
// A line is put into a bounded queue; a goroutine of its own writes it. Each
// level has a budget of lines a second, so that a flood of ordinary lines does
// not push out what matters. Lines that are left out are counted, and the
// count is logged once a second at most.
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

// queueSize bounds the lines that wait for the writer.
const queueSize = 1024

// The lines a second that each level may write, with the greater budget for
// what is worse: failures and changes of belief go before ordinary ends.
const (
	debugBudget = 20
	infoBudget  = 60
	warnBudget  = 120
)

// MaxValue bounds the length of a text value in a line.
const MaxValue = 1024

// Writer writes lines to a stream. Make one with New.
type Writer struct {
	target  io.Writer
	queue   chan []byte
	dropped atomic.Uint64

	mutex  sync.Mutex
	second int64
	used   map[slog.Level]int
	now    func() time.Time
}

// New returns a writer to a stream.
func New(target io.Writer) *Writer {
	return &Writer{target: target, queue: make(chan []byte, queueSize), used: map[slog.Level]int{}, now: time.Now}
}

// Run writes lines until the context ends, and then those that wait.
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

// emit writes a line. A stream that cannot be written to has nobody to tell.
func (writer *Writer) emit(line []byte) { _, _ = writer.target.Write(line) }

// Dropped is the number of lines that were left out.
func (writer *Writer) Dropped() uint64 { return writer.dropped.Load() }

// Write queues a line. It never waits.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.queue <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// allows takes one line out of the budget of its level for this second.
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
		clear(writer.used)
	}
	if writer.used[level] >= budget {
		writer.dropped.Add(1)
		return false
	}
	writer.used[level]++
	return true
}

// Handler returns a handler that writes JSON lines of at least a level.
func (writer *Writer) Handler(level slog.Level) slog.Handler {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: shorten}
	return handler{Handler: slog.NewJSONHandler(writer, options), writer: writer}
}

// shorten cuts long texts, which may come from outside.
func shorten(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() == slog.KindString && len(attribute.Value.String()) > MaxValue {
		attribute.Value = slog.StringValue(attribute.Value.String()[:MaxValue])
	}
	return attribute
}

// handler is a JSON handler with a budget.
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

// WithAttrs returns the handler with attributes.
func (handler handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	handler.Handler = handler.Handler.WithAttrs(attributes)
	return handler
}

// WithGroup returns the handler with a group.
func (handler handler) WithGroup(name string) slog.Handler {
	handler.Handler = handler.Handler.WithGroup(name)
	return handler
}
