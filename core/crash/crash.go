// Package crash spreads the fingerprints of requests that ran when an upstream
// died, so that a request which crashes upstreams is stopped on every daemon.
//
// One crash proves nothing against a single request, since its neighbours ran
// at the same time. A fingerprint that was there in several crashes is blocked
// until its records expire, or until a request with it has been answered: what
// crashes upstreams never is. An innocent one is therefore never blocked for
// good.
//
// # Usage
//
// The package registers itself with the kernel. Traffic asks the view:
//
//	suspect, known := view.Suspect(fingerprint)
//	blocked := known && now.Before(suspect.BlockedUntil(profile.CrashLimit.Crashes))
package crash

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"ibislift/core/kernel"
)

func init() {
	kernel.Register("crash", func() kernel.Plugin { return &plugin{} })
}

// record is one fingerprint in one crash or, if Cleared is set, the word that a
// request with it was answered. Times are in Unix milliseconds.
type record struct {
	Fingerprint string `json:"fingerprint"`
	At          int64  `json:"at"`
	Expires     int64  `json:"expires"`
	Cleared     bool   `json:"cleared,omitempty"`
}

type plugin struct {
	sequence int
	records  map[kernel.Key]record
}

func (plugin *plugin) Admits(at time.Time, offered kernel.Record) bool {
	if offered.Kind != kernel.KindCrash {
		return true
	}
	var decoded record
	err := json.Unmarshal(offered.Body, &decoded)
	return err == nil && at.Before(time.UnixMilli(decoded.Expires))
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.records = map[kernel.Key]record{}
	case kernel.UpstreamCrashed:
		return plugin.report(state, event.At, message)
	case kernel.SuspectCompleted:
		return plugin.clear(event.At, message.Fingerprint)
	case kernel.Adopted:
		plugin.learn(message.Records)
	case kernel.Ticked:
		plugin.forget(state, event.At)
	}
	return nil
}

// report makes a record for each request that ran in the crash.
func (plugin *plugin) report(state *kernel.State, at time.Time, crashed kernel.UpstreamCrashed) []kernel.Effect {
	plugin.sequence++
	expires := at.Add(crashed.BlockFor).UnixMilli()
	var adopt kernel.Adopt
	for _, fingerprint := range crashed.Fingerprints {
		body, err := json.Marshal(record{Fingerprint: fingerprint, At: at.UnixMilli(), Expires: expires})
		if err != nil {
			continue
		}
		name := fmt.Sprintf("%s@%s/%d/%d", fingerprint, state.Settings.Self, state.Settings.Epoch, plugin.sequence)
		adopt.Records = append(adopt.Records, kernel.Record{
			Key:     kernel.Key{Kind: kernel.KindCrash, Name: name},
			Version: 1,
			Body:    body,
		})
	}
	return []kernel.Effect{adopt}
}

// clear makes a record that a suspect is innocent, which lasts as long as what
// stands against it.
func (plugin *plugin) clear(at time.Time, fingerprint string) []kernel.Effect {
	last := int64(0)
	for _, known := range plugin.records {
		if known.Fingerprint == fingerprint && !known.Cleared {
			last = max(last, known.Expires)
		}
	}
	if last == 0 {
		return nil
	}
	body, err := json.Marshal(record{Fingerprint: fingerprint, At: at.UnixMilli(), Expires: last, Cleared: true})
	if err != nil {
		return nil
	}
	key := kernel.Key{Kind: kernel.KindCrash, Name: fingerprint + "@cleared"}
	return []kernel.Effect{kernel.Adopt{Records: []kernel.Record{{Key: key, Version: uint64(at.UnixMilli()), Body: body}}}}
}

func (plugin *plugin) learn(records []kernel.Record) {
	for _, fresh := range records {
		if fresh.Kind != kernel.KindCrash {
			continue
		}
		var decoded record
		if json.Unmarshal(fresh.Body, &decoded) == nil {
			plugin.records[fresh.Key] = decoded
		}
	}
}

func (plugin *plugin) forget(state *kernel.State, at time.Time) {
	for key, known := range plugin.records {
		if !at.Before(time.UnixMilli(known.Expires)) {
			delete(plugin.records, key)
			state.Table.Remove(key)
			state.Dirty = true
		}
	}
}

func (plugin *plugin) Contribute(view *kernel.View) {
	cleared := map[string]int64{}
	for _, known := range plugin.records {
		if known.Cleared {
			cleared[known.Fingerprint] = known.At
		}
	}
	expiries := map[string][]time.Time{}
	for _, known := range plugin.records {
		if known.Cleared || known.At <= cleared[known.Fingerprint] {
			continue
		}
		expiries[known.Fingerprint] = append(expiries[known.Fingerprint], time.UnixMilli(known.Expires))
	}
	for fingerprint, times := range expiries {
		sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
		view.Suspects = append(view.Suspects, kernel.Suspect{Fingerprint: fingerprint, Expiries: times})
	}
	sort.Slice(view.Suspects, func(i, j int) bool { return view.Suspects[i].Fingerprint < view.Suspects[j].Fingerprint })
}
