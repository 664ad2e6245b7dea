// Package beacon lets a new daemon find others through the platform.
//
// The watchers of each data centre keep an object with their peer address. A
// daemon that starts lists these objects and tries them as first peers, beside
// those of its settings.
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
	"slices"
	"strings"
	"time"

	"ibislift/core/kernel"
)

const pluginName = "beacon"

// Prefix is the start of the names of all beacons.
const Prefix = "beacons/"

// Interval is the time between two looks of a watcher at its beacon.
const Interval = time.Minute

// retryWait is the time before the list of beacons is asked for again.
const retryWait = 2 * time.Second

// Times of a start. Where a data centre has no beacon the whole fleet may be
// starting: its beacons are there after some round trips.
const (
	coldWait   = 700 * time.Millisecond
	settleTime = 4 * time.Second
)

// maxFirstPeers bounds what is taken from beacons.
const maxFirstPeers = 64

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

// beacon is the body of an object.
type beacon struct {
	PeerAddress string `json:"peerAddress"`
}

// Tokens of the plug-in's calls.
const (
	listToken = iota + 1
	readToken
	writeToken
)

type plugin struct {
	listed    bool
	waiting   bool
	startedAt time.Time
	nextAt    time.Time
}

func (plugin *plugin) Admits(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) Contribute(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.startedAt = event.At
		return plugin.call(listToken, kernel.ListObjects{Prefix: Prefix})
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.PlatformAnswered:
		if message.Owner == pluginName {
			plugin.waiting = false
			return plugin.answered(state, event.At, message)
		}
	}
	return nil
}

// tick lists the beacons until that has succeeded, and lets a watcher look
// after its own.
func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	switch {
	case plugin.waiting || at.Before(plugin.nextAt):
		return nil
	case !plugin.listed:
		return plugin.call(listToken, kernel.ListObjects{Prefix: Prefix})
	case state.Watching:
		plugin.nextAt = at.Add(Interval)
		return plugin.call(readToken, kernel.ReadObject{Name: ownName(state)})
	default:
		return nil
	}
}

// ownName is the name of the beacon of this watcher's place.
func ownName(state *kernel.State) string {
	return fmt.Sprintf("%s%d", placeOf(state), state.WatchRank)
}

// placeOf is the start of the names of the beacons of this data centre.
func placeOf(state *kernel.State) string {
	return fmt.Sprintf("%s%s/%s/", Prefix, state.Settings.Region, state.Settings.DataCentre)
}

func (plugin *plugin) call(token uint64, call kernel.PlatformCall) []kernel.Effect {
	plugin.waiting = true
	return []kernel.Effect{kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}}
}

func (plugin *plugin) answered(state *kernel.State, at time.Time, answered kernel.PlatformAnswered) []kernel.Effect {
	switch answered.Token {
	case listToken:
		return plugin.learn(state, at, answered.Result)
	case readToken:
		return plugin.renew(state, answered.Result)
	case writeToken:
		return plugin.written(state, at, answered.Result)
	}
	return nil
}

// learn takes the beacons' addresses as first peers. Where the data centre has
// no beacon yet this daemon offers itself.
func (plugin *plugin) learn(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status != kernel.PlatformOK {
		plugin.nextAt = at.Add(retryWait)
		return nil
	}
	plugin.listed = true
	plugin.nextAt = at.Add(settleTime)
	effects := plugin.take(state, result.Objects)
	for _, object := range result.Objects {
		if strings.HasPrefix(object.Name, placeOf(state)) {
			return effects
		}
	}
	body, err := json.Marshal(beacon{PeerAddress: state.Settings.PeerAddress})
	if err != nil {
		return effects
	}
	return append(effects, plugin.call(writeToken, kernel.WriteObject{Name: placeOf(state) + "0", Body: body})...)
}

// take adds the addresses of beacons to the first peers, and lets those that
// are new be asked.
func (plugin *plugin) take(state *kernel.State, objects []kernel.Object) []kernel.Effect {
	peers := slices.Clone(state.Settings.FirstPeers)
	var fresh []string
	for _, object := range objects {
		var found beacon
		if json.Unmarshal(object.Body, &found) != nil || found.PeerAddress == "" || len(peers) >= maxFirstPeers {
			continue
		}
		if !slices.Contains(peers, found.PeerAddress) {
			peers = append(peers, found.PeerAddress)
			fresh = append(fresh, found.PeerAddress)
		}
	}
	state.Settings.FirstPeers = peers
	if len(fresh) == 0 {
		return nil
	}
	return []kernel.Effect{kernel.Raise{Message: kernel.PeersFound{Addresses: fresh}}}
}

// written goes on after this daemon has offered itself. The one that was
// faster may be named in the answer; the other data centres' beacons are there
// a moment later.
func (plugin *plugin) written(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if at.Sub(plugin.startedAt) < settleTime {
		plugin.listed = false
		plugin.nextAt = at.Add(coldWait)
	}
	if result.Status != kernel.PlatformConflict {
		return nil
	}
	return plugin.take(state, []kernel.Object{result.Object})
}

// renew writes the beacon if it does not name this daemon. A lost race is seen
// at the next look.
func (plugin *plugin) renew(state *kernel.State, result kernel.PlatformResult) []kernel.Effect {
	if result.Status != kernel.PlatformOK && result.Status != kernel.PlatformAbsent {
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
	return plugin.call(writeToken, kernel.WriteObject{Name: ownName(state), Base: result.Object.Version, Body: body})
}
