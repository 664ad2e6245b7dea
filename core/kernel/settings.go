package kernel

import "time"

// Settings are the inputs that do not change while a daemon runs.
type Settings struct {
	// Self names the instance; it is unique in the fleet.
	Self string
	// Epoch is the incarnation of this process: its start in Unix
	// milliseconds.
	Epoch int64
	// Region and DataCentre say where the instance stands.
	Region     string
	DataCentre string
	// PeerAddress, CarryAddress, CallerAddress and OperatorAddress are
	// host:port.
	PeerAddress     string
	CarryAddress    string
	CallerAddress   string
	OperatorAddress string
	// FirstPeers are peer addresses to ask before any member is known.
	FirstPeers []string
	// PlatformRegion is the region of the platform's store; clerks are
	// chosen there while it has living daemons.
	PlatformRegion string
	// Partitions is the number of claim logs.
	Partitions int
	// ClaimInterval is the least time between two claim writes of a
	// partition.
	ClaimInterval time.Duration
	// ClaimRetention is how long a claim is remembered.
	ClaimRetention time.Duration
	// RouteObject names the platform's object with the operators' route
	// table. It is empty where services are named by the host alone.
	RouteObject string
	// NoClaims says that callers send no idempotency keys, so that nothing is
	// kept about any.
	NoClaims bool
	// NoProfiles says that the platform keeps no profiles.
	NoProfiles bool
	// RegionCapacity is the largest number of daemons that one service may
	// have in one region; the measuring budget is divided by it.
	RegionCapacity int
}

// Defaults of Settings.
const (
	DefaultPartitions     = 4
	DefaultClaimInterval  = 20 * time.Millisecond
	DefaultClaimRetention = 24 * time.Hour
	DefaultRegionCapacity = 64
)

func (settings Settings) withDefaults() Settings {
	if settings.Partitions == 0 {
		settings.Partitions = DefaultPartitions
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
