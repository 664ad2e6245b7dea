package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/daemon"
)

const settingsFile = `node=sidecar-1
ip=10.1.0.8
zone=pta-a
region=gauteng
listen.inbound=10.1.0.8:8300
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.control=10.1.0.8:8306
internal-port-range=7620,7635
heartbeat-s=1.5
bounds=grace-s=6,retry-budget-ratio=0.2,retry-slack=64
service=shop
platform.address=10.200.1.7:8309
`

// logBuffer collects log lines.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (logBuffer *logBuffer) Write(line []byte) (int, error) {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.text.Write(line)
}

// await waits until the buffer contains the text, then empties the buffer and
// returns what it held.
func (logBuffer *logBuffer) await(t *testing.T, text string) string {
	t.Helper()
	for range 2000 {
		logBuffer.mutex.Lock()
		found := logBuffer.text.String()
		if strings.Contains(found, text) {
			logBuffer.text.Reset()
			logBuffer.mutex.Unlock()
			return found
		}
		logBuffer.mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no log line contains %q", text)
	return ""
}

func TestFollowSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.conf")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(settingsFile)
	log := &logBuffer{}
	localDaemon := &daemon.Daemon{Log: slog.New(slog.NewTextHandler(log, nil))}
	hangups := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go followSettings(ctx, path, hangups, localDaemon)
	t.Run("SIGHUP reloads the settings", func(t *testing.T) {
		hangups <- syscall.SIGHUP
		log.await(t, "silenceTime=6s")
	})
	t.Run("an invalid file leaves the old settings in force", func(t *testing.T) {
		write("node")
		hangups <- syscall.SIGHUP
		log.await(t, "the old ones stay in force")
	})
	t.Run("a changed file is noticed without a signal", func(t *testing.T) {
		write(strings.Replace(settingsFile, "heartbeat-s=1.5", "heartbeat-s=2", 1))
		log.await(t, "silenceTime=8s")
	})
}
