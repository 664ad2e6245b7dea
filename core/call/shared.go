package call

// SharedBudget limits the extra attempts that all daemons together make for one
// service: Ratio extra attempts for each request, and Slack more in any time
// window. Each daemon gets Ratio for its own requests and an equal share of
// Slack.
type SharedBudget struct {
	Ratio float64
	Slack float64
}

// unspentFraction is the part of a shared budget that stays unspent. It covers
// daemons that this one does not know yet, and calls that an upstream makes
// again because its own request was executed more than once.
const unspentFraction = 0.3

// AssignShare sets the budget of one daemon to its share among the given number
// of daemons.
func (shared *SharedBudget) AssignShare(part *Budget, daemons int) {
	part.SetShare(shared.Ratio*(1-unspentFraction), shared.Slack*(1-unspentFraction)/float64(daemons))
}
