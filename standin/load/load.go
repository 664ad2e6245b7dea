// Package load sends requests to a deployment at a fixed rate with Poisson
// arrivals, counts latencies from the intended start, and checks every answer:
// that it is whole and belongs to its own request.
//
// # Usage
//
//	generator := &load.Generator{Rate: 200, Seed: 1, Pick: pick}
//	report := generator.Run(10 * time.Second)
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibislift/io/dialect"
	"ibislift/standin/upstream"
)

// Request is one request to send.
type Request struct {
	Address  string
	Service  string
	Class    string
	Method   string
	Path     string
	Key      string
	Deadline time.Duration
	Header   map[string]string
	// Others are the addresses of resends.
	Others []string
}

// Generator sends load. Set the fields before Run.
type Generator struct {
	// Rate is in requests a second.
	Rate float64
	Seed uint64
	// Pick makes the next request from the generator's chance.
	Pick func(random *rand.Rand, number int) Request
	// Prefix makes the names of trials unique over several runs.
	Prefix string
	// Most bounds the requests under way; one more is counted as dropped.
	Most int
	// Resends is how often a request is sent again that has not been answered.
	Resends int
	// Alone says of a request that it is never sent again; nil means none.
	Alone func(Request) bool
	// During is called at moments of the run, from another goroutine.
	During []Moment

	mutex  sync.Mutex
	report Report
	client *http.Client
}

// Moment is something to do a time after the start of a run.
type Moment struct {
	After time.Duration
	Do    func()
}

// defaultMost is enough for any load that this machine carries.
const defaultMost = 4096

// Run sends requests for a time and waits for their ends.
func (generator *Generator) Run(duration time.Duration) *Report {
	generator.report = Report{Rows: map[RowKey]*Row{}, NotRun: map[string]bool{}, Changes: map[string][]string{}}
	generator.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 512, MaxIdleConns: 0, DisableCompression: true,
	}}
	defer generator.client.CloseIdleConnections()
	most := generator.Most
	if most == 0 {
		most = defaultMost
	}
	slots := make(chan struct{}, most)
	random := rand.New(rand.NewPCG(generator.Seed, 3))
	started := time.Now()
	stop := generator.startMoments()
	defer stop()
	var sending sync.WaitGroup
	next := started
	for number := 0; next.Sub(started) < duration; number++ {
		time.Sleep(time.Until(next))
		request := generator.Pick(random, number)
		intended := next
		select {
		case slots <- struct{}{}:
			sending.Add(1)
			go func() {
				defer sending.Done()
				generator.send(request, fmt.Sprintf("%s%d", generator.Prefix, number), intended)
				<-slots
			}()
		default:
			generator.drop(request)
		}
		next = next.Add(time.Duration(random.ExpFloat64() / generator.Rate * float64(time.Second)))
	}
	sending.Wait()
	generator.report.Took = time.Since(started)
	return &generator.report
}

func (generator *Generator) startMoments() func() {
	var timers []*time.Timer
	for _, moment := range generator.During {
		timers = append(timers, time.AfterFunc(moment.After, moment.Do))
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// patience is how much longer than its deadline a client waits for an answer.
const patience = 2 * time.Second

// send sends a request, and again if its end is not known or it has not run.
func (generator *Generator) send(request Request, trial string, intended time.Time) {
	var found result
	resends := generator.Resends
	if generator.Alone != nil && generator.Alone(request) {
		resends = 0
	}
	for sending := range resends + 1 {
		name := fmt.Sprintf("%s.%d", trial, sending)
		if sending > 0 {
			time.Sleep(resendPause)
			request.Address = request.otherAddress(sending)
		}
		found = generator.sendOnce(request, name)
		generator.note(request, trial, name, found)
		if found.whole || found.wrong || found.status == http.StatusConflict {
			break
		}
	}
	generator.record(request, intended, found)
}

// resendPause is how long a client waits before it sends a request again.
const resendPause = 200 * time.Millisecond

func (request Request) otherAddress(sending int) string {
	if len(request.Others) == 0 {
		return request.Address
	}
	return request.Others[sending%len(request.Others)]
}

func (generator *Generator) sendOnce(request Request, name string) result {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline+patience)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Path, bodyOf(request))
	if err != nil {
		return result{outcome: "unknown"}
	}
	// Without a way to read the body again the transport never repeats a
	// request by itself, as it would a lookup or one with an idempotency key.
	sent.GetBody = nil
	sent.Host = request.Service
	sent.Header.Set(upstream.TrialHeader, name)
	sent.Header.Set("Ibislift-Deadline", request.Deadline.String())
	if request.Key != "" {
		sent.Header.Set(dialect.Own().IdempotencyKey, request.Key)
	}
	for name, value := range request.Header {
		sent.Header.Set(name, value)
	}
	response, err := generator.client.Do(sent)
	return resultOf(request, name, response, err)
}

func bodyOf(request Request) io.Reader {
	if request.Method == http.MethodGet {
		// Not nil, so that the transport takes it for one it cannot repeat.
		return io.LimitReader(strings.NewReader(""), 0)
	}
	return strings.NewReader(`{"volunteer": 17}`)
}

// result is how a request ended.
type result struct {
	status  int
	outcome string
	whole   bool
	wrong   bool
	broken  bool
}

// resultOf checks an answer. A wrong one is another request's, or one that is
// cut short and pretends to be whole.
func resultOf(request Request, trial string, response *http.Response, err error) result {
	if err != nil {
		return result{broken: true, outcome: "unknown"}
	}
	defer func() { _ = response.Body.Close() }()
	found := result{status: response.StatusCode, outcome: response.Header.Get(dialect.Own().Outcome)}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{broken: true, status: response.StatusCode, outcome: "unknown"}
	}
	if response.StatusCode != http.StatusOK {
		return found
	}
	var answer struct {
		Service string `json:"service"`
		Trial   string `json:"trial"`
	}
	own := json.Unmarshal(body, &answer) == nil && answer.Service == request.Service && answer.Trial == trial
	found.whole = own
	found.wrong = !own
	return found
}
