package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pipelineClients = 8
	batches         = 100
	batchSize       = 4
	// faultyEvery is how many answers of the faulty target one is broken off of.
	faultyEvery = 20
	// maxLost is the number of closed connections that the rule allows.
	maxLost = 3
)

// playPipeline sends requests ahead on kept connections. The first of each batch goes to a
// service of which one target breaks off one answer in 20, the others to a sound one.
func playPipeline(record *record) (int, error) {
	deployment, err := newDeployment(4)
	if err != nil {
		return 2, err
	}
	defer deployment.close()
	var mutex sync.Mutex
	answers := 0
	faulty := func(target *target, conn net.Conn, request *http.Request) bool {
		mutex.Lock()
		answers++
		breaksOff := hasTrouble() && answers%faultyEvery == 0
		mutex.Unlock()
		if !breaksOff {
			return answerWhole(60*time.Millisecond, 6000)(target, conn, request)
		}
		time.Sleep(60 * time.Millisecond)
		record.log("%s breaks off its answer to %s", target.instance, request.Header.Get(protocol("header.requestId")))
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", target.head(request), strings.Repeat("w", 3000))
		time.Sleep(20 * time.Millisecond)
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	deployment.add("alpha", 6, faulty)
	deployment.add("alpha", 6, answerWhole(60*time.Millisecond, 6000))
	front := deployment.add("beta", 18, answerWhole(20*time.Millisecond, 1000))
	deployment.add("beta", 18, answerWhole(20*time.Millisecond, 1000))
	ranAt := map[string]string{}
	for index, machine := range deployment.machines {
		machine.target.onRun = func(run run) {
			record.log("%s runs %s %s %s", machine.target.instance, run.id, run.method, run.target)
			if index > 0 {
				mutex.Lock()
				ranAt[run.id] = machine.target.instance
				mutex.Unlock()
			}
		}
	}
	deployment.configure(2, []string{"alpha", "beta"}, []routeOf{
		{prefix: "/a/", kind: "idempotent", service: "alpha", timeout: 2}, {prefix: "/b/", kind: "idempotent", service: "beta", timeout: 2},
	})
	if err := deployment.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	lost, closed, broken := 0, 0, 0
	for range pipelineClients {
		clients.Go(func() {
			var connection *client
			for range batches {
				if connection == nil {
					if connection, err = dial(front.at(portOutbound)); err != nil {
						record.log("no connection: %v", err)
						continue
					}
				}
				unanswered, failure := connection.playBatch(record)
				if failure == nil {
					continue
				}
				record.log("connection closed (%v), no answer to %v", failure, unanswered)
				_ = connection.Close()
				connection = nil
				time.Sleep(100 * time.Millisecond)
				mutex.Lock()
				broken++
				passedOn := 0
				for _, id := range unanswered {
					if ranAt[id] != "" {
						passedOn++
						record.log("%s was run by %s, which is sound, and got no answer", id, ranAt[id])
					}
				}
				lost += passedOn
				if passedOn > 0 {
					closed++
				}
				mutex.Unlock()
			}
			if connection != nil {
				_ = connection.Close()
			}
		})
	}
	clients.Wait()
	return record.verdict(closed > maxLost,
		"%d connections closed; on %d of them %d requests that sound targets had run got no answer; the rule allows %d", broken, closed, lost, maxLost), nil
}

// playBatch warms the connection up, sends a batch ahead and reads the answers in order. If
// the connection ends it returns the requests that got no byte of an answer.
func (client *client) playBatch(record *record) (unanswered []string, failure error) {
	const budget = 2 * time.Second
	_ = client.SetDeadline(time.Now().Add(budget + time.Second))
	var text strings.Builder
	var ids []string
	for index := range batchSize {
		target := fmt.Sprintf("/b/%d", index)
		if index == 0 {
			target = "/a/0"
		}
		id := nextID()
		ids = append(ids, id)
		text.WriteString(requestText(http.MethodGet, target, id, budget))
	}
	record.log("sent ahead: %v", ids)
	if _, err := io.WriteString(client, text.String()); err != nil {
		return ids, err
	}
	for index, id := range ids {
		response, err := client.readHead(http.MethodGet)
		if err != nil {
			return ids[index:], err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return ids[index+1:], fmt.Errorf("answer to %s broken off: %w", id, err)
		}
		record.log("answer %d to %s", response.StatusCode, id)
		if response.Close {
			return ids[index+1:], fmt.Errorf("answer to %s ends the connection", id)
		}
	}
	return nil, nil
}
