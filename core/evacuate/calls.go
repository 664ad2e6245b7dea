package evacuate

import (
	"slices"
	"time"

	"ibislift/core/kernel"
)

// recordKey is the key of the record.
func recordKey(state *kernel.State) kernel.Key {
	return kernel.Key{Kind: kernel.KindEvacuations, Name: state.Settings.EvacuationPrefix}
}

// read lists the objects.
func (plugin *plugin) read(state *kernel.State, at time.Time, token uint64) []kernel.Effect {
	plugin.readPending = true
	isStale := token == staleReadToken || token == verifyToken
	return plugin.call(at, token, kernel.ListObjects{Prefix: state.Settings.EvacuationPrefix, StaleAllowed: isStale})
}

func (plugin *plugin) watch(state *kernel.State, at time.Time) []kernel.Effect {
	if state.Settings.RouteObject == "" && state.Settings.NoProfiles {
		state.Following = true
	}
	plugin.watchToken = firstWatchToken + plugin.watchCount
	plugin.watchCount++
	return plugin.call(at, plugin.watchToken, kernel.WatchObjects{Prefix: state.Settings.EvacuationPrefix, Revision: plugin.revision, Wait: watchTimeout})
}

func (plugin *plugin) call(at time.Time, token uint64, call kernel.PlatformCall) []kernel.Effect {
	plugin.calledAt = at
	return []kernel.Effect{kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}}
}

// checkWatch verifies what the watch has reported if another call has shown a later
// revision. Where no plug-in follows the route table, whose checks show that, it reads the
// revision now and then.
func (plugin *plugin) checkWatch(state *kernel.State, at time.Time) []kernel.Effect {
	isDue := at.Sub(plugin.calledAt) >= checkInterval
	switch {
	case plugin.seenRevision > plugin.checkedRevision && at.Sub(plugin.seenAt) >= verifyDelay:
		return plugin.read(state, at, verifyToken)
	case state.Settings.RouteObject == "" && isDue && !plugin.checkPending:
		plugin.checkPending = true
		return plugin.call(at, checkToken, kernel.ReadRevision{Prefix: state.Settings.EvacuationPrefix})
	default:
		return nil
	}
}

// observe records the revision and the era that a call of any plug-in has returned.
func (plugin *plugin) observe(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status != kernel.PlatformOK || result.Era < plugin.era {
		return nil
	}
	effects := plugin.enterEra(result.Era)
	if result.Revision > max(plugin.seenRevision, plugin.checkedRevision) {
		plugin.seenRevision, plugin.seenAt = result.Revision, at
	}
	if len(effects) == 0 {
		return nil
	}
	return append(effects, plugin.tick(state, at)...)
}

// enterEra begins the era of a reply if it is later, in which revisions are given out
// again.
func (plugin *plugin) enterEra(era uint64) []kernel.Effect {
	if era <= plugin.era {
		return nil
	}
	isFirst := plugin.era == 0
	plugin.era = era
	if isFirst {
		return nil
	}
	plugin.revision, plugin.checkedRevision, plugin.seenRevision = 0, 0, 0
	plugin.removed = nil
	return plugin.abandonWatch()
}

// abandonWatch cancels the waiting watch, if there is one.
func (plugin *plugin) abandonWatch() []kernel.Effect {
	if plugin.watchToken == 0 {
		return nil
	}
	abandoned := kernel.CancelPlatformCall{Owner: pluginName, Token: plugin.watchToken}
	plugin.watchToken = 0
	plugin.revision = 0
	return []kernel.Effect{abandoned}
}

// endCall records the end of a call. It reports false for a watch that was abandoned.
func (plugin *plugin) endCall(token uint64) bool {
	switch token {
	case staleReadToken, readToken, verifyToken:
		plugin.readPending = false
	case checkToken:
		plugin.checkPending = false
	case plugin.watchToken:
		plugin.watchToken = 0
	default:
		return false
	}
	return true
}

// handleCallEnd merges what a call has returned and goes on with the next one. After a
// failed watch the objects are read again, because the store may have dropped the history
// in the meantime.
func (plugin *plugin) handleCallEnd(state *kernel.State, event kernel.Event, ended kernel.PlatformCallEnded) []kernel.Effect {
	if !plugin.endCall(ended.Token) {
		return nil
	}
	result := ended.Result
	isWatch := ended.Token >= firstWatchToken
	if result.Status != kernel.PlatformOK {
		plugin.handleFailure(event, ended)
		return nil
	}
	if result.Era < plugin.era {
		plugin.revision = 0
		plugin.retryAt = event.At.Add(retryDelay)
		return nil
	}
	isNewEra := plugin.era != 0 && result.Era > plugin.era
	effects := plugin.enterEra(result.Era)
	switch {
	case isNewEra && isWatch:
		// It went on from a revision of the earlier era.
		plugin.revision = 0
	case ended.Token == staleReadToken:
		plugin.stale = &result
		effects = append(effects, plugin.mergeStale(state)...)
	case ended.Token == checkToken:
		plugin.seenRevision, plugin.seenAt = max(plugin.seenRevision, result.Revision), event.At.Add(-verifyDelay)
	case ended.Token == verifyToken:
		effects = append(effects, plugin.verify(state, result)...)
	case isWatch:
		effects = append(effects, plugin.handleChanges(state, event.At, result)...)
	default:
		plugin.current = true
		state.ViewDirty = true
		effects = append(effects, plugin.handleObjects(state, event.At, result)...)
	}
	return append(effects, plugin.tick(state, event.At)...)
}

// handleFailure schedules the call after a failed one. A failed check says nothing about
// what the waiting watch may have missed.
func (plugin *plugin) handleFailure(event kernel.Event, ended kernel.PlatformCallEnded) {
	if ended.Token != checkToken && ended.Token != verifyToken {
		plugin.revision = 0
	}
	if ended.Result.Status == kernel.PlatformHistoryLost {
		plugin.retryAt = event.At
		return
	}
	plugin.retryAt = plugin.calledAt.Add(retryDelay + time.Duration(event.Random%uint64(retryJitter)))
}

// handleObjects takes over all objects that a read has returned. If some could not be
// decoded, the read ends no evacuation.
func (plugin *plugin) handleObjects(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	held := dataCentresOf(state.Settings.EvacuationPrefix, result.Objects)
	if record, known := state.Table.Get(recordKey(state)); known && result.Invalid > 0 {
		if earlier, err := decodeState(record.Body); err == nil {
			held = sorted(slices.Concat(held, plugin.notRemoved(earlier.DataCentres)))
		}
	}
	return plugin.advance(state, at, held, result.Revision)
}

// notRemoved returns the names without those whose object was removed in this era.
func (plugin *plugin) notRemoved(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(plugin.removed, name) })
}

// handleChanges applies the changes that a watch has reported. Where their order is not
// known or one could not be decoded, the objects are read instead.
func (plugin *plugin) handleChanges(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	prefix := state.Settings.EvacuationPrefix
	written := dataCentresOf(prefix, result.Objects)
	held := slices.Concat(plugin.held, written)
	isAmbiguous := result.Invalid > 0
	for _, objectName := range result.Deleted {
		name, valid := dataCentreOf(prefix, objectName)
		if !valid {
			continue
		}
		plugin.removed = sorted(append(plugin.removed, name))
		isAmbiguous = isAmbiguous || slices.Contains(written, name)
		held = slices.DeleteFunc(held, func(other string) bool { return other == name })
	}
	if isAmbiguous {
		plugin.revision = 0
		return nil
	}
	return plugin.advance(state, at, sorted(held), result.Revision)
}

// advance records what the store holds at a revision, from which the next watch starts,
// and merges it.
func (plugin *plugin) advance(state *kernel.State, at time.Time, held []string, revision uint64) []kernel.Effect {
	plugin.held = held
	plugin.revision, plugin.checkedRevision = revision, revision
	plugin.revisionAt = at
	return plugin.merge(state, held, revision)
}

// verify compares what was read while a watch waits with what the watch has reported. If
// the watch has missed a change, it is abandoned.
func (plugin *plugin) verify(state *kernel.State, result kernel.PlatformResult) []kernel.Effect {
	if result.Revision < plugin.seenRevision {
		// The result is too old to show the change.
		plugin.seenAt = plugin.calledAt.Add(checkInterval)
	}
	if plugin.watchToken == 0 || result.Revision <= plugin.checkedRevision {
		return nil
	}
	plugin.checkedRevision = result.Revision
	held := dataCentresOf(state.Settings.EvacuationPrefix, result.Objects)
	if slices.Equal(held, plugin.held) || result.Invalid > 0 {
		return nil
	}
	return append(plugin.merge(state, held, result.Revision), plugin.abandonWatch()...)
}

// merge merges the state of the store at a revision of the current era, if it differs from
// the record and is later.
func (plugin *plugin) merge(state *kernel.State, held []string, revision uint64) []kernel.Effect {
	read := version{era: plugin.era, revision: revision}
	next := newState(held, nil)
	if record, known := state.Table.Get(recordKey(state)); known {
		earlier, err := decodeState(record.Body)
		if err != nil || read.encode() <= record.Version {
			return nil
		}
		lost, isNewEra := earlier.Lost, decodeVersion(record.Version).era < plugin.era
		if isNewEra {
			lost = earlier.all()
		}
		next = newState(held, plugin.notRemoved(lost))
		if next.equals(earlier) && !isNewEra {
			return nil
		}
	}
	return []kernel.Effect{kernel.MergeRecords{Records: []kernel.Record{{Key: recordKey(state), Version: read.encode(), Body: next.encode()}}}}
}
