package kernel

import (
	"encoding/json"
	"time"

	"ibislift/core/routes"
)

// TargetState says whether a target takes work.
type TargetState string

// The states of a target.
const (
	TargetServing  TargetState = "serving"
	TargetDraining TargetState = "draining"
)

// Target is an upstream as it announced itself.
type Target struct {
	Service string      `json:"service,omitempty"`
	Address string      `json:"address,omitempty"`
	Slots   int         `json:"slots,omitempty"`
	State   TargetState `json:"state,omitempty"`
	// Since is the start of the upstream in Unix milliseconds; a target is
	// cold for a while after it.
	Since int64 `json:"since,omitempty"`
}

// MemberState says what is believed of a daemon.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
)

// Member is a daemon and its target, as the daemon describes itself.
type Member struct {
	ID              string      `json:"id"`
	Epoch           int64       `json:"epoch"`
	Region          string      `json:"region"`
	DataCentre      string      `json:"dataCentre"`
	PeerAddress     string      `json:"peerAddress"`
	CarryAddress    string      `json:"carryAddress"`
	CallerAddress   string      `json:"callerAddress,omitempty"`
	OperatorAddress string      `json:"operatorAddress,omitempty"`
	State           MemberState `json:"state"`
	Leaving         bool        `json:"leaving,omitempty"`
	Target          Target      `json:"target"`
}

// WithState returns the member in another state.
func (member Member) WithState(state MemberState) Member {
	member.State = state
	return member
}

// Serves says whether the member has a target that takes work.
func (member Member) Serves() bool {
	return member.Target.Service != "" && member.Target.State == TargetServing &&
		member.State != MemberDead && !member.Leaving
}

// Config is a configuration object in force.
type Config struct {
	Key     Key             `json:"-"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
	Author  string          `json:"author"`
	Written time.Time       `json:"written"`
	Arrived time.Time       `json:"arrived"`
	Retired bool            `json:"retired,omitempty"`
}

// View is an immutable picture of the control state for traffic goroutines
// and operators.
type View struct {
	Self     string
	Root     uint64
	Members  []Member
	Configs  []Config
	Suspects []Suspect
	Clerks   [][]string
	// Neighbours are the daemons to keep control connections to.
	Neighbours []Neighbour
	Ready      bool
	Watching   bool
	// Routes is the operators' route table; it is nil where services are
	// named by the host alone.
	Routes *routes.Table
	// RoutesFrom is the daemon that the table came from, or empty if it came
	// from the platform.
	RoutesFrom string
	// PlatformDown is the time since when the platform has not answered; it
	// is zero while it does.
	PlatformDown time.Time
	PlatformCall uint64
	ProbeGap     time.Duration

	byService map[string][]Member
	byID      map[string]Member
	byConfig  map[Key]Config
	bySuspect map[string]Suspect
}

// Suspect is a fingerprint that ran when upstreams crashed. Expiries has a
// time for each crash, the latest first.
type Suspect struct {
	Fingerprint string      `json:"fingerprint"`
	Expiries    []time.Time `json:"expiries"`
}

// BlockedUntil is when the fingerprint may run again, given the number of
// crashes that block it.
func (suspect Suspect) BlockedUntil(crashes int) time.Time {
	if len(suspect.Expiries) < crashes {
		return time.Time{}
	}
	return suspect.Expiries[crashes-1]
}

func (view *View) index() {
	view.byService = map[string][]Member{}
	view.byID = make(map[string]Member, len(view.Members))
	view.byConfig = make(map[Key]Config, len(view.Configs))
	view.bySuspect = make(map[string]Suspect, len(view.Suspects))
	for _, member := range view.Members {
		view.byID[member.ID] = member
		if member.Target.Service != "" {
			view.byService[member.Target.Service] = append(view.byService[member.Target.Service], member)
		}
	}
	for _, config := range view.Configs {
		view.byConfig[config.Key] = config
	}
	for _, suspect := range view.Suspects {
		view.bySuspect[suspect.Fingerprint] = suspect
	}
}

// Service returns the members that have a target of the service, and whether
// the service is known at all.
func (view *View) Service(name string) ([]Member, bool) {
	members, known := view.byService[name]
	if !known && view.Routes != nil {
		return nil, view.Routes.Leads(name)
	}
	if !known {
		_, known = view.byConfig[Key{Kind: KindService, Name: name}]
	}
	return members, known
}

// Member returns a daemon by its name.
func (view *View) Member(id string) (Member, bool) {
	member, known := view.byID[id]
	return member, known
}

// Config returns the configuration object in force under a key.
func (view *View) Config(key Key) (Config, bool) {
	config, known := view.byConfig[key]
	return config, known
}

// Suspect returns what is known of a fingerprint that ran in a crash.
func (view *View) Suspect(fingerprint string) (Suspect, bool) {
	suspect, known := view.bySuspect[fingerprint]
	return suspect, known
}
