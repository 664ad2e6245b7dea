package kernel

import (
	"encoding/json"
	"slices"
	"time"

	"ibislift/core/routes"
)

// TargetState says whether a target accepts new requests.
type TargetState string

// The states of a target.
const (
	TargetServing  TargetState = "serving"
	TargetDraining TargetState = "draining"
)

// Target is an upstream as described in its announcement.
type Target struct {
	Service string      `json:"service,omitempty"`
	Address string      `json:"address,omitempty"`
	Slots   int         `json:"slots,omitempty"`
	State   TargetState `json:"state,omitempty"`
	// StartedAt is when the upstream started, in Unix milliseconds. It
	// determines the target's slow start.
	StartedAt int64 `json:"since,omitempty"`
}

// Departure is an instance of an upstream that has said that it is leaving. Its last run
// started at StartedAt, in Unix milliseconds, or before.
type Departure struct {
	// Instance is empty if the upstream does not name its instances.
	Instance  string `json:"instance,omitempty"`
	StartedAt int64  `json:"since,omitempty"`
}

// Covers reports whether the run of an instance that started at startedAt has left.
// Without a name, it is recognized by its start.
func (departure Departure) Covers(instance string, startedAt int64) bool {
	if instance != "" && departure.Instance != "" {
		return instance == departure.Instance && startedAt <= departure.StartedAt
	}
	return startedAt != 0 && startedAt == departure.StartedAt
}

// MemberState is the state that a daemon is recorded in by its peers.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
)

// Member describes a daemon and its target. Apart from State, the values are
// the ones that the daemon published about itself. JSON has the names of the
// stored records: "carryAddress" for ForwardAddress, "since" for Target.StartedAt.
type Member struct {
	ID              string      `json:"id"`
	Epoch           int64       `json:"epoch"`
	Region          string      `json:"region"`
	DataCentre      string      `json:"dataCentre"`
	PeerAddress     string      `json:"peerAddress"`
	ForwardAddress  string      `json:"carryAddress"`
	CallerAddress   string      `json:"callerAddress,omitempty"`
	OperatorAddress string      `json:"operatorAddress,omitempty"`
	State           MemberState `json:"state"`
	Leaving         bool        `json:"leaving,omitempty"`
	// PlatformLost means that the daemon was to watch the platform and does not
	// reach it.
	PlatformLost bool `json:"platformLost,omitempty"`
	// Following means that the daemon watches the platform and that its watch has begun.
	Following bool `json:"following,omitempty"`
	// WithdrawalOrder is the order of the daemon's claim to withdraw from callers, or 0
	// if it has none. See package withdraw.
	WithdrawalOrder uint64 `json:"withdrawalOrder,omitempty"`
	Target          Target `json:"target"`
}

// WithState returns a copy of the member with the given state.
func (member Member) WithState(state MemberState) Member {
	member.State = state
	return member
}

// WithClaim returns a copy of the member with a claim to withdraw from callers.
func (member Member) WithClaim(order uint64) Member {
	member.WithdrawalOrder = order
	return member
}

// Serves reports whether the member has a target that accepts new requests.
func (member Member) Serves() bool {
	return member.Target.Service != "" && member.Target.State == TargetServing &&
		member.State != MemberDead && !member.Leaving
}

// Withdrawal describes whether this daemon has withdrawn from callers. Since and Until,
// its latest end, are zero if it has not. Reason says why it has withdrawn or returned.
type Withdrawal struct {
	Since  time.Time
	Until  time.Time
	Reason string
}

// InForce reports whether the daemon is withdrawn. The end is compared with the time here
// as well, since a daemon that is slow may end a withdrawal late.
func (withdrawal Withdrawal) InForce(at time.Time) bool { return at.Before(withdrawal.Until) }

// Config is a configuration object that is in force. WrittenAt is when its
// author wrote it, and ReceivedAt is when this daemon received it. Their JSON names
// are kept for operators' tools.
type Config struct {
	Key        Key             `json:"-"`
	Version    uint64          `json:"version"`
	Spec       json.RawMessage `json:"spec"`
	Author     string          `json:"author"`
	WrittenAt  time.Time       `json:"written"`
	ReceivedAt time.Time       `json:"arrived"`
	Retired    bool            `json:"retired,omitempty"`
}

// View is an immutable snapshot of the control state for traffic goroutines and
// the operator API.
type View struct {
	Self string
	// TableDigest is the digest of the table of replicated records.
	TableDigest   uint64
	Members       []Member
	Configs       []Config
	CrashSuspects []CrashSuspect
	// ClaimCoordinators is a copy of the field of State.
	ClaimCoordinators [][]string
	// Neighbours are the daemons to keep control connections to.
	Neighbours []Neighbour
	// Joined means that this daemon has received the records of another one, or that
	// there is none to receive them from.
	Joined bool
	// Synced is Joined without the daemons that have only waited in vain for another one:
	// the members are all that another daemon knew, or there is no other one.
	Synced bool
	// Departures are the instances of the local upstream that have left, as this daemon
	// or an earlier process of it was told.
	Departures []Departure
	// Ready means that this daemon has received its configuration: the profiles or,
	// where Settings.RouteObject names one, the route table, and which data centres are
	// evacuated.
	Ready bool
	// Evacuated are the data centres whose targets get nothing, sorted. While
	// EvacuationsUnknown is set, the daemon is not ready.
	Evacuated          []string
	EvacuationsUnknown bool
	// Withdrawal says whether this daemon has withdrawn from callers.
	Withdrawal Withdrawal
	// Watching means that this daemon is one of the watchers of its region.
	Watching bool
	// Routes is the operators' route table. It is nil where the request's host
	// alone selects the service.
	Routes *routes.Table
	// RoutesSource is the ID of the daemon that sent the route table, or empty
	// if it was read from the platform.
	RoutesSource string
	// PlatformDownSince is when calls to the platform began to fail, or zero
	// while they succeed.
	PlatformDownSince time.Time
	// PlatformCalls counts the calls to the platform made by the profile
	// plug-in.
	PlatformCalls uint64
	// ProbeInterval is the minimum time between two probes of the local
	// upstream within the measuring budget.
	ProbeInterval time.Duration

	byService map[string][]Member
	byID      map[string]Member
	byConfig  map[Key]Config
	bySuspect map[string]CrashSuspect
}

// CrashSuspect is the fingerprint of requests that were running when upstreams
// crashed. Expiries has the time at which each crash ceases to count, latest
// first.
type CrashSuspect struct {
	Fingerprint string      `json:"fingerprint"`
	Expiries    []time.Time `json:"expiries"`
}

// BlockedUntil returns when requests with the fingerprint may run again, given
// the number of crashes that blocks them. It returns the zero time if there
// were fewer crashes.
func (crashSuspect CrashSuspect) BlockedUntil(crashes int) time.Time {
	if len(crashSuspect.Expiries) < crashes {
		return time.Time{}
	}
	return crashSuspect.Expiries[crashes-1]
}

// index builds the maps that the lookup methods use.
func (view *View) index() {
	view.byService = map[string][]Member{}
	view.byID = make(map[string]Member, len(view.Members))
	view.byConfig = make(map[Key]Config, len(view.Configs))
	view.bySuspect = make(map[string]CrashSuspect, len(view.CrashSuspects))
	for _, member := range view.Members {
		view.byID[member.ID] = member
		if member.Target.Service != "" {
			view.byService[member.Target.Service] = append(view.byService[member.Target.Service], member)
		}
	}
	for _, config := range view.Configs {
		view.byConfig[config.Key] = config
	}
	for _, suspect := range view.CrashSuspects {
		view.bySuspect[suspect.Fingerprint] = suspect
	}
}

// Service returns the members that have a target of the service, and whether
// the service is known. A known service may have no members.
func (view *View) Service(name string) ([]Member, bool) {
	members, known := view.byService[name]
	if !known && view.Routes != nil {
		return nil, view.Routes.HasRouteTo(name)
	}
	if !known {
		_, known = view.byConfig[Key{Kind: KindService, Name: name}]
	}
	return members, known
}

// Member returns the daemon with the given ID.
func (view *View) Member(id string) (Member, bool) {
	member, known := view.byID[id]
	return member, known
}

// HasDeparted reports whether the run of an instance of the local upstream has left.
func (view *View) HasDeparted(instance string, startedAt int64) bool {
	return slices.ContainsFunc(view.Departures, func(departure Departure) bool { return departure.Covers(instance, startedAt) })
}

// IsEvacuated reports whether nothing may be sent to the targets of a data centre.
func (view *View) IsEvacuated(dataCentre string) bool {
	_, evacuated := slices.BinarySearch(view.Evacuated, dataCentre)
	return evacuated
}

// Config returns the configuration object in force for a key.
func (view *View) Config(key Key) (Config, bool) {
	config, known := view.byConfig[key]
	return config, known
}

// CrashSuspect returns the crashes recorded for a fingerprint, if there are any.
func (view *View) CrashSuspect(fingerprint string) (CrashSuspect, bool) {
	suspect, known := view.bySuspect[fingerprint]
	return suspect, known
}
