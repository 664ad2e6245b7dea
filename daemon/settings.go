package daemon

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/quota"
	"ibislift/core/route"
)

// Settings holds the configuration of a daemon. Addresses have the form
// IP:port.
type Settings struct {
	// Name is the name of the instance, unique in the fleet.
	Name       string
	Region     string
	DataCentre string

	// The daemon listens on these addresses: CallerAddress is for callers,
	// PeerAddress for control messages of other daemons, ForwardAddress for
	// requests that other daemons forward, UpstreamAddress for announcements of
	// the local upstream, and OperatorAddress for operators.
	CallerAddress   string
	PeerAddress     string
	ForwardAddress  string
	UpstreamAddress string
	OperatorAddress string

	// PlatformAddress is the address of the platform's object API, and
	// PlatformRegion is the region of the platform's store.
	PlatformAddress string
	PlatformRegion  string
	// FirstPeers are the peer addresses of some other daemons, which are
	// contacted at the start.
	FirstPeers []string

	// Links describes the network links to other regions. DataCentreLatency is
	// the one-way latency to other data centres of the same region.
	Links             []Link
	DataCentreLatency time.Duration

	// RegionCapacity is the maximum number of daemons of one service in one
	// region. It must be the same on all daemons.
	RegionCapacity int
	// ClaimPartitions is the number of claim logs. It must be the same on all
	// daemons.
	ClaimPartitions int
	ClaimInterval   time.Duration
	ClaimRetention  time.Duration
	// DrainTimeout bounds how long a stopping daemon waits for running
	// requests.
	DrainTimeout time.Duration

	// Service is the service of the local upstream if it is known before the
	// upstream announces itself.
	Service string
	// ReadyAddress is where the daemon serves readiness checks. If it is
	// empty, it serves none.
	ReadyAddress string
	// WithdrawAfter is how long the timers of the daemon must have been late before it
	// withdraws from callers: its readiness check fails for some
	// seconds, unless that of its neighbours does already. With 0 it never withdraws.
	WithdrawAfter time.Duration
	// RouteObject is the KIND/NAME of the platform object that holds the
	// operators' route table. If it is empty, the host of a request selects its
	// service.
	RouteObject string
	// EvacuationPrefix begins the names of the platform objects that evacuate data
	// centres, such as "evacuations/". If it is empty, the platform is not asked for any.
	EvacuationPrefix string
	// Keyless says that callers send no idempotency keys and operators write no
	// profiles. The platform is then asked for neither claims nor profiles.
	Keyless bool
	// SilenceTimeout is how long an upstream may go without a heartbeat. 0
	// selects the default of package upstream.
	SilenceTimeout time.Duration
	// LingerTime is how long a stopping daemon still accepts callers, since
	// they find out only after a while that it is stopping. Its upstream serves
	// on meanwhile.
	LingerTime time.Duration
	// Headroom is the fraction of an upstream's slots that stays free, since
	// upstreams slow down when they are nearly full.
	Headroom float64
	// HoldCancelledRuns keeps slots in use for cancelled requests that the upstream runs on,
	// as its reports of its load show.
	HoldCancelledRuns bool
	// DataCentreBytePrice and RegionBytePrice are the prices of a megabyte that
	// is sent to another data centre of the region and to another region, in
	// responses in time that it is worth.
	DataCentreBytePrice float64
	RegionBytePrice     float64
	// MaxSlownessAge is the maximum age of an upstream's last slowness report
	// while requests arrive; after that its health path is queried. With 0 the
	// slowness is only read from responses.
	MaxSlownessAge time.Duration
	// SharedRetryRatio and SharedRetrySlack bound the extra attempts for a
	// service over all daemons together. With a ratio of 0, only the budgets of
	// the profiles apply.
	SharedRetryRatio float64
	SharedRetrySlack float64
	// A cold upstream gets at most the warm-up rate of the route table times
	// WarmupOvershoot plus WarmupSlack requests in any second. With an overshoot of 0 it
	// gets as many as a warm one.
	WarmupOvershoot float64
	WarmupSlack     float64
	// Quotas are the terms on which the quotas of workspaces are kept. With a window of 0
	// there are no quotas.
	Quotas quota.Settings
}

// Link describes the network link to another region: its one-way latency and
// its relative cost from 0 to 1.
type Link struct {
	Region  string
	Latency time.Duration
	Cost    float64
}

// ParseLink parses a link such as "WesternCape=30ms,0.5".
func ParseLink(text string) (Link, error) {
	region, rest, found := strings.Cut(text, "=")
	latencyText, costText, hasCost := strings.Cut(rest, ",")
	latency, err := time.ParseDuration(latencyText)
	if !found || region == "" || err != nil || latency < 0 {
		return Link{}, Error.New("%q is not REGION=LATENCY or REGION=LATENCY,COST, such as east=30ms,0.5", text)
	}
	link := Link{Region: region, Latency: latency, Cost: 1}
	if hasCost {
		if link.Cost, err = strconv.ParseFloat(costText, 64); err != nil || link.Cost < 0 || link.Cost > 1 {
			return Link{}, Error.New("%q: the cost is not in the range 0 to 1", text)
		}
	}
	return link, nil
}

// SettingError describes an invalid setting.
type SettingError struct {
	Flag   string
	Reason string
}

func (settingError *SettingError) Error() string {
	return "--" + settingError.Flag + ": " + settingError.Reason
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$`)

// Validate returns an error for each invalid setting, sorted by flag.
func (settings Settings) Validate() []*SettingError {
	var settingErrors []*SettingError
	add := func(flag, format string, arguments ...any) {
		settingErrors = append(settingErrors, &SettingError{Flag: flag, Reason: fmt.Sprintf(format, arguments...)})
	}
	for flag, name := range map[string]string{"name": settings.Name, "region": settings.Region, "data-centre": settings.DataCentre} {
		if !namePattern.MatchString(name) {
			add(flag, "%q must be 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit", name)
		}
	}
	for flag, address := range map[string]string{
		"caller-address": settings.CallerAddress, "peer-address": settings.PeerAddress,
		"carry-address":    settings.ForwardAddress,
		"upstream-address": settings.UpstreamAddress, "operator-address": settings.OperatorAddress,
		"platform-address": settings.PlatformAddress,
	} {
		if reason := validateAddress(address); reason != "" {
			add(flag, "%s", reason)
		}
	}
	if settings.ReadyAddress != "" {
		if reason := validateAddress(settings.ReadyAddress); reason != "" {
			add("ready-address", "%s", reason)
		}
	}
	if settings.WithdrawAfter < 0 || settings.WithdrawAfter > maxWithdrawAfter {
		add("withdraw-after", "%s is not in the range 0 to %s", settings.WithdrawAfter, maxWithdrawAfter)
	}
	if settings.WithdrawAfter > 0 && settings.ReadyAddress == "" {
		add("withdraw-after", "needs a ready address, through which callers learn that the daemon has withdrawn")
	}
	if settings.RouteObject != "" && !strings.Contains(settings.RouteObject, "/") {
		add("route-object", "%q is not KIND/NAME", settings.RouteObject)
	}
	if prefix := settings.EvacuationPrefix; prefix != "" && (len(prefix) < 2 || strings.Index(prefix, "/") != len(prefix)-1) {
		add("evacuation-prefix", "%q is not KIND/", prefix)
	}
	if settings.LingerTime < 0 || settings.LingerTime > settings.DrainTimeout {
		add("linger-time", "%s must be at least 0 and at most the drain timeout", settings.LingerTime)
	}
	if settings.Headroom < 0 || settings.Headroom >= 1 {
		add("headroom", "%g is not in the range 0 to below 1", settings.Headroom)
	}
	for flag, price := range map[string]float64{"data-centre-byte-price": settings.DataCentreBytePrice, "region-byte-price": settings.RegionBytePrice} {
		if price < 0 {
			add(flag, "%g must be at least 0", price)
		}
	}
	for flag, number := range map[string]float64{"warmup-overshoot": settings.WarmupOvershoot, "warmup-slack": settings.WarmupSlack} {
		if isBound := number >= 0 && !math.IsInf(number, 0); !isBound {
			add(flag, "%g must be at least 0", number)
		}
	}
	if settings.SharedRetryRatio < 0 || settings.SharedRetryRatio > 1 {
		add("shared-retry-ratio", "%g is not in the range 0 to 1", settings.SharedRetryRatio)
	}
	if settings.Quotas.Window < 0 {
		add("quota-window", "%s must be at least 0", settings.Quotas.Window)
	}
	for flag, number := range map[string]float64{"quota-overshoot": settings.Quotas.Overshoot, "quota-slack": settings.Quotas.Slack} {
		if !(number >= 0) {
			add(flag, "%g must be at least 0", number)
		}
	}
	for _, address := range settings.FirstPeers {
		if reason := validateAddress(address); reason != "" {
			add("first-peer", "%s", reason)
		}
	}
	for flag, number := range map[string]int{"region-capacity": settings.RegionCapacity, "claim-partitions": settings.ClaimPartitions} {
		if number < 1 {
			add(flag, "%d must be at least 1", number)
		}
	}
	for flag, duration := range map[string]time.Duration{
		"claim-interval": settings.ClaimInterval, "claim-retention": settings.ClaimRetention, "drain-timeout": settings.DrainTimeout,
	} {
		if duration <= 0 {
			add(flag, "%s must be above 0", duration)
		}
	}
	if settings.DataCentreLatency < 0 {
		add("data-centre-latency", "%s must be at least 0", settings.DataCentreLatency)
	}
	sort.Slice(settingErrors, func(i, j int) bool { return settingErrors[i].Error() < settingErrors[j].Error() })
	return settingErrors
}

// maxWithdrawAfter is the upper bound of WithdrawAfter. Callers that have waited for longer
// would not be helped by a withdrawal of a few seconds.
const maxWithdrawAfter = 10 * time.Second

func validateAddress(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port", address)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > 65535 {
		return fmt.Sprintf("%q is not a valid port", port)
	}
	return ""
}

// kernelSettings returns the part of the settings that the kernel needs.
func (settings Settings) kernelSettings(epoch int64) kernel.Settings {
	return kernel.Settings{
		Self:            settings.Name,
		Epoch:           epoch,
		Region:          settings.Region,
		DataCentre:      settings.DataCentre,
		PeerAddress:     settings.PeerAddress,
		ForwardAddress:  settings.ForwardAddress,
		CallerAddress:   settings.CallerAddress,
		OperatorAddress: settings.OperatorAddress,
		FirstPeers:      settings.FirstPeers,
		PlatformRegion:  settings.PlatformRegion,
		ClaimPartitions: settings.ClaimPartitions,
		ClaimInterval:   settings.ClaimInterval,
		ClaimRetention:  settings.ClaimRetention,
		RegionCapacity:  settings.RegionCapacity,
		RouteObject:     settings.RouteObject,
		NoClaims:        settings.Keyless,
		NoProfiles:      settings.Keyless,

		EvacuationPrefix: settings.EvacuationPrefix,
		WithdrawAfter:    settings.WithdrawAfter,
	}
}

// unknownLinkLatency is assumed for a region without a configured link.
const unknownLinkLatency = 50 * time.Millisecond

// linkTo returns the latency and cost of the link to a member.
func (settings Settings) linkTo(member kernel.Member) route.Link {
	if member.Region == settings.Region {
		if member.DataCentre == settings.DataCentre {
			return route.Link{}
		}
		return route.Link{Latency: settings.DataCentreLatency, BytePrice: settings.DataCentreBytePrice / bytesPerMegabyte}
	}
	for _, link := range settings.Links {
		if link.Region == member.Region {
			return route.Link{Latency: link.Latency, Cost: link.Cost, BytePrice: settings.RegionBytePrice / bytesPerMegabyte, CrossesRegion: true}
		}
	}
	return route.Link{Latency: unknownLinkLatency, Cost: 1, BytePrice: settings.RegionBytePrice / bytesPerMegabyte, CrossesRegion: true}
}

const bytesPerMegabyte = 1e6
