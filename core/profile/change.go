package profile

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ibislift/core/kernel"
)

// phase says what a change is waiting for.
type phase uint8

const (
	// phaseBase waits for the read of the version that the change is based on.
	phaseBase phase = iota
	// phaseWrite waits for the result of the conditional write.
	phaseWrite
	// phaseReadBack waits for the read that shows whether the write took
	// effect.
	phaseReadBack
	// phasePause waits for the next attempt.
	phasePause
)

// change is an operator's change that is in progress.
type change struct {
	request   kernel.ChangeRequested
	phase     phase
	base      kernel.Object
	startedAt time.Time
	retryAt   time.Time
	// unconfirmed is true if a write was sent whose result is unknown.
	unconfirmed bool
}

// beginChange validates a change and either sends the write or first reads the
// version that the change is based on.
func (plugin *plugin) beginChange(state *kernel.State, at time.Time, request kernel.ChangeRequested) []kernel.Effect {
	if err := plugin.validate(request); err != nil {
		return reply(request, kernel.ChangeInvalid, kernel.Record{}, err.Error())
	}
	current, _ := state.Table.Get(request.Key)
	if current.Version > request.BaseVersion {
		return reply(request, kernel.ChangeConflict, current, "the object has changed since you read it")
	}
	if detail := plugin.retireConflict(request); detail != "" {
		return reply(request, kernel.ChangeConflict, current, detail)
	}
	token := plugin.nextToken
	plugin.nextToken++
	pending := &change{request: request, startedAt: at}
	plugin.changes[token] = pending
	if request.BaseVersion == current.Version {
		pending.base = kernel.Object{Name: objectName(request.Key), Version: current.Version, Body: current.Body}
		return plugin.write(token, pending, at)
	}
	pending.phase = phaseBase
	return []kernel.Effect{plugin.call(token, kernel.ReadObject{Name: objectName(request.Key)})}
}

// validate checks the name and the spec of a change.
func (plugin *plugin) validate(request kernel.ChangeRequested) error {
	if err := ValidateName(request.Key.Name); err != nil {
		return err
	}
	if request.Retire {
		return nil
	}
	if request.Key.Kind == kernel.KindProfile {
		_, err := Parse(request.Spec)
		return err
	}
	service, err := ParseServiceConfig(request.Spec)
	if err != nil {
		return err
	}
	config, known := plugin.configs[kernel.Key{Kind: kernel.KindProfile, Name: service.Profile}]
	if !known || config.Retired {
		return Error.Wrap(&FieldError{Path: "profile", Reason: fmt.Sprintf("%q does not exist", service.Profile)})
	}
	return nil
}

// retireConflict returns the reason why a profile cannot be retired, or "" if
// no service uses it.
func (plugin *plugin) retireConflict(request kernel.ChangeRequested) string {
	if !request.Retire || request.Key.Kind != kernel.KindProfile {
		return ""
	}
	var users []string
	for key, config := range plugin.configs {
		if key.Kind != kernel.KindService || config.Retired {
			continue
		}
		service, err := ParseServiceConfig(config.Spec)
		if err == nil && service.Profile == request.Key.Name {
			users = append(users, key.Name)
		}
	}
	if len(users) == 0 {
		return ""
	}
	slices.Sort(users)
	return "the profile is still used by " + strings.Join(users, ", ")
}

// write sends the conditional write. Each attempt of a change writes the same
// nonce, so that an earlier attempt that took effect is recognised.
func (plugin *plugin) write(token uint64, pending *change, at time.Time) []kernel.Effect {
	pending.phase = phaseWrite
	next := object{Spec: []byte("{}")}
	if pending.base.Version != 0 {
		if decoded, err := decode(pending.base.Body); err == nil {
			next = decoded
		}
	}
	next = next.withNonce(pending.request.Nonce)
	next.Author = pending.request.Author
	next.Written = at.UTC()
	next.Retired = pending.request.Retire
	if !pending.request.Retire {
		next.Spec = pending.request.Spec
	}
	return []kernel.Effect{plugin.call(token, kernel.WriteObject{
		Name:        pending.base.Name,
		BaseVersion: pending.base.Version,
		Body:        next.encode(),
	})}
}

// advanceChange handles the end of a platform call that belongs to a change.
func (plugin *plugin) advanceChange(at time.Time, ended kernel.PlatformCallEnded) []kernel.Effect {
	pending, known := plugin.changes[ended.Token]
	if !known {
		return nil
	}
	switch pending.phase {
	case phaseBase:
		return plugin.handleBaseResult(ended.Token, pending, at, ended.Result)
	case phaseWrite:
		return plugin.handleWriteResult(ended.Token, pending, at, ended.Result)
	case phaseReadBack:
		return plugin.handleReadBackResult(ended.Token, pending, at, ended.Result)
	default:
		return nil
	}
}

// handleBaseResult sends the write if the object still has the version that the
// change is based on.
func (plugin *plugin) handleBaseResult(token uint64, pending *change, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch {
	case result.Status == kernel.PlatformOK && result.Object.Version == pending.request.BaseVersion:
		pending.base = result.Object
		return append(mergeObject(result.Object), plugin.write(token, pending, at)...)
	case result.Status == kernel.PlatformOK, result.Status == kernel.PlatformNotFound:
		delete(plugin.changes, token)
		current := recordOf(pending.request.Key, result.Object)
		return append(mergeObject(result.Object),
			reply(pending.request, kernel.ChangeConflict, current, "the object has changed since you read it")...)
	default:
		delete(plugin.changes, token)
		return reply(pending.request, kernel.ChangeNotWritten, kernel.Record{}, "the platform cannot be reached or refused the call; nothing was written")
	}
}

// handleWriteResult completes a change whose write succeeded. After a conflict
// or an unknown result it reads the object back. A write that was not executed had
// no effect, so the change fails unless an earlier attempt is unconfirmed.
func (plugin *plugin) handleWriteResult(token uint64, pending *change, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch result.Status {
	case kernel.PlatformOK:
		return plugin.completeChange(token, pending, result.Object)
	case kernel.PlatformConflict:
		return plugin.readBack(token, pending)
	case kernel.PlatformNotExecuted:
		if !pending.unconfirmed {
			delete(plugin.changes, token)
			return reply(pending.request, kernel.ChangeNotWritten, kernel.Record{}, "the platform cannot be reached or refused the call; nothing was written")
		}
		return plugin.pause(token, pending, at)
	default:
		pending.unconfirmed = true
		return plugin.readBack(token, pending)
	}
}

func (plugin *plugin) readBack(token uint64, pending *change) []kernel.Effect {
	pending.phase = phaseReadBack
	return []kernel.Effect{plugin.call(token, kernel.ReadObject{Name: pending.base.Name})}
}

// handleReadBackResult looks for the nonce of the change in the current object.
// It completes the change if the nonce is there. It retries the write if the object
// still has the base version or does not exist, or if the read failed.
func (plugin *plugin) handleReadBackResult(token uint64, pending *change, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch result.Status {
	case kernel.PlatformOK:
		decoded, err := decode(result.Object.Body)
		if err == nil && decoded.hasNonce(pending.request.Nonce) {
			return plugin.completeChange(token, pending, result.Object)
		}
		if result.Object.Version == pending.base.Version {
			return plugin.pause(token, pending, at)
		}
		delete(plugin.changes, token)
		return append(mergeObject(result.Object),
			reply(pending.request, kernel.ChangeConflict, recordOf(pending.request.Key, result.Object), "another change was written first")...)
	case kernel.PlatformNotFound:
		return plugin.pause(token, pending, at)
	default:
		pending.unconfirmed = true
		return plugin.pause(token, pending, at)
	}
}

// pause schedules the next attempt, or ends the change as unknown once it has
// been in progress for confirmTimeout.
func (plugin *plugin) pause(token uint64, pending *change, at time.Time) []kernel.Effect {
	if at.Sub(pending.startedAt) >= confirmTimeout {
		delete(plugin.changes, token)
		return reply(pending.request, kernel.ChangeUnknown, kernel.Record{}, "the platform did not confirm the write; read the object before you try again")
	}
	pending.phase = phasePause
	pending.retryAt = at.Add(retryDelay / 4)
	return nil
}

// retryPaused repeats the write of every change whose pause is over.
func (plugin *plugin) retryPaused(at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	for _, token := range slices.Sorted(maps.Keys(plugin.changes)) {
		pending := plugin.changes[token]
		if pending.phase == phasePause && !at.Before(pending.retryAt) {
			effects = append(effects, plugin.write(token, pending, at)...)
		}
	}
	return effects
}

// completeChange merges the written object, which also replicates it to the
// other daemons, and reports success to the operator.
func (plugin *plugin) completeChange(token uint64, pending *change, object kernel.Object) []kernel.Effect {
	delete(plugin.changes, token)
	return append(mergeObject(object),
		reply(pending.request, kernel.ChangeAccepted, recordOf(pending.request.Key, object), "")...)
}

// mergeObject returns the effect that merges a platform object into the
// replicated table.
func mergeObject(object kernel.Object) []kernel.Effect {
	return []kernel.Effect{kernel.MergeRecords{Records: recordsOf([]kernel.Object{object})}}
}

func recordOf(key kernel.Key, object kernel.Object) kernel.Record {
	return kernel.Record{Key: key, Version: object.Version, Body: object.Body}
}

// reply returns the effect that reports the result of a change to the operator.
func reply(request kernel.ChangeRequested, status kernel.ChangeStatus, current kernel.Record, detail string) []kernel.Effect {
	return []kernel.Effect{kernel.ReplyToChange{
		Token:  request.Token,
		Result: kernel.ChangeResult{Status: status, Current: current, Detail: detail},
	}}
}

// DecodeConfig returns the configuration that a replicated record holds.
func DecodeConfig(record kernel.Record) (kernel.Config, error) {
	decoded, err := decode(record.Body)
	if err != nil {
		return kernel.Config{}, Error.Wrap(errors.New("cannot decode the object: " + err.Error()))
	}
	return kernel.Config{
		Key:       record.Key,
		Version:   record.Version,
		Spec:      decoded.Spec,
		Author:    decoded.Author,
		WrittenAt: decoded.Written,
		Retired:   decoded.Retired,
	}, nil
}
