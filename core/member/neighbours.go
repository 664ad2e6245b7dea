package member

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/kernel"
)

// The shape of the neighbourhood.
const (
	// watchedSuccessors is how many daemons that follow in the ring of the
	// region are watched for failure.
	watchedSuccessors = 2
	// bridgesPerRegion is how many daemons of a region keep links to the
	// bridges of the other regions.
	bridgesPerRegion = 2
	// watchersPerDataCentre is how many daemons of a data centre watch the
	// platform.
	watchersPerDataCentre = 2
	// clerksPerPartition is how many daemons may keep a partition's claims:
	// the clerk, and those that take over when it cannot be reached.
	clerksPerPartition = 3
)

// neighboursOf chooses the daemons that self keeps links to: in the ring of
// its region the ones at distance 1, 2, 4 and so on, so that their number
// grows with the logarithm of the region; and, if it is a bridge, the bridges
// of the other regions.
func neighboursOf(self kernel.Member, members []kernel.Member) []kernel.Neighbour {
	regions := map[string][]kernel.Member{}
	for _, member := range members {
		regions[member.Region] = append(regions[member.Region], member)
	}
	ring := ranked(regions[self.Region], "ring")
	neighbours := fingers(self, ring)
	if !contains(bridges(regions[self.Region]), self.ID) {
		return neighbours
	}
	for _, region := range sortedNames(regions) {
		if region == self.Region {
			continue
		}
		for _, bridge := range bridges(regions[region]) {
			neighbours = append(neighbours, kernel.Neighbour{ID: bridge.ID, Address: bridge.PeerAddress})
		}
	}
	return neighbours
}

func fingers(self kernel.Member, ring []kernel.Member) []kernel.Neighbour {
	position := 0
	for index, member := range ring {
		if member.ID == self.ID {
			position = index
		}
	}
	var neighbours []kernel.Neighbour
	for distance := 1; distance < len(ring); distance *= 2 {
		finger := ring[(position+distance)%len(ring)]
		neighbours = append(neighbours, kernel.Neighbour{
			ID:        finger.ID,
			Address:   finger.PeerAddress,
			Monitored: distance <= watchedSuccessors,
		})
	}
	return neighbours
}

func bridges(region []kernel.Member) []kernel.Member {
	return first(ranked(region, "bridge"), bridgesPerRegion)
}

// watchRank is the position of self among the platform's watchers of its data
// centre, and whether it is one of them.
func watchRank(self kernel.Member, members []kernel.Member) (int, bool) {
	var dataCentre []kernel.Member
	for _, member := range members {
		if member.DataCentre == self.DataCentre && member.Region == self.Region {
			dataCentre = append(dataCentre, member)
		}
	}
	for rank, member := range first(ranked(dataCentre, "watch"), watchersPerDataCentre) {
		if member.ID == self.ID {
			return rank, true
		}
	}
	return 0, false
}

// clerksOf chooses the clerks of each partition in the order of their turn: by rendezvous hashing among the
// daemons near the platform's store, or among all where none lives there.
func clerksOf(settings kernel.Settings, members []kernel.Member) [][]string {
	var near []kernel.Member
	for _, member := range members {
		if member.Region == settings.PlatformRegion && !member.Leaving {
			near = append(near, member)
		}
	}
	if len(near) == 0 {
		near = members
	}
	clerks := make([][]string, settings.ClaimPartitions)
	for partition := range clerks {
		for _, member := range first(ranked(near, fmt.Sprintf("clerk%d", partition)), clerksPerPartition) {
			clerks[partition] = append(clerks[partition], member.ID)
		}
	}
	return clerks
}

// ranked orders members by a hash of the purpose and their names, in the same
// way on every daemon.
func ranked(members []kernel.Member, purpose string) []kernel.Member {
	order := append([]kernel.Member(nil), members...)
	rank := make(map[string]uint64, len(order))
	for _, member := range order {
		rank[member.ID] = xxhash.Sum64String(purpose + "\x00" + member.ID)
	}
	sort.Slice(order, func(i, j int) bool {
		if rank[order[i].ID] != rank[order[j].ID] {
			return rank[order[i].ID] < rank[order[j].ID]
		}
		return order[i].ID < order[j].ID
	})
	return order
}

func first(members []kernel.Member, count int) []kernel.Member {
	return members[:min(count, len(members))]
}

func contains(members []kernel.Member, id string) bool {
	for _, member := range members {
		if member.ID == id {
			return true
		}
	}
	return false
}

func sortedNames(regions map[string][]kernel.Member) []string {
	names := make([]string, 0, len(regions))
	for name := range regions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
