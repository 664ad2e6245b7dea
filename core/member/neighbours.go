package member

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/kernel"
)

// Parameters of the topology.
const (
	// monitoredSuccessors is the number of daemons after self in the ring of
	// its region that self monitors.
	monitoredSuccessors = 2
	// bridgesPerRegion is how many daemons of a region exchange records with
	// the bridges of the other regions.
	bridgesPerRegion = 2
	// coordinatorsPerPartition is how many daemons may coordinate the claims
	// of a partition: the first one, and those that take over in turn when it
	// cannot be reached.
	coordinatorsPerPartition = 3
)

// chooseNeighbours returns the daemons that self exchanges records with. Their
// number grows with the logarithm of the region's size. The daemons of a region
// form two rings, in which the first daemon follows the last:
//
//   - In the order of rankByHash, the next two daemons are monitored. They are
//     mostly in other data centres, so that the daemons of a lost data centre are
//     monitored by others.
//   - In the order of the data centres, those at distances 1, 4, 16 and so on are
//     mostly in the own data centre, where messages cost least.
//
// If self is a bridge, the bridges of the other regions are neighbours too.
func chooseNeighbours(self kernel.Member, members []kernel.Member) []kernel.Neighbour {
	regions := map[string][]kernel.Member{}
	for _, member := range members {
		regions[member.Region] = append(regions[member.Region], member)
	}
	ring := rankByHash(regions[self.Region], "ring")
	neighbours := monitoredNeighbours(self, ring)
	neighbours = addDistant(neighbours, self, byDataCentre(ring))
	if !containsID(bridges(regions[self.Region]), self.ID) {
		return neighbours
	}
	for _, region := range sortedRegions(regions) {
		if region == self.Region {
			continue
		}
		for _, bridge := range bridges(regions[region]) {
			neighbours = append(neighbours, kernel.Neighbour{ID: bridge.ID, Address: bridge.PeerAddress})
		}
	}
	return neighbours
}

// monitoredNeighbours returns the next daemons after self in the ring.
func monitoredNeighbours(self kernel.Member, ring []kernel.Member) []kernel.Neighbour {
	position := positionOf(self, ring)
	var neighbours []kernel.Neighbour
	for distance := 1; distance <= monitoredSuccessors && distance < len(ring); distance++ {
		neighbour := ring[(position+distance)%len(ring)]
		neighbours = append(neighbours, kernel.Neighbour{ID: neighbour.ID, Address: neighbour.PeerAddress, Monitored: true})
	}
	return neighbours
}

// distanceFactor is the factor between the distances of neighbours in a ring.
const distanceFactor = 4

// addDistant adds the daemons at distances 1, 4, 16 and so on from self in the ring
// that are not neighbours yet.
func addDistant(neighbours []kernel.Neighbour, self kernel.Member, ring []kernel.Member) []kernel.Neighbour {
	position := positionOf(self, ring)
	for distance := 1; distance < len(ring); distance *= distanceFactor {
		added := ring[(position+distance)%len(ring)]
		known := slices.ContainsFunc(neighbours, func(neighbour kernel.Neighbour) bool { return neighbour.ID == added.ID })
		if !known {
			neighbours = append(neighbours, kernel.Neighbour{ID: added.ID, Address: added.PeerAddress})
		}
	}
	return neighbours
}

// byDataCentre orders the members by their data centres, and keeps the order within
// each.
func byDataCentre(members []kernel.Member) []kernel.Member {
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(one, other kernel.Member) int { return strings.Compare(one.DataCentre, other.DataCentre) })
	return ordered
}

func positionOf(self kernel.Member, ring []kernel.Member) int {
	return max(0, slices.IndexFunc(ring, func(member kernel.Member) bool { return member.ID == self.ID }))
}

// bridges returns the bridges among the members of one region.
func bridges(region []kernel.Member) []kernel.Member {
	return firstN(rankByHash(region, "bridge"), bridgesPerRegion)
}

// chooseCoordinators returns the claim coordinators of each partition in the
// order in which they take over. They are chosen by rendezvous hashing among
// the daemons in the region of the platform's store that are not leaving, or
// among all daemons if there are none.
func chooseCoordinators(settings kernel.Settings, members []kernel.Member) [][]string {
	var candidates []kernel.Member
	for _, member := range members {
		if member.Region == settings.PlatformRegion && !member.Leaving {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		candidates = members
	}
	coordinators := make([][]string, settings.ClaimPartitions)
	// The hashed text below is kept, so that all versions of the daemon choose
	// the same coordinators.
	for partition := range coordinators {
		for _, member := range firstN(rankByHash(candidates, fmt.Sprintf("clerk%d", partition)), coordinatorsPerPartition) {
			coordinators[partition] = append(coordinators[partition], member.ID)
		}
	}
	return coordinators
}

// rankByHash returns the members ordered by a hash of the purpose and their
// IDs. The order is the same on every daemon.
func rankByHash(members []kernel.Member, purpose string) []kernel.Member {
	ordered := append([]kernel.Member(nil), members...)
	rank := make(map[string]uint64, len(ordered))
	for _, member := range ordered {
		rank[member.ID] = xxhash.Sum64String(purpose + "\x00" + member.ID)
	}
	sort.Slice(ordered, func(i, j int) bool {
		if rank[ordered[i].ID] != rank[ordered[j].ID] {
			return rank[ordered[i].ID] < rank[ordered[j].ID]
		}
		return ordered[i].ID < ordered[j].ID
	})
	return ordered
}

func firstN(members []kernel.Member, count int) []kernel.Member {
	return members[:min(count, len(members))]
}

func containsID(members []kernel.Member, id string) bool {
	for _, member := range members {
		if member.ID == id {
			return true
		}
	}
	return false
}

func sortedRegions(regions map[string][]kernel.Member) []string {
	names := make([]string, 0, len(regions))
	for name := range regions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
