package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
)

// Step is a point in the course of a request.
type Step string

// The steps of a request.
const (
	StepBeforeAdmission Step = "beforeAdmission"
	StepQueued          Step = "queued"
	StepGranted         Step = "granted"
	StepClaimWritten    Step = "claimWritten"
	StepCommitted       Step = "committed"
	StepHandedOver      Step = "handedOver"
	StepMidAnswer       Step = "midAnswer"
	StepAfterAnswer     Step = "afterAnswer"
)

// RequestSteps are all steps of a request in their order.
var RequestSteps = []Step{
	StepBeforeAdmission, StepQueued, StepGranted, StepClaimWritten,
	StepCommitted, StepHandedOver, StepMidAnswer, StepAfterAnswer,
}

// Fault is something that goes wrong, and how it ends.
type Fault struct {
	Name  string
	Begin func(scene *scene)
	End   func(scene *scene)
}

// scene is a world with the request under test.
type scene struct {
	*world
	entry    string
	other    string
	target   string
	exchange *exchange
	cuts     []func(from, to kernel.Settings) bool
}

// Who is who in a scene: the entry and the target stand in different regions,
// and neither is a clerk if that can be helped.
const (
	entryName  = "d1"
	otherName  = "d3"
	targetName = "d4"
)

// freezeTime is how long a frozen daemon is frozen.
const freezeTime = 8 * time.Second

func (scene *scene) clerk() string {
	return scene.fleet.Nodes[scene.other].View.ClaimCoordinators[0][0]
}

func (scene *scene) freeze(name string) {
	scene.fleet.Nodes[name].FrozenUntil = scene.fleet.Now.Add(freezeTime)
}

// kill ends a daemon; its upstream goes on, but nobody hears of it.
func (scene *scene) kill(name string) { scene.fleet.Stop(name) }

func (scene *scene) restart(name string) {
	if scene.fleet.Nodes[name].Stopped {
		scene.start(name)
	}
}

func (scene *scene) cut(lost func(from, to kernel.Settings) bool) {
	scene.cuts = append(scene.cuts, lost)
	scene.fleet.Lost = func(from, to kernel.Settings) bool {
		for _, lost := range scene.cuts {
			if lost(from, to) {
				return true
			}
		}
		return false
	}
}

func (scene *scene) heal() {
	scene.cuts = nil
	scene.fleet.Lost = nil
}

func nothing(*scene) {}

// Faults are all faults that can meet a request.
func Faults() []Fault {
	return []Fault{
		{"entryKilled", func(scene *scene) { scene.kill(scene.entry) }, func(scene *scene) { scene.restart(scene.entry) }},
		{"gateKilled", func(scene *scene) { scene.kill(scene.target) }, func(scene *scene) { scene.restart(scene.target) }},
		{"clerkKilled", func(scene *scene) { scene.kill(scene.clerk()) }, func(scene *scene) {
			for _, name := range scene.names {
				scene.restart(name)
			}
		}},
		{"entryFrozen", func(scene *scene) { scene.freeze(scene.entry) }, nothing},
		{"gateFrozen", func(scene *scene) { scene.freeze(scene.target) }, nothing},
		{"clerkFrozen", func(scene *scene) { scene.freeze(scene.clerk()) }, nothing},
		{"upstreamKilled", func(scene *scene) { scene.killUpstream(scene.servers[scene.target]) }, func(scene *scene) { scene.servers[scene.target].dead = false }},
		{"upstreamSlow", func(scene *scene) { scene.servers[scene.target].slow = true }, func(scene *scene) { scene.servers[scene.target].slow = false }},
		{"upstreamFailing", func(scene *scene) { scene.servers[scene.target].failing = true }, func(scene *scene) { scene.servers[scene.target].failing = false }},
		{"linkCutOut", func(scene *scene) {
			scene.cut(func(from, to kernel.Settings) bool { return from.Self == scene.entry && to.Self == scene.target })
		}, (*scene).heal},
		{"linkCutBack", func(scene *scene) {
			scene.cut(func(from, to kernel.Settings) bool { return from.Self == scene.target && to.Self == scene.entry })
		}, (*scene).heal},
		{"linkCutBoth", func(scene *scene) {
			scene.cut(func(from, to kernel.Settings) bool {
				return from.Self == scene.target && to.Self == scene.entry || from.Self == scene.entry && to.Self == scene.target
			})
		}, (*scene).heal},
		{"regionCut", func(scene *scene) {
			scene.cut(func(from, to kernel.Settings) bool { return from.Region != to.Region })
		}, (*scene).heal},
		{"platformDown", func(scene *scene) { scene.fleet.Platform.Down = true }, func(scene *scene) { scene.fleet.Platform.Down = false }},
		{"platformSlow", func(scene *scene) {
			scene.fleet.Platform.Delay = func() time.Duration { return 3 * time.Second }
		}, func(scene *scene) { scene.fleet.Platform.Delay = nil }},
		{"platformAnswerLost", func(scene *scene) {
			scene.fleet.Platform.LoseAnswer = func() bool { return true }
		}, func(scene *scene) { scene.fleet.Platform.LoseAnswer = nil }},
		{"drain", func(scene *scene) {
			scene.apply(scene.servers[scene.target], admit.DrainRequested{At: scene.fleet.Now})
			scene.fleet.Tell(scene.target, kernel.DrainRequested{})
		}, nothing},
	}
}

// Cell is a fault, or two, at a step of a request.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Requests are the cells of all single faults.
func Requests() []Cell {
	var cells []Cell
	for _, fault := range Faults() {
		for _, step := range RequestSteps {
			cells = append(cells, Cell{Step: step, Faults: []Fault{fault}})
		}
	}
	return cells
}

// Pairs are the cells of two faults together.
func Pairs() []Cell {
	var cells []Cell
	faults := Faults()
	for first := range faults {
		for second := first + 1; second < len(faults); second++ {
			for _, step := range RequestSteps {
				cells = append(cells, Cell{Step: step, Faults: []Fault{faults[first], faults[second]}})
			}
		}
	}
	return cells
}

// Name is the cell's faults and step.
func (cell Cell) Name() string {
	name := ""
	for _, fault := range cell.Faults {
		name += fault.Name + "+"
	}
	return name[:len(name)-1] + "@" + string(cell.Step)
}

// Times of a cell's course.
const (
	faultTime  = 10 * time.Second
	resendTime = time.Second
	healTime   = 30 * time.Second
	// toldGrace is how much later than its deadline a caller may be told.
	toldGrace = 100 * time.Millisecond
)

// Run plays the cell, and returns what promise was broken, or nothing.
func (cell Cell) Run() string {
	scene := &scene{world: newWorld(1), entry: entryName, other: otherName, target: targetName}
	begun := false
	scene.reached = func(step Step, exchange *exchange) {
		if begun || step != cell.Step || !exchange.watched {
			return
		}
		begun = true
		for _, fault := range cell.Faults {
			fault.Begin(scene)
		}
	}
	if cell.Step == StepQueued {
		scene.fill()
	}
	sent := scene.fleet.Now
	scene.exchange = scene.begin(entryName, "the-key", []string{targetName, "d2", "d5"}, true)
	scene.fleet.Run(resendTime)
	resent := scene.begin(otherName, "the-key", []string{"d2", "d5", "d0"}, false)
	scene.fleet.Run(faultTime)
	for _, fault := range cell.Faults {
		fault.End(scene)
	}
	scene.fleet.Run(healTime)
	last := scene.begin("d0", "the-key", []string{"d2", "d5", "d0"}, false)
	fresh := scene.begin("d2", "another-key", []string{"d5", "d0", "d2"}, false)
	scene.fleet.Run(deadline + time.Second)
	if !begun {
		return "the step was never reached"
	}
	return scene.judge(sent, []*exchange{scene.exchange, resent, last}, fresh)
}

// fill occupies the target's slot, so that the next request has to wait.
func (scene *scene) fill() {
	target := scene.servers[scene.target]
	target.slow = true
	scene.begin(scene.other, "filler", []string{scene.target}, false)
	scene.fleet.Run(300 * time.Millisecond)
	target.slow = false
}

// judge checks the promises after a cell's course.
func (scene *scene) judge(sent time.Time, sendings []*exchange, fresh *exchange) string {
	if runs := scene.runs["the-key"]; len(runs) > 1 {
		return fmt.Sprintf("the request ran %d times: %v", len(runs), runs)
	}
	for _, sending := range sendings {
		notRun := sending.finish != nil && sending.finish.Outcome == call.OutcomeNotRun
		if notRun && scene.ran[sending.request] {
			return sending.request + " was told notRun, and ran"
		}
	}
	first := scene.exchange
	untouched := !scene.fleet.Nodes[scene.entry].Stopped && first.node == scene.fleet.Nodes[scene.entry]
	frozen := first.node.FrozenUntil.After(sent)
	if untouched && !first.told() {
		return "the caller was told nothing"
	}
	if untouched && !frozen && first.toldAt.Sub(sent) > deadline+toldGrace {
		return "the caller was told too late: " + first.toldAt.Sub(sent).String()
	}
	if !fresh.relayed {
		return fmt.Sprintf("after the faults a new request is not served: %+v", fresh.finish)
	}
	return scene.judgeKey(sendings[len(sendings)-1])
}

// judgeKey checks that the key is not lost: after the faults its request has
// run, or the last resend is told that its end is not known.
func (scene *scene) judgeKey(last *exchange) string {
	ran := len(scene.runs["the-key"]) == 1
	told := last.finish != nil && last.finish.Problem == call.ProblemClaimHeld
	if !ran && !told {
		return fmt.Sprintf("the request has not run, and its last resend was told %+v", last.finish)
	}
	return ""
}
