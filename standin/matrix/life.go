package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
)

// The steps of a daemon's life.
const (
	StepStarting Step = "starting"
	StepServing  Step = "serving"
	StepDraining Step = "draining"
)

// LifeSteps are all steps of a daemon's life in their order.
var LifeSteps = []Step{StepStarting, StepServing, StepDraining}

// LifeCell is a fault at a step of a daemon's life.
type LifeCell struct {
	Step  Step
	Fault Fault
}

// lifeFaults are the faults that can meet a daemon; it is the target.
func lifeFaults() []Fault {
	var faults []Fault
	for _, fault := range Faults() {
		switch fault.Name {
		case "gateKilled", "gateFrozen", "clerkKilled", "regionCut", "platformDown", "platformSlow", "upstreamSlow":
			faults = append(faults, fault)
		}
	}
	return faults
}

// Lives are the cells of daemons' lives.
func Lives() []LifeCell {
	var cells []LifeCell
	for _, fault := range lifeFaults() {
		for _, step := range LifeSteps {
			cells = append(cells, LifeCell{Step: step, Fault: fault})
		}
	}
	return cells
}

// Name is the cell's fault and step.
func (cell LifeCell) Name() string { return cell.Fault.Name + "@" + string(cell.Step) }

// Run plays the cell, and returns what promise was broken, or nothing.
func (cell LifeCell) Run() string {
	scene := &scene{world: newWorld(3), entry: entryName, other: otherName, target: targetName}
	inProgress := scene.begin("d2", "in-progress", []string{targetName, "d5"}, false)
	scene.fleet.Run(50 * time.Millisecond)
	switch cell.Step {
	case StepStarting:
		scene.kill(targetName)
		scene.start(targetName)
	case StepDraining:
		scene.drainTarget()
	}
	cell.Fault.Begin(scene)
	scene.fleet.Run(faultTime)
	if fault := scene.judgeDrained(cell); fault != "" {
		return fault
	}
	cell.Fault.End(scene)
	scene.fleet.Run(healTime)
	if runs := scene.runs["in-progress"]; len(runs) > 1 {
		return fmt.Sprintf("the request in progress ran %d times", len(runs))
	}
	if !inProgress.told() {
		return "the request in progress was told nothing"
	}
	return scene.judgeFleet()
}

func (scene *scene) drainTarget() {
	scene.apply(scene.servers[targetName], admit.DrainRequested{At: scene.fleet.Now})
	scene.fleet.Tell(targetName, kernel.DrainRequested{Leaving: true})
}

// judgeDrained checks that a target that was told to drain takes nothing new.
func (scene *scene) judgeDrained(cell LifeCell) string {
	if cell.Step != StepDraining {
		return ""
	}
	late := scene.begin(otherName, "late", []string{targetName, "d5", "d2"}, false)
	scene.fleet.Run(deadline + time.Second)
	for _, place := range late.sentTo {
		if party := place.parties[late.places[0]]; place.node.Settings.Self == targetName && party != nil && party.running {
			return "a draining target got new work"
		}
	}
	return ""
}

// judgeFleet checks that all daemons live, are ready and see each other.
func (scene *scene) judgeFleet() string {
	for _, observer := range scene.names {
		node := scene.fleet.Nodes[observer]
		if !node.View.Ready {
			return observer + " is not ready"
		}
		for _, name := range scene.names {
			member, _ := node.View.Member(name)
			if member.State != kernel.MemberAlive {
				return fmt.Sprintf("%s believes that %s is %q", observer, name, member.State)
			}
		}
	}
	return ""
}
