package main

import (
	"math/rand/v2"
	"time"

	"ibislift/standin/deployment"
)

// Times of the evacuations.
const (
	evacuationPrefix = "evacuations/"
	// evacuationInForce is the users' target for how soon an evacuation is in force on all
	// daemons.
	evacuationInForce = 5 * time.Second
	// evacuationNotice is how long the platform, the links and the daemon beside the
	// observed upstream have no fault after the evacuation: long enough for the change to
	// leave the platform. Any faults may follow.
	evacuationNotice = 1500 * time.Millisecond
	// evacuationStart is how old the deployment is before the first evacuation: daemons
	// that have just started do not watch the platform yet.
	evacuationStart   = 4 * time.Second
	observationTime   = 2 * time.Second
	evacuationPause   = 300 * time.Millisecond
	evacuationRetries = 100
)

// runEvacuations evacuates one data centre after another, beside the other faults, until the
// load ends. It checks that nothing reaches an upstream there.
func (trial *trial) runEvacuations() {
	end := time.Now().Add(trial.soak.length + finalLoadTime)
	random := rand.New(rand.NewPCG(uint64(trial.seed), 21))
	time.Sleep(evacuationStart)
	for time.Until(end) > evacuationInForce+observationTime {
		instances := trial.running.Instances
		trial.evacuate(instances[random.IntN(len(instances))])
		time.Sleep(evacuationPause)
	}
}

// evacuate evacuates the data centre of an instance, whose upstream has no other fault
// meanwhile.
func (trial *trial) evacuate(instance *deployment.Instance) {
	if !trial.reserve("upstream " + instance.Name) {
		return
	}
	defer trial.release("upstream " + instance.Name)
	name := evacuationPrefix + instance.DataCentre
	if !trial.beginEvacuation(instance, name) {
		return
	}
	defer trial.endEvacuation(name)
	time.Sleep(evacuationInForce - evacuationNotice)
	before, err := trial.running.UpstreamLoad(instance)
	if err != nil {
		return // an earlier fault has ended the upstream
	}
	time.Sleep(observationTime)
	after, err := trial.running.UpstreamLoad(instance)
	if count := after.Arrived - before.Arrived; err == nil && count > 0 {
		trial.recordViolation("upstream %s got %d requests long after its data centre was evacuated", instance.Name, count)
	}
}

// beginEvacuation writes the object while nothing keeps it from the daemons, and reports
// whether the platform has acknowledged it.
func (trial *trial) beginEvacuation(instance *deployment.Instance, name string) bool {
	for _, component := range []string{"platform", "the platform's proxy", "links", "daemon " + instance.Name} {
		if !trial.reserve(component) {
			return false
		}
		defer trial.release(component)
	}
	if err := trial.running.WriteObject(name, "{}"); err != nil {
		trial.recordEvent("%s may not be written: %v", name, err)
		trial.endEvacuation(name)
		return false
	}
	trial.recordEvent("%s is written", name)
	time.Sleep(evacuationNotice)
	return true
}

// endEvacuation removes the object as soon as the platform takes it.
func (trial *trial) endEvacuation(name string) {
	for range evacuationRetries {
		if err := trial.running.DeleteObject(name); err == nil {
			trial.recordEvent("%s is removed", name)
			return
		}
		time.Sleep(evacuationPause)
	}
	trial.recordViolation("%s could not be removed", name)
}
