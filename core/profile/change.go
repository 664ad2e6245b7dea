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

// phase is what a change waits for.
type phase uint8

const (
	// phaseBase waits for the object that the operator saw.
	phaseBase phase = iota
	// phaseWrite waits for the conditional write.
	phaseWrite
	// phaseReadBack waits for the object after a write in doubt.
	phaseReadBack
	// phasePause waits for the next attempt.
	phasePause
)

// change is an operator's change on its way.
type change struct {
	asked   kernel.ChangeRequested
	phase   phase
	base    kernel.Object
	since   time.Time
	retryAt time.Time
	// doubtful says that a write was sent whose end is not known.
	doubtful bool
}

// begin checks a change and fetches what it builds on.
func (plugin *plugin) begin(state *kernel.State, at time.Time, asked kernel.ChangeRequested) []kernel.Effect {
	if err := plugin.check(asked); err != nil {
		return reply(asked, kernel.ChangeInvalid, kernel.Record{}, err.Error())
	}
	current, _ := state.Table.Get(asked.Key)
	if current.Version > asked.BaseVersion {
		return reply(asked, kernel.ChangeConflict, current, "the object has changed since you read it")
	}
	if detail := plugin.conflict(asked); detail != "" {
		return reply(asked, kernel.ChangeConflict, current, detail)
	}
	token := plugin.next
	plugin.next++
	pending := &change{asked: asked, since: at}
	plugin.changes[token] = pending
	if asked.BaseVersion == current.Version {
		pending.base = kernel.Object{Name: objectName(asked.Key), Version: current.Version, Body: current.Body}
		return plugin.write(token, pending, at)
	}
	pending.phase = phaseBase
	return []kernel.Effect{plugin.call(token, kernel.ReadObject{Name: objectName(asked.Key)})}
}

// check validates the name and the spec of a change.
func (plugin *plugin) check(asked kernel.ChangeRequested) error {
	if err := CheckName(asked.Key.Name); err != nil {
		return err
	}
	if asked.Retire {
		return nil
	}
	if asked.Key.Kind == kernel.KindProfile {
		_, err := Parse(asked.Spec)
		return err
	}
	service, err := ParseService(asked.Spec)
	if err != nil {
		return err
	}
	chosen, known := plugin.configs[kernel.Key{Kind: kernel.KindProfile, Name: service.Profile}]
	if !known || chosen.Retired {
		return Error.Wrap(&FieldError{Path: "profile", Reason: fmt.Sprintf("there is no profile %q", service.Profile)})
	}
	return nil
}

// conflict says why a profile cannot be retired now, or nothing.
func (plugin *plugin) conflict(asked kernel.ChangeRequested) string {
	if !asked.Retire || asked.Key.Kind != kernel.KindProfile {
		return ""
	}
	var users []string
	for key, config := range plugin.configs {
		if key.Kind != kernel.KindService || config.Retired {
			continue
		}
		service, err := ParseService(config.Spec)
		if err == nil && service.Profile == asked.Key.Name {
			users = append(users, key.Name)
		}
	}
	if len(users) == 0 {
		return ""
	}
	slices.Sort(users)
	return "the profile is still used by " + strings.Join(users, ", ")
}

// write sends the conditional write. The same change always writes the same
// nonce, so that a repeated write is recognised.
func (plugin *plugin) write(token uint64, pending *change, at time.Time) []kernel.Effect {
	pending.phase = phaseWrite
	next := object{Spec: []byte("{}")}
	if pending.base.Version != 0 {
		if decoded, err := decode(pending.base.Body); err == nil {
			next = decoded
		}
	}
	next = next.withWrite(pending.asked.Nonce)
	next.Author = pending.asked.Author
	next.Written = at.UTC()
	next.Retired = pending.asked.Retire
	if !pending.asked.Retire {
		next.Spec = pending.asked.Spec
	}
	return []kernel.Effect{plugin.call(token, kernel.WriteObject{
		Name:        pending.base.Name,
		BaseVersion: pending.base.Version,
		Body:        next.encode(),
	})}
}

// advance takes the platform's answer to a call of a change.
func (plugin *plugin) advance(at time.Time, answered kernel.PlatformCallEnded) []kernel.Effect {
	pending, known := plugin.changes[answered.Token]
	if !known {
		return nil
	}
	switch pending.phase {
	case phaseBase:
		return plugin.gotBase(answered.Token, pending, at, answered.Result)
	case phaseWrite:
		return plugin.gotWrite(answered.Token, pending, at, answered.Result)
	case phaseReadBack:
		return plugin.gotReadBack(answered.Token, pending, at, answered.Result)
	default:
		return nil
	}
}

func (plugin *plugin) gotBase(token uint64, pending *change, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch {
	case result.Status == kernel.PlatformOK && result.Object.Version == pending.asked.BaseVersion:
		pending.base = result.Object
		return append(adoptObject(result.Object), plugin.write(token, pending, at)...)
	case result.Status == kernel.PlatformOK, result.Status == kernel.PlatformNotFound:
		delete(plugin.changes, token)
		current := recordOf(pending.asked.Key, result.Object)
		return append(adoptObject(result.Object),
			reply(pending.asked, kernel.ChangeConflict, current, "the object has changed since you read it")...)
	default:
		delete(plugin.changes, token)
		return reply(pending.asked, kernel.ChangeNotWritten, kernel.Record{}, "the platform cannot be reached; nothing was written")
	}
}

func (plugin *plugin) gotWrite(token uint64, pending *change, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch result.Status {
	case kernel.PlatformOK:
		return plugin.accept(token, pending, result.Object)
	case kernel.PlatformConflict:
		return plugin.readBack(token, pending)
	case kernel.PlatformRefused:
		if !pending.doubtful {
			delete(plugin.changes, token)
			return reply(pending.asked, kernel.ChangeNotWritten, kernel.Record{}, "the platform cannot be reached; nothing was written")
		}
		return plugin.pause(token, pending, at)
	default:
		pending.doubtful = true
		return plugin.readBack(token, pending)
	}
}

func (plugin *plugin) readBack(token uint64, pending *change) []kernel.Effect {
	pending.phase = phaseReadBack
	return []kernel.Effect{plugin.call(token, kernel.ReadObject{Name: pending.base.Name})}
}

// gotReadBack looks for the change's own nonce in the object that stands now.
func (plugin *plugin) gotReadBack(token uint64, pending *change, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	switch result.Status {
	case kernel.PlatformOK:
		decoded, err := decode(result.Object.Body)
		if err == nil && decoded.wroteBy(pending.asked.Nonce) {
			return plugin.accept(token, pending, result.Object)
		}
		if result.Object.Version == pending.base.Version {
			return plugin.pause(token, pending, at)
		}
		delete(plugin.changes, token)
		return append(adoptObject(result.Object),
			reply(pending.asked, kernel.ChangeConflict, recordOf(pending.asked.Key, result.Object), "another change came first")...)
	case kernel.PlatformNotFound:
		return plugin.pause(token, pending, at)
	default:
		pending.doubtful = true
		return plugin.pause(token, pending, at)
	}
}

func (plugin *plugin) pause(token uint64, pending *change, at time.Time) []kernel.Effect {
	if at.Sub(pending.since) >= settleTime {
		delete(plugin.changes, token)
		return reply(pending.asked, kernel.ChangeUnknown, kernel.Record{}, "the platform did not confirm the write; read the object before you try again")
	}
	pending.phase = phasePause
	pending.retryAt = at.Add(retryWait / 4)
	return nil
}

// resume makes the next attempt of the changes whose pause is over.
func (plugin *plugin) resume(at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	for _, token := range slices.Sorted(maps.Keys(plugin.changes)) {
		pending := plugin.changes[token]
		if pending.phase == phasePause && !at.Before(pending.retryAt) {
			effects = append(effects, plugin.write(token, pending, at)...)
		}
	}
	return effects
}

// accept puts the object in force here, floods it, and tells the operator.
func (plugin *plugin) accept(token uint64, pending *change, object kernel.Object) []kernel.Effect {
	delete(plugin.changes, token)
	return append(adoptObject(object),
		reply(pending.asked, kernel.ChangeAccepted, recordOf(pending.asked.Key, object), "")...)
}

func adoptObject(object kernel.Object) []kernel.Effect {
	return []kernel.Effect{kernel.MergeRecords{Records: recordsOf([]kernel.Object{object})}}
}

func recordOf(key kernel.Key, object kernel.Object) kernel.Record {
	return kernel.Record{Key: key, Version: object.Version, Body: object.Body}
}

func reply(asked kernel.ChangeRequested, status kernel.ChangeStatus, current kernel.Record, detail string) []kernel.Effect {
	return []kernel.Effect{kernel.ReplyToChange{
		Token:  asked.Token,
		Result: kernel.ChangeResult{Status: status, Current: current, Detail: detail},
	}}
}

// SpecOf returns the operator's part of a configuration record.
func SpecOf(record kernel.Record) (kernel.Config, error) {
	decoded, err := decode(record.Body)
	if err != nil {
		return kernel.Config{}, Error.Wrap(errors.New("the object is damaged: " + err.Error()))
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
