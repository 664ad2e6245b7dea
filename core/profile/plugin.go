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

// Times of configuration.
const (
	// watchWait is how long one watch waits at the platform.
	watchWait = 20 * time.Second
	// retryWait is the time before a failed call is made again.
	retryWait = time.Second
	// settleTime is how long a change may stay in doubt before its operator
	// is told so.
	settleTime = 3 * time.Second
	// startTime is how long a new daemon waits for the second of its two
	// sources, the peers and the platform.
	startTime = 2 * time.Second
)

// Tokens of calls that belong to no change.
const (
	listToken  = 1
	watchToken = 2
	firstToken = 16
)

type plugin struct {
	configs map[kernel.Key]kernel.Config
	changes map[uint64]*change
	next    uint64

	started  time.Time
	synced   map[string]bool
	listed   bool
	listing  bool
	watching bool
	ready    bool
	revision uint64
	retryAt  time.Time
	down     time.Time
	calls    uint64
}

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
		plugin.learn(event.At, message.Records)
	case kernel.PeerSynced:
		plugin.synced[message.Peer.Address] = true
		plugin.judgeReady(state, event.At)
	case kernel.ChangeRequested:
		return plugin.begin(state, event.At, message)
	case kernel.PlatformCallEnded:
		return plugin.answered(state, event.At, message)
	}
	return nil
}

func (plugin *plugin) start(at time.Time) {
	plugin.configs = map[kernel.Key]kernel.Config{}
	plugin.changes = map[uint64]*change{}
	plugin.synced = map[string]bool{}
	plugin.next = firstToken
	plugin.started = at
}

// learn puts fresh configuration in force. The table admits only versions
// that are higher than the one it holds, so that nothing reverts.
func (plugin *plugin) learn(at time.Time, records []kernel.Record) {
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

// judgeReady decides whether a new daemon has learnt the configuration: from
// the platform and a peer, or from two peers, or from one of them where the
// other has not answered for startTime.
func (plugin *plugin) judgeReady(state *kernel.State, at time.Time) {
	if plugin.ready || state.Settings.NoProfiles {
		return
	}
	peers := len(plugin.synced)
	waited := at.Sub(plugin.started) >= startTime
	fromPlatform := plugin.listed && (peers > 0 || !hasFirstPeers(state.Settings) || waited)
	fromPeers := peers >= 2 || peers == 1 && waited
	if fromPlatform || fromPeers {
		plugin.ready = true
		state.ViewDirty = true
	}
}

// hasFirstPeers says whether there is another daemon to ask at the start.
func hasFirstPeers(settings kernel.Settings) bool {
	return slices.ContainsFunc(settings.FirstPeers, func(address string) bool {
		return address != settings.PeerAddress
	})
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if state.Settings.NoProfiles {
		return nil
	}
	plugin.judgeReady(state, at)
	effects := plugin.resume(at)
	if at.Before(plugin.retryAt) || plugin.listing || plugin.watching {
		return effects
	}
	if !plugin.listed {
		return append(effects, plugin.list()...)
	}
	if state.Watching {
		return append(effects, plugin.watch()...)
	}
	return effects
}

func (plugin *plugin) list() []kernel.Effect {
	plugin.listing = true
	return []kernel.Effect{plugin.call(listToken, kernel.ListObjects{Prefix: Prefix})}
}

func (plugin *plugin) watch() []kernel.Effect {
	plugin.watching = true
	watch := kernel.WatchObjects{Prefix: Prefix, Revision: plugin.revision, Wait: watchWait}
	return []kernel.Effect{plugin.call(watchToken, watch)}
}

func (plugin *plugin) call(token uint64, call kernel.PlatformCall) kernel.Effect {
	plugin.calls++
	return kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}
}

func (plugin *plugin) answered(state *kernel.State, at time.Time, answered kernel.PlatformCallEnded) []kernel.Effect {
	plugin.judgePlatform(state, at, answered.Result.Status)
	if answered.Owner != pluginName {
		return nil
	}
	switch answered.Token {
	case listToken:
		plugin.listing = false
	case watchToken:
		plugin.watching = false
	default:
		return plugin.advance(at, answered)
	}
	if answered.Result.Status != kernel.PlatformOK {
		plugin.retryAt = at.Add(retryWait)
		return nil
	}
	if answered.Token == listToken {
		plugin.listed = true
		plugin.judgeReady(state, at)
	}
	plugin.revision = max(plugin.revision, answered.Result.Revision)
	return []kernel.Effect{kernel.MergeRecords{Records: recordsOf(answered.Result.Objects)}}
}

// judgePlatform keeps the time since when the platform has not answered.
func (plugin *plugin) judgePlatform(state *kernel.State, at time.Time, status kernel.PlatformStatus) {
	failed := status == kernel.PlatformRefused || status == kernel.PlatformUnknown
	if failed && plugin.down.IsZero() {
		plugin.down = at
		state.ViewDirty = true
	}
	if !failed && !plugin.down.IsZero() {
		plugin.down = time.Time{}
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
	view.PlatformDownSince = plugin.down
	view.PlatformCalls = plugin.calls
}
