package pick_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/pick"
)

// fleet returns targets in three regions of three data centres each.
func fleet(perDataCentre int) []kernel.Member {
	var members []kernel.Member
	for region := range 3 {
		for dataCentre := range 3 {
			for number := range perDataCentre {
				members = append(members, kernel.Member{
					ID: fmt.Sprintf("m%d-%d-%d", region, dataCentre, number), Region: fmt.Sprintf("r%d", region), DataCentre: fmt.Sprintf("r%d-%d", region, dataCentre),
				})
			}
		}
	}
	return members
}

func TestSubset(t *testing.T) {
	count := func(self kernel.Member, members []kernel.Member) (own, region, all int) {
		for _, member := range pick.Subset(self, members) {
			all++
			if member.Region == self.Region {
				region++
			}
			if member.DataCentre == self.DataCentre {
				own++
			}
		}
		return own, region, all
	}
	t.Run("half of the targets are in the own data centre of a large fleet", func(t *testing.T) {
		for _, self := range fleet(15) {
			is := is.New(t)
			own, region, all := count(self, fleet(15))
			is.Equal(own, 9)
			is.Equal(region, 13)
			is.Equal(all, 18)
		}
	})
	t.Run("other regions replace what is missing in the own one", func(t *testing.T) {
		is := is.New(t)
		own, region, all := count(kernel.Member{ID: "m", Region: "r0", DataCentre: "empty"}, fleet(15)[30:])
		is.Equal(own, 0)
		is.Equal(region, 13)
		is.Equal(all, 18)
		own, region, all = count(kernel.Member{ID: "m", Region: "elsewhere", DataCentre: "empty"}, fleet(15))
		is.Equal(own, 0)
		is.Equal(region, 0)
		is.Equal(all, 18)
	})
	t.Run("a small service is used whole", func(t *testing.T) {
		_, _, all := count(fleet(2)[0], fleet(2))
		is.New(t).Equal(all, 18)
	})
	t.Run("all targets are used by a similar number of daemons", func(t *testing.T) {
		used := map[string]int{}
		for _, self := range fleet(33) {
			for _, member := range pick.Subset(self, fleet(33)) {
				used[member.ID]++
			}
		}
		for _, member := range fleet(33) {
			is.New(t).True(used[member.ID] >= 6 && used[member.ID] <= 40) // 18 on average
		}
	})
}
