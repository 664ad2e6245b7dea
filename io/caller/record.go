package caller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/route"
	"ibislift/io/http1"
)

// Record describes how one request was handled.
type Record struct {
	RequestID string       `json:"request"`
	Service   string       `json:"service"`
	Method    string       `json:"method"`
	Path      string       `json:"path"`
	ArrivedAt time.Time    `json:"at"`
	Outcome   call.Outcome `json:"outcome"`
	Status    int          `json:"status"`
	// Workspace is the workspace that the request belongs to, if any, and Regions are
	// the regions that it is restricted to.
	Workspace string   `json:"workspace,omitempty"`
	Regions   []string `json:"regions,omitempty"`
	Steps     []Step   `json:"steps"`
}

// Step is one event in the handling of a request. Elapsed is the time since the
// arrival of the request.
type Step struct {
	Elapsed    time.Duration `json:"after"`
	Event      string        `json:"what"`
	Detail     string        `json:"detail,omitempty"`
	Candidates []Candidate   `json:"candidates,omitempty"`
}

// steps formats itself as one log line: each step with the milliseconds since
// the arrival of the request.
type steps []Step

// LogValue implements slog.LogValuer.
func (steps steps) LogValue() slog.Value {
	var text strings.Builder
	for _, step := range steps {
		fmt.Fprintf(&text, "%d %s", step.Elapsed.Milliseconds(), step.Event)
		if step.Detail != "" {
			fmt.Fprintf(&text, " (%s)", step.Detail)
		}
		text.WriteString(step.describeChosen())
		text.WriteString("; ")
	}
	return slog.StringValue(strings.TrimSuffix(text.String(), "; "))
}

// describeChosen returns the number of candidates and the state of the chosen
// one, as this daemon saw it at the time of the choice. It returns an empty string
// if the step is not a choice.
func (step Step) describeChosen() string {
	for _, candidate := range step.Candidates {
		if candidate.Chosen {
			age := "none" // no load report received
			if candidate.HasReport {
				age = candidate.ReportAge.Round(time.Millisecond).String()
			}
			limit := ""
			switch {
			case candidate.Cold:
				limit = fmt.Sprintf(", cold, next in %s", candidate.RateDelay.Round(time.Millisecond))
			case candidate.RateLimit.InForce:
				limit = fmt.Sprintf(", limit %g/s, next in %s", candidate.RateLimit.PerSecond, candidate.RateDelay.Round(time.Millisecond))
			}
			return fmt.Sprintf(" %d, %s: running %d of %d, queued %d, slowness %.2f%s, failing %.2f, age %s", len(step.Candidates),
				candidate.Target, candidate.Running, candidate.Slots, candidate.Queued, candidate.Slowness, limit, candidate.FailureRate, age)
		}
	}
	return ""
}

// Candidate is the state of a target, as this daemon saw it, when a target was
// chosen.
type Candidate struct {
	Target      string        `json:"target"`
	Chosen      bool          `json:"chosen,omitempty"`
	InFlight    int           `json:"inFlight"`
	Running     int           `json:"running"`
	Queued      int           `json:"queued"`
	Slots       int           `json:"slots"`
	ReportAge   time.Duration `json:"age"`
	HasReport   bool          `json:"known"`
	Latency     time.Duration `json:"latency"`
	LinkLatency time.Duration `json:"link"`
	Slowness    float64       `json:"slowness,omitempty"`
	FailureRate float64       `json:"failing"`
	Warmth      float64       `json:"warmth"`
	Ejected     bool          `json:"ejected,omitempty"`
	Draining    bool          `json:"draining,omitempty"`
	// RateLimit is the limit that the target names, RateDelay the time until the limit
	// let a further request through when the target reported it.
	RateLimit admit.RateLimit `json:"rateLimit,omitzero"`
	RateDelay time.Duration   `json:"rateDelay,omitempty"`
	// Cold is set if the target was limited by its warm-up.
	Cold bool `json:"cold,omitempty"`
}

// refusalRecord returns the record of a request that was refused before a target was
// chosen.
func (request *request) refusalRecord(original *http.Request, refusal *problem, arrived time.Time) Record {
	return Record{
		RequestID: request.id, Service: request.service, Method: original.Method, Path: original.URL.Path, ArrivedAt: arrived,
		Outcome: refusal.Outcome, Status: refusal.Status, Workspace: request.workspaceName(), Regions: request.regions,
		Steps: []Step{{Event: refusal.kind(), Detail: refusal.reason}},
	}
}

// Limits on the number of records that a daemon keeps. Those of requests that were
// refused before a target was chosen have a place of their own, so that callers without
// a valid key do not displace the others.
const (
	maxRecords        = 1024
	maxRefusalRecords = 128
)

// Records keeps the latest records. The zero value is ready for use.
type Records struct {
	mutex       sync.Mutex
	ring        [maxRecords]Record
	next        int
	refused     [maxRefusalRecords]Record
	nextRefused int
}

func (records *Records) add(record Record) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.ring[records.next%maxRecords] = record
	records.next++
}

// addRefusal adds the record of a request that was refused before a target was chosen.
func (records *Records) addRefusal(record Record) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.refused[records.nextRefused%maxRefusalRecords] = record
	records.nextRefused++
}

// Find returns up to limit of the kept records of a request and of a service,
// newest first. An empty string matches every request or every service. Requests that
// were refused before a target was chosen come last.
func (records *Records) Find(request, service string, limit int) []Record {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	var found []Record
	for age := 1; age <= min(records.next, maxRecords) && len(found) < limit; age++ {
		if record := records.ring[(records.next-age)%maxRecords]; record.matches(request, service) {
			found = append(found, record)
		}
	}
	for age := 1; age <= min(records.nextRefused, maxRefusalRecords) && len(found) < limit; age++ {
		if record := records.refused[(records.nextRefused-age)%maxRefusalRecords]; record.matches(request, service) {
			found = append(found, record)
		}
	}
	return found
}

func (record Record) matches(request, service string) bool {
	return (request == "" || record.RequestID == request) && (service == "" || record.Service == service)
}

// recordEvent adds an event to the record.
func (exchange *exchange) recordEvent(event call.Event) {
	name, detail := describeEvent(event)
	if withdrawal := exchange.view.Withdrawal; event == (call.RequestArrived{}) && withdrawal.InForce(exchange.arrived) {
		detail = "withdrawn from callers: " + withdrawal.Reason
	}
	if event == (call.CallerLeft{}) && errors.Is(context.Cause(exchange.original.Context()), http1.ErrAborted) {
		detail = "the connection was ended by another response"
	}
	exchange.addStep(Step{Event: name, Detail: detail})
}

func (exchange *exchange) addStep(step Step) {
	step.Elapsed = exchange.handler.Now().Sub(exchange.arrived)
	exchange.record.Steps = append(exchange.record.Steps, step)
}

func describeEvent(event call.Event) (name, detail string) {
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
		return "refused", describeRefusal(event)
	case call.AttemptLost:
		return "lost", fmt.Sprintf("attempt %d, crashed %t, unsent %t", event.Attempt, event.Crashed, event.Unsent)
	case call.ResponseStarted:
		return "answered", fmt.Sprintf("attempt %d", event.Attempt)
	case call.ServerErrorReceived:
		return "failing", fmt.Sprintf("attempt %d", event.Attempt)
	case call.ResponseRelayed:
		return "relayed", ""
	case call.ResponseCut:
		return "cut", fmt.Sprintf("attempt %d, crashed %t, problem %q", event.Attempt, event.Crashed, event.Problem)
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

// maxCauseLength limits what a gate may say of the cause of a refusal, in bytes. Gates of
// this version say up to 100.
const maxCauseLength = 120

func describeRefusal(refused call.AttemptRefused) string {
	text := fmt.Sprintf("attempt %d: %s", refused.Attempt, refused.Reason)
	if refused.Cause != "" {
		text += ", " + strings.ToValidUTF8(refused.Cause[:min(len(refused.Cause), maxCauseLength)], "")
	}
	return text
}

// recordCandidates adds the candidates of a choice to the record.
func (exchange *exchange) recordCandidates(candidates []route.Candidate, chosen int) {
	step := Step{Event: "considered", Candidates: make([]Candidate, 0, len(candidates))}
	for index, candidate := range candidates {
		step.Candidates = append(step.Candidates, Candidate{
			Target: candidate.ID, Chosen: index == chosen, InFlight: candidate.InFlight,
			Running: candidate.Load.Running, Queued: candidate.Load.Queued, Slots: candidate.Load.Slots,
			ReportAge: candidate.ReportAge, HasReport: candidate.HasReport, Latency: candidate.Latency, LinkLatency: candidate.LinkLatency,
			Slowness: candidate.Load.Slowness, FailureRate: candidate.FailureRate, Warmth: candidate.Warmth, Ejected: candidate.Ejected, Draining: candidate.Load.Draining,
			RateLimit: candidate.Load.RateLimit, RateDelay: candidate.Load.RateDelay,
			Cold: candidate.IsCold(),
		})
	}
	exchange.addStep(step)
}
