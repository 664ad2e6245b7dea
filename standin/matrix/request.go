package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
)

// Step is a point in a request, in a configuration change or in the life of a
// daemon at which faults are injected.
type Step string

// The steps of a request.
const (
	StepBeforeAdmission Step = "beforeAdmission"
	StepQueued          Step = "queued"
	StepGranted         Step = "granted"
	StepClaimWritten    Step = "claimWritten"
	StepCommitted       Step = "committed"
	StepHandedOver      Step = "handedOver"
	StepMidResponse     Step = "midAnswer"
	StepAfterResponse   Step = "afterAnswer"
)

// RequestSteps lists the steps of a request in order.
var RequestSteps = []Step{
	StepBeforeAdmission, StepQueued, StepGranted, StepClaimWritten,
	StepCommitted, StepHandedOver, StepMidResponse, StepAfterResponse,
}

// Fault is a fault that Begin injects and End repairs.
type Fault struct {
	Name  string
	Begin func(trial *trial)
	End   func(trial *trial)
}

// trial runs one cell of the matrix in a simulation. A cell is a fault, or two, at
// a step. The exchange is the request under test, and cuts holds the functions
// that select the messages lost on links which are cut.
type trial struct {
	*simulation
	ingress       string
	secondIngress string
	target        string
	exchange      *exchange
	cuts          []func(from, to kernel.Settings) bool
}

// The daemons that have a part in a trial. The ingress and the target are in
// different regions, and neither is a claim coordinator if possible.
const (
	ingressName       = "d1"
	secondIngressName = "d3"
	targetName        = "d4"
)

// freezeDuration is how long a frozen daemon handles no events.
const freezeDuration = 8 * time.Second

func (trial *trial) coordinator() string {
	return trial.fleet.Nodes[trial.secondIngress].View.ClaimCoordinators[0][0]
}

func (trial *trial) freeze(name string) {
	trial.fleet.Nodes[name].FrozenUntil = trial.fleet.Now.Add(freezeDuration)
}

// kill stops a daemon. Its upstream goes on running, but its responses are lost.
func (trial *trial) kill(name string) { trial.fleet.Stop(name) }

func (trial *trial) restart(name string) {
	if trial.fleet.Nodes[name].Stopped {
		trial.startDaemon(name)
	}
}

func (trial *trial) cut(lost func(from, to kernel.Settings) bool) {
	trial.cuts = append(trial.cuts, lost)
	trial.fleet.DropMessage = func(from, to kernel.Settings) bool {
		for _, lost := range trial.cuts {
			if lost(from, to) {
				return true
			}
		}
		return false
	}
}

func (trial *trial) heal() {
	trial.cuts = nil
	trial.fleet.DropMessage = nil
}

func noEffect(*trial) {}

// Faults returns the faults that are injected into a request. Their names call the
// ingress entry and the claim coordinator clerk.
func Faults() []Fault {
	return []Fault{
		{"entryKilled", func(trial *trial) { trial.kill(trial.ingress) }, func(trial *trial) { trial.restart(trial.ingress) }},
		{"gateKilled", func(trial *trial) { trial.kill(trial.target) }, func(trial *trial) { trial.restart(trial.target) }},
		{"clerkKilled", func(trial *trial) { trial.kill(trial.coordinator()) }, func(trial *trial) {
			for _, name := range trial.names {
				trial.restart(name)
			}
		}},
		{"entryFrozen", func(trial *trial) { trial.freeze(trial.ingress) }, noEffect},
		{"gateFrozen", func(trial *trial) { trial.freeze(trial.target) }, noEffect},
		{"clerkFrozen", func(trial *trial) { trial.freeze(trial.coordinator()) }, noEffect},
		{"upstreamKilled", func(trial *trial) { trial.killUpstream(trial.servers[trial.target]) }, func(trial *trial) { trial.servers[trial.target].dead = false }},
		{"upstreamSlow", func(trial *trial) { trial.servers[trial.target].slow = true }, func(trial *trial) { trial.servers[trial.target].slow = false }},
		{"upstreamFailing", func(trial *trial) { trial.servers[trial.target].failing = true }, func(trial *trial) { trial.servers[trial.target].failing = false }},
		{"linkCutOut", func(trial *trial) {
			trial.cut(func(from, to kernel.Settings) bool { return from.Self == trial.ingress && to.Self == trial.target })
		}, (*trial).heal},
		{"linkCutBack", func(trial *trial) {
			trial.cut(func(from, to kernel.Settings) bool { return from.Self == trial.target && to.Self == trial.ingress })
		}, (*trial).heal},
		{"linkCutBoth", func(trial *trial) {
			trial.cut(func(from, to kernel.Settings) bool {
				return from.Self == trial.target && to.Self == trial.ingress || from.Self == trial.ingress && to.Self == trial.target
			})
		}, (*trial).heal},
		{"regionCut", func(trial *trial) {
			trial.cut(func(from, to kernel.Settings) bool { return from.Region != to.Region })
		}, (*trial).heal},
		{"platformDown", func(trial *trial) { trial.fleet.Platform.Down = true }, func(trial *trial) { trial.fleet.Platform.Down = false }},
		{"platformSlow", func(trial *trial) {
			trial.fleet.Platform.WriteDelay = func() time.Duration { return 3 * time.Second }
		}, func(trial *trial) { trial.fleet.Platform.WriteDelay = nil }},
		{"platformAnswerLost", func(trial *trial) {
			trial.fleet.Platform.DropWriteReply = func() bool { return true }
		}, func(trial *trial) { trial.fleet.Platform.DropWriteReply = nil }},
		{"drain", func(trial *trial) {
			trial.apply(trial.servers[trial.target], admit.DrainRequested{At: trial.fleet.Now})
			trial.fleet.Deliver(trial.target, kernel.DrainRequested{})
		}, noEffect},
	}
}

// RequestCell is one fault, or two at once, at a step of a request.
type RequestCell struct {
	Step   Step
	Faults []Fault
}

// RequestCells returns the cells of single faults at each step of a request.
func RequestCells() []RequestCell {
	var cells []RequestCell
	for _, fault := range Faults() {
		for _, step := range RequestSteps {
			cells = append(cells, RequestCell{Step: step, Faults: []Fault{fault}})
		}
	}
	return cells
}

// PairCells returns the cells of two faults at once at each step of a request.
func PairCells() []RequestCell {
	var cells []RequestCell
	faults := Faults()
	for first := range faults {
		for second := first + 1; second < len(faults); second++ {
			for _, step := range RequestSteps {
				cells = append(cells, RequestCell{Step: step, Faults: []Fault{faults[first], faults[second]}})
			}
		}
	}
	return cells
}

// Name returns the cell's faults and its step, such as "drain@queued".
func (cell RequestCell) Name() string {
	name := ""
	for _, fault := range cell.Faults {
		name += fault.Name + "+"
	}
	return name[:len(name)-1] + "@" + string(cell.Step)
}

// The timing of a trial.
const (
	faultDuration = 10 * time.Second
	resendDelay   = time.Second
	recoveryTime  = 30 * time.Second
	// deadlineGrace is how long after the deadline the response to the caller
	// may come.
	deadlineGrace = 100 * time.Millisecond
)

// Run runs the cell and describes the guarantee that was violated. It returns an
// empty string if all hold.
func (cell RequestCell) Run() string {
	trial := &trial{simulation: newSimulation(1), ingress: ingressName, secondIngress: secondIngressName, target: targetName}
	started := false
	trial.onStep = func(step Step, exchange *exchange) {
		if started || step != cell.Step || !exchange.underTest {
			return
		}
		started = true
		for _, fault := range cell.Faults {
			fault.Begin(trial)
		}
	}
	if cell.Step == StepQueued {
		trial.fillSlot()
	}
	sent := trial.fleet.Now
	trial.exchange = trial.startRequest(ingressName, "the-key", []string{targetName, "d2", "d5"}, true)
	trial.fleet.Run(resendDelay)
	resent := trial.startRequest(secondIngressName, "the-key", []string{"d2", "d5", "d0"}, false)
	trial.fleet.Run(faultDuration)
	for _, fault := range cell.Faults {
		fault.End(trial)
	}
	trial.fleet.Run(recoveryTime)
	last := trial.startRequest("d0", "the-key", []string{"d2", "d5", "d0"}, false)
	fresh := trial.startRequest("d2", "another-key", []string{"d5", "d0", "d2"}, false)
	trial.fleet.Run(deadline + time.Second)
	if !started {
		return "the step was never reached"
	}
	return trial.checkGuarantees(sent, []*exchange{trial.exchange, resent, last}, fresh)
}

// fillSlot occupies the target's slot, so that the next request is queued.
func (trial *trial) fillSlot() {
	target := trial.servers[trial.target]
	target.slow = true
	trial.startRequest(trial.secondIngress, "filler", []string{trial.target}, false)
	trial.fleet.Run(300 * time.Millisecond)
	target.slow = false
}

// checkGuarantees checks after the faults that the request ran at most once, was
// reported correctly and in time, and that new requests are served.
func (trial *trial) checkGuarantees(sent time.Time, exchanges []*exchange, fresh *exchange) string {
	if runs := trial.runsByKey["the-key"]; len(runs) > 1 {
		return fmt.Sprintf("the request ran %d times: %v", len(runs), runs)
	}
	for _, exchange := range exchanges {
		notRun := exchange.finish != nil && exchange.finish.Outcome == call.OutcomeNotRun
		if notRun && trial.executed[exchange.request] {
			return exchange.request + " was reported as notRun but ran"
		}
	}
	first := trial.exchange
	ingressAlive := !trial.fleet.Nodes[trial.ingress].Stopped && first.node == trial.fleet.Nodes[trial.ingress]
	frozen := first.node.FrozenUntil.After(sent)
	if ingressAlive && !first.responded() {
		return "the caller got no response"
	}
	if ingressAlive && !frozen && first.respondedAt.Sub(sent) > deadline+deadlineGrace {
		return "the caller got its response too late: " + first.respondedAt.Sub(sent).String()
	}
	if !fresh.relayed {
		return fmt.Sprintf("a new request after the faults was not served: %+v", fresh.finish)
	}
	return trial.checkKeyNotLost(exchanges[len(exchanges)-1])
}

// checkKeyNotLost checks that the key is not left unusable without a reason: after
// the faults, either the request has run, or the last resend is refused because
// the claim of an earlier request, whose outcome is unknown, is still held.
func (trial *trial) checkKeyNotLost(last *exchange) string {
	executed := len(trial.runsByKey["the-key"]) == 1
	held := last.finish != nil && last.finish.Problem == call.ProblemClaimHeld
	if !executed && !held {
		return fmt.Sprintf("the request has not run, and the response to its last resend was %+v", last.finish)
	}
	return ""
}
