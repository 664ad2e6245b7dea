package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a target has begun to work on.
type run struct {
	id, method, target string
	// body is the checksum of the body.
	body uint32
	at   time.Time
}

// target is a stand-in of an application target. It serves one request at a time on a
// connection and checks in at the daemon beside it.
type target struct {
	instance, service, address, control string
	slots                               int
	// answer writes the answer to a request. It returns false to end the connection.
	answer func(target *target, conn net.Conn, request *http.Request) bool
	// onRun is called for each request that begins to run.
	onRun func(run)

	mutex    sync.Mutex
	state    string
	running  int
	sequence int
	born     int64
	listener net.Listener
	stopped  chan struct{}
}

// start serves requests and checks in until stop.
func (target *target) start() error {
	listener, err := net.Listen("tcp", target.address)
	if err != nil {
		return err
	}
	target.listener, target.stopped, target.state, target.born = listener, make(chan struct{}), "ready", time.Now().UnixMilli()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	go target.checkInRegularly()
	return nil
}

func (target *target) stop() {
	close(target.stopped)
	_ = target.listener.Close()
}

func (target *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			target.mutex.Lock()
			running, state := target.running, target.state
			target.mutex.Unlock()
			status := "200 OK"
			if state != "ready" {
				status = "503 Service Unavailable"
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%s: %d,0,%d\r\nContent-Length: 0\r\n\r\n", status,
				protocol("header.requestId"), request.Header.Get(protocol("header.requestId")),
				protocol("header.instanceId"), target.instance, protocol("header.load"), running, target.slots)
			continue
		}
		if expected := request.Header.Get(protocol("header.instance")); expected != "" && expected != target.instance {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", protocol("header.instanceId"), target.instance)
			continue
		}
		body := crc32.NewIEEE()
		if _, err := io.Copy(body, request.Body); err != nil {
			return
		}
		target.count(1)
		if target.onRun != nil {
			target.onRun(run{id: request.Header.Get(protocol("header.requestId")), method: request.Method, target: request.RequestURI, body: body.Sum32(), at: time.Now()})
		}
		keep := target.answer(target, conn, request)
		target.count(-1)
		if !keep {
			return
		}
	}
}

func (target *target) count(change int) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.running += change
}

// head returns the head of an answer without the fields that frame its body.
func (target *target) head(request *http.Request) string {
	target.mutex.Lock()
	running := target.running
	target.mutex.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s: %d,0,%d\r\n",
		protocol("header.requestId"), request.Header.Get(protocol("header.requestId")),
		protocol("header.seal"), target.instance, protocol("header.load"), running, target.slots)
}

// answerWhole waits for the work and writes a complete answer.
func answerWhole(work time.Duration, size int) func(*target, net.Conn, *http.Request) bool {
	return func(target *target, conn net.Conn, request *http.Request) bool {
		time.Sleep(work)
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", target.head(request), size, strings.Repeat("w", size))
		return err == nil
	}
}

// leave makes the target say in its further check-ins that it leaves. It serves on.
func (target *target) leave() {
	target.mutex.Lock()
	target.state = "draining"
	target.mutex.Unlock()
	target.checkIn()
}

func (target *target) checkInRegularly() {
	for {
		target.checkIn()
		select {
		case <-target.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat is the time between two check-ins.
const heartbeat = time.Second

func (target *target) checkIn() {
	target.mutex.Lock()
	target.sequence++
	body := fmt.Sprintf(protocol("checkIn"), target.service, target.address, zone, target.slots, target.state, target.sequence, target.born)
	target.mutex.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+target.control+protocol("path.instances")+target.instance, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
