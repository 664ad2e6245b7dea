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

// Flags holds the settings of a daemon from the command line.
type Flags struct {
	Settings  Settings
	links     []string
	logFormat string
	logLevel  string
}

// Register adds the flags to a command. Each flag can also be set by an
// environment variable if the application has enabled this.
func (flags *Flags) Register(command *kingpin.CmdClause) {
	settings := &flags.Settings
	command.Flag("name", "Name of the instance, unique in the fleet.").StringVar(&settings.Name)
	command.Flag("region", "Region of the instance.").StringVar(&settings.Region)
	command.Flag("data-centre", "Data centre of the instance.").StringVar(&settings.DataCentre)
	command.Flag("caller-address", "IP:port for callers.").Default("127.0.0.1:8000").StringVar(&settings.CallerAddress)
	command.Flag("peer-address", "IP:port for other daemons.").Default("127.0.0.1:8001").StringVar(&settings.PeerAddress)
	command.Flag("carry-address", "IP:port for requests that other daemons forward.").Default("127.0.0.1:8004").StringVar(&settings.ForwardAddress)
	command.Flag("upstream-address", "IP:port for announcements of the local upstream.").Default("127.0.0.1:8002").StringVar(&settings.UpstreamAddress)
	command.Flag("operator-address", "IP:port for operators.").Default("127.0.0.1:8003").StringVar(&settings.OperatorAddress)
	command.Flag("platform-address", "IP:port of the platform's object API.").Default("127.0.0.1:7000").StringVar(&settings.PlatformAddress)
	command.Flag("platform-region", "Region of the platform's store.").StringVar(&settings.PlatformRegion)
	command.Flag("first-peer", "Peer address (IP:port) of another daemon; may be repeated.").StringsVar(&settings.FirstPeers)
	command.Flag("link", "Link to another region as REGION=LATENCY,COST; may be repeated.").StringsVar(&flags.links)
	command.Flag("data-centre-latency", "One-way latency to other data centres of the region.").
		Default("1ms").DurationVar(&settings.DataCentreLatency)
	command.Flag("region-capacity", "Maximum number of daemons of one service in one region; the same on all daemons.").
		Default(fmt.Sprint(kernel.DefaultRegionCapacity)).IntVar(&settings.RegionCapacity)
	command.Flag("claim-partitions", "Number of claim logs; the same on all daemons.").
		Default(fmt.Sprint(kernel.DefaultClaimPartitions)).IntVar(&settings.ClaimPartitions)
	command.Flag("claim-interval", "Minimum time between two claim writes of a partition.").
		Default(kernel.DefaultClaimInterval.String()).DurationVar(&settings.ClaimInterval)
	command.Flag("claim-retention", "How long an idempotency key is kept.").
		Default(kernel.DefaultClaimRetention.String()).DurationVar(&settings.ClaimRetention)
	command.Flag("drain-timeout", "Maximum time that a stopping daemon waits for running requests.").
		Default("30s").DurationVar(&settings.DrainTimeout)
	command.Flag("service", "Service of the local upstream, if it is known beforehand.").StringVar(&settings.Service)
	command.Flag("ready-address", "IP:port for readiness checks.").StringVar(&settings.ReadyAddress)
	command.Flag("withdraw-after", "How long the daemon must have been slow itself before it fails its readiness checks for some seconds; 0 means that it never does.").
		Default("0s").DurationVar(&settings.WithdrawAfter)
	command.Flag("route-object", "Platform object KIND/NAME that holds the route table; without it a request's host selects its service.").
		StringVar(&settings.RouteObject)
	command.Flag("evacuation-prefix", "KIND/ of the platform objects that evacuate the data centres that they are named after; without it there are none.").
		StringVar(&settings.EvacuationPrefix)
	command.Flag("keyless", "Callers send no idempotency keys and operators write no profiles.").BoolVar(&settings.Keyless)
	command.Flag("silence-time", "How long an upstream may go without a heartbeat.").
		Default(upstream.DefaultSilenceTimeout.String()).DurationVar(&settings.SilenceTimeout)
	command.Flag("linger-time", "How long a stopping daemon still accepts callers.").Default("0s").DurationVar(&settings.LingerTime)
	command.Flag("hold-cancelled-runs", "Keep slots in use for cancelled requests that the upstream runs on, as its reports of its load show.").BoolVar(&settings.HoldCancelledRuns)
	command.Flag("headroom", "Fraction of an upstream's slots that stays free, from 0 to below 1.").Default("0").Float64Var(&settings.Headroom)
	command.Flag("data-centre-byte-price", "Price of a megabyte sent to another data centre of the region, in responses in time that it is worth.").
		Default("0").Float64Var(&settings.DataCentreBytePrice)
	command.Flag("region-byte-price", "Price of a megabyte sent to another region, in responses in time that it is worth.").
		Default("0").Float64Var(&settings.RegionBytePrice)
	command.Flag("fresh-time", "Maximum age of an upstream's slowness report while requests arrive; 0 means that its health path is not queried for it.").
		Default("0s").DurationVar(&settings.MaxSlownessAge)
	command.Flag("shared-retry-ratio", "Extra attempts for each request of a service, over all daemons; with 0 only the budgets of profiles apply.").
		Default("0").Float64Var(&settings.SharedRetryRatio)
	command.Flag("shared-retry-slack", "Extra attempts for a service in addition to the ratio, over all daemons.").
		Default("0").Float64Var(&settings.SharedRetrySlack)
	command.Flag("warmup-overshoot", "Requests that a cold upstream may get in any second, as a multiple of its warm-up rate; with 0 there is no limit.").
		Default("0").Float64Var(&settings.WarmupOvershoot)
	command.Flag("warmup-slack", "Requests that a cold upstream may get in any second in addition.").
		Default("0").Float64Var(&settings.WarmupSlack)
	command.Flag("quota-window", "Length of the windows in which the requests of workspaces are counted; 0 means that there are no quotas.").
		Default("0s").DurationVar(&settings.Quotas.Window)
	command.Flag("quota-overshoot", "Fraction by which a workspace may exceed its quota in a window.").
		Default("0").Float64Var(&settings.Quotas.Overshoot)
	command.Flag("quota-slack", "Requests by which a workspace may exceed its quota in a window, in addition to the fraction.").
		Default("0").Float64Var(&settings.Quotas.Slack)
	command.Flag("log-format", "Format of the logs.").Default("text").EnumVar(&flags.logFormat, "text", "json")
	command.Flag("log-level", "Minimum level that is logged.").Default("info").EnumVar(&flags.logLevel, "debug", "info", "warn", "error")
}

// Validate returns the settings, or an error that lists all invalid ones.
func (flags *Flags) Validate() (Settings, error) {
	var messages []string
	settings := flags.Settings
	for _, text := range flags.links {
		link, err := ParseLink(text)
		if err != nil {
			messages = append(messages, "--link: "+err.Error())
			continue
		}
		settings.Links = append(settings.Links, link)
	}
	for _, settingError := range settings.Validate() {
		messages = append(messages, settingError.Error())
	}
	if len(messages) > 0 {
		return settings, Error.New("invalid settings:\n  %s", strings.Join(messages, "\n  "))
	}
	return settings, nil
}

// Logger returns a logger with the format and the level that the flags set.
func (flags *Flags) Logger() *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(flags.logLevel))
	options := &slog.HandlerOptions{Level: level}
	if flags.logFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}
