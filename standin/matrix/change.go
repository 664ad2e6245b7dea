package matrix

import (
	"fmt"
	"time"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// The steps of a configuration change.
const (
	StepBeforeWrite Step = "beforeWrite"
	StepAfterWrite  Step = "afterWrite"
	StepSpreading   Step = "spreading"
)

// ChangeSteps lists the steps of a configuration change in order.
var ChangeSteps = []Step{StepBeforeWrite, StepAfterWrite, StepSpreading}

// stepDelays holds the time from the operator's request to each step: when the
// object is written but the platform's reply has not arrived, and when the first
// neighbours have received the change.
var stepDelays = map[Step]time.Duration{
	StepAfterWrite: 1500 * time.Microsecond,
	StepSpreading:  2500 * time.Microsecond,
}

// ChangeCell is a fault at a step of a configuration change.
type ChangeCell struct {
	Step  Step
	Fault Fault
}

// writerName is the daemon that the operator sends the change to.
const writerName = ingressName

// changeFaults returns the faults that are injected into a change.
func changeFaults() []Fault {
	var faults []Fault
	for _, fault := range Faults() {
		switch fault.Name {
		case "entryKilled", "entryFrozen", "regionCut", "platformDown", "platformSlow", "platformAnswerLost", "gateKilled", "gateFrozen":
			faults = append(faults, fault)
		}
	}
	return append(faults, Fault{"operatorsRace", func(trial *trial) {
		trial.requestChange("d2", 901, 0, `{"queueBound": 901}`)
	}, noEffect}, Fault{"writerRestarted", func(trial *trial) {
		trial.kill(writerName)
		trial.startDaemon(writerName)
	}, noEffect})
}

// ChangeCells returns the cells of single faults at each step of a change.
func ChangeCells() []ChangeCell {
	var cells []ChangeCell
	for _, fault := range changeFaults() {
		for _, step := range ChangeSteps {
			cells = append(cells, ChangeCell{Step: step, Fault: fault})
		}
	}
	return cells
}

// Name returns the cell's fault and its step.
func (cell ChangeCell) Name() string { return cell.Fault.Name + "@" + string(cell.Step) }

var profileKey = kernel.Key{Kind: kernel.KindProfile, Name: "fast"}

// requestChange requests a change of the profile from a daemon, as an operator
// does.
func (simulation *simulation) requestChange(name string, token, base uint64, spec string) *fleet.Node {
	node := simulation.fleet.Nodes[name]
	simulation.fleet.ScheduleOn(node, 0, func() {
		simulation.fleet.Deliver(name, kernel.ChangeRequested{
			Token: token, Nonce: fmt.Sprint(token), Key: profileKey, BaseVersion: base, Spec: []byte(spec), Author: name,
		})
	})
	return node
}

// Run runs the cell and describes the guarantee that was violated. It returns an
// empty string if all hold.
func (cell ChangeCell) Run() string {
	trial := &trial{simulation: newSimulation(2), ingress: writerName, secondIngress: secondIngressName, target: targetName}
	highest := map[string]uint64{}
	reverted := trial.watchVersions(highest)
	if cell.Step == StepBeforeWrite {
		cell.Fault.Begin(trial)
	}
	node := trial.requestChange(writerName, 900, 0, `{"queueBound": 900}`)
	if cell.Step != StepBeforeWrite {
		trial.fleet.Run(stepDelays[cell.Step])
		cell.Fault.Begin(trial)
	}
	trial.fleet.Run(faultDuration)
	accepted := trial.acceptedVersion(node, 900)
	cell.Fault.End(trial)
	if cell.Fault.Name == "entryKilled" || cell.Fault.Name == "gateKilled" {
		clear(highest)
	}
	trial.fleet.Run(recoveryTime)
	switch {
	case *reverted != "":
		return *reverted
	case accepted == 0 && trial.acceptedVersion(node, 900) != 0:
		accepted = trial.acceptedVersion(node, 900)
	}
	object, _ := trial.fleet.Platform.Object("config/profiles/fast")
	if accepted > object.Version {
		return fmt.Sprintf("version %d was accepted, but the platform has %d", accepted, object.Version)
	}
	for _, name := range trial.names {
		if version := trial.versionInForce(name); version != object.Version {
			return fmt.Sprintf("%s has version %d in force, but the platform has %d", name, version, object.Version)
		}
	}
	return trial.checkRace(object.Version)
}

// checkRace checks that of two operators who change the same version at most one
// has the change accepted, and that the other receives the current version.
func (trial *trial) checkRace(version uint64) string {
	first := trial.fleet.Nodes[writerName].ChangeResults[900]
	second, raced := trial.fleet.Nodes["d2"].ChangeResults[901]
	if !raced {
		return ""
	}
	if first.Status == kernel.ChangeAccepted && second.Status == kernel.ChangeAccepted {
		return "both changes of the same base version were accepted"
	}
	if second.Status == kernel.ChangeConflict && second.Current.Version != version {
		return "the rejected operator did not receive the current version"
	}
	return ""
}

func (trial *trial) acceptedVersion(node *fleet.Node, token uint64) uint64 {
	if result := node.ChangeResults[token]; result.Status == kernel.ChangeAccepted {
		return result.Current.Version
	}
	return 0
}

func (trial *trial) versionInForce(name string) uint64 {
	config, _ := trial.fleet.Nodes[name].View.Config(profileKey)
	return config.Version
}

// watchVersions compares the versions in force on all daemons every 10 ms, and
// reports one that has gone down on a daemon which was not restarted.
func (trial *trial) watchVersions(highest map[string]uint64) *string {
	var violation string
	observed := map[string]*fleet.Node{}
	var observe func()
	observe = func() {
		for _, name := range trial.names {
			version := trial.versionInForce(name)
			if version < highest[name] && observed[name] == trial.fleet.Nodes[name] {
				violation = fmt.Sprintf("%s went back from version %d to %d", name, highest[name], version)
			}
			highest[name] = version
			observed[name] = trial.fleet.Nodes[name]
		}
		trial.fleet.Schedule(10*time.Millisecond, observe)
	}
	observe()
	return &violation
}
