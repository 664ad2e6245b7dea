package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ibislift/standin/load"
	"ibislift/standin/upstream"
)

// Times and counts of callers that send ahead while there are faults.
const (
	// aheadCallers is how many callers there are, two for each daemon without a proxy among
	// 12. More targets get no more, since the machine would be too slow.
	aheadCallers = 16
	minAhead     = 2
	maxAhead     = 5
	// minAheadDeadline and maxAheadDeadline limit the deadline of the requests of a round:
	// many times the service time of 5 ms, and short beside faults of up to 3.2 s.
	minAheadDeadline = 300 * time.Millisecond
	maxAheadDeadline = 600 * time.Millisecond
	// maxRestPause is the longest time from the first half of a response without a length to
	// the rest.
	maxRestPause = 10 * time.Millisecond
	// aheadGrace is how long callers wait beyond the deadline, as those of package load do.
	aheadGrace = 2 * time.Second
)

// aheadSender sends rounds of requests to a daemon over one connection after another.
type aheadSender struct {
	caller
	trial   *trial
	ingress string
	prefix  string
	number  int
}

// sendAhead sends rounds through daemons without a proxy until the load ends.
func (trial *trial) sendAhead() {
	end := time.Now().Add(trial.soak.length + finalLoadTime)
	var waitGroup sync.WaitGroup
	reachable := trial.running.Instances[proxiedDaemons:]
	for number := range aheadCallers {
		instance := reachable[number*len(reachable)/aheadCallers]
		sender := &aheadSender{trial: trial, ingress: instance.Name, prefix: fmt.Sprintf("a%d-%d", trial.seed, number)}
		sender.caller = caller{manner: ahead, address: instance.CallerAddress(), random: rand.New(rand.NewPCG(uint64(trial.seed), uint64(100+number)))}
		waitGroup.Go(func() { sender.run(end) })
	}
	waitGroup.Wait()
}

func (sender *aheadSender) run(end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", sender.address, dialTimeout)
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		for reader := bufio.NewReader(conn); time.Now().Before(end) && sender.exchange(conn, reader); {
			time.Sleep(sender.draw(usualPause))
		}
		_ = conn.Close()
	}
}

// exchange sends a round and reads the responses meanwhile. It reports whether the
// connection can be used again.
func (sender *aheadSender) exchange(conn net.Conn, reader *bufio.Reader) bool {
	attempts := sender.drawAttempts()
	sent := make(chan *attempt, len(attempts))
	go sender.sendAll(conn, attempts, sent)
	usable, round := true, round{ingress: sender.ingress}
	for attempt := range sent {
		// Responses may have arrived before a write failed.
		usable = usable && attempt.read(conn, reader, attempt.sentAt.Add(attempt.request.Deadline+aheadGrace))
		attempt.endedAt = time.Now()
		if !usable {
			_ = conn.Close()
		}
		round.attempts = append(round.attempts, attempt)
	}
	sender.trial.recordRound(round)
	return usable
}

func (trial *trial) recordRound(round round) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.rounds = append(trial.rounds, round)
}

// sendAll sends the requests, with pauses between some of them.
func (sender *aheadSender) sendAll(conn net.Conn, attempts []*attempt, sent chan<- *attempt) {
	defer close(sent)
	var text bytes.Buffer
	for begin, index := 0, 0; index < len(attempts); index++ {
		httpRequest, err := attempts[index].request.HTTPRequest(context.Background(), attempts[index].id)
		if err != nil || httpRequest.Write(&text) != nil {
			return
		}
		if index+1 < len(attempts) && sender.random.IntN(3) > 0 {
			continue
		}
		sentAt := time.Now()
		err = sender.send(conn, text.Bytes())
		for _, attempt := range attempts[begin : index+1] {
			attempt.sentAt, attempt.whole, attempt.err = sentAt, err == nil, err
			sent <- attempt
		}
		if err != nil {
			return
		}
		text.Reset()
		begin = index + 1
		if begin < len(attempts) {
			time.Sleep(sender.draw(attempts[0].request.Deadline))
		}
	}
}

// drawAttempts draws the requests of a round. Half of the first ones stall.
func (sender *aheadSender) drawAttempts() []*attempt {
	deadline := minAheadDeadline + sender.draw(maxAheadDeadline-minAheadDeadline)
	var attempts []*attempt
	for index := range minAhead + sender.random.IntN(maxAhead-minAhead+1) {
		service := sender.trial.running.Plan.Services[sender.random.IntN(2)]
		request := load.Request{
			Address: sender.address, Service: service.Name, Class: "ahead", Method: http.MethodGet, Path: service.LookupPath,
			Deadline: deadline, Header: map[string]string{upstream.RecordEndHeader: "1"},
		}
		sender.trial.authorize(&request)
		switch kind := sender.random.IntN(16); {
		case kind == 0, kind < 8 && index == 0:
			request.Path += fmt.Sprintf("?stall=%s", deadline*4/5+sender.draw(deadline*2/5))
		case kind == 1:
			request.Path += "?rest=5ms&cut=1"
		case kind < 10:
			request.Path += fmt.Sprintf("?rest=%s", sender.draw(maxRestPause))
		}
		sender.number++
		attempts = append(attempts, &attempt{
			id: fmt.Sprintf("%s-%d", sender.prefix, sender.number), manner: ahead, request: request, behind: index > 0, result: load.Result{Broken: true},
		})
	}
	return attempts
}
