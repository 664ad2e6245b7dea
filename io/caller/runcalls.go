package caller

import (
	"sync"

	"ibislift/core/call"
)

// runCalls is a call.RunCalls that is safe for concurrent use.
type runCalls struct {
	mutex   sync.Mutex
	machine call.RunCalls
}

// begin is RunCalls.Begin.
func (runCalls *runCalls) begin(class string, running int) bool {
	runCalls.mutex.Lock()
	defer runCalls.mutex.Unlock()
	return runCalls.machine.Begin(class, running)
}

// end is RunCalls.End.
func (runCalls *runCalls) end(class string) {
	runCalls.mutex.Lock()
	defer runCalls.mutex.Unlock()
	runCalls.machine.End(class)
}

// mayBeCall reports whether the request may be a call that a running request of the local
// upstream makes: it carries no key although the route table has workspaces.
func (exchange *exchange) mayBeCall() bool {
	request := exchange.request
	return exchange.handler.RunningExcept != nil && request.hidesKey && request.workspace == nil
}

// markCall marks the request for all its attempts if it may be such a call.
func (exchange *exchange) markCall() {
	if exchange.mayBeCall() {
		class := exchange.request.class
		exchange.isCall = exchange.handler.runCalls.begin(class, exchange.handler.RunningExcept(class))
	}
}

// endCall lets another request be marked.
func (exchange *exchange) endCall() {
	if exchange.mayBeCall() {
		exchange.handler.runCalls.end(exchange.request.class)
	}
}
