package matrix

import (
	"fmt"
	"time"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// The steps of a change of configuration.
const (
	StepBeforeWrite Step = "beforeWrite"
	StepAfterWrite  Step = "afterWrite"
	StepSpreading   Step = "spreading"
)

// ChangeSteps are all steps of a change in their order.
var ChangeSteps = []Step{StepBeforeWrite, StepAfterWrite, StepSpreading}

// stepTimes are how long after the operator's wish a step is: after the write
// with its answer still under way, and when the first neighbours have heard.
var stepTimes = map[Step]time.Duration{
	StepAfterWrite: 1500 * time.Microsecond,
	StepSpreading:  2500 * time.Microsecond,
}

// ChangeCell is a fault at a step of a change.
type ChangeCell struct {
	Step  Step
	Fault Fault
}

// writerName is the daemon that the operator speaks to.
const writerName = entryName

// changeFaults are the faults that can meet a change.
func changeFaults() []Fault {
	var faults []Fault
	for _, fault := range Faults() {
		switch fault.Name {
		case "entryKilled", "entryFrozen", "regionCut", "platformDown", "platformSlow", "platformAnswerLost", "gateKilled", "gateFrozen":
			faults = append(faults, fault)
		}
	}
	return append(faults, Fault{"operatorsRace", func(scene *scene) {
		scene.ask("d2", 901, 0, `{"queueBound": 901}`)
	}, nothing}, Fault{"writerRestarted", func(scene *scene) {
		scene.kill(writerName)
		scene.start(writerName)
	}, nothing})
}

// Changes are the cells of changes of configuration.
func Changes() []ChangeCell {
	var cells []ChangeCell
	for _, fault := range changeFaults() {
		for _, step := range ChangeSteps {
			cells = append(cells, ChangeCell{Step: step, Fault: fault})
		}
	}
	return cells
}

// Name is the cell's fault and step.
func (cell ChangeCell) Name() string { return cell.Fault.Name + "@" + string(cell.Step) }

var profileKey = kernel.Key{Kind: kernel.KindProfile, Name: "fast"}

// ask lets an operator write the profile through a daemon.
func (world *world) ask(name string, token, base uint64, spec string) *fleet.Node {
	node := world.fleet.Nodes[name]
	world.fleet.At(node, 0, func() {
		world.fleet.Tell(name, kernel.ChangeRequested{
			Token: token, Nonce: fmt.Sprint(token), Key: profileKey, BaseVersion: base, Spec: []byte(spec), Author: name,
		})
	})
	return node
}

// Run plays the cell, and returns what promise was broken, or nothing.
func (cell ChangeCell) Run() string {
	scene := &scene{world: newWorld(2), entry: writerName, other: otherName, target: targetName}
	highest := map[string]uint64{}
	reverted := scene.watchVersions(highest)
	if cell.Step == StepBeforeWrite {
		cell.Fault.Begin(scene)
	}
	node := scene.ask(writerName, 900, 0, `{"queueBound": 900}`)
	if cell.Step != StepBeforeWrite {
		scene.fleet.Run(stepTimes[cell.Step])
		cell.Fault.Begin(scene)
	}
	scene.fleet.Run(faultTime)
	accepted := scene.acceptedVersion(node, 900)
	cell.Fault.End(scene)
	if cell.Fault.Name == "entryKilled" || cell.Fault.Name == "gateKilled" {
		clear(highest)
	}
	scene.fleet.Run(healTime)
	switch {
	case *reverted != "":
		return *reverted
	case accepted == 0 && scene.acceptedVersion(node, 900) != 0:
		accepted = scene.acceptedVersion(node, 900)
	}
	object, _ := scene.fleet.Platform.Object("config/profiles/fast")
	if accepted > object.Version {
		return fmt.Sprintf("version %d was accepted, the platform has %d", accepted, object.Version)
	}
	for _, name := range scene.names {
		if version := scene.versionAt(name); version != object.Version {
			return fmt.Sprintf("%s has version %d in force, the platform %d", name, version, object.Version)
		}
	}
	return scene.judgeRace(object.Version)
}

// judgeRace checks that of two operators at most one was told accepted for a
// version, and that the other was told what stands.
func (scene *scene) judgeRace(version uint64) string {
	one := scene.fleet.Nodes[writerName].Changes[900]
	other, raced := scene.fleet.Nodes["d2"].Changes[901]
	if !raced {
		return ""
	}
	if one.Status == kernel.ChangeAccepted && other.Status == kernel.ChangeAccepted {
		return "both operators were told accepted on the same base"
	}
	if other.Status == kernel.ChangeConflict && other.Current.Version != version {
		return "the loser was not told what stands"
	}
	return ""
}

func (scene *scene) acceptedVersion(node *fleet.Node, token uint64) uint64 {
	if result := node.Changes[token]; result.Status == kernel.ChangeAccepted {
		return result.Current.Version
	}
	return 0
}

func (scene *scene) versionAt(name string) uint64 {
	config, _ := scene.fleet.Nodes[name].View.Config(profileKey)
	return config.Version
}

// watchVersions looks at all daemons every 10 ms, and notes one whose version
// in force has gone down within a life.
func (scene *scene) watchVersions(highest map[string]uint64) *string {
	var fault string
	lives := map[string]*fleet.Node{}
	var look func()
	look = func() {
		for _, name := range scene.names {
			version := scene.versionAt(name)
			if version < highest[name] && lives[name] == scene.fleet.Nodes[name] {
				fault = fmt.Sprintf("%s went back from version %d to %d", name, highest[name], version)
			}
			highest[name] = version
			lives[name] = scene.fleet.Nodes[name]
		}
		scene.fleet.After(10*time.Millisecond, look)
	}
	look()
	return &fault
}
