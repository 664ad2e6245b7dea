package quota

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slots is the number of groups of workspaces. Votes are borrowed for a slot, so their
	// cost does not grow with the workspaces; the number keeps the work of an owner small
	// in a fleet of thousands.
	slots = 512
	// committeeSize is the number of voters of a slot. With half of the fleet dead, 2 in 100
	// committees have fewer than a fifth of their votes left.
	committeeSize = 9
	// candidates is the number of daemons that may be asked for tokens of a slot: the owner
	// and those that take over in turn. With half of the fleet dead and not yet recorded as
	// such, one in 4,096 slots has none that lives.
	candidates = 12
	// memory is how long a member that has disappeared counts as a possible voter. A
	// partition that lasts longer is not distinguished from a smaller fleet.
	memory = time.Hour
)

// fleet is what a daemon knows about the members.
type fleet struct {
	// known holds the members that may be voters, and when each was last in the view.
	known map[string]time.Duration
	live  map[string]bool
	// region holds the live members of this daemon's region. It is empty if the daemon has
	// none or is alone in it.
	region map[string]bool
	// cached holds the order of the slots in use. It is cleared when members change.
	cached map[uint32]*seats
}

// seats are the daemons that matter for a slot, in the hash order.
type seats struct {
	voters     []string
	candidates []string
	// cache is the daemon that keeps tokens of the slot for this daemon's region.
	cache string
}

func (fleet *fleet) knows(id string) bool {
	_, known := fleet.known[id]
	return known
}

// update replaces the live members and adds to those that are known.
func (fleet *fleet) update(now time.Duration, self string, members []Member) {
	if fleet.known == nil {
		fleet.known = map[string]time.Duration{}
	}
	changed := false
	live := make(map[string]bool, len(members))
	for _, member := range members {
		if member.Live {
			live[member.ID] = true
		}
		_, known := fleet.known[member.ID]
		if member.Left {
			changed = changed || known
			delete(fleet.known, member.ID)
			continue
		}
		changed = changed || !known || fleet.live[member.ID] != member.Live
		fleet.known[member.ID] = now
	}
	for id, seen := range fleet.known {
		if now-seen > memory {
			changed = true
			delete(fleet.known, id)
		}
	}
	region := regionOf(self, members)
	if changed || len(live) != len(fleet.live) || !maps.Equal(region, fleet.region) {
		fleet.cached = nil
	}
	fleet.live, fleet.region = live, region
}

// regionOf returns the live members of the region of a daemon, if there are several.
func regionOf(self string, members []Member) map[string]bool {
	index := slices.IndexFunc(members, func(member Member) bool { return member.ID == self })
	if index < 0 || members[index].Region == "" {
		return nil
	}
	region := map[string]bool{}
	for _, member := range members {
		if member.Live && member.Region == members[index].Region {
			region[member.ID] = true
		}
	}
	if len(region) < 2 {
		return nil
	}
	return region
}

// ranked is a member with its place in the hash order of a slot.
type ranked struct {
	id   string
	rank uint64
}

// ranking holds the first members of an order. Few of thousands are needed, so they are
// inserted one by one instead of sorting all.
type ranking struct {
	size  int
	first []ranked
}

func compareRanks(one, other ranked) int {
	return cmp.Or(cmp.Compare(one.rank, other.rank), cmp.Compare(one.id, other.id))
}

func (ranking *ranking) add(member ranked) {
	if len(ranking.first) == ranking.size && compareRanks(member, ranking.first[ranking.size-1]) > 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(ranking.first, member, compareRanks)
	ranking.first = slices.Insert(ranking.first, index, member)
	ranking.first = ranking.first[:min(len(ranking.first), ranking.size)]
}

func (ranking *ranking) ids() []string {
	ids := make([]string, 0, len(ranking.first))
	for _, member := range ranking.first {
		ids = append(ids, member.id)
	}
	return ids
}

// seats returns the voters and candidates of a slot by rendezvous hashing.
func (fleet *fleet) seats(slot uint32) *seats {
	if found := fleet.cached[slot]; found != nil {
		return found
	}
	voters, live, cache := ranking{size: committeeSize}, ranking{size: candidates}, ranking{size: 1}
	var digest xxhash.Digest
	var prefix [4]byte
	binary.LittleEndian.PutUint32(prefix[:], slot)
	for id := range fleet.known {
		digest.Reset()
		_, _ = digest.Write(prefix[:])
		_, _ = digest.WriteString(id)
		member := ranked{id, digest.Sum64()}
		voters.add(member)
		if fleet.live[id] {
			live.add(member)
		}
		if fleet.region[id] {
			cache.add(member)
		}
	}
	found := &seats{voters: voters.ids(), candidates: live.ids()}
	if len(cache.first) > 0 {
		found.cache = cache.first[0].id
	}
	if fleet.cached == nil {
		fleet.cached = map[uint32]*seats{}
	}
	fleet.cached[slot] = found
	return found
}

// slotOf returns the slot of a workspace.
func slotOf(workspace string) uint32 { return uint32(xxhash.Sum64String(workspace) % slots) }
