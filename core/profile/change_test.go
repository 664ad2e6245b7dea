package profile_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/standin/fleet"
)

func asFieldError(err error, target **profile.FieldError) bool { return errors.As(err, target) }

var fastKey = kernel.Key{Kind: kernel.KindProfile, Name: "fast"}

// harness is a simulated fleet whose operators change one profile.
type harness struct {
	fleet *fleet.Fleet
	token uint64
	// accepted maps the versions reported to operators as accepted to their
	// specs.
	accepted map[uint64]string
	// versions maps each daemon to the version it last applied.
	versions map[string]uint64
}

func settings(number int) kernel.Settings {
	name := fmt.Sprintf("d%d", number)
	region := fmt.Sprintf("r%d", number%3)
	return kernel.Settings{
		Self: name, Region: region, DataCentre: region + "a", PeerAddress: name,
		FirstPeers: []string{"d0", "d1", "d2"}, PlatformRegion: "r0",
	}
}

func newHarness(seed uint64) *harness {
	harness := &harness{fleet: fleet.New(seed), accepted: map[uint64]string{}, versions: map[string]uint64{}}
	for number := range 9 {
		harness.fleet.Add(settings(number))
	}
	harness.fleet.Run(5 * time.Second)
	return harness
}

// change is a change that an operator has requested.
type change struct {
	node  *fleet.Node
	token uint64
	spec  string
}

func (harness *harness) write(name string, base uint64, spec string) change {
	harness.token++
	harness.fleet.Deliver(name, kernel.ChangeRequested{
		Token: harness.token, Nonce: fmt.Sprintf("n%d", harness.token), Key: fastKey, BaseVersion: base, Spec: []byte(spec), Author: name,
	})
	return change{node: harness.fleet.Nodes[name], token: harness.token, spec: spec}
}

// await runs the fleet until the change has a result.
func (harness *harness) await(change change) kernel.ChangeResult {
	harness.fleet.RunUntil(15*time.Second, func() bool {
		_, answered := change.node.ChangeResults[change.token]
		return answered
	})
	return change.node.ChangeResults[change.token]
}

func versionAt(node *fleet.Node) uint64 {
	config, _ := node.View.Config(fastKey)
	return config.Version
}

// allAtVersion reports whether every running daemon has applied the version.
func (harness *harness) allAtVersion(version uint64) bool {
	for _, node := range harness.fleet.Nodes {
		if !node.Stopped && versionAt(node) != version {
			return false
		}
	}
	return true
}

// convergenceTime is the time within which all daemons apply an accepted change.
const convergenceTime = 4 * time.Second

func specWithDeadline(number int) string { return fmt.Sprintf(`{"defaultDeadline": "%dms"}`, number+1) }

func TestChange(t *testing.T) {
	requireAccepted := func(t *testing.T, result kernel.ChangeResult) uint64 {
		t.Helper()
		is.New(t).Equal(result.Status, kernel.ChangeAccepted)
		return result.Current.Version
	}
	t.Run("all daemons apply an accepted change", func(t *testing.T) {
		harness := newHarness(1)
		version := requireAccepted(t, harness.await(harness.write("d4", 0, specWithDeadline(1))))
		is.New(t).True(harness.fleet.RunUntil(convergenceTime, func() bool { return harness.allAtVersion(version) }))
	})
	t.Run("all daemons apply a change even if the platform fails right after the write", func(t *testing.T) {
		harness := newHarness(2)
		version := requireAccepted(t, harness.await(harness.write("d4", 0, specWithDeadline(1))))
		harness.fleet.Platform.Down = true
		is.New(t).True(harness.fleet.RunUntil(convergenceTime, func() bool { return harness.allAtVersion(version) }))
	})
	t.Run("one of two concurrent changes is reported as a conflict", func(t *testing.T) {
		harness := newHarness(3)
		first := harness.write("d1", 0, specWithDeadline(1))
		second := harness.write("d2", 0, specWithDeadline(2))
		results := []kernel.ChangeResult{harness.await(first), harness.await(second)}
		is := is.New(t)
		is.True(results[0].Status != results[1].Status)
		for _, result := range results {
			is.True(result.Status == kernel.ChangeAccepted || result.Status == kernel.ChangeConflict)
			is.True(result.Current.Version != 0)
		}
	})
	t.Run("a lost reply causes no second write", func(t *testing.T) {
		harness := newHarness(4)
		harness.fleet.Platform.DropWriteReply = func() bool { return true }
		change := harness.write("d4", 0, specWithDeadline(1))
		version := requireAccepted(t, harness.await(change))
		harness.fleet.Run(5 * time.Second)
		object, _ := harness.fleet.Platform.Object("config/profiles/fast")
		is.New(t).Equal(object.Version, version)
	})
	t.Run("a write with a lost reply is recognised after a later write", func(t *testing.T) {
		harness := newHarness(5)
		harness.fleet.Platform.DropWriteReply = func() bool { return true }
		first := harness.write("d4", 0, specWithDeadline(1))
		harness.fleet.Run(100 * time.Millisecond)
		harness.fleet.Platform.DropWriteReply = nil
		object, _ := harness.fleet.Platform.Object("config/profiles/fast")
		requireAccepted(t, harness.await(harness.write("d5", object.Version, specWithDeadline(2))))
		requireAccepted(t, harness.await(first))
	})
	t.Run("no change is accepted while the platform is down", func(t *testing.T) {
		harness := newHarness(6)
		harness.fleet.Platform.Down = true
		is.New(t).Equal(harness.await(harness.write("d4", 0, specWithDeadline(1))).Status, kernel.ChangeNotWritten)
	})
	t.Run("an invalid profile is rejected with the path of the field", func(t *testing.T) {
		harness := newHarness(7)
		result := harness.await(harness.write("d4", 0, `{"queueBound": -1}`))
		is := is.New(t)
		is.Equal(result.Status, kernel.ChangeInvalid)
		is.Equal(result.Detail, "profile: queueBound: -1 is not in the range 0 to 100000")
	})
	t.Run("a disconnected region applies a change after it reconnects", func(t *testing.T) {
		harness := newHarness(8)
		harness.fleet.DropMessage = func(from, to kernel.Settings) bool { return (from.Region == "r1") != (to.Region == "r1") }
		version := requireAccepted(t, harness.await(harness.write("d0", 0, specWithDeadline(1))))
		harness.fleet.Platform.Down = true
		harness.fleet.Run(10 * time.Second)
		harness.fleet.DropMessage = nil
		is.New(t).True(harness.fleet.RunUntil(convergenceTime, func() bool { return harness.allAtVersion(version) }))
	})
	t.Run("a daemon restarted during a platform outage receives the configuration from its peers", func(t *testing.T) {
		harness := newHarness(9)
		version := requireAccepted(t, harness.await(harness.write("d0", 0, specWithDeadline(1))))
		harness.fleet.Run(time.Second)
		harness.fleet.Platform.Down = true
		restarted := harness.fleet.Add(settings(7))
		is := is.New(t)
		is.True(harness.fleet.RunUntil(convergenceTime, func() bool { return restarted.View.Ready }))
		is.Equal(versionAt(restarted), version)
	})
	t.Run("a daemon that can reach neither its peers nor the platform is not ready", func(t *testing.T) {
		harness := newHarness(10)
		harness.fleet.Platform.Down = true
		harness.fleet.DropMessage = func(from, to kernel.Settings) bool { return from.Self == "d7" || to.Self == "d7" }
		restarted := harness.fleet.Add(settings(7))
		harness.fleet.Run(10 * time.Second)
		is.New(t).True(!restarted.View.Ready)
	})
	t.Run("a profile that a service uses cannot be retired", func(t *testing.T) {
		harness := newHarness(11)
		version := requireAccepted(t, harness.await(harness.write("d0", 0, specWithDeadline(1))))
		harness.fleet.Run(time.Second)
		harness.fleet.Deliver("d1", kernel.ChangeRequested{
			Token: 900, Nonce: "s", Key: kernel.Key{Kind: kernel.KindService, Name: "sleeplog"}, Spec: []byte(`{"profile": "fast"}`),
		})
		harness.fleet.Run(time.Second)
		harness.fleet.Deliver("d2", kernel.ChangeRequested{Token: 901, Nonce: "r", Key: fastKey, BaseVersion: version, Retire: true})
		harness.fleet.Run(time.Second)
		is.New(t).Equal(harness.fleet.Nodes["d2"].ChangeResults[901].Status, kernel.ChangeConflict)
	})
}

// checkVersions fails if a daemon has reverted to an older version.
func (harness *harness) checkVersions(t *rapid.T) {
	for name, node := range harness.fleet.Nodes {
		version := versionAt(node)
		if version < harness.versions[name] {
			t.Fatalf("%s reverted from version %d to %d", name, harness.versions[name], version)
		}
		harness.versions[name] = version
	}
}

func TestAcceptedNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newHarness(rapid.Uint64().Draw(t, "seed"))
		platform := harness.fleet.Platform
		var changes []change
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			name := fmt.Sprintf("d%d", rapid.IntRange(0, 8).Draw(t, "node"))
			node := harness.fleet.Nodes[name]
			switch rapid.SampledFrom([]string{
				"write", "write", "write", "freeze", "restart", "cut", "heal", "down", "up", "lose", "delay", "clear",
			}).Draw(t, "event") {
			case "write":
				changes = append(changes, harness.write(name, versionAt(node), specWithDeadline(step)))
			case "freeze":
				node.FrozenUntil = harness.fleet.Now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "frozen")) * time.Second)
			case "restart":
				harness.fleet.Add(node.Settings)
				harness.versions[name] = 0
			case "cut":
				harness.fleet.DropMessage = func(from, to kernel.Settings) bool {
					return (from.Region == node.Settings.Region) != (to.Region == node.Settings.Region)
				}
			case "heal":
				harness.fleet.DropMessage = nil
			case "down":
				platform.Down = true
			case "up":
				platform.Down = false
			case "lose":
				platform.DropWriteReply = func() bool { return harness.fleet.Random.IntN(2) == 0 }
			case "delay":
				platform.WriteDelay = func() time.Duration { return time.Duration(harness.fleet.Random.IntN(5000)) * time.Millisecond }
			case "clear":
				platform.DropWriteReply, platform.WriteDelay = nil, nil
			}
			for range 10 {
				harness.fleet.Run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				harness.checkVersions(t)
			}
		}
		harness.fleet.DropMessage, platform.DropWriteReply, platform.WriteDelay = nil, nil, nil
		platform.Down = false
		harness.fleet.Run(60 * time.Second)
		object, _ := platform.Object("config/profiles/fast")
		if !harness.allAtVersion(object.Version) {
			t.Fatalf("the platform has version %d, the daemons have %v", object.Version, harness.versions)
		}
		harness.checkAccepted(t, changes, object.Version)
	})
}

// checkAccepted fails if a change was accepted with a version that the platform
// has never had, or if the same spec was accepted twice.
func (harness *harness) checkAccepted(t *rapid.T, changes []change, highest uint64) {
	acceptedSpecs := map[string]bool{}
	for _, change := range changes {
		result, answered := change.node.ChangeResults[change.token]
		if !answered || result.Status != kernel.ChangeAccepted {
			continue
		}
		if result.Current.Version > highest {
			t.Fatalf("version %d was accepted, but the platform has version %d", result.Current.Version, highest)
		}
		if acceptedSpecs[change.spec] {
			t.Fatalf("a change was accepted twice: %s", change.spec)
		}
		acceptedSpecs[change.spec] = true
	}
}

// The daemon that accepts a change applies it before it replies, so that a request
// which the operator sends next is handled accordingly.
func TestChangeIsAppliedBeforeTheReply(t *testing.T) {
	is := is.New(t)
	daemon := kernel.Kernel{Settings: settings(0)}
	now := time.Unix(1_800_000_000, 0)
	update := func(message kernel.Message) []kernel.Effect {
		return daemon.Update(kernel.Event{At: now, Random: 1, Message: message})
	}
	update(kernel.Started{})
	var write kernel.CallPlatform
	for _, effect := range update(kernel.ChangeRequested{Token: 1, Nonce: "n", Key: fastKey, Spec: []byte(`{}`), Author: "a"}) {
		if call, is := effect.(kernel.CallPlatform); is {
			write = call
		}
	}
	object := write.Call.(kernel.WriteObject)
	effects := update(kernel.PlatformCallEnded{Owner: write.Owner, Token: write.Token, Result: kernel.PlatformResult{
		Object: kernel.Object{Name: object.Name, Version: 1, Body: object.Body},
	}})
	published := -1
	for index, effect := range effects {
		switch effect := effect.(type) {
		case kernel.Publish:
			_, known := effect.View.Config(fastKey)
			is.True(known)
			published = index
		case kernel.ReplyToChange:
			is.Equal(effect.Result.Status, kernel.ChangeAccepted)
			is.True(published >= 0 && published < index)
			return
		}
	}
	is.Fail() // there is no reply
}
