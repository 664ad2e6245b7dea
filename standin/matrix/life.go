package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
)

// The steps of the life of a daemon.
const (
	StepStarting Step = "starting"
	StepServing  Step = "serving"
	StepDraining Step = "draining"
)

// LifeSteps lists the steps of the life of a daemon in order.
var LifeSteps = []Step{StepStarting, StepServing, StepDraining}

// LifeCell is a fault at a step of the life of a daemon.
type LifeCell struct {
	Step  Step
	Fault Fault
}

// lifeFaults returns the faults that are injected into the life of a daemon. The
// daemon under test is the one named targetName.
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

// LifeCells returns the cells of single faults at each step of the life of a
// daemon.
func LifeCells() []LifeCell {
	var cells []LifeCell
	for _, fault := range lifeFaults() {
		for _, step := range LifeSteps {
			cells = append(cells, LifeCell{Step: step, Fault: fault})
		}
	}
	return cells
}

// Name returns the cell's fault and its step.
func (cell LifeCell) Name() string { return cell.Fault.Name + "@" + string(cell.Step) }

// Run runs the cell and describes the guarantee that was violated. It returns an
// empty string if all hold.
func (cell LifeCell) Run() string {
	trial := &trial{simulation: newSimulation(3), ingress: ingressName, secondIngress: secondIngressName, target: targetName}
	inProgress := trial.startRequest("d2", "in-progress", []string{targetName, "d5"}, false)
	trial.fleet.Run(50 * time.Millisecond)
	switch cell.Step {
	case StepStarting:
		trial.kill(targetName)
		trial.startDaemon(targetName)
	case StepDraining:
		trial.drainTarget()
	}
	cell.Fault.Begin(trial)
	trial.fleet.Run(faultDuration)
	if violation := trial.checkDraining(cell); violation != "" {
		return violation
	}
	cell.Fault.End(trial)
	trial.fleet.Run(recoveryTime)
	if runs := trial.runsByKey["in-progress"]; len(runs) > 1 {
		return fmt.Sprintf("the request in progress ran %d times", len(runs))
	}
	if !inProgress.responded() {
		return "the request in progress got no response"
	}
	return trial.checkFleet()
}

func (trial *trial) drainTarget() {
	trial.apply(trial.servers[targetName], admit.DrainRequested{At: trial.fleet.Now})
	trial.fleet.Deliver(targetName, kernel.DrainRequested{Leaving: true})
}

// checkDraining checks that a draining target accepts no new requests.
func (trial *trial) checkDraining(cell LifeCell) string {
	if cell.Step != StepDraining {
		return ""
	}
	late := trial.startRequest(secondIngressName, "late", []string{targetName, "d5", "d2"}, false)
	trial.fleet.Run(deadline + time.Second)
	for _, server := range late.attemptServers {
		if admission := server.admissions[late.gateIDs[0]]; server.node.Settings.Self == targetName && admission != nil && admission.running {
			return "a draining target accepted a new request"
		}
	}
	return ""
}

// checkFleet checks that all daemons are ready and record each other as alive.
func (trial *trial) checkFleet() string {
	for _, observer := range trial.names {
		node := trial.fleet.Nodes[observer]
		if !node.View.Ready {
			return observer + " is not ready"
		}
		for _, name := range trial.names {
			member, _ := node.View.Member(name)
			if member.State != kernel.MemberAlive {
				return fmt.Sprintf("%s records %s as %q", observer, name, member.State)
			}
		}
	}
	return ""
}
