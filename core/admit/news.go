package admit

import (
	"math"
	"time"
)

// Times of the reports of a gate's load.
const (
	// ReportGap is the least time between two reports to an entry, FarReportGap
	// that to one in another region, where bytes are dear and the way is long.
	ReportGap    = 40 * time.Millisecond
	FarReportGap = 200 * time.Millisecond
	// SubscriptionTime is how long after its last request an entry still gets
	// reports.
	SubscriptionTime = 2 * time.Second
)

// The changes of a load that are worth a report: as a multiple of the slowness,
// and as a part of the slots.
const (
	slownessStep = 1.25
	loadStep     = 0.25
)

// IsNews says whether a load differs enough from the one that was told last.
func (load Load) IsNews(told Load) bool {
	slots := float64(max(1, load.Slots))
	before, now := float64(told.Running+told.Queued), float64(load.Running+load.Queued)
	// Below half of the slots no request waits, and a difference changes little.
	if max(before, now) > slots/2 && math.Abs(now-before) >= loadStep*slots {
		return true
	}
	if told.Draining != load.Draining || told.Slots != load.Slots {
		return true
	}
	low, high := min(told.Slowness, load.Slowness), max(told.Slowness, load.Slowness)
	return high > low*slownessStep
}
