package caller

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/call"
	"ibislift/io/peer/peerpb"
)

// invalidFinalStatuses are statuses that no final response has. A faulty gate, or one of
// an older version, may still send them.
var invalidFinalStatuses = []int32{-1, 0, 1, 99, 100, 101, 103, 199, 600, 999, 1000, 1 << 30}

// The server for callers would turn a response without a status into a 200.
func TestResponseOfAGateWithoutAStatus(t *testing.T) {
	for _, status := range invalidFinalStatuses {
		for _, complete := range []bool{true, false} {
			t.Run(strconv.Itoa(int(status)), func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(context.Background())
				attempt := &attempt{ctx: ctx, stop: stop}
				event := attempt.receiveHead(newExchange(), &peerpb.AnswerHead{Status: status, Complete: complete, Body: []byte("ok")})
				is.Equal(event, call.AttemptLost{})
				is.True(attempt.head == nil)
				is.Equal(ctx.Err() != nil, !complete) // the rest of the response is not awaited
			})
		}
	}
	for _, status := range []int32{200, 204, 304, 404, 500, 599} {
		t.Run("valid "+strconv.Itoa(int(status)), func(t *testing.T) {
			is := is.New(t)
			attempt := &attempt{ctx: context.Background()}
			attempt.receiveHead(newExchange(), &peerpb.AnswerHead{Status: status, Complete: true})
			is.True(attempt.head != nil)
		})
	}
}

// An interim response with a final status would become the response to the caller.
func TestInterimResponseOfAGate(t *testing.T) {
	for status, relayed := range map[int32]bool{-1: false, 0: false, 99: false, 100: false, 101: false, 102: true, 103: true, 199: true, 200: false, 500: false, 600: false} {
		t.Run(strconv.Itoa(int(status)), func(t *testing.T) {
			is := is.New(t)
			attempt := &attempt{ctx: context.Background()}
			frame := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Interim{Interim: &peerpb.AnswerHead{Status: status}}}
			is.True(attempt.handleFrame(newExchange(), frame) == nil)
			is.Equal(len(attempt.interim) == 1, relayed)
		})
	}
}

// claimEnds records how the claims of idempotency keys end.
type claimEnds struct {
	Claims
	ends []string
}

func (claimEnds *claimEnds) CloseClaim(_, _, _ string, released bool) {
	claimEnds.ends = append(claimEnds.ends, strconv.FormatBool(released))
}

// A claim that is completed makes later requests with the key end with "already run",
// though their caller has never got a response. One that is released lets them run again.
func TestClaimOfARequestWithoutAValidResponse(t *testing.T) {
	for _, status := range invalidFinalStatuses {
		t.Run(strconv.Itoa(int(status)), func(t *testing.T) {
			is := is.New(t)
			claims := &claimEnds{}
			exchange := newExchange()
			exchange.handler.Claims = claims
			machine := call.Call{Keyed: true}
			machine.Update(call.RequestArrived{})
			machine.Update(call.TargetChosen{Target: "t0"})
			machine.Update(call.SlotGranted{})
			is.Equal(machine.Update(call.ClaimGranted{}), []call.Effect{call.Commit{}})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			attempt := &attempt{ctx: ctx, stop: stop}
			exchange.machine, exchange.attempts = machine, append(exchange.attempts, attempt)
			recorder := httptest.NewRecorder()
			exchange.writer = recorder
			event := attempt.receiveHead(exchange, &peerpb.AnswerHead{Status: status, Complete: true, Body: []byte("ok")})
			for _, effect := range exchange.machine.Update(event) {
				if finish, isFinish := effect.(call.Finish); isFinish {
					is.Equal(finish.Outcome, call.OutcomeUnknown)
					continue
				}
				exchange.perform(effect)
			}
			is.Equal(len(claims.ends), 0)
		})
	}
}
