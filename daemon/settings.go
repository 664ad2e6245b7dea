package daemon

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/route"
)

// Settings are what an operator sets for one daemon. Addresses are IP:port.
type Settings struct {
	// Name is the instance's name, unique in the fleet.
	Name       string
	Region     string
	DataCentre string

	// CallerAddress is where callers reach the daemon, PeerAddress other
	// daemons for control and CarryAddress with requests, UpstreamAddress the
	// upstream beside, OperatorAddress operators.
	CallerAddress   string
	PeerAddress     string
	CarryAddress    string
	UpstreamAddress string
	OperatorAddress string

	// PlatformAddress is the object API's, PlatformRegion where it stands.
	PlatformAddress string
	PlatformRegion  string
	// FirstPeers are peer addresses of some other daemons.
	FirstPeers []string

	// Links are the links to other regions, DataCentreLatency the one-way
	// latency to other data centres of the own region.
	Links             []Link
	DataCentreLatency time.Duration

	// RegionCapacity is the largest number of daemons of one service in one
	// region, and is the same on all daemons.
	RegionCapacity int
	// ClaimPartitions is the number of claim logs, and is the same on all
	// daemons.
	ClaimPartitions int
	ClaimInterval   time.Duration
	ClaimRetention  time.Duration
	// DrainTimeout bounds the wait for requests in progress at a stop.
	DrainTimeout time.Duration

	// Service is that of the upstream beside, if the instance's place says so.
	Service string
	// ReadyAddress answers whether the daemon takes callers; empty means that
	// nobody asks.
	ReadyAddress string
	// RouteObject names the platform's object with the operators' route table;
	// empty means that a request's host names its service.
	RouteObject string
	// Keyless says that callers send no idempotency keys and operators write
	// no profiles, so that the platform is not asked for either.
	Keyless bool
	// SilenceTime is how long an upstream may send no heartbeat; 0 means the
	// default of the upstream package.
	SilenceTime time.Duration
	// LingerTime is how long a stopping daemon still takes callers, who learn
	// only after a while that it stops.
	LingerTime time.Duration
	// Headroom is the part of an upstream's slots that is left free, since
	// upstreams slow down when they are nearly full.
	Headroom float64
	// BytePrice is the time that a megabyte on a link out of the data centre
	// is worth: how much sooner an answer must come to be fetched from there.
	BytePrice time.Duration
	// FreshTime is how old the word of an upstream on its slowness may get
	// while requests come: then its health path is asked. 0 leaves it to
	// answers.
	FreshTime time.Duration
	// SharedRetryRatio and SharedRetrySlack bound the extra attempts for a
	// service by all daemons together; a ratio of 0 leaves it to profiles.
	SharedRetryRatio float64
	SharedRetrySlack float64
}

// Link is the way to another region: its one-way latency, and its price from 0
// to 1.
type Link struct {
	Region  string
	Latency time.Duration
	Cost    float64
}

// ParseLink reads a link such as "WesternCape=30ms,0.5".
func ParseLink(text string) (Link, error) {
	region, rest, found := strings.Cut(text, "=")
	latencyText, costText, priced := strings.Cut(rest, ",")
	latency, err := time.ParseDuration(latencyText)
	if !found || region == "" || err != nil || latency < 0 {
		return Link{}, Error.New("%q is not REGION=LATENCY or REGION=LATENCY,COST, such as east=30ms,0.5", text)
	}
	link := Link{Region: region, Latency: latency, Cost: 1}
	if priced {
		if link.Cost, err = strconv.ParseFloat(costText, 64); err != nil || link.Cost < 0 || link.Cost > 1 {
			return Link{}, Error.New("%q: the cost must be from 0 to 1", text)
		}
	}
	return link, nil
}

// SettingError is a fault in one setting.
type SettingError struct {
	Flag   string
	Reason string
}

func (settingError *SettingError) Error() string {
	return "--" + settingError.Flag + ": " + settingError.Reason
}

var nameSetting = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$`)

// Check returns all faults in the settings, in the order of their flags.
func (settings Settings) Check() []*SettingError {
	var faults []*SettingError
	add := func(flag, format string, arguments ...any) {
		faults = append(faults, &SettingError{Flag: flag, Reason: fmt.Sprintf(format, arguments...)})
	}
	for flag, name := range map[string]string{"name": settings.Name, "region": settings.Region, "data-centre": settings.DataCentre} {
		if !nameSetting.MatchString(name) {
			add(flag, "%q must be 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit", name)
		}
	}
	for flag, address := range map[string]string{
		"caller-address": settings.CallerAddress, "peer-address": settings.PeerAddress,
		"carry-address":    settings.CarryAddress,
		"upstream-address": settings.UpstreamAddress, "operator-address": settings.OperatorAddress,
		"platform-address": settings.PlatformAddress,
	} {
		if reason := checkAddress(address); reason != "" {
			add(flag, "%s", reason)
		}
	}
	if settings.ReadyAddress != "" {
		if reason := checkAddress(settings.ReadyAddress); reason != "" {
			add("ready-address", "%s", reason)
		}
	}
	if settings.RouteObject != "" && !strings.Contains(settings.RouteObject, "/") {
		add("route-object", "%q is not KIND/NAME", settings.RouteObject)
	}
	if settings.LingerTime < 0 || settings.LingerTime > settings.DrainTimeout {
		add("linger-time", "%s must not be below 0 or above the drain timeout", settings.LingerTime)
	}
	if settings.Headroom < 0 || settings.Headroom >= 1 {
		add("headroom", "%g is not from 0 to below 1", settings.Headroom)
	}
	if settings.SharedRetryRatio < 0 || settings.SharedRetryRatio > 1 {
		add("shared-retry-ratio", "%g is not from 0 to 1", settings.SharedRetryRatio)
	}
	for _, address := range settings.FirstPeers {
		if reason := checkAddress(address); reason != "" {
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
		add("data-centre-latency", "%s must not be below 0", settings.DataCentreLatency)
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Error() < faults[j].Error() })
	return faults
}

func checkAddress(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not IP:port", address)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Sprintf("%q is not an IP number", host)
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > 65535 {
		return fmt.Sprintf("%q is not a port", port)
	}
	return ""
}

// kernelSettings are the settings that the kernel needs.
func (settings Settings) kernelSettings(epoch int64) kernel.Settings {
	return kernel.Settings{
		Self:            settings.Name,
		Epoch:           epoch,
		Region:          settings.Region,
		DataCentre:      settings.DataCentre,
		PeerAddress:     settings.PeerAddress,
		ForwardAddress:  settings.CarryAddress,
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
	}
}

// unknownLink stands for a region that no link names.
const unknownLink = 50 * time.Millisecond

// distance is the price of the way to a member.
func (settings Settings) distance(member kernel.Member) route.Distance {
	if member.Region == settings.Region {
		if member.DataCentre == settings.DataCentre {
			return route.Distance{}
		}
		return route.Distance{Link: settings.DataCentreLatency, SecondsPerByte: settings.secondsPerByte()}
	}
	for _, link := range settings.Links {
		if link.Region == member.Region {
			return route.Distance{Link: link.Latency, Cost: link.Cost, SecondsPerByte: settings.secondsPerByte()}
		}
	}
	return route.Distance{Link: unknownLink, Cost: 1, SecondsPerByte: settings.secondsPerByte()}
}

func (settings Settings) secondsPerByte() float64 { return settings.BytePrice.Seconds() / 1e6 }
