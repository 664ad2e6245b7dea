package caller

import (
	"net/http"
	"time"

	"ibislift/core/call"
)

// Parameters of the refusal of requests that a stopping daemon could not finish.
const (
	// stopServiceTimes is how many service times of its class a request needs at least,
	// which leaves room for a queue and for a target that is slow.
	stopServiceTimes = 2
	// minStopTime is the least time that a request needs, for classes whose service time is
	// not known.
	minStopTime = 200 * time.Millisecond
)

// refuseLate refuses a request that this daemon, which is stopping, would probably end before
// its target has responded. A request that was passed on may have run.
func (handler *Handler) refuseLate(request *request, service *service) *problem {
	endAt := handler.endAt.Load()
	if endAt == nil || !endAt.Before(request.deadline) {
		return nil
	}
	needed := max(minStopTime, request.objectiveLength(), stopServiceTimes*service.tracker.Class(request.class).ServiceTime)
	left := endAt.Sub(handler.Now())
	if left >= needed {
		return nil
	}
	return &problem{
		Type: problemType + "stopping", Title: "the daemon is stopping and cannot finish the request", Status: http.StatusServiceUnavailable,
		retryAfter: call.DefaultRetryAfter, reason: "left " + left.String() + ", needed " + needed.String(),
	}
}
