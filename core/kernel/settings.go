package kernel

import "time"

// Settings holds the configuration of a kernel that stays constant while the
// daemon runs.
type Settings struct {
	// Self is the ID of this daemon's instance, unique in the fleet.
	Self string
	// Epoch is the incarnation of this process: its start in Unix
	// milliseconds.
	Epoch int64
	// Region and DataCentre are the location of the instance.
	Region     string
	DataCentre string
	// PeerAddress, ForwardAddress, CallerAddress and OperatorAddress have the
	// form host:port.
	PeerAddress     string
	ForwardAddress  string
	CallerAddress   string
	OperatorAddress string
	// FirstPeers are the peer addresses to contact before any member is known.
	FirstPeers []string
	// PlatformRegion is the region of the platform's store. Claim coordinators
	// are chosen there as long as it has live daemons.
	PlatformRegion string
	// ClaimPartitions is the number of claim logs.
	ClaimPartitions int
	// ClaimInterval is the minimum time between two writes to the claim log of
	// a partition.
	ClaimInterval time.Duration
	// ClaimRetention is how long a claim is kept.
	ClaimRetention time.Duration
	// RouteObject is the name of the platform object that holds the operators'
	// route table. It is empty where the request's host alone selects the
	// service.
	RouteObject string
	// EvacuationPrefix begins the names of the platform objects that evacuate data
	// centres; the rest is the data centre. It is empty where there are none.
	EvacuationPrefix string
	// NoClaims disables claims, for sites whose callers send no idempotency
	// keys.
	NoClaims bool
	// NoProfiles is set if the platform stores no profiles.
	NoProfiles bool
	// RegionCapacity is the maximum number of daemons of one service in one
	// region. Each daemon gets the measuring budget divided by it.
	RegionCapacity int
	// WithdrawAfter is how long the timers of this daemon must have been late before it
	// withdraws from callers. With 0 it never does.
	WithdrawAfter time.Duration
}

// Default values of Settings.
const (
	DefaultClaimPartitions = 4
	DefaultClaimInterval   = 20 * time.Millisecond
	DefaultClaimRetention  = 24 * time.Hour
	DefaultRegionCapacity  = 64
)

func (settings Settings) withDefaults() Settings {
	if settings.ClaimPartitions == 0 {
		settings.ClaimPartitions = DefaultClaimPartitions
	}
	if settings.ClaimInterval == 0 {
		settings.ClaimInterval = DefaultClaimInterval
	}
	if settings.ClaimRetention == 0 {
		settings.ClaimRetention = DefaultClaimRetention
	}
	if settings.RegionCapacity == 0 {
		settings.RegionCapacity = DefaultRegionCapacity
	}
	return settings
}
