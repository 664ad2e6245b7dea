package quota

import (
	"cmp"
	"encoding/binary"
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
	// cached holds the order of the slots in use. It is cleared when members change.
	cached map[uint32]*seats
}

// seats are the daemons that matter for a slot, in the hash order.
type seats struct {
	voters     []string
	candidates []string
}

func (fleet *fleet) knows(id string) bool {
	_, known := fleet.known[id]
	return known
}

// update replaces the live members and adds to those that are known.
func (fleet *fleet) update(now time.Duration, members []Member) {
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
	if changed || len(live) != len(fleet.live) {
		fleet.cached = nil
	}
	fleet.live = live
}

// seats returns the voters and candidates of a slot by rendezvous hashing.
func (fleet *fleet) seats(slot uint32) *seats {
	if found := fleet.cached[slot]; found != nil {
		return found
	}
	type ranked struct {
		id   string
		rank uint64
	}
	members := make([]ranked, 0, len(fleet.known))
	var digest xxhash.Digest
	for id := range fleet.known {
		digest.Reset()
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, slot))
		_, _ = digest.WriteString(id)
		members = append(members, ranked{id, digest.Sum64()})
	}
	slices.SortFunc(members, func(first, second ranked) int {
		return cmp.Or(cmp.Compare(first.rank, second.rank), cmp.Compare(first.id, second.id))
	})
	found := &seats{}
	for _, member := range members {
		if len(found.voters) < committeeSize {
			found.voters = append(found.voters, member.id)
		}
		if len(found.candidates) < candidates && fleet.live[member.id] {
			found.candidates = append(found.candidates, member.id)
		}
	}
	if fleet.cached == nil {
		fleet.cached = map[uint32]*seats{}
	}
	fleet.cached[slot] = found
	return found
}

// slotOf returns the slot of a workspace.
func slotOf(workspace string) uint32 { return uint32(xxhash.Sum64String(workspace) % slots) }
