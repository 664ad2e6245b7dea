package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	downloads     = 28
	downloadParts = 16
	partSize      = 25_000
	partInterval  = 60 * time.Millisecond
	routeTimeout  = 1500 * time.Millisecond
	downloadTime  = 2500 * time.Millisecond
	answerSlack   = 500 * time.Millisecond
	freezeTime    = 4 * time.Second
)

// playFreeze starts downloads through one daemon and freezes the machine of one of the two
// targets while their answers are on the way.
func playFreeze(record *record) (int, error) {
	deployment, err := newDeployment(3)
	if err != nil {
		return 2, err
	}
	defer deployment.close()
	var frozen atomic.Bool
	streams := func(freezes bool) func(*target, net.Conn, *http.Request) bool {
		return func(target *target, conn net.Conn, request *http.Request) bool {
			if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", target.head(request), downloadParts*partSize); err != nil {
				return false
			}
			for range downloadParts {
				time.Sleep(partInterval)
				for freezes && frozen.Load() {
					time.Sleep(time.Millisecond)
				}
				if _, err := io.WriteString(conn, strings.Repeat("w", partSize)); err != nil {
					return false
				}
			}
			return true
		}
	}
	front := deployment.add("alpha", 18, answerWhole(5*time.Millisecond, 100))
	freezing := deployment.add("gamma", 18, streams(true))
	deployment.add("gamma", 18, streams(false))
	for _, machine := range deployment.machines {
		machine.target.onRun = func(run run) {
			record.log("%s runs %s %s %s", machine.target.instance, run.id, run.method, run.target)
		}
	}
	deployment.configure(2, []string{"alpha", "gamma"}, []routeOf{{prefix: "/d/", kind: "download", service: "gamma", timeout: routeTimeout.Seconds()}})
	if err := deployment.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	var unended, long atomic.Int64
	for range downloads {
		clients.Go(func() {
			took, err := download(record, front.at(portOutbound))
			if took > routeTimeout {
				long.Add(1)
			}
			if took > routeTimeout+answerSlack {
				unended.Add(1)
			}
			if err != nil {
				record.log("download ended after %.3f s: %v", took.Seconds(), err)
			}
		})
	}
	if hasTrouble() {
		time.Sleep(500 * time.Millisecond)
		frozen.Store(true)
		freezing.signal(syscall.SIGSTOP)
		record.log("%s stands still", freezing.name)
		time.Sleep(freezeTime)
		freezing.signal(syscall.SIGCONT)
		frozen.Store(false)
		record.log("%s goes on", freezing.name)
	}
	clients.Wait()
	return record.verdict(unended.Load() >= 8 && 4*unended.Load() > long.Load(),
		"%d of %d downloads lasted longer than the %s of their route, and %d of these had not ended %s later at a machine that was not frozen",
		long.Load(), downloads, routeTimeout, unended.Load(), answerSlack), nil
}

// download sends one request and reads the answer until its end or the client's time budget.
// It returns how long that took.
func download(record *record, address string) (time.Duration, error) {
	connection, err := dial(address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	started, id := time.Now(), nextID()
	_ = connection.SetDeadline(started.Add(downloadTime))
	record.log("sent %s GET /d/0", id)
	if _, err := io.WriteString(connection, requestText(http.MethodGet, "/d/0", id, downloadTime)); err != nil {
		return time.Since(started), err
	}
	response, err := connection.readHead(http.MethodGet)
	if err != nil {
		return time.Since(started), err
	}
	count, err := io.Copy(io.Discard, response.Body)
	record.log("answer %d to %s with %d bytes after %.3f s", response.StatusCode, id, count, time.Since(started).Seconds())
	return time.Since(started), err
}
