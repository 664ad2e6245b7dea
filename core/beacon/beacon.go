// Package beacon lets a new daemon discover others through the platform.
//
// The watchers of a region are the daemons that follow changes on the platform.
// Each of them maintains a platform object with its peer address, called
// a beacon. A daemon that starts lists the beacons and adds their addresses to the
// first peers from its settings.
//
// # Usage
//
// The package registers itself with the kernel; importing it is enough:
//
//	import _ "ibislift/core/beacon"
package beacon

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"ibislift/core/kernel"
)

const pluginName = "beacon"

// Prefix is the common prefix of the names of all beacon objects.
const Prefix = "beacons/"

// RefreshInterval is the interval at which a watcher checks that its beacon still
// has the watcher's address.
const RefreshInterval = time.Minute

// retryDelay is the time from the beginning of a failed listing of the beacons until
// the next one. A listing that ends with its timeout is retried at once.
const retryDelay = 2 * time.Second

// refreshRetryDelay is the time after which a watcher checks its beacon again if the
// check, or the write that it needs, has failed.
const refreshRetryDelay = 5 * time.Second

// startupPeriod is the time from a successful listing until a watcher first checks
// its own beacon.
const startupPeriod = 4 * time.Second

// A daemon without neighbours lists the beacons again: those that it has found may be of
// machines that are gone, and others that are alone too write theirs. It lists them every
// shortRelistInterval for relistPeriod after it has become alone, then less often.
const (
	shortRelistInterval = 2 * time.Second
	longRelistInterval  = 10 * time.Second
	relistPeriod        = 30 * time.Second
)

// relistDelay is the time from a write to the next listing.
const relistDelay = 700 * time.Millisecond

// A daemon that finds no beacon at all waits before it writes one, because the whole
// fleet may be starting. The wait is at most maxWriteDelay, and writeDelayRoot makes
// short waits rare: of many daemons few write at nearly the same time, and the
// others find their beacons.
const (
	maxWriteDelay  = 1500 * time.Millisecond
	writeDelayRoot = 4
)

// maxFirstPeers is the number of first peers at which no more are added from
// beacons.
const maxFirstPeers = 64

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

// beacon is the body of a beacon object.
type beacon struct {
	PeerAddress string `json:"peerAddress"`
}

// Tokens of the plug-in's calls to the platform.
const (
	listToken = iota + 1
	readToken
	writeToken
)

type plugin struct {
	listed bool
	// foundNone means that the last listing held no beacon. The daemon then
	// writes one if the next listing holds none either.
	foundNone bool
	// calling means that a call to the platform is in progress.
	calling bool
	// calledAt is when the last call began.
	calledAt   time.Time
	nextCallAt time.Time
	// listedAt is when the last listing began, and aloneSince when the daemon last had a
	// neighbour.
	listedAt   time.Time
	aloneSince time.Time
}

func (plugin *plugin) Accepts(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) FillView(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		return plugin.list(event.At)
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.PlatformCallEnded:
		if message.Owner == pluginName {
			plugin.calling = false
			return plugin.handleResult(state, event, message)
		}
	}
	return nil
}

// tick lists the beacons until a listing has succeeded, and again while this daemon is
// alone. A watcher also checks its own beacon at every interval.
func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if len(state.Neighbours) > 0 || plugin.aloneSince.IsZero() {
		plugin.aloneSince = at
	}
	isDue := !at.Before(plugin.nextCallAt)
	switch {
	case plugin.calling:
		return nil
	case plugin.listed && len(state.Neighbours) == 0 && at.Sub(plugin.listedAt) >= plugin.relistInterval(at):
		return plugin.list(at)
	case !isDue:
		return nil
	case !plugin.listed:
		return plugin.list(at)
	case state.Watching && state.WatcherRank >= 0:
		plugin.nextCallAt = at.Add(RefreshInterval)
		return plugin.call(at, readToken, kernel.ReadObject{Name: ownName(state)})
	default:
		return nil
	}
}

func (plugin *plugin) relistInterval(at time.Time) time.Duration {
	if at.Sub(plugin.aloneSince) < relistPeriod {
		return shortRelistInterval
	}
	return longRelistInterval
}

// ownName returns the name of this watcher's beacon.
func ownName(state *kernel.State) string {
	return fmt.Sprintf("%s%d", dataCentrePrefix(state), state.WatcherRank)
}

// dataCentrePrefix returns the common prefix of the names of the beacons of this
// data centre.
func dataCentrePrefix(state *kernel.State) string {
	return fmt.Sprintf("%s%s/%s/", Prefix, state.Settings.Region, state.Settings.DataCentre)
}

// list lists the beacons. They are hints, so they may be stale.
func (plugin *plugin) list(at time.Time) []kernel.Effect {
	plugin.listedAt = at
	return plugin.call(at, listToken, kernel.ListObjects{Prefix: Prefix, StaleAllowed: true})
}

// call starts a call to the platform.
func (plugin *plugin) call(at time.Time, token uint64, call kernel.PlatformCall) []kernel.Effect {
	plugin.calling = true
	plugin.calledAt = at
	return []kernel.Effect{kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}}
}

// handleResult handles the result of a call to the platform.
func (plugin *plugin) handleResult(state *kernel.State, event kernel.Event, ended kernel.PlatformCallEnded) []kernel.Effect {
	switch ended.Token {
	case listToken:
		return plugin.handleList(state, event, ended.Result)
	case readToken:
		return plugin.handleRead(state, event.At, ended.Result)
	case writeToken:
		return plugin.handleWrite(state, event.At, ended.Result)
	}
	return nil
}

// handleList adds the addresses of the listed beacons to the first peers. If the first
// listings hold none twice, it writes one with this daemon's address.
func (plugin *plugin) handleList(state *kernel.State, event kernel.Event, result kernel.PlatformResult) []kernel.Effect {
	if plugin.listed {
		return plugin.addFirstPeers(state, result.Objects)
	}
	if result.Status != kernel.PlatformOK {
		plugin.nextCallAt = plugin.calledAt.Add(retryDelay)
		return nil
	}
	effects := plugin.addFirstPeers(state, result.Objects)
	alone := len(result.Objects) == 0 && len(state.Neighbours) == 0
	switch {
	case !alone:
		plugin.listed = true
		plugin.nextCallAt = event.At.Add(startupPeriod)
		return effects
	case !plugin.foundNone:
		plugin.foundNone = true
		plugin.nextCallAt = event.At.Add(writeDelay(event.Random))
		if !hasOtherPeer(state.Settings) {
			effects = append(effects, kernel.Dispatch{Message: kernel.NoPeersFound{}})
		}
		return effects
	}
	plugin.foundNone = false
	body, err := json.Marshal(beacon{PeerAddress: state.Settings.PeerAddress})
	if err != nil {
		return effects
	}
	return append(effects, plugin.call(event.At, writeToken, kernel.WriteObject{Name: dataCentrePrefix(state) + "0", Body: body})...)
}

// hasOtherPeer reports whether the first peers include another daemon.
func hasOtherPeer(settings kernel.Settings) bool {
	return slices.ContainsFunc(settings.FirstPeers, func(address string) bool { return address != settings.PeerAddress })
}

// writeDelay returns how long to wait before writing the first beacon, from a random
// number.
func writeDelay(random uint64) time.Duration {
	fraction := math.Pow(float64(random)/math.MaxUint64, 1.0/writeDelayRoot)
	return time.Duration(fraction * float64(maxWriteDelay))
}

// addFirstPeers adds the addresses of beacons to the first peers. It reports the
// added addresses to the other plug-ins with PeersFound.
func (plugin *plugin) addFirstPeers(state *kernel.State, objects []kernel.Object) []kernel.Effect {
	peers := slices.Clone(state.Settings.FirstPeers)
	var added []string
	for _, object := range objects {
		var found beacon
		if json.Unmarshal(object.Body, &found) != nil || !isAddress(found.PeerAddress) || len(peers) >= maxFirstPeers {
			continue
		}
		if !slices.Contains(peers, found.PeerAddress) {
			peers = append(peers, found.PeerAddress)
			added = append(added, found.PeerAddress)
		}
	}
	state.Settings.FirstPeers = peers
	if len(added) == 0 {
		return nil
	}
	return []kernel.Effect{kernel.Dispatch{Message: kernel.PeersFound{Addresses: added}}}
}

// isAddress reports whether a daemon may be reached at an address. Another writer may
// have stored anything; a port is checked if there is one.
func isAddress(address string) bool {
	if !strings.Contains(address, ":") {
		return address != ""
	}
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && number > 0
}

// handleWrite lists the beacons again some time later, because those of other data
// centres may have been written at the same time. If another daemon has written the
// same beacon first, the reply may contain its address.
func (plugin *plugin) handleWrite(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch {
	case !plugin.listed:
		plugin.nextCallAt = at.Add(relistDelay)
	case result.Status != kernel.PlatformOK && result.Status != kernel.PlatformConflict:
		plugin.nextCallAt = at.Add(refreshRetryDelay)
	}
	if result.Status != kernel.PlatformConflict {
		return nil
	}
	return plugin.addFirstPeers(state, []kernel.Object{result.Object})
}

// handleRead writes this watcher's beacon if it does not have this daemon's
// address. If another daemon writes it at the same time, the next check detects
// that.
func (plugin *plugin) handleRead(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status != kernel.PlatformOK && result.Status != kernel.PlatformNotFound {
		plugin.nextCallAt = at.Add(refreshRetryDelay)
		return nil
	}
	var found beacon
	if json.Unmarshal(result.Object.Body, &found) == nil && found.PeerAddress == state.Settings.PeerAddress {
		return nil
	}
	body, err := json.Marshal(beacon{PeerAddress: state.Settings.PeerAddress})
	if err != nil {
		return nil
	}
	return plugin.call(at, writeToken, kernel.WriteObject{Name: ownName(state), BaseVersion: result.Object.Version, Body: body})
}
