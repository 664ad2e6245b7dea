package daemon

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/core/kernel"
	"ibislift/io/upstream"
)

// Flags are the settings of a daemon as the command line gives them.
type Flags struct {
	Settings  Settings
	links     []string
	logFormat string
	logLevel  string
}

// Register adds the flags to a command. Each is an environment variable too,
// if the application says so.
func (flags *Flags) Register(command *kingpin.CmdClause) {
	settings := &flags.Settings
	command.Flag("name", "Name of the instance, unique in the fleet.").StringVar(&settings.Name)
	command.Flag("region", "Region in which the instance stands.").StringVar(&settings.Region)
	command.Flag("data-centre", "Data centre in which the instance stands.").StringVar(&settings.DataCentre)
	command.Flag("caller-address", "IP:port for callers.").Default("127.0.0.1:8000").StringVar(&settings.CallerAddress)
	command.Flag("peer-address", "IP:port for other daemons.").Default("127.0.0.1:8001").StringVar(&settings.PeerAddress)
	command.Flag("carry-address", "IP:port for requests that other daemons pass on.").Default("127.0.0.1:8004").StringVar(&settings.CarryAddress)
	command.Flag("upstream-address", "IP:port for the upstream beside.").Default("127.0.0.1:8002").StringVar(&settings.UpstreamAddress)
	command.Flag("operator-address", "IP:port for operators.").Default("127.0.0.1:8003").StringVar(&settings.OperatorAddress)
	command.Flag("platform-address", "IP:port of the platform's object API.").Default("127.0.0.1:7000").StringVar(&settings.PlatformAddress)
	command.Flag("platform-region", "Region in which the platform's store stands.").StringVar(&settings.PlatformRegion)
	command.Flag("first-peer", "Peer IP:port of another daemon; may be repeated.").StringsVar(&settings.FirstPeers)
	command.Flag("link", "Link to another region as REGION=LATENCY,COST; may be repeated.").StringsVar(&flags.links)
	command.Flag("data-centre-latency", "One-way latency to other data centres of the region.").
		Default("1ms").DurationVar(&settings.DataCentreLatency)
	command.Flag("region-capacity", "Most daemons of one service in one region; the same on all daemons.").
		Default(fmt.Sprint(kernel.DefaultRegionCapacity)).IntVar(&settings.RegionCapacity)
	command.Flag("claim-partitions", "Number of claim logs; the same on all daemons.").
		Default(fmt.Sprint(kernel.DefaultClaimPartitions)).IntVar(&settings.ClaimPartitions)
	command.Flag("claim-interval", "Least time between two claim writes of a partition.").
		Default(kernel.DefaultClaimInterval.String()).DurationVar(&settings.ClaimInterval)
	command.Flag("claim-retention", "How long an idempotency key is remembered.").
		Default(kernel.DefaultClaimRetention.String()).DurationVar(&settings.ClaimRetention)
	command.Flag("drain-timeout", "Longest wait for requests in progress at a stop.").
		Default("30s").DurationVar(&settings.DrainTimeout)
	command.Flag("service", "Service of the upstream beside, if it is known beforehand.").StringVar(&settings.Service)
	command.Flag("ready-address", "IP:port that answers whether the daemon takes callers.").StringVar(&settings.ReadyAddress)
	command.Flag("route-object", "Platform object KIND/NAME with the route table; without it a request's host names its service.").
		StringVar(&settings.RouteObject)
	command.Flag("keyless", "Callers send no idempotency keys and operators write no profiles.").BoolVar(&settings.Keyless)
	command.Flag("silence-time", "How long an upstream may send no heartbeat.").
		Default(upstream.SilenceTime.String()).DurationVar(&settings.SilenceTime)
	command.Flag("linger-time", "How long a stopping daemon still takes callers.").Default("0s").DurationVar(&settings.LingerTime)
	command.Flag("headroom", "Part of an upstream's slots that is left free, from 0 to below 1.").Default("0").Float64Var(&settings.Headroom)
	command.Flag("byte-price", "How much sooner an answer must come for each megabyte that leaves the data centre.").
		Default("0s").DurationVar(&settings.BytePrice)
	command.Flag("fresh-time", "How old an upstream's word on its slowness may get while requests come; 0 asks for none.").
		Default("0s").DurationVar(&settings.FreshTime)
	command.Flag("shared-retry-ratio", "Extra attempts for each request of a service, over all daemons; 0 leaves it to profiles.").
		Default("0").Float64Var(&settings.SharedRetryRatio)
	command.Flag("shared-retry-slack", "Extra attempts for a service beside the ratio, over all daemons.").
		Default("0").Float64Var(&settings.SharedRetrySlack)
	command.Flag("log-format", "Form of the logs.").Default("text").EnumVar(&flags.logFormat, "text", "json")
	command.Flag("log-level", "Least level that is logged.").Default("info").EnumVar(&flags.logLevel, "debug", "info", "warn", "error")
}

// Check returns the settings, or all their faults at once.
func (flags *Flags) Check() (Settings, error) {
	var faults []string
	settings := flags.Settings
	for _, text := range flags.links {
		link, err := ParseLink(text)
		if err != nil {
			faults = append(faults, "--link: "+err.Error())
			continue
		}
		settings.Links = append(settings.Links, link)
	}
	for _, fault := range settings.Check() {
		faults = append(faults, fault.Error())
	}
	if len(faults) > 0 {
		return settings, Error.New("the settings are wrong:\n  %s", strings.Join(faults, "\n  "))
	}
	return settings, nil
}

// Logger returns the logger that the flags ask for.
func (flags *Flags) Logger() *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(flags.logLevel))
	options := &slog.HandlerOptions{Level: level}
	if flags.logFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
