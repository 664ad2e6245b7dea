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

func asFieldError(err error, fault **profile.FieldError) bool { return errors.As(err, fault) }

var fast = kernel.Key{Kind: kernel.KindProfile, Name: "fast"}

// desk is a fleet whose operators write one profile.
type desk struct {
	fleet *fleet.Fleet
	token uint64
	// accepted maps the versions that operators were told to their specs.
	accepted map[uint64]string
	inForce  map[string]uint64
}

func settings(number int) kernel.Settings {
	name := fmt.Sprintf("d%d", number)
	region := fmt.Sprintf("r%d", number%3)
	return kernel.Settings{
		Self: name, Region: region, DataCentre: region + "a", PeerAddress: name,
		FirstPeers: []string{"d0", "d1", "d2"}, PlatformRegion: "r0",
	}
}

func newDesk(seed uint64) *desk {
	desk := &desk{fleet: fleet.New(seed), accepted: map[uint64]string{}, inForce: map[string]uint64{}}
	for number := range 9 {
		desk.fleet.Add(settings(number))
	}
	desk.fleet.Run(5 * time.Second)
	return desk
}

// change is a change that an operator has asked for.
type change struct {
	node  *fleet.Node
	token uint64
	spec  string
}

func (desk *desk) write(name string, base uint64, spec string) change {
	desk.token++
	desk.fleet.Tell(name, kernel.ChangeRequested{
		Token: desk.token, Nonce: fmt.Sprintf("n%d", desk.token), Key: fast, BaseVersion: base, Spec: []byte(spec), Author: name,
	})
	return change{node: desk.fleet.Nodes[name], token: desk.token, spec: spec}
}

func (desk *desk) await(change change) kernel.ChangeResult {
	desk.fleet.RunUntil(15*time.Second, func() bool {
		_, answered := change.node.Changes[change.token]
		return answered
	})
	return change.node.Changes[change.token]
}

func versionAt(node *fleet.Node) uint64 {
	config, _ := node.View.Config(fast)
	return config.Version
}

func (desk *desk) everywhere(version uint64) bool {
	for _, node := range desk.fleet.Nodes {
		if !node.Stopped && versionAt(node) != version {
			return false
		}
	}
	return true
}

// inForceTime is the time in which an accepted change is in force everywhere.
const inForceTime = 4 * time.Second

func deadline(number int) string { return fmt.Sprintf(`{"defaultDeadline": "%dms"}`, number+1) }

func TestChange(t *testing.T) {
	accepted := func(t *testing.T, result kernel.ChangeResult) uint64 {
		t.Helper()
		is.New(t).Equal(result.Status, kernel.ChangeAccepted)
		return result.Current.Version
	}
	t.Run("an accepted change is in force everywhere", func(t *testing.T) {
		desk := newDesk(1)
		version := accepted(t, desk.await(desk.write("d4", 0, deadline(1))))
		is.New(t).True(desk.fleet.RunUntil(inForceTime, func() bool { return desk.everywhere(version) }))
	})
	t.Run("also if the platform fails right after the write", func(t *testing.T) {
		desk := newDesk(2)
		version := accepted(t, desk.await(desk.write("d4", 0, deadline(1))))
		desk.fleet.Platform.Down = true
		is.New(t).True(desk.fleet.RunUntil(inForceTime, func() bool { return desk.everywhere(version) }))
	})
	t.Run("of two operators one is told of the other", func(t *testing.T) {
		desk := newDesk(3)
		one := desk.write("d1", 0, deadline(1))
		other := desk.write("d2", 0, deadline(2))
		results := []kernel.ChangeResult{desk.await(one), desk.await(other)}
		is := is.New(t)
		is.True(results[0].Status != results[1].Status)
		for _, result := range results {
			is.True(result.Status == kernel.ChangeAccepted || result.Status == kernel.ChangeConflict)
			is.True(result.Current.Version != 0)
		}
	})
	t.Run("a lost answer is no second write", func(t *testing.T) {
		desk := newDesk(4)
		desk.fleet.Platform.LoseAnswer = func() bool { return true }
		change := desk.write("d4", 0, deadline(1))
		version := accepted(t, desk.await(change))
		desk.fleet.Run(5 * time.Second)
		object, _ := desk.fleet.Platform.Object("config/profiles/fast")
		is.New(t).Equal(object.Version, version)
	})
	t.Run("a write that others have built upon is still found", func(t *testing.T) {
		desk := newDesk(5)
		desk.fleet.Platform.LoseAnswer = func() bool { return true }
		first := desk.write("d4", 0, deadline(1))
		desk.fleet.Run(100 * time.Millisecond)
		desk.fleet.Platform.LoseAnswer = nil
		object, _ := desk.fleet.Platform.Object("config/profiles/fast")
		accepted(t, desk.await(desk.write("d5", object.Version, deadline(2))))
		accepted(t, desk.await(first))
	})
	t.Run("nothing is accepted while the platform is down", func(t *testing.T) {
		desk := newDesk(6)
		desk.fleet.Platform.Down = true
		is.New(t).Equal(desk.await(desk.write("d4", 0, deadline(1))).Status, kernel.ChangeNotWritten)
	})
	t.Run("a bad profile is refused with its field", func(t *testing.T) {
		desk := newDesk(7)
		result := desk.await(desk.write("d4", 0, `{"queueBound": -1}`))
		is := is.New(t)
		is.Equal(result.Status, kernel.ChangeInvalid)
		is.Equal(result.Detail, "profile: queueBound: -1 is not from 0 to 100000")
	})
	t.Run("a cut region catches up", func(t *testing.T) {
		desk := newDesk(8)
		desk.fleet.Lost = func(from, to kernel.Settings) bool { return (from.Region == "r1") != (to.Region == "r1") }
		version := accepted(t, desk.await(desk.write("d0", 0, deadline(1))))
		desk.fleet.Platform.Down = true
		desk.fleet.Run(10 * time.Second)
		desk.fleet.Lost = nil
		is.New(t).True(desk.fleet.RunUntil(inForceTime, func() bool { return desk.everywhere(version) }))
	})
	t.Run("a daemon restarted during an outage learns from its peers", func(t *testing.T) {
		desk := newDesk(9)
		version := accepted(t, desk.await(desk.write("d0", 0, deadline(1))))
		desk.fleet.Run(time.Second)
		desk.fleet.Platform.Down = true
		restarted := desk.fleet.Add(settings(7))
		is := is.New(t)
		is.True(desk.fleet.RunUntil(inForceTime, func() bool { return restarted.View.Ready }))
		is.Equal(versionAt(restarted), version)
	})
	t.Run("a daemon that reaches neither peers nor platform is not ready", func(t *testing.T) {
		desk := newDesk(10)
		desk.fleet.Platform.Down = true
		desk.fleet.Lost = func(from, to kernel.Settings) bool { return from.Self == "d7" || to.Self == "d7" }
		restarted := desk.fleet.Add(settings(7))
		desk.fleet.Run(10 * time.Second)
		is.New(t).True(!restarted.View.Ready)
	})
	t.Run("a profile in use is not retired", func(t *testing.T) {
		desk := newDesk(11)
		version := accepted(t, desk.await(desk.write("d0", 0, deadline(1))))
		desk.fleet.Run(time.Second)
		desk.fleet.Tell("d1", kernel.ChangeRequested{
			Token: 900, Nonce: "s", Key: kernel.Key{Kind: kernel.KindService, Name: "sleeplog"}, Spec: []byte(`{"profile": "fast"}`),
		})
		desk.fleet.Run(time.Second)
		desk.fleet.Tell("d2", kernel.ChangeRequested{Token: 901, Nonce: "r", Key: fast, BaseVersion: version, Retire: true})
		desk.fleet.Run(time.Second)
		is.New(t).Equal(desk.fleet.Nodes["d2"].Changes[901].Status, kernel.ChangeConflict)
	})
}

// noteVersions fails if a daemon's version in force has gone down.
func (desk *desk) noteVersions(t *rapid.T) {
	for name, node := range desk.fleet.Nodes {
		version := versionAt(node)
		if version < desk.inForce[name] {
			t.Fatalf("%s went back from version %d to %d", name, desk.inForce[name], version)
		}
		desk.inForce[name] = version
	}
}

func TestAcceptedNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		desk := newDesk(rapid.Uint64().Draw(t, "seed"))
		platform := desk.fleet.Platform
		var changes []change
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			name := fmt.Sprintf("d%d", rapid.IntRange(0, 8).Draw(t, "node"))
			node := desk.fleet.Nodes[name]
			switch rapid.SampledFrom([]string{
				"write", "write", "write", "freeze", "restart", "cut", "heal", "down", "up", "lose", "delay", "clear",
			}).Draw(t, "event") {
			case "write":
				changes = append(changes, desk.write(name, versionAt(node), deadline(step)))
			case "freeze":
				node.FrozenUntil = desk.fleet.Now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "frozen")) * time.Second)
			case "restart":
				desk.fleet.Add(node.Settings)
				desk.inForce[name] = 0
			case "cut":
				desk.fleet.Lost = func(from, to kernel.Settings) bool {
					return (from.Region == node.Settings.Region) != (to.Region == node.Settings.Region)
				}
			case "heal":
				desk.fleet.Lost = nil
			case "down":
				platform.Down = true
			case "up":
				platform.Down = false
			case "lose":
				platform.LoseAnswer = func() bool { return desk.fleet.Random.IntN(2) == 0 }
			case "delay":
				platform.Delay = func() time.Duration { return time.Duration(desk.fleet.Random.IntN(5000)) * time.Millisecond }
			case "clear":
				platform.LoseAnswer, platform.Delay = nil, nil
			}
			for range 10 {
				desk.fleet.Run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				desk.noteVersions(t)
			}
		}
		desk.fleet.Lost, platform.LoseAnswer, platform.Delay = nil, nil, nil
		platform.Down = false
		desk.fleet.Run(60 * time.Second)
		object, _ := platform.Object("config/profiles/fast")
		if !desk.everywhere(object.Version) {
			t.Fatalf("the platform has version %d, the daemons %v", object.Version, desk.inForce)
		}
		desk.checkAccepted(t, changes, object.Version)
	})
}

// checkAccepted fails if an accepted change has a version that another change
// was told as well, or one that the platform has never had.
func (desk *desk) checkAccepted(t *rapid.T, changes []change, highest uint64) {
	owner := map[string]bool{}
	for _, change := range changes {
		result, answered := change.node.Changes[change.token]
		if !answered || result.Status != kernel.ChangeAccepted {
			continue
		}
		if result.Current.Version > highest {
			t.Fatalf("version %d was accepted, the platform has %d", result.Current.Version, highest)
		}
		if owner[change.spec] {
			t.Fatalf("a change was accepted twice: %s", change.spec)
		}
		owner[change.spec] = true
	}
}
