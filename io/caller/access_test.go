package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/route"
	"ibislift/core/routes"
	"ibislift/io/dialect"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// viewFiller is a plug-in that provides the members and the route table of a view.
type viewFiller struct{ fill func(*kernel.View) }

// fillView is what the next kernel's view holds.
var fillView func(*kernel.View)

func init() {
	kernel.Register("test", func() kernel.Plugin { return &viewFiller{fill: fillView} })
}

func (*viewFiller) Update(*kernel.State, kernel.Event) []kernel.Effect { return nil }
func (*viewFiller) Accepts(time.Time, kernel.Record) bool              { return true }
func (viewFiller *viewFiller) FillView(view *kernel.View)              { viewFiller.fill(view) }

// newView returns a view with the members and the route table.
func newView(t *testing.T, members []kernel.Member, table routes.Table) *kernel.View {
	t.Helper()
	table.Version = 7
	body, err := json.Marshal(table)
	is.New(t).NoErr(err)
	parsed, err := routes.Parse(body)
	is.New(t).NoErr(err)
	fillView = func(view *kernel.View) { view.Members, view.Routes, view.Ready = members, parsed, true }
	builder := &kernel.Kernel{Settings: kernel.Settings{Self: "n0"}}
	builder.Update(kernel.Event{At: time.Now()})
	return builder.View()
}

// newMember returns a serving member of a service. Its name starts with its region.
func newMember(region string, number int, service string) kernel.Member {
	return kernel.Member{
		ID: fmt.Sprintf("%s%d", region, number), Region: region, DataCentre: region, State: kernel.MemberAlive,
		Target: kernel.Target{Service: service, State: kernel.TargetServing, Slots: 4},
	}
}

// How a gate of the tests reacts to a request.
const (
	gateAnswers   = "answers"
	gateRefuses   = "refuses"
	gateLoses     = "loses"
	gateFails     = "fails"
	gateIsSilent  = "is silent"
	gateRefusesIt = "refuses a slower one"
)

// gates are the gates of all members. They record what they receive.
type gates struct {
	mutex    sync.Mutex
	reaction string
	heads    map[string][]*peerpb.CallHead
	trailers []*peerpb.Field
	received int
}

func (gates *gates) Open(_ context.Context, member kernel.Member) (peer.IngressStream, error) {
	return &gateStub{gates: gates, member: member.ID, frames: make(chan *peerpb.AnswerFrame, 4)}, nil
}

func (gates *gates) OpenReady(ctx context.Context, member kernel.Member) (peer.IngressStream, bool) {
	stream, err := gates.Open(ctx, member)
	return stream, err == nil
}

// gateStub is a stream to one gate.
type gateStub struct {
	gates  *gates
	member string
	frames chan *peerpb.AnswerFrame
}

func (gateStub *gateStub) Send(frame *peerpb.CallFrame) error {
	gateStub.gates.mutex.Lock()
	defer gateStub.gates.mutex.Unlock()
	switch frame := frame.GetFrame().(type) {
	case *peerpb.CallFrame_Head:
		gateStub.gates.heads[gateStub.member] = append(gateStub.gates.heads[gateStub.member], frame.Head)
		if frame.Head.GetReserve() && gateStub.gates.reaction == gateAnswers {
			gateStub.frames <- &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Granted{Granted: &peerpb.Load{}}}
			return nil
		}
		gateStub.react()
	case *peerpb.CallFrame_Commit:
		head := gateStub.gates.heads[gateStub.member][0]
		if !head.GetBodyFollows() {
			gateStub.react()
		}
	case *peerpb.CallFrame_Chunk:
		gateStub.gates.received += len(frame.Chunk)
	case *peerpb.CallFrame_End:
		gateStub.gates.trailers = frame.End.GetFields()
		gateStub.react()
	}
	return nil
}

func (gateStub *gateStub) react() {
	switch gateStub.gates.reaction {
	case gateAnswers:
		gateStub.frames <- &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: &peerpb.AnswerHead{Status: http.StatusOK, Complete: true}}}
	case gateFails:
		gateStub.frames <- &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: &peerpb.AnswerHead{Status: http.StatusInternalServerError, Complete: true}}}
	case gateRefuses:
		gateStub.frames <- &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: &peerpb.Refusal{Reason: string(admit.ReasonDraining)}}}
	case gateRefusesIt:
		gateStub.frames <- &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: &peerpb.Refusal{Reason: string(admit.ReasonSlower)}}}
	case gateLoses:
		close(gateStub.frames)
	}
}

func (gateStub *gateStub) Recv() (*peerpb.AnswerFrame, error) {
	return gateStub.RecvUntil(time.Now().Add(time.Second))
}

func (gateStub *gateStub) RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error) {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case frame, open := <-gateStub.frames:
		if !open {
			return nil, io.EOF
		}
		return frame, nil
	case <-timeout.C:
		return nil, os.ErrDeadlineExceeded
	}
}

// ledger records what a handler reports and which keys it claims.
type ledger struct {
	mutex    sync.Mutex
	tenants  []string
	refusals []string
	claims   []string
}

func (ledger *ledger) Request(_, _, tenant string, _ call.Outcome, _ int, _ time.Duration) {
	ledger.tenants = append(ledger.tenants, tenant)
}
func (*ledger) Attempt(string, string) {}
func (ledger *ledger) Refusal(_, reason string) {
	ledger.refusals = append(ledger.refusals, reason)
}

func (ledger *ledger) Claim(_ context.Context, _, key, _ string) (kernel.ClaimResult, error) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.claims = append(ledger.claims, key)
	return kernel.ClaimResult{Status: kernel.ClaimGranted}, nil
}
func (*ledger) CloseClaim(string, string, string, bool) {}

// secretKey is the key of the workspace "acme" and unknownKey is none.
const (
	secretKey  = "s3cret-key-of-acme"
	unknownKey = "s3cret-of-nobody"
)

// ingress is a handler with its surroundings.
type ingress struct {
	t       *testing.T
	handler *Handler
	gates   *gates
	ledger  *ledger
	logs    *bytes.Buffer
}

// newIngress returns an ingress in the region north whose table has two workspaces and
// these routes: /closed/ needs a key, /open/ does not, /north/ and /south/ allow one
// region, /split/ leads to two services of which "two" is in the south only.
func newIngress(t *testing.T, workspaces ...routes.Workspace) *ingress {
	t.Helper()
	one := []routes.Destination{{Service: "one", Weight: 1}}
	split := []routes.Destination{{Service: "one", Weight: 1}, {Service: "two", Weight: 3}}
	newRoute := func(name string, rank int, destinations []routes.Destination) routes.Route {
		return routes.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Rank: rank, Repeatable: true, Objective: 20 * time.Millisecond, Timeout: time.Second, MaxAttempts: 5, Destinations: destinations}
	}
	table := routes.Table{Workspaces: workspaces, Routes: []routes.Route{
		newRoute("closed", 2, one), newRoute("urgent", 0, one), newRoute("open", 2, one), newRoute("north", 1, one),
		newRoute("south", 1, one), newRoute("nowhere", 1, one), newRoute("split", 1, split), newRoute("keyed", 1, one),
		newRoute("last", 5000, one),
	}}
	for index := range table.Routes {
		switch route := &table.Routes[index]; route.Name {
		case "open", "last":
			route.Anonymous = true
		case "north", "south", "nowhere":
			route.Regions = []string{route.Name}
		case "keyed":
			route.Repeatable = false
		case "split":
			// On a busy machine a gate may respond so late that a hedge is sent, which would
			// be counted as well.
			route.Objective = time.Second
		}
	}
	var members []kernel.Member
	for number := range 3 {
		members = append(members, newMember("n", number, "one"), newMember("s", number, "one"))
	}
	for index := range members {
		members[index].Region = map[byte]string{'n': "north", 's': "south"}[members[index].ID[0]]
	}
	far := newMember("s", 9, "two")
	far.Region = "south"
	view := newView(t, append(members, far), table)
	ingress := &ingress{t: t, gates: &gates{reaction: gateAnswers, heads: map[string][]*peerpb.CallHead{}}, ledger: &ledger{}, logs: &bytes.Buffer{}}
	ingress.handler = &Handler{
		Daemon: "n0", View: func() *kernel.View { return view }, Peers: ingress.gates, Claims: ingress.ledger, Meter: ingress.ledger,
		LinkTo: func(kernel.Member) route.Link { return route.Link{} }, Now: time.Now, Records: &Records{}, Dialect: dialect.Default(),
		Log:          slog.New(slog.NewTextHandler(ingress.logs, &slog.HandlerOptions{Level: slog.LevelDebug})),
		SharedBudget: func() *call.SharedBudget { return &call.SharedBudget{Ratio: 10, Slack: 100} },
		Splitter:     &routes.Splitter{Daemon: "n0"},
	}
	return ingress
}

func withKeys(t *testing.T) *ingress {
	t.Helper()
	urgency := 1
	return newIngress(t,
		routes.Workspace{Name: "acme", Keys: []routes.KeyDigest{routes.DigestKey(secretKey)}, Rank: &urgency},
		routes.Workspace{Name: "northern", Keys: []routes.KeyDigest{routes.DigestKey("northern")}, Regions: []string{"north"}},
	)
}

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (body unreadBody) Read([]byte) (int, error) {
	body.t.Error("the body is read")
	return 0, errors.New("unexpected read")
}

// send sends a request and checks that no key is disclosed.
func (ingress *ingress) send(path string, body io.Reader, header http.Header) *httptest.ResponseRecorder {
	ingress.t.Helper()
	request := httptest.NewRequest(http.MethodPost, path, body)
	request.Host = "h"
	if header != nil {
		request.Header = header
	}
	return ingress.serve(request)
}

func (ingress *ingress) serve(request *http.Request) *httptest.ResponseRecorder {
	ingress.t.Helper()
	recorder := httptest.NewRecorder()
	ingress.handler.ServeHTTP(recorder, request)
	records, err := json.Marshal(ingress.handler.Records.Find("", "", 1000))
	is := is.New(ingress.t)
	is.NoErr(err)
	for _, key := range []string{"s3cret", "c2VjcmV0"} {
		is.True(!strings.Contains(recorder.Body.String()+fmt.Sprint(recorder.Header()), key))
		is.True(!strings.Contains(ingress.logs.String(), key))
		is.True(!strings.Contains(string(records), key))
		is.True(!strings.Contains(fmt.Sprint(ingress.ledger.tenants, ingress.ledger.refusals), key))
	}
	return recorder
}

// heads returns the heads that the gates have received since the last call.
func (ingress *ingress) heads() []*peerpb.CallHead {
	ingress.gates.mutex.Lock()
	defer ingress.gates.mutex.Unlock()
	var heads []*peerpb.CallHead
	for _, received := range ingress.gates.heads {
		heads = append(heads, received...)
	}
	ingress.gates.heads = map[string][]*peerpb.CallHead{}
	return heads
}

// forwarded sends a request that must be served and returns its head as the gate got it.
func (ingress *ingress) forwarded(path string, header http.Header) (*peerpb.CallHead, http.Header) {
	ingress.t.Helper()
	is := is.New(ingress.t)
	is.Equal(ingress.send(path, nil, header).Code, http.StatusOK)
	heads := ingress.heads()
	is.Equal(len(heads), 1)
	return heads[0], peer.DecodeHeader(heads[0].GetHeaders())
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// requireProblem checks a refusal, its line in the log and its record.
func (ingress *ingress) requireProblem(response *httptest.ResponseRecorder, status int, kind, mention string) {
	ingress.t.Helper()
	is := is.New(ingress.t)
	is.Equal(response.Code, status)
	is.True(strings.Contains(response.Body.String(), `"urn:ibislift:problem:`+kind+`"`))
	is.True(strings.Contains(ingress.logs.String(), "problem="+kind))
	is.True(strings.Contains(ingress.logs.String(), mention))
	records := ingress.handler.Records.Find(response.Header().Get("Ibislift-Request-Id"), "", 1)
	is.Equal(len(records), 1)
	is.Equal(records[0].Steps[0].Event, kind)
	is.True(strings.Contains(records[0].Steps[0].Detail, mention))
	is.Equal(len(ingress.heads()), 0)
}

// A caller without a valid key must not cost the time to receive its body, and must not
// reach a target.
func TestInvalidKeysAreRefusedBeforeTheBody(t *testing.T) {
	for name, refused := range map[string]struct {
		values []string
		reason string
	}{
		"no header":       {nil, reasonNoKey},
		"unknown key":     {[]string{"Bearer " + unknownKey}, reasonUnknownKey},
		"two headers":     {[]string{"Bearer " + secretKey, "Bearer " + secretKey}, reasonMalformedKey},
		"another scheme":  {[]string{"Basic " + secretKey}, reasonMalformedKey},
		"no scheme":       {[]string{secretKey}, reasonMalformedKey},
		"an empty key":    {[]string{"Bearer "}, reasonMalformedKey},
		"the scheme only": {[]string{"Bearer"}, reasonMalformedKey},
		"two keys":        {[]string{"Bearer " + secretKey + ", Bearer " + secretKey}, reasonUnknownKey},
		"another case":    {[]string{"Bearer " + strings.ToUpper(secretKey)}, reasonUnknownKey},
	} {
		t.Run(name, func(t *testing.T) {
			ingress := withKeys(t)
			response := ingress.send("/closed/", unreadBody{t}, http.Header{"Authorization": refused.values})
			ingress.requireProblem(response, http.StatusUnauthorized, "unknownKey", refused.reason)
			is := is.New(t)
			is.Equal(response.Header().Get("WWW-Authenticate"), "Bearer")
			is.Equal(response.Header().Get("Retry-After"), "")
			is.Equal(ingress.ledger.refusals, []string{"unknownKey"})
		})
	}
}

func TestValidKeys(t *testing.T) {
	for _, value := range []string{"Bearer " + secretKey, "bearer " + secretKey, "BEARER   " + secretKey + " "} {
		ingress := withKeys(t)
		head, header := ingress.forwarded("/closed/", http.Header{"Authorization": {value}})
		is := is.New(t)
		is.Equal(head.GetWorkspace(), "acme")
		is.Equal(header["Ibislift-Workspace"], []string{"acme"})
		is.Equal(ingress.ledger.tenants, []string{"acme"})
		is.True(strings.Contains(ingress.logs.String(), "workspace=acme"))
		is.Equal(ingress.handler.Records.Find("", "", 1)[0].Workspace, "acme")
	}
}

// An upstream trusts the header that names the workspace, and must not learn the key.
func TestIdentityForTheUpstream(t *testing.T) {
	tricks := func() http.Header {
		return http.Header{
			"Ibislift-Workspace": {"victim"}, "ibislift-workspace ": {"victim"}, "authorization ": {"Bearer " + secretKey},
			"Connection": {"Authorization, Ibislift-Workspace"}, "X-Other": {"kept"}, "Ibislift-Tenant": {"claimed"},
		}
	}
	check := func(t *testing.T, path string, header http.Header, workspace string) {
		t.Helper()
		ingress := withKeys(t)
		head, forwarded := ingress.forwarded(path, header)
		is := is.New(t)
		is.Equal(head.GetWorkspace(), workspace)
		names := 0
		for name, values := range forwarded {
			is.True(!strings.EqualFold(strings.TrimSpace(name), "Authorization"))
			if strings.EqualFold(strings.TrimSpace(name), "Ibislift-Workspace") {
				names++
				is.Equal(values, []string{workspace})
			}
		}
		is.Equal(names > 0, workspace != "")
		is.Equal(forwarded.Get("X-Other"), "kept")
		is.Equal(ingress.ledger.tenants, []string{workspace}) // not what the caller claims
	}
	valid, invalid := tricks(), tricks()
	valid.Set("Authorization", "Bearer "+secretKey)
	invalid.Set("Authorization", "Bearer "+unknownKey)
	t.Run("a valid key", func(t *testing.T) { check(t, "/closed/", valid.Clone(), "acme") })
	t.Run("a valid key on an anonymous route", func(t *testing.T) { check(t, "/open/", valid.Clone(), "acme") })
	t.Run("an unknown key on an anonymous route", func(t *testing.T) { check(t, "/open/", invalid, "") })
	t.Run("no key on an anonymous route", func(t *testing.T) { check(t, "/open/", tricks(), "") })
	t.Run("trailers", func(t *testing.T) {
		ingress := withKeys(t)
		request := httptest.NewRequest(http.MethodPost, "/closed/", strings.NewReader("body"))
		request.Host = "h"
		request.Header = bearer(secretKey)
		request.Trailer = http.Header{"Authorization": {"Bearer " + secretKey}, "Ibislift-Workspace": {"victim"}, "X-Sum": {"1"}}
		is := is.New(t)
		is.Equal(ingress.serve(request).Code, http.StatusOK)
		is.Equal(len(ingress.gates.trailers), 1)
		is.Equal(ingress.gates.trailers[0].GetName(), "X-Sum")
	})
}

// Deployments without workspaces may use these headers for something else.
func TestTableWithoutWorkspaces(t *testing.T) {
	ingress := newIngress(t)
	head, header := ingress.forwarded("/closed/", http.Header{"Authorization": {"Basic abc"}, "Ibislift-Workspace": {"theirs"}, "Ibislift-Tenant": {"claimed"}})
	is := is.New(t)
	is.Equal(header.Get("Authorization"), "Basic abc")
	is.Equal(header["Ibislift-Workspace"], []string{"theirs"})
	is.Equal(head.GetWorkspace(), "")
	is.Equal(head.GetRank(), int32(2))
	is.Equal(ingress.ledger.tenants, []string{"claimed"})
	head, _ = ingress.forwarded("/urgent/", nil)
	is.True(head.GetImportant())
	head, _ = ingress.forwarded("/last/", nil)
	is.Equal(head.GetRank(), int32(5000))
}

func TestRankOfTheWorkspace(t *testing.T) {
	ingress := withKeys(t)
	check := func(path string, header http.Header, rank int32, important bool) {
		t.Helper()
		head, _ := ingress.forwarded(path, header)
		is := is.New(t)
		is.Equal(head.GetRank(), rank)
		is.Equal(head.GetImportant(), important)
	}
	check("/closed/", bearer(secretKey), 1026, false)
	check("/urgent/", bearer(secretKey), 1024, false)
	check("/urgent/", bearer("northern"), 0, true)
	check("/open/", nil, 2, false)
	check("/last/", nil, 1023, false) // not behind the requests of a less urgent workspace
}

// Neither a further attempt nor a hedge may disclose a request outside its regions.
func TestAttemptsStayInTheAllowedRegions(t *testing.T) {
	for _, reaction := range []string{gateAnswers, gateRefuses, gateRefusesIt, gateLoses, gateFails, gateIsSilent} {
		for bodyName, size := range map[string]int{"no body": 0, "short body": 100, "streamed body": 2 * peer.MaxInlineBodySize} {
			for path, key := range map[string]string{"/north/": secretKey, "/closed/": "northern"} {
				t.Run(reaction+", "+bodyName+path, func(t *testing.T) {
					ingress := withKeys(t)
					ingress.gates.reaction = reaction
					header := bearer(key)
					header.Set("Ibislift-Deadline", "100ms")
					response := ingress.send(path, bytes.NewReader(make([]byte, size)), header)
					is := is.New(t)
					is.Equal(response.Code == http.StatusOK, reaction == gateAnswers)
					ingress.gates.mutex.Lock()
					defer ingress.gates.mutex.Unlock()
					is.True(len(ingress.gates.heads) > 0)
					if size < peer.MaxInlineBodySize && reaction != gateAnswers {
						is.True(len(ingress.gates.heads) > 1) // there are further attempts
					}
					for member := range ingress.gates.heads {
						is.True(strings.HasPrefix(member, "n"))
					}
					is.Equal(ingress.handler.Records.Find("", "", 1)[0].Regions, []string{"north"})
				})
			}
		}
	}
}

func TestRequestsThatNoRegionServes(t *testing.T) {
	t.Run("no common region", func(t *testing.T) {
		ingress := withKeys(t)
		response := ingress.send("/south/", unreadBody{t}, bearer("northern"))
		ingress.requireProblem(response, http.StatusServiceUnavailable, "noAllowedRegion", "the route allows south, the workspace north")
		is.New(t).Equal(response.Header().Get("Retry-After"), "") // it can never be served
	})
	t.Run("no target in the region", func(t *testing.T) {
		ingress := withKeys(t)
		response := ingress.send("/nowhere/", unreadBody{t}, bearer(secretKey))
		ingress.requireProblem(response, http.StatusServiceUnavailable, "noTargetInRegions", "no serving target in the allowed regions: nowhere")
		is.New(t).True(response.Header().Get("Retry-After") != "")
	})
	t.Run("targets in the region refuse", func(t *testing.T) {
		ingress := withKeys(t)
		ingress.gates.reaction = gateRefuses
		is := is.New(t)
		is.Equal(ingress.send("/north/", nil, bearer(secretKey)).Code, http.StatusServiceUnavailable)
		is.True(strings.Contains(ingress.logs.String(), "3 otherRegion: s0 s1 s2"))
	})
}

// A daemon uses only some targets of a large service. One outside the allowed regions
// must not be left with the few of them that it would use otherwise, or with none.
func TestSubsetIsTakenInTheAllowedRegions(t *testing.T) {
	members := []kernel.Member{newMember("north", 0, "other")}
	members[0].ID = "n0"
	for number := range 40 {
		members = append(members, newMember("north", number, "one"), newMember("south", number, "one"))
	}
	view := newView(t, members, routes.Table{})
	services := &services{}
	service := services.get(view, "one", &call.SharedBudget{})
	is := is.New(t)
	is.Equal(len(service.membersIn(nil)), 18)
	is.Equal(len(service.membersIn([]string{"south"})), 18)
	is.Equal(len(service.membersIn([]string{"south", "north"})), 18)
	is.Equal(len(service.membersIn([]string{"west"})), 0)
	for _, member := range service.membersIn([]string{"south"}) { // from the cache
		is.Equal(member.Region, "south")
	}
}

// A destination without targets in the allowed regions gets no share.
func TestSharesInTheAllowedRegions(t *testing.T) {
	ingress := withKeys(t)
	services := map[string]int{}
	for range 40 {
		head, _ := ingress.forwarded("/split/", bearer("northern"))
		services["northern "+head.GetService()]++
		head, _ = ingress.forwarded("/split/", bearer(secretKey))
		services["acme "+head.GetService()]++
	}
	is := is.New(t)
	is.Equal(services["northern one"], 40)
	is.True(services["acme two"] >= 28 && services["acme two"] <= 32)
}

// The idempotency key of one workspace must not answer for another's, and its record may
// be kept by daemons in other regions.
func TestClaimsOfWorkspaces(t *testing.T) {
	ingress := withKeys(t)
	claim := func(key string) string {
		header := bearer(key)
		header.Set("Idempotency-Key", "order-17")
		_, _ = ingress.forwarded("/keyed/", header)
		return ingress.ledger.claims[len(ingress.ledger.claims)-1]
	}
	one, other := claim(secretKey), claim("northern")
	is := is.New(t)
	is.True(one != other)
	is.Equal(claim(secretKey), one)
	is.True(!slices.ContainsFunc(ingress.ledger.claims, func(claimed string) bool { return strings.Contains(claimed, "order-17") }))
	ingress = newIngress(t)
	header := http.Header{"Idempotency-Key": {"order-17"}}
	_, _ = ingress.forwarded("/keyed/", header)
	is.Equal(ingress.ledger.claims, []string{"order-17"})
}
