package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

func TestPendingWithoutNeighbours(t *testing.T) {
	is := is.New(t)
	state := &kernel.State{}
	waiting := &plugin{}
	at := time.Unix(1_800_000_000, 0)
	store := func(name, from string, version uint64) {
		record := kernel.Record{Key: kernel.Key{Kind: kernel.KindMember, Name: name}, Version: version}
		state.Table.Put(record)
		waiting.Update(state, kernel.Event{At: at, Message: kernel.RecordsMerged{From: from, Records: []kernel.Record{record}}})
	}
	for version := uint64(1); version <= 100; version++ {
		store("self", "", version)
		store("other", "other", version)
	}
	is.Equal(len(waiting.pending), 1) // the newest record of its own
	is.Equal(waiting.pending[0].record.Version, uint64(100))
	state.Neighbours = []kernel.Neighbour{{ID: "other", Address: "other"}}
	effects := waiting.Update(state, kernel.Event{At: at.Add(time.Second), Message: kernel.RecordsMerged{}})
	is.Equal(len(effects), 1)
	is.Equal(len(effects[0].(kernel.CallPeer).Envelope.Records), 1)
	is.Equal(len(waiting.pending), 0)
}

func TestOnlyComparisonsCountAsSynced(t *testing.T) {
	peer := kernel.Neighbour{ID: "other", Address: "other"}
	for name, test := range map[string]struct {
		reply  kernel.Envelope
		synced bool
	}{
		"the reply to a comparison of equal tables": {kernel.Envelope{From: "other", TableDigest: 1}, true},
		"the reply to flooded records":              {kernel.Envelope{From: "other"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			replied := kernel.PeerReplied{Peer: peer, Envelope: test.reply}
			effects := (&plugin{}).Update(&kernel.State{}, kernel.Event{Message: replied})
			synced := slices.ContainsFunc(effects, func(effect kernel.Effect) bool {
				dispatched, isDispatch := effect.(kernel.Dispatch)
				return isDispatch && dispatched.Message == kernel.PeerSynced{Peer: peer}
			})
			is.New(t).Equal(synced, test.synced)
		})
	}
}
