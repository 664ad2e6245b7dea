package fleet_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/routes"
	"ibislift/standin/fleet"
)

const (
	// keyLimit is config-apply-s, the time within which a change of API keys has to be in
	// force at all daemons that reach anybody.
	keyLimit = 3 * time.Second
	// keyStep is the resolution of the measured times.
	keyStep = time.Millisecond
	// keyStart is the time after which all daemons know the watchers of their region, and
	// these watch. keyRecovery is the least time from the end of a fault until they do so
	// again, and keyRecoveryLimit the longest: a daemon that has lost the store does not
	// watch for ten seconds.
	keyStart         = 8 * time.Second
	keyRecovery      = 4 * time.Second
	keyRecoveryLimit = 15 * time.Second
	// keyWatchers is the number of watchers of all regions together.
	keyWatchers = 6
	// keyWorkspaces is the number of workspaces of the deployment fares. Tables of this
	// size are offered, not flooded.
	keyWorkspaces = 72
)

// keyTable returns a route table with workspaces of two keys each. The keys of the first
// workspace are the given ones.
func keyTable(version uint64, keys ...string) []byte {
	table := routes.Table{Version: version, Routes: []routes.Route{{Host: "h", Prefix: "/", Destinations: []routes.Destination{{Service: "s", Weight: 1}}}}}
	for number := range keyWorkspaces {
		held := []string{fmt.Sprintf("first-%d", number), fmt.Sprintf("second-%d", number)}
		if number == 0 {
			held = keys
		}
		workspace := routes.Workspace{Name: fmt.Sprintf("workspace-%d", number), Rate: 3}
		for _, key := range held {
			workspace.Keys = append(workspace.Keys, routes.DigestKey(key))
		}
		table.Workspaces = append(table.Workspaces, workspace)
	}
	body, err := json.Marshal(table)
	if err != nil {
		panic(err)
	}
	return body
}

// newKeyFleet starts daemons in six data centres of three regions, with a table with
// workspaces in the store.
func newKeyFleet(seed uint64, daemons int) *fleet.Fleet {
	cluster := fleet.New(seed)
	cluster.Latency = func(from, to kernel.Settings) time.Duration {
		switch {
		case from.Region != to.Region:
			return 30 * time.Millisecond
		case from.DataCentre != to.DataCentre:
			return 1400 * time.Microsecond
		default:
			return 200 * time.Microsecond
		}
	}
	cluster.Platform.Set(cluster, "config/main", keyTable(1, "kept", "key-1"))
	for number := range daemons {
		cluster.Add(kernel.Settings{
			Self: fmt.Sprintf("d%d", number), PeerAddress: fmt.Sprintf("d%d", number),
			Region: fmt.Sprintf("r%d", number%3), DataCentre: fmt.Sprintf("r%d-%d", number%3, number%6/3),
			PlatformRegion: "r0", RouteObject: "config/main", NoClaims: true, NoProfiles: true,
			// With first peers, a large fleet starts in a third of the time that it takes with
			// beacons.
			FirstPeers: []string{"d0", "d1"},
		})
	}
	cluster.Run(keyStart)
	return cluster
}

// hasKeys reports whether the daemon accepts the key that a version of the table has
// added and the one that all versions have, and rejects the one that it has removed.
func hasKeys(node *fleet.Node, version uint64) bool {
	if node.View.Routes == nil {
		return false
	}
	finds := func(key string) bool {
		_, found := node.View.Routes.FindWorkspace(key)
		return found
	}
	return node.View.Ready && finds("kept") && finds(changedKey(version)) && !finds(changedKey(version-1))
}

// changedKey returns the key that a version of the table has and no other version.
func changedKey(version uint64) string { return fmt.Sprintf("key-%d", version) }

// isRunning reports whether a daemon is neither killed nor paused. A paused daemon reaches
// nobody, and counts when it has resumed.
func isRunning(cluster *fleet.Fleet, node *fleet.Node) bool {
	return !node.Stopped && !node.FrozenUntil.After(cluster.Now)
}

// withoutKeys returns the sorted names of the running daemons that do not have the keys of
// a version.
func withoutKeys(cluster *fleet.Fleet, version uint64) []string {
	var names []string
	for name, node := range cluster.Nodes {
		if isRunning(cluster, node) && !hasKeys(node, version) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// changeKeys adds a key, removes another one, and returns the time after which the change
// is in force at all running daemons. It fails unless that is within keyLimit. The fault
// begins lead before the write, or after it if lead is negative.
func changeKeys(t *testing.T, cluster *fleet.Fleet, version uint64, lead time.Duration, fault func()) time.Duration {
	t.Helper()
	requireWatchers(t, cluster, version-1)
	if lead >= 0 {
		fault()
		cluster.Run(lead)
	} else {
		cluster.Schedule(-lead, fault)
	}
	written := cluster.Now
	cluster.Platform.Set(cluster, "config/main", keyTable(version, "kept", changedKey(version)))
	inForce := keyStep
	lacking := maps.Clone(cluster.Nodes)
	for cluster.Now.Sub(written) < keyLimit && (len(lacking) > 0 || cluster.Now.Sub(written) < -lead) {
		cluster.Run(keyStep)
		maps.DeleteFunc(lacking, func(_ string, node *fleet.Node) bool { return node.Stopped || hasKeys(node, version) })
		if slices.ContainsFunc(slices.Collect(maps.Values(lacking)), func(node *fleet.Node) bool { return isRunning(cluster, node) }) {
			inForce = cluster.Now.Sub(written) + keyStep
		}
	}
	if late := withoutKeys(cluster, version); len(late) > 0 {
		t.Fatalf("the keys are not in force after %s on %d daemons: %v", keyLimit, len(late), late)
	}
	return inForce
}

// requireWatchers fails unless all daemons run with the keys of a version, and each region
// has two watchers. Otherwise a fault would be measured together with an earlier one.
func requireWatchers(t *testing.T, cluster *fleet.Fleet, version uint64) {
	t.Helper()
	if late, watchers := withoutKeys(cluster, version), watcherNames(cluster); len(late) > 0 || len(watchers) != keyWatchers {
		t.Fatalf("before the change: watchers %v, without the keys: %v", watchers, late)
	}
}

// recoverFromFaults ends all faults and restarts the daemons that were killed.
func recoverFromFaults(cluster *fleet.Fleet) {
	cluster.Platform.Refuses, cluster.Platform.Silent, cluster.DropMessage = nil, nil, nil
	for number := range len(cluster.Nodes) {
		node := cluster.Nodes[fmt.Sprintf("d%d", number)]
		node.FrozenUntil = time.Time{}
		if node.Stopped {
			settings := node.Settings
			settings.Epoch = 0
			cluster.Add(settings)
		}
	}
	cluster.Run(keyRecovery)
	cluster.RunUntil(keyRecoveryLimit, func() bool { return len(watcherNames(cluster)) == keyWatchers })
}

// keyCase is a fault during the change of keys. begin injects it, and lead returns how
// long before the write. Both get the number of the change, by which they vary.
type keyCase struct {
	name  string
	lead  func(number int) time.Duration
	begin func(cluster *fleet.Fleet, number int)
}

var keyCases = []keyCase{
	{"calm", atOnce, func(*fleet.Fleet, int) {}},
	{"the store turns away a third of the daemons", beforeTheWrite, turnAwayThird},
	{"the store turns away a third of the daemons with all watchers", beforeTheWrite, turnAwayWatchers},
	{"a watcher is cut off from the store", atOnce, func(cluster *fleet.Fleet, number int) {
		cutFromStore(cluster, aWatcher(cluster, number).Settings.Self)
	}},
	{"a watcher is killed", aroundTheWrite, func(cluster *fleet.Fleet, number int) {
		aWatcher(cluster, number).Stopped = true
	}},
	{"a watcher is paused", aroundTheWrite, func(cluster *fleet.Fleet, number int) {
		pause := 500*time.Millisecond + time.Duration(number%4)*700*time.Millisecond
		aWatcher(cluster, number).FrozenUntil = cluster.Now.Add(pause)
	}},
	{"a daemon reaches only its neighbours", atOnce, func(cluster *fleet.Fleet, number int) {
		confine(cluster, cluster.Nodes[fmt.Sprintf("d%d", number)])
	}},
	{"a watcher reaches only its neighbours", atOnce, func(cluster *fleet.Fleet, number int) {
		confine(cluster, aWatcher(cluster, number))
	}},
}

func atOnce(int) time.Duration { return 0 }

// beforeTheWrite returns times before, while and after other daemons begin to watch in
// place of those that the store turns away.
func beforeTheWrite(number int) time.Duration {
	return time.Duration(number%4) * 900 * time.Millisecond
}

// aroundTheWrite returns the moment of the write, or one shortly after it: the watcher has
// then read the change and offered it, and is asked for it in vain.
func aroundTheWrite(number int) time.Duration {
	return -[]time.Duration{0, 2500 * time.Microsecond, 4 * time.Millisecond, 35 * time.Millisecond}[number%4]
}

// aWatcher returns one of the watchers.
func aWatcher(cluster *fleet.Fleet, number int) *fleet.Node {
	names := watcherNames(cluster)
	return cluster.Nodes[names[number%len(names)]]
}

func watcherNames(cluster *fleet.Fleet) []string {
	var names []string
	for name, node := range cluster.Nodes {
		if node.View.Watching {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// turnAwayThird makes the store refuse the calls of a third of the daemons. Their waiting
// watches hear nothing more.
func turnAwayThird(cluster *fleet.Fleet, _ int) { turnAway(cluster, nil) }

// turnAwayWatchers does the same, and all watchers are in that third.
func turnAwayWatchers(cluster *fleet.Fleet, _ int) { turnAway(cluster, watcherNames(cluster)) }

// turnAway makes the store refuse the calls of a third of the daemons, which includes the
// given ones.
func turnAway(cluster *fleet.Fleet, names []string) {
	refused := map[string]bool{}
	for _, name := range names {
		refused[name] = true
	}
	for _, number := range cluster.Random.Perm(len(cluster.Nodes)) {
		if len(refused) < len(cluster.Nodes)/3 {
			refused[fmt.Sprintf("d%d", number)] = true
		}
	}
	isRefused := func(caller kernel.Settings) bool { return refused[caller.Self] }
	cluster.Platform.Refuses, cluster.Platform.Silent = isRefused, isRefused
}

// cutFromStore loses all messages between the store and a daemon.
func cutFromStore(cluster *fleet.Fleet, name string) {
	cluster.Platform.Silent = func(caller kernel.Settings) bool { return caller.Self == name }
}

// confine loses all messages of a daemon except those between it and its neighbours.
func confine(cluster *fleet.Fleet, node *fleet.Node) {
	confined := node.Settings.Self
	reached := map[string]bool{}
	for _, neighbour := range node.View.Neighbours {
		reached[neighbour.ID] = true
	}
	cutFromStore(cluster, confined)
	cluster.DropMessage = func(from, to kernel.Settings) bool {
		return from.Self == confined && !reached[to.Self] || to.Self == confined && !reached[from.Self]
	}
}

// keyRounds is how often each fleet goes through all faults. More rounds give the figures
// in docs/design/workspaces.md.
var keyRounds = flag.Int("keyRounds", 1, "rounds of changes of API keys")

// API keys that are added or removed must be in force at all daemons within the bound, so
// that no caller is refused with a valid key or served with a removed one after it. The
// changes of a fleet follow each other, since its start takes longer than several of them.
func TestKeysAreInForceInTime(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		daemons int
		seeds   []uint64
	}{{60, []uint64{0, 1, 2}}, {300, []uint64{1}}} {
		longest := make([]time.Duration, len(keyCases))
		for _, seed := range size.seeds {
			t.Run(fmt.Sprintf("%d daemons, seed %d", size.daemons, seed), func(t *testing.T) {
				cluster := newKeyFleet(seed, size.daemons)
				for round := range *keyRounds {
					for index, keyCase := range keyCases {
						number := int(seed) + round
						version := uint64(2 + round*len(keyCases) + index)
						t.Run(keyCase.name, func(t *testing.T) {
							inForce := changeKeys(t, cluster, version, keyCase.lead(number), func() { keyCase.begin(cluster, number) })
							longest[index] = max(longest[index], inForce)
						})
						recoverFromFaults(cluster)
					}
				}
			})
		}
		for index, keyCase := range keyCases {
			t.Logf("%d daemons, %s: in force after at most %s", size.daemons, keyCase.name, longest[index])
		}
	}
}
