package call

// Parameters of the marks of calls.
const (
	// callsPerRun is how many calls of a class may be in flight for each running request.
	// Runs that make one call after the other or two at once get marks for all of them; of
	// three or four at once, two are marked. A larger number lets more requests that no run
	// has made go before the others.
	callsPerRun = 2
	// excessWeight is the weight of one request in the part of a class's latest requests that
	// no run can have made, and maxExcess the part above which none of the class is marked.
	// A flood loses the marks after 22 requests in excess. Calls whose run was cancelled and
	// that are still in flight are an excess too: 8 of 10,308 in the load player, scenario
	// fares-heavy with seed 1. Runs that make four calls at once stay at 0.5.
	excessWeight = 1.0 / 32
	maxExcess    = 0.5
	// idleExcess is the excess below which a class without requests in flight has no entry.
	idleExcess = 0.01
)

// RunCalls decides which requests without a workspace an ingress marks as calls that the
// runs of its own upstream make. Such calls carry nothing that shows where they come
// from, so a request counts as a call only while the upstream has running requests that
// can make it, and only if the requests of its class have lately not been more than these
// can make. The limit holds for each class: requests from outside that stay within it are
// not told apart from calls, but they cannot use up the marks of another route. The zero
// value is ready for use. RunCalls is not safe for concurrent use.
type RunCalls struct {
	byClass map[string]*classCalls
}

// classCalls is what is known of the requests of a class, marked or not.
type classCalls struct {
	inFlight int
	// excess is the moving average of the part that no run can have made.
	excess float64
}

// Begin reports whether a request that arrives is marked. running is the number of
// requests of other classes that run on the upstream: a run makes no calls of its own
// class. End must be called at the end of each request.
func (runCalls *RunCalls) Begin(class string, running int) bool {
	if runCalls.byClass == nil {
		runCalls.byClass = map[string]*classCalls{}
	}
	calls := runCalls.byClass[class]
	if calls == nil {
		calls = &classCalls{}
		runCalls.byClass[class] = calls
	}
	exceeds := 0.0
	if calls.inFlight >= callsPerRun*running {
		exceeds = 1
	}
	calls.excess += (exceeds - calls.excess) * excessWeight
	calls.inFlight++
	return exceeds == 0 && calls.excess <= maxExcess
}

// End records the end of a request.
func (runCalls *RunCalls) End(class string) {
	calls := runCalls.byClass[class]
	calls.inFlight--
	if calls.inFlight == 0 && calls.excess < idleExcess {
		delete(runCalls.byClass, class)
	}
}
