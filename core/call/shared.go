package call

// SharedBudget limits the extra attempts that all daemons together make for one
// service: Ratio extra attempts for each request, and a reserve of Slack extra
// attempts in all. Each daemon gets Ratio for its own requests and an equal share
// of Slack.
type SharedBudget struct {
	Ratio float64
	Slack float64
}

// unspentFraction is the part of a shared budget that stays unspent. It covers
// daemons that this one does not know yet, and repeated calls: if a retry makes an
// upstream execute a request twice, that upstream also calls this service twice. At
// worst all requests of a service are such calls, and the retries of both services add
// up there.
const unspentFraction = 0.53

// AssignShare sets the budget of one daemon to its share among the given number
// of daemons.
func (shared *SharedBudget) AssignShare(budget *Budget, daemons int) {
	budget.SetShare(shared.Ratio*(1-unspentFraction), shared.Slack*(1-unspentFraction)/float64(daemons))
}
