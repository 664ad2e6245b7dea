package member

import (
	"fmt"
	"sort"

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
	// watchersPerDataCentre is how many daemons of a data centre watch the
	// platform.
	watchersPerDataCentre = 2
	// coordinatorsPerPartition is how many daemons may coordinate the claims
	// of a partition: the first one, and those that take over in turn when it
	// cannot be reached.
	coordinatorsPerPartition = 3
)

// chooseNeighbours returns the daemons that self exchanges records with: the
// daemons at distances 1, 2, 4 and so on in the ring of its region, so that
// their number grows with the logarithm of the region's size, and, if self is
// a bridge, the bridges of the other regions. The ring of a region has its daemons
// in the order of rankByHash, with the first one following the last.
func chooseNeighbours(self kernel.Member, members []kernel.Member) []kernel.Neighbour {
	regions := map[string][]kernel.Member{}
	for _, member := range members {
		regions[member.Region] = append(regions[member.Region], member)
	}
	ring := rankByHash(regions[self.Region], "ring")
	neighbours := ringNeighbours(self, ring)
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

// ringNeighbours returns the daemons at distances 1, 2, 4 and so on from self
// in the ring.
func ringNeighbours(self kernel.Member, ring []kernel.Member) []kernel.Neighbour {
	position := 0
	for index, member := range ring {
		if member.ID == self.ID {
			position = index
		}
	}
	var neighbours []kernel.Neighbour
	for distance := 1; distance < len(ring); distance *= 2 {
		neighbour := ring[(position+distance)%len(ring)]
		neighbours = append(neighbours, kernel.Neighbour{
			ID:        neighbour.ID,
			Address:   neighbour.PeerAddress,
			Monitored: distance <= monitoredSuccessors,
		})
	}
	return neighbours
}

// bridges returns the bridges among the members of one region.
func bridges(region []kernel.Member) []kernel.Member {
	return firstN(rankByHash(region, "bridge"), bridgesPerRegion)
}

// watcherRank returns the position of self among the daemons of its data centre
// that watch the platform, and whether self is one of them.
func watcherRank(self kernel.Member, members []kernel.Member) (int, bool) {
	var dataCentre []kernel.Member
	for _, member := range members {
		if member.DataCentre == self.DataCentre && member.Region == self.Region {
			dataCentre = append(dataCentre, member)
		}
	}
	for rank, member := range firstN(rankByHash(dataCentre, "watch"), watchersPerDataCentre) {
		if member.ID == self.ID {
			return rank, true
		}
	}
	return 0, false
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
