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
	listed  bool
	waiting bool
	nextAt  time.Time
}

func (plugin *plugin) Admits(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) Contribute(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
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
	return fmt.Sprintf("%s%s/%s/%d", Prefix, state.Settings.Region, state.Settings.DataCentre, state.WatchRank)
}

func (plugin *plugin) call(token uint64, call kernel.PlatformCall) []kernel.Effect {
	plugin.waiting = true
	return []kernel.Effect{kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}}
}

func (plugin *plugin) answered(state *kernel.State, at time.Time, answered kernel.PlatformAnswered) []kernel.Effect {
	switch answered.Token {
	case listToken:
		plugin.learn(state, at, answered.Result)
	case readToken:
		return plugin.renew(state, answered.Result)
	}
	return nil
}

// learn takes the beacons' addresses as first peers.
func (plugin *plugin) learn(state *kernel.State, at time.Time, result kernel.PlatformResult) {
	if result.Status != kernel.PlatformOK {
		plugin.nextAt = at.Add(retryWait)
		return
	}
	plugin.listed = true
	peers := slices.Clone(state.Settings.FirstPeers)
	for _, object := range result.Objects {
		var found beacon
		if json.Unmarshal(object.Body, &found) != nil || found.PeerAddress == "" || len(peers) >= maxFirstPeers {
			continue
		}
		if !slices.Contains(peers, found.PeerAddress) {
			peers = append(peers, found.PeerAddress)
		}
	}
	state.Settings.FirstPeers = peers
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
