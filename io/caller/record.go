package caller

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"ibislift/core/call"
	"ibislift/core/route"
)

// Record says what was done for one request, and why.
type Record struct {
	Request string       `json:"request"`
	Service string       `json:"service"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	At      time.Time    `json:"at"`
	Outcome call.Outcome `json:"outcome"`
	Status  int          `json:"status"`
	Steps   []Step       `json:"steps"`
}

// Step is one event of a request. After is the time since its arrival.
type Step struct {
	After      time.Duration `json:"after"`
	What       string        `json:"what"`
	Detail     string        `json:"detail,omitempty"`
	Candidates []Considered  `json:"candidates,omitempty"`
}

// steps writes itself in one line: each step with the milliseconds since the
// request's arrival.
type steps []Step

// LogValue is the form of the steps in a log line.
func (steps steps) LogValue() slog.Value {
	var text strings.Builder
	for _, step := range steps {
		fmt.Fprintf(&text, "%d %s", step.After.Milliseconds(), step.What)
		if step.Detail != "" {
			fmt.Fprintf(&text, " (%s)", step.Detail)
		}
		text.WriteString(step.chosen())
		text.WriteString("; ")
	}
	return slog.StringValue(strings.TrimSuffix(text.String(), "; "))
}

// chosen tells what was known of the target that was chosen.
func (step Step) chosen() string {
	for _, candidate := range step.Candidates {
		if candidate.Chosen {
			age := "none" // nothing was reported yet
			if candidate.Known {
				age = candidate.Age.Round(time.Millisecond).String()
			}
			return fmt.Sprintf(" %d, %s: running %d of %d, queued %d, slowness %.2f, failing %.2f, age %s", len(step.Candidates),
				candidate.Target, candidate.Running, candidate.Slots, candidate.Queued, candidate.Slowness, candidate.Failing, age)
		}
	}
	return ""
}

// Considered is what was known of a target when one was chosen.
type Considered struct {
	Target   string        `json:"target"`
	Chosen   bool          `json:"chosen,omitempty"`
	InFlight int           `json:"inFlight"`
	Running  int           `json:"running"`
	Queued   int           `json:"queued"`
	Slots    int           `json:"slots"`
	Age      time.Duration `json:"age"`
	Known    bool          `json:"known"`
	Latency  time.Duration `json:"latency"`
	Link     time.Duration `json:"link"`
	Slowness float64       `json:"slowness,omitempty"`
	Failing  float64       `json:"failing"`
	Warmth   float64       `json:"warmth"`
	Ejected  bool          `json:"ejected,omitempty"`
	Draining bool          `json:"draining,omitempty"`
}

// recordCount is the number of records that a daemon keeps.
const recordCount = 1024

// Records keeps the newest records. The zero value is ready for use.
type Records struct {
	mutex sync.Mutex
	ring  [recordCount]Record
	next  int
}

func (records *Records) add(record Record) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.ring[records.next%recordCount] = record
	records.next++
}

// Find returns the kept records of a request or of a service, newest first.
// An empty name matches all.
func (records *Records) Find(request, service string, most int) []Record {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	var found []Record
	for step := 1; step <= min(records.next, recordCount) && len(found) < most; step++ {
		record := records.ring[(records.next-step)%recordCount]
		if (request == "" || record.Request == request) && (service == "" || record.Service == service) {
			found = append(found, record)
		}
	}
	return found
}

// explain adds an event to the record.
func (exchange *exchange) explain(event call.Event) {
	what, detail := describe(event)
	exchange.step(Step{What: what, Detail: detail})
}

func (exchange *exchange) step(step Step) {
	step.After = exchange.handler.Now().Sub(exchange.arrived)
	exchange.record.Steps = append(exchange.record.Steps, step)
}

func describe(event call.Event) (what, detail string) {
	switch event := event.(type) {
	case call.RequestArrived:
		return "arrived", ""
	case call.TargetChosen:
		return "chosen", event.Target
	case call.NoTargetLeft:
		return "noTargetLeft", ""
	case call.SlotGranted:
		return "granted", fmt.Sprintf("attempt %d", event.Attempt)
	case call.AttemptRefused:
		return "refused", fmt.Sprintf("attempt %d: %s", event.Attempt, event.Reason)
	case call.AttemptLost:
		return "lost", fmt.Sprintf("attempt %d, crashed %t, unsent %t", event.Attempt, event.Crashed, event.Unsent)
	case call.ResponseStarted:
		return "answered", fmt.Sprintf("attempt %d", event.Attempt)
	case call.ServerErrorReceived:
		return "failing", fmt.Sprintf("attempt %d", event.Attempt)
	case call.ResponseRelayed:
		return "relayed", ""
	case call.ClaimGranted:
		return "claimGranted", ""
	case call.ClaimRefused:
		return "claimRefused", fmt.Sprintf("held %t, known %q", event.Held, event.HolderOutcome)
	case call.HedgeDue:
		return "hedgeDue", ""
	case call.DeadlinePassed:
		return "deadlinePassed", ""
	case call.CallerLeft:
		return "callerLeft", ""
	default:
		return "other", ""
	}
}

// explainChoice adds what was known of the candidates to the record.
func (exchange *exchange) explainChoice(candidates []route.Candidate, chosen int) {
	step := Step{What: "considered", Candidates: make([]Considered, 0, len(candidates))}
	for index, candidate := range candidates {
		step.Candidates = append(step.Candidates, Considered{
			Target: candidate.ID, Chosen: index == chosen, InFlight: candidate.InFlight,
			Running: candidate.Load.Running, Queued: candidate.Load.Queued, Slots: candidate.Load.Slots,
			Age: candidate.ReportAge, Known: candidate.HasReport, Latency: candidate.Latency, Link: candidate.LinkLatency,
			Slowness: candidate.Load.Slowness, Failing: candidate.FailureRate, Warmth: candidate.Warmth, Ejected: candidate.Ejected, Draining: candidate.Load.Draining,
		})
	}
	exchange.step(step)
}
