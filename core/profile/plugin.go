package profile

import (
	"slices"
	"sort"
	"time"

	"ibislift/core/kernel"
)

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

const pluginName = "profile"

// Timing of the calls to the platform.
const (
	// watchTimeout is how long the platform holds a watch open.
	watchTimeout = 20 * time.Second
	// retryDelay is the delay before a failed call is repeated.
	retryDelay = time.Second
	// confirmTimeout is how long a change may stay unconfirmed before its
	// outcome is reported to the operator as unknown.
	confirmTimeout = 3 * time.Second
	// startupTimeout is how long a starting daemon waits for configuration from
	// a second source. Its sources are its peers and the platform.
	startupTimeout = 2 * time.Second
)

// Tokens of platform calls. Calls that belong to a change have tokens from
// firstChangeToken on.
const (
	listToken        = 1
	watchToken       = 2
	firstChangeToken = 16
)

type plugin struct {
	configs   map[kernel.Key]kernel.Config
	changes   map[uint64]*change
	nextToken uint64

	startedAt         time.Time
	syncedPeers       map[string]bool
	listed            bool
	listing           bool
	watching          bool
	ready             bool
	revision          uint64
	retryAt           time.Time
	platformDownSince time.Time
	platformCalls     uint64
}

// Accepts reports whether a record may be merged. It rejects configuration
// records that cannot be decoded.
func (plugin *plugin) Accepts(_ time.Time, record kernel.Record) bool {
	if !isConfig(record.Kind) {
		return true
	}
	_, err := decode(record.Body)
	return err == nil
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.start(event.At)
		if state.Settings.NoProfiles {
			return nil
		}
		return plugin.list()
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.RecordsMerged:
		plugin.applyRecords(event.At, message.Records)
	case kernel.PeerSynced:
		plugin.syncedPeers[message.Peer.Address] = true
		plugin.updateReadiness(state, event.At)
	case kernel.ChangeRequested:
		return plugin.beginChange(state, event.At, message)
	case kernel.PlatformCallEnded:
		return plugin.handleCallEnd(state, event.At, message)
	}
	return nil
}

func (plugin *plugin) start(at time.Time) {
	plugin.configs = map[kernel.Key]kernel.Config{}
	plugin.changes = map[uint64]*change{}
	plugin.syncedPeers = map[string]bool{}
	plugin.nextToken = firstChangeToken
	plugin.startedAt = at
}

// applyRecords applies merged configuration records. The table merges only
// versions higher than its own, so configuration never reverts to an older
// version.
func (plugin *plugin) applyRecords(at time.Time, records []kernel.Record) {
	for _, record := range records {
		if !isConfig(record.Kind) {
			continue
		}
		decoded, err := decode(record.Body)
		if err != nil {
			continue
		}
		plugin.configs[record.Key] = kernel.Config{
			Key:        record.Key,
			Version:    record.Version,
			Spec:       decoded.Spec,
			Author:     decoded.Author,
			WrittenAt:  decoded.Written,
			ReceivedAt: at,
			Retired:    decoded.Retired,
		}
	}
}

// updateReadiness marks a starting daemon as ready once it has received the
// configuration from the platform and a peer, or from two peers. One source is
// enough if there are no other daemons to ask, or after startupTimeout.
func (plugin *plugin) updateReadiness(state *kernel.State, at time.Time) {
	if plugin.ready || state.Settings.NoProfiles {
		return
	}
	peers := len(plugin.syncedPeers)
	waited := at.Sub(plugin.startedAt) >= startupTimeout
	fromPlatform := plugin.listed && (peers > 0 || !hasFirstPeers(state.Settings) || waited)
	fromPeers := peers >= 2 || peers == 1 && waited
	if fromPlatform || fromPeers {
		plugin.ready = true
		state.ViewDirty = true
	}
}

// hasFirstPeers reports whether the settings name another daemon from which the
// configuration can be received at startup.
func hasFirstPeers(settings kernel.Settings) bool {
	return slices.ContainsFunc(settings.FirstPeers, func(address string) bool {
		return address != settings.PeerAddress
	})
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if state.Settings.NoProfiles {
		return nil
	}
	plugin.updateReadiness(state, at)
	effects := plugin.retryPaused(at)
	if at.Before(plugin.retryAt) || plugin.listing || plugin.watching {
		return effects
	}
	if !plugin.listed {
		return append(effects, plugin.list()...)
	}
	if state.Watching {
		return append(effects, plugin.watch(state)...)
	}
	if state.Settings.RouteObject == "" {
		state.Following = false
	}
	return effects
}

func (plugin *plugin) list() []kernel.Effect {
	plugin.listing = true
	return []kernel.Effect{plugin.call(listToken, kernel.ListObjects{Prefix: ObjectPrefix})}
}

func (plugin *plugin) watch(state *kernel.State) []kernel.Effect {
	plugin.watching = true
	// Where there is a route table, its watch counts.
	state.Following = state.Following || state.Settings.RouteObject == ""
	watch := kernel.WatchObjects{Prefix: ObjectPrefix, Revision: plugin.revision, Wait: watchTimeout}
	return []kernel.Effect{plugin.call(watchToken, watch)}
}

// call returns the effect that makes a platform call, and counts the call.
func (plugin *plugin) call(token uint64, call kernel.PlatformCall) kernel.Effect {
	plugin.platformCalls++
	return kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}
}

// handleCallEnd merges the objects that a list or a watch returned, and
// advances the change that any other call belongs to.
func (plugin *plugin) handleCallEnd(state *kernel.State, at time.Time, ended kernel.PlatformCallEnded) []kernel.Effect {
	plugin.updatePlatformStatus(state, at, ended.Result.Status)
	if ended.Owner != pluginName {
		return nil
	}
	switch ended.Token {
	case listToken:
		plugin.listing = false
	case watchToken:
		plugin.watching = false
	default:
		return plugin.advanceChange(at, ended)
	}
	if ended.Result.Status != kernel.PlatformOK {
		plugin.retryAt = at.Add(retryDelay)
		return nil
	}
	if ended.Token == listToken {
		plugin.listed = true
		plugin.updateReadiness(state, at)
	}
	plugin.revision = max(plugin.revision, ended.Result.Revision)
	return []kernel.Effect{kernel.MergeRecords{Records: recordsOf(ended.Result.Objects)}}
}

// updatePlatformStatus records the time since which calls to the platform have
// failed, or clears it after a call that did not fail.
func (plugin *plugin) updatePlatformStatus(state *kernel.State, at time.Time, status kernel.PlatformStatus) {
	failed := status == kernel.PlatformNotExecuted || status == kernel.PlatformUnknown
	if failed && plugin.platformDownSince.IsZero() {
		plugin.platformDownSince = at
		state.PlatformDownSince = at
		state.ViewDirty = true
	}
	if !failed && !plugin.platformDownSince.IsZero() {
		plugin.platformDownSince = time.Time{}
		state.PlatformDownSince = time.Time{}
		state.ViewDirty = true
	}
}

func (plugin *plugin) FillView(view *kernel.View) {
	for _, config := range plugin.configs {
		view.Configs = append(view.Configs, config)
	}
	sort.Slice(view.Configs, func(i, j int) bool {
		if view.Configs[i].Key.Kind != view.Configs[j].Key.Kind {
			return view.Configs[i].Key.Kind < view.Configs[j].Key.Kind
		}
		return view.Configs[i].Key.Name < view.Configs[j].Key.Name
	})
	view.Ready = view.Ready || plugin.ready
	view.PlatformDownSince = plugin.platformDownSince
	view.PlatformCalls = plugin.platformCalls
}
