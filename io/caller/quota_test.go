package caller

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/quota"
	"ibislift/core/route"
	"ibislift/core/routes"
	"ibislift/io/dialect"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// purse is a Quotas with a number of tokens. Without any, it refuses with a verdict.
type purse struct {
	tokens, returned int
	verdict          quota.Verdict
	// once says that the request that uses the tokens may not be repeated.
	once bool
}

func (purse *purse) Take(context.Context, *routes.Workspace, time.Time) quota.Decision {
	return purse.TryTake(nil)
}

func (purse *purse) TryTake(*routes.Workspace) quota.Decision {
	if purse.tokens == 0 {
		return quota.Decision{Verdict: purse.verdict, RetryAfter: 300 * time.Millisecond, Owner: "d7"}
	}
	purse.tokens--
	return quota.Decision{Verdict: quota.Granted}
}

func (purse *purse) Peek(*routes.Workspace) quota.Decision {
	if purse.tokens == 0 {
		return quota.Decision{Verdict: purse.verdict}
	}
	return quota.Decision{}
}

func (purse *purse) GiveBack(*routes.Workspace, quota.Decision) { purse.returned++ }

// scriptedPeers gives each attempt the next of the answers.
type scriptedPeers struct {
	answers []answer
	sent    int
}

func (scriptedPeers *scriptedPeers) Open(context.Context, kernel.Member) (peer.IngressStream, error) {
	return nil, context.Canceled
}

func (scriptedPeers *scriptedPeers) OpenReady(context.Context, kernel.Member) (peer.IngressStream, bool) {
	scriptedPeers.sent++
	answer := scriptedPeers.answers[0]
	scriptedPeers.answers = scriptedPeers.answers[1:]
	return &frameStream{frames: answer}, true
}

// countingMeter discards what it is told.
type countingMeter struct{}

func (countingMeter) Request(string, string, string, call.Outcome, int, time.Duration) {}
func (countingMeter) Attempt(string, string)                                           {}
func (countingMeter) Refusal(string, string)                                           {}

// answer holds the frames that a gate sends for an attempt.
type answer []*peerpb.AnswerFrame

func answered(status int32) answer {
	return answer{{Frame: &peerpb.AnswerFrame_Head{Head: &peerpb.AnswerHead{Status: status, Complete: true}}}}
}

func refused(reached bool) answer {
	return answer{{Frame: &peerpb.AnswerFrame_Refused{Refused: &peerpb.Refusal{Reason: "full", Reached: reached}}}}
}

// granted is a reservation, followed by an answer after the commit.
func granted(after answer) answer {
	return append(answer{{Frame: &peerpb.AnswerFrame_Granted{Granted: &peerpb.Load{}}}}, after...)
}

// runLimited runs a request of a workspace with a quota against targets that
// give the answers, and returns its status and the number of attempts.
func runLimited(purse *purse, repeatable bool, answers ...answer) (status, attempts int) {
	peers := &scriptedPeers{answers: answers}
	handler := &Handler{
		Now: time.Now, Dialect: dialect.Default(), Log: slog.New(slog.DiscardHandler), Quotas: purse, Peers: peers,
		LinkTo: func(kernel.Member) route.Link { return route.Link{} }, Meter: countingMeter{}, Records: &Records{},
	}
	policy, _ := route.New(profile.Default().Policy)
	service := &service{
		tracker: &route.Tracker{}, profile: profile.Default(), policy: policy, known: true,
		retries: &call.Budget{Ratio: 1, Burst: 10}, hedges: &call.Budget{},
	}
	for _, id := range []string{"t0", "t1", "t2", "t3", "t4"} {
		target := kernel.Target{Service: "shop", Slots: 10, State: kernel.TargetServing}
		service.members = append(service.members, kernel.Member{ID: id, State: kernel.MemberAlive, Target: target})
	}
	deadline := time.Now().Add(5 * time.Second)
	request := &request{
		service: "shop", repeatable: repeatable, deadline: deadline, callerDeadline: deadline, objective: deadline, profile: profile.Default(),
		workspace: &routes.Workspace{Name: "acme", Rate: 3, Burst: 3},
	}
	recorder := httptest.NewRecorder()
	original := httptest.NewRequest("GET", "/", nil)
	if refusal := handler.takeToken(request, original); refusal != nil {
		refusal.write(recorder, handler.Dialect)
		return recorder.Code, peers.sent
	}
	exchange := &exchange{
		handler: handler, request: request, service: service, view: &kernel.View{}, original: original, writer: recorder,
		arrived: time.Now(), picker: request.picker(service, 1), events: make(chan call.Event, eventBuffer),
	}
	exchange.run()
	return recorder.Code, peers.sent
}

// expectEnd checks how a request ended, how many attempts it made and what became of the
// tokens.
func expectEnd(t *testing.T, purse *purse, wantStatus, wantAttempts, wantLeft, wantReturned int, answers ...answer) {
	t.Helper()
	is := is.New(t)
	status, attempts := runLimited(purse, !purse.once, answers...)
	is.Equal(status, wantStatus)
	is.Equal(attempts, wantAttempts)
	is.Equal(purse.tokens, wantLeft)
	is.Equal(purse.returned, wantReturned)
}

// TestTokens guards against requests that run without a token, and against tokens that are
// lost with requests that did not run.
func TestTokens(t *testing.T) {
	t.Run("a request that runs spends one token", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 3}, 200, 1, 2, 0, answered(200))
	})
	t.Run("a request over the quota is refused without an attempt", func(t *testing.T) {
		expectEnd(t, &purse{verdict: quota.OverQuota}, 429, 0, 0, 0)
	})
	t.Run("a request whose owner does not reply is refused without an attempt", func(t *testing.T) {
		expectEnd(t, &purse{verdict: quota.Unreachable}, 503, 0, 0, 0)
	})
	t.Run("an attempt that a gate refused leaves its token to the next", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 3}, 200, 2, 2, 0, refused(false), answered(200))
	})
	t.Run("a request that all gates refuse returns its token", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 3}, 503, 5, 2, 1, refused(false), refused(false), refused(false), refused(false), refused(false))
	})
	t.Run("a request that runs again spends another token", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 3}, 200, 2, 1, 0, answered(500), answered(200))
	})
	t.Run("a request does not run again without another token", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 1, verdict: quota.OverQuota}, 500, 1, 0, 0, answered(500), answered(200))
	})
	t.Run("an attempt that the target itself refused has spent its token", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 1, verdict: quota.OverQuota}, 503, 1, 0, 0, refused(true), answered(200))
	})
	t.Run("a request that may not be repeated spends its token with the commit", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 2, once: true}, 200, 2, 1, 0, refused(false), granted(answered(200)))
	})
	t.Run("a commit that the gate refuses leaves the token to the next", func(t *testing.T) {
		expectEnd(t, &purse{tokens: 2, once: true}, 200, 2, 1, 0, granted(refused(false)), granted(answered(200)))
	})
}

// TestUnlimitedRequests guards against quotas on requests that have none.
func TestUnlimitedRequests(t *testing.T) {
	handler := &Handler{Quotas: &purse{verdict: quota.OverQuota}}
	original := httptest.NewRequest("GET", "/", nil)
	for name, request := range map[string]*request{
		"without a workspace":        {},
		"without a rate":             {workspace: &routes.Workspace{Name: "acme"}},
		"of a daemon without quotas": {workspace: &routes.Workspace{Name: "acme", Rate: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			handler := &Handler{Quotas: handler.Quotas}
			if name == "of a daemon without quotas" {
				handler.Quotas = nil
			}
			is.New(t).True(handler.takeToken(request, original) == nil)
			is.New(t).True(handler.checkQuota(request) == nil)
		})
	}
}

// unreadableBody fails the test if it is read.
type unreadableBody struct{ t *testing.T }

func (body unreadableBody) Read([]byte) (int, error) {
	body.t.Error("the body was read")
	return 0, io.EOF
}

// TestBodyOverQuota guards against a refusal over the quota that comes only after a body
// that may take long.
func TestBodyOverQuota(t *testing.T) {
	handler := &Handler{Now: time.Now, Dialect: dialect.Default(), Quotas: &purse{verdict: quota.OverQuota}}
	request := &request{service: "shop", workspace: &routes.Workspace{Name: "acme", Rate: 3}}
	original := httptest.NewRequest("POST", "/", unreadableBody{t})
	refusal := handler.prepare(request, &service{known: true, profile: profile.Default()}, &kernel.View{}, httptest.NewRecorder(), original, time.Now())
	is.New(t).Equal(refusal.kind(), "overQuota")
}

// TestOverQuotaProblem guards against a refusal from which a caller cannot tell when to
// come back, or an operator which quota it was.
func TestOverQuotaProblem(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	refusal := quotaProblem(&routes.Workspace{Name: "acme", Rate: 3, Burst: 4}, quota.Decision{Verdict: quota.OverQuota, RetryAfter: 1500 * time.Millisecond, Owner: "d7"})
	refusal.write(recorder, dialect.Default())
	is.True(recorder.Header().Get("Retry-After") != "")
	is.Equal(refusal.kind(), "overQuota")
	is.Equal(refusal.Detail, `workspace "acme" may send 3 requests a second, 4 at once`)
	limited := &request{workspace: &routes.Workspace{Name: "acme", Rate: 3, Burst: 4}, token: quota.Decision{Owner: "d7"}}
	is.Equal(quotaSteps(refusal, limited, time.Millisecond)[0].Detail, `workspace "acme" may send 3 requests a second, 4 at once; decided by d7`)
	is.Equal(len(quotaSteps(&problem{Type: problemType + "badHeader"}, limited, 0)), 0)
}
