package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"ibislift/standin/deployment"
)

// wholeLead is how long before the deadline the target must have written a response, so that
// the daemons have it in time: two links of 15 ms, and what a busy machine needs.
const wholeLead = 150 * time.Millisecond

// round is what a caller has sent ahead on a connection, in the order of the requests.
type round struct {
	ingress  string
	attempts []*attempt
}

func (round round) String() string {
	var text strings.Builder
	first := round.attempts[0].sentAt
	fmt.Fprintf(&text, "round through %s at %s:", round.ingress, first.Format("15:04:05.000000"))
	for _, attempt := range round.attempts {
		fmt.Fprintf(&text, " [%s %s deadline %s, sent %s ended %s, target %q status %d broken %t err %v]", attempt.id, attempt.request.Path,
			attempt.request.Deadline, attempt.sentAt.Sub(first), attempt.endedAt.Sub(first), attempt.target, attempt.result.Status, attempt.result.Broken, attempt.err)
	}
	return text.String()
}

// evidence is what the upstreams and the faults say about the requests.
type evidence struct {
	runs     map[string]int
	ends     []deployment.Run
	troubles troubles
}

// breach returns what was done wrong with a request of the round, or an empty string. A
// request that has run may lose its connection if its own deadline has passed, if its daemon
// had a fault, or if the target of a response that had begun to arrive cut it.
func (evidence evidence) breach(round round, index int) string {
	attempt := round.attempts[index]
	breach := attempt.breach(evidence.runs[attempt.id])
	if breach == "" || !attempt.result.Broken {
		return breach
	}
	if evidence.troubles.touch("daemon "+round.ingress, attempt.sentAt, attempt.endedAt) {
		return ""
	}
	for _, begun := range round.attempts[:index+1] {
		if begun.result.Broken && begun.result.Status != 0 && evidence.isCutByTarget(begun) {
			return ""
		}
	}
	return breach
}

// isCutByTarget reports whether the target of a response, or what lies between it and the
// daemon of the caller, may have cut it: it had a fault, or has not written all of the
// response well before the deadline.
func (evidence evidence) isCutByTarget(begun *attempt) bool {
	for _, component := range []string{"upstream " + begun.target, "daemon " + begun.target, "links"} {
		if evidence.troubles.touch(component, begun.sentAt, begun.endedAt) {
			return true
		}
	}
	for _, end := range evidence.ends {
		if end.AttemptID == begun.id && end.Upstream == begun.target {
			return end.At.Add(wholeLead).After(begun.sentAt.Add(begun.request.Deadline))
		}
	}
	return true
}

// answeredBehindTimeout returns how many requests of the round were answered after one in
// front of them, at the time of whose refusal they had been sent, ran into its timeout.
func (round round) answeredBehindTimeout() int {
	answered := 0
	var refusedAt time.Time
	for _, attempt := range round.attempts {
		if attempt.result.Complete && attempt.sentAt.Before(refusedAt) {
			answered++
		}
		if attempt.result.Status == http.StatusGatewayTimeout {
			refusedAt = attempt.endedAt
		}
	}
	return answered
}

// checkAhead checks what became of all requests that were sent ahead. None that was answered
// behind a timeout would show nothing.
func (trial *trial) checkAhead() {
	ledger, err := trial.running.ReadLedger()
	if err != nil {
		trial.recordViolation("the ledger cannot be read: %v", err)
		return
	}
	evidence := evidence{runs: ledger.RunCounts(), ends: ledger.Ends, troubles: trial.troubles}
	answered, behind, cut, expired := 0, 0, 0, 0
	for _, round := range trial.rounds {
		behind += round.answeredBehindTimeout()
		for index, attempt := range round.attempts {
			switch {
			case attempt.result.Complete:
				answered++
			case attempt.isExpired():
				expired++
			case attempt.result.Broken && attempt.whole:
				cut++
			}
			if breach := evidence.breach(round, index); breach != "" {
				trial.recordViolation("sent ahead: %s %s; %s", attempt.id, breach, round)
			}
		}
	}
	trial.recordFigure("sent ahead: %d answered, %d of them behind a timeout, %d cut, %d expired", answered, behind, cut, expired)
	if behind == 0 {
		trial.recordViolation("no request that was sent ahead of a timeout was answered")
	}
}
