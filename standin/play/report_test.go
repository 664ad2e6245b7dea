package play_test

import (
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/play"
)

// TestNetCredit guards against comparisons of policies that leave out what bytes cost.
func TestNetCredit(t *testing.T) {
	is := is.New(t)
	near := simulate(t, smallScenario(), play.Current)
	report := simulate(t, smallScenario(), "random")
	look := findTally(report, "look")
	is.True(look.CrossRegionBytes > 0 && look.CrossZoneBytes > 0)
	price := (look.CrossZoneBytes*12 + look.CrossRegionBytes*35) / 1e6
	lost := (report.Credit() - report.NetCredit()) * float64(look.Awaited())
	is.True(lost > 0.999*price && lost < 1.001*price)
	is.True(near.Credit()-near.NetCredit() < report.Credit()-report.NetCredit())
}
