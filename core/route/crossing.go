package route

// This file decides which requests cross to another data centre or region. A request goes
// to the target with the lowest cost: the expected time, which includes the link, and the
// price of the bytes of both bodies. The price is a fraction of what a response in time
// is worth, and that worth counts as much as a delay of the whole objective. A request
// therefore crosses if the time that it gains, as a fraction of its objective, is more
// than the price of its bytes. Small requests cross before large ones, and a request
// without a price goes where it is expected to end first.

// costSeconds returns the cost of a request on a candidate as a time: the expected
// time and the price of the bytes.
func costSeconds(request Request, candidate Candidate) float64 {
	return expectedSeconds(request, candidate) + priceSeconds(request, candidate)
}

// priceSeconds returns the price of the request's bytes as a time. It is at most
// what the response is worth, so that a request with a large body crosses a link
// rather than wait for longer than its objective.
func priceSeconds(request Request, candidate Candidate) float64 {
	return min(1, request.Bytes*candidate.BytePrice) * worthSeconds(request)
}

// worthSeconds is the delay that counts as much as the whole worth of a response:
// the objective or, without one, the service time.
func worthSeconds(request Request) float64 {
	if request.Objective == 0 {
		return request.ServiceTime.Seconds()
	}
	return request.Objective.Seconds()
}
