// Package crash shares the fingerprints of requests that were running when an
// upstream crashed, so that every daemon blocks a request that crashes upstreams.
//
// A single crash does not show which of the requests running at the time caused
// it. A fingerprint is therefore blocked only after it took part in several
// crashes. The block ends when its records expire, or when a request with the
// fingerprint gets a response, which a request that crashes upstreams never does.
// A harmless fingerprint is therefore never blocked permanently.
//
// # Usage
//
// The package registers itself with the kernel. Before a request is sent to a
// target, its fingerprint is looked up in the view:
//
//	suspect, known := view.CrashSuspect(fingerprint)
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

// record states that a request with the fingerprint was running in a crash. If
// Cleared is set, it states that such a request got a response. Times are in Unix
// milliseconds.
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

func (plugin *plugin) Accepts(at time.Time, offered kernel.Record) bool {
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
		return plugin.recordCrash(state, event.At, message)
	case kernel.SuspectCompleted:
		return plugin.clearSuspect(event.At, message.Fingerprint)
	case kernel.RecordsMerged:
		plugin.storeRecords(message.Records)
	case kernel.Ticked:
		plugin.removeExpired(state, event.At)
	}
	return nil
}

// recordCrash merges a record for each request that was running in the crash.
func (plugin *plugin) recordCrash(state *kernel.State, at time.Time, crashed kernel.UpstreamCrashed) []kernel.Effect {
	plugin.sequence++
	expires := at.Add(crashed.BlockFor).UnixMilli()
	var merge kernel.MergeRecords
	for _, fingerprint := range crashed.Fingerprints {
		body, err := json.Marshal(record{Fingerprint: fingerprint, At: at.UnixMilli(), Expires: expires})
		if err != nil {
			continue
		}
		name := fmt.Sprintf("%s@%s/%d/%d", fingerprint, state.Settings.Self, state.Settings.Epoch, plugin.sequence)
		merge.Records = append(merge.Records, kernel.Record{
			Key:     kernel.Key{Kind: kernel.KindCrash, Name: name},
			Version: 1,
			Body:    body,
		})
	}
	return []kernel.Effect{merge}
}

// clearSuspect merges a record that clears a fingerprint. It expires together with
// the last crash record of the fingerprint.
func (plugin *plugin) clearSuspect(at time.Time, fingerprint string) []kernel.Effect {
	lastExpiry := int64(0)
	for _, stored := range plugin.records {
		if stored.Fingerprint == fingerprint && !stored.Cleared {
			lastExpiry = max(lastExpiry, stored.Expires)
		}
	}
	if lastExpiry == 0 {
		return nil
	}
	body, err := json.Marshal(record{Fingerprint: fingerprint, At: at.UnixMilli(), Expires: lastExpiry, Cleared: true})
	if err != nil {
		return nil
	}
	key := kernel.Key{Kind: kernel.KindCrash, Name: fingerprint + "@cleared"}
	return []kernel.Effect{kernel.MergeRecords{Records: []kernel.Record{{Key: key, Version: uint64(at.UnixMilli()), Body: body}}}}
}

func (plugin *plugin) storeRecords(records []kernel.Record) {
	for _, merged := range records {
		if merged.Kind != kernel.KindCrash {
			continue
		}
		var decoded record
		if json.Unmarshal(merged.Body, &decoded) == nil {
			plugin.records[merged.Key] = decoded
		}
	}
}

func (plugin *plugin) removeExpired(state *kernel.State, at time.Time) {
	for key, stored := range plugin.records {
		if !at.Before(time.UnixMilli(stored.Expires)) {
			delete(plugin.records, key)
			state.Table.Remove(key)
			state.ViewDirty = true
		}
	}
}

// FillView adds each fingerprint to the view, with its crash records since it was
// last cleared.
func (plugin *plugin) FillView(view *kernel.View) {
	cleared := map[string]int64{}
	for _, stored := range plugin.records {
		if stored.Cleared {
			cleared[stored.Fingerprint] = stored.At
		}
	}
	expiries := map[string][]time.Time{}
	for _, stored := range plugin.records {
		if stored.Cleared || stored.At <= cleared[stored.Fingerprint] {
			continue
		}
		expiries[stored.Fingerprint] = append(expiries[stored.Fingerprint], time.UnixMilli(stored.Expires))
	}
	for fingerprint, times := range expiries {
		sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
		view.CrashSuspects = append(view.CrashSuspects, kernel.CrashSuspect{Fingerprint: fingerprint, Expiries: times})
	}
	sort.Slice(view.CrashSuspects, func(i, j int) bool { return view.CrashSuspects[i].Fingerprint < view.CrashSuspects[j].Fingerprint })
}
