package call

// SharedBudget bounds the extra attempts for one service by all daemons
// together: Ratio for each request, and Slack more in any window. Each daemon
// spends the ratio of its own requests and its part of the slack.
type SharedBudget struct {
	Ratio float64
	Slack float64
}

// sharedReserve is the part of a shared budget that is left unspent, for
// daemons that are not known yet and for repeated calls of repeated runs.
const sharedReserve = 0.3

// Divide brings one daemon's part up to the number of daemons.
func (shared *SharedBudget) Divide(part *Budget, daemons int) {
	part.Share(shared.Ratio*(1-sharedReserve), shared.Slack*(1-sharedReserve)/float64(daemons))
}
