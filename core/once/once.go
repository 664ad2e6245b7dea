// Package once gives out the right to run a request that may not be repeated:
// each idempotency key is claimed at most once, over all daemons.
//
// Keys fall into partitions. A partition has a clerk, a daemon that holds its
// claims in memory and writes them to the platform as segments of a log. The
// name of a segment is its place in the log and is created only if absent, so
// two clerks can never write the same place: the slower one finds it taken and
// gives up. No clock and no lease is needed for that. Many claims share one
// segment.
//
// # Usage
//
// The package registers itself with the kernel. A daemon that needs a claim
// sends ClaimAsked to the kernel of the partition's clerk, as the view names
// it, and waits for the AnswerClaim effect:
//
//	partition := once.PartitionOf(key, len(view.Clerks))
//	clerk := view.Clerks[partition][0]
package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/kernel"
)

const pluginName = "once"

// retryWait is the time before a write in doubt is looked into again.
const retryWait = 250 * time.Millisecond

// keepTime is how long a clerk that has taken over keeps a partition without
// being asked.
const keepTime = 5 * time.Second

// noteTime is how long the end of a request is noted besides the log. A claim
// is on its way for less than that, and a settlement is written sooner.
const noteTime = 10 * time.Second

// settleWait is how long a settlement waits for a claim to share its write
// with: a tenth of noteTime.
const settleWait = time.Second

// deleteInterval is the least time between two removals of old segments.
const deleteInterval = time.Second

// pauseFraction is the part of the retention after which a paused clerk reads
// its logs again.
const pauseFraction = 4

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

// PartitionOf is the partition of a key, from 0 to partitions-1.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

type plugin struct {
	logs      []*partitionLog
	deletedAt time.Time
	seenAt    time.Time
}

func (plugin *plugin) Admits(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) Contribute(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	if state.Settings.NoClaims {
		return nil
	}
	effects := plugin.distrust(state, event.At)
	return append(effects, plugin.handle(state, event)...)
}

// distrust gives up all logs after a pause so long that others may have
// removed segments which this daemon has not seen.
func (plugin *plugin) distrust(state *kernel.State, at time.Time) []kernel.Effect {
	paused := !plugin.seenAt.IsZero() && at.Sub(plugin.seenAt) > state.Settings.ClaimRetention/pauseFraction
	plugin.seenAt = at
	if !paused {
		return nil
	}
	var effects []kernel.Effect
	for _, log := range plugin.logs {
		effects = append(effects, refuse(log.close(), kernel.ClaimElsewhere)...)
	}
	return effects
}

func (plugin *plugin) handle(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.start(state.Settings)
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.ClaimAsked:
		return plugin.ask(state, event.At, message)
	case kernel.ClaimClosed:
		return plugin.closeClaim(state, event.At, message)
	case kernel.PlatformAnswered:
		if message.Owner == pluginName {
			return plugin.answered(state, event.At, message)
		}
	}
	return nil
}

func (plugin *plugin) start(settings kernel.Settings) {
	writer := fmt.Sprintf("%s/%d", settings.Self, settings.Epoch)
	for partition := range settings.Partitions {
		plugin.logs = append(plugin.logs, &partitionLog{partition: partition, writer: writer})
	}
}

// isClerk says whether this daemon is the first clerk of a partition or, if it
// is asked to take over, one of the others.
func isClerk(state *kernel.State, partition int, takeOver bool) bool {
	if partition >= len(state.Clerks) {
		return false
	}
	turn := slices.Index(state.Clerks[partition], state.Settings.Self)
	return turn == 0 || turn > 0 && takeOver
}

// ask takes a request for a claim, opening the log first if need be.
func (plugin *plugin) ask(state *kernel.State, at time.Time, asked kernel.ClaimAsked) []kernel.Effect {
	if asked.Partition < 0 || asked.Partition >= len(plugin.logs) || !isClerk(state, asked.Partition, asked.TakeOver) {
		return answer(asked.Token, kernel.ClaimResult{Status: kernel.ClaimElsewhere})
	}
	log := plugin.logs[asked.Partition]
	log.askedAt = at
	if _, abandoned := log.abandoned[asked.Request]; abandoned {
		return answer(asked.Token, kernel.ClaimResult{Status: kernel.ClaimUnavailable})
	}
	var effects []kernel.Effect
	switch log.phase {
	case phaseClosed:
		if at.Before(log.retryAt) {
			return answer(asked.Token, kernel.ClaimResult{Status: kernel.ClaimUnavailable})
		}
		effects = append(effects, call(log, log.open()))
	case phaseDoubt:
		return answer(asked.Token, kernel.ClaimResult{Status: kernel.ClaimUnavailable})
	}
	if held, taken := log.holders[asked.Key]; taken {
		return append(effects, answer(asked.Token, heldResult(held, asked.Request))...)
	}
	log.asks = append(log.asks, ask{token: asked.Token, key: asked.Key})
	log.pending = append(log.pending, entry{Key: asked.Key, Request: asked.Request, Operation: operationClaim})
	if log.phase != phaseList {
		log.holders[asked.Key] = holder{request: asked.Request, since: at}
	}
	return append(effects, plugin.flush(state, log, at)...)
}

// heldResult tells a request what is known of the one that has its key. The
// same request asking again is granted again: it never got the first answer.
func heldResult(held holder, request string) kernel.ClaimResult {
	switch {
	case held.request == request && held.releasing:
		return kernel.ClaimResult{Status: kernel.ClaimUnavailable, Holder: request}
	case held.request == request && held.durable:
		return kernel.ClaimResult{Status: kernel.ClaimGranted, Holder: request}
	case held.request == request:
		return kernel.ClaimResult{Status: kernel.ClaimUnavailable, Holder: request}
	case held.run:
		return kernel.ClaimResult{Status: kernel.ClaimRun, Holder: held.request}
	default:
		return kernel.ClaimResult{Status: kernel.ClaimUnknown, Holder: held.request}
	}
}

// closeClaim records the end of a claimed request. A release is written at
// once; a settlement goes along with the next write, if one comes soon.
func (plugin *plugin) closeClaim(state *kernel.State, at time.Time, closed kernel.ClaimClosed) []kernel.Effect {
	if closed.Partition < 0 || closed.Partition >= len(plugin.logs) {
		return nil
	}
	log := plugin.logs[closed.Partition]
	if !closed.Released {
		log.end(closed.Request, at)
	}
	held, known := log.holders[closed.Key]
	if log.phase == phaseClosed || log.phase == phaseList || !known || held.request != closed.Request {
		if closed.Released {
			log.abandon(closed.Request, at)
		}
		return nil
	}
	if !closed.Released {
		log.settle(closed.Key, at)
		return nil
	}
	log.release(closed.Key, closed.Request)
	return plugin.flush(state, log, at)
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	for _, log := range plugin.logs {
		log.forgetNotes(at)
		if log.phase == phaseIdle && len(log.pending) == 0 && at.Sub(log.askedAt) >= keepTime && !isClerk(state, log.partition, false) {
			effects = append(effects, refuse(log.close(), kernel.ClaimElsewhere)...)
			continue
		}
		if log.phase == phaseDoubt && !log.retryAt.IsZero() && !at.Before(log.retryAt) {
			log.retryAt = time.Time{}
			effects = append(effects, call(log, log.readBack()))
		}
		effects = append(effects, plugin.flush(state, log, at)...)
		effects = append(effects, plugin.clean(state, log, at)...)
	}
	return effects
}

// worthWriting says whether the pending entries deserve a write now.
func (log *partitionLog) worthWriting(at time.Time) bool {
	if !log.settleFrom.IsZero() && at.Sub(log.settleFrom) >= settleWait {
		return true
	}
	for _, entry := range log.pending {
		if entry.Operation != operationSettle {
			return true
		}
	}
	return false
}

// clean removes a segment whose claims are all past their retention.
func (plugin *plugin) clean(state *kernel.State, log *partitionLog, at time.Time) []kernel.Effect {
	if log.phase != phaseIdle || at.Sub(plugin.deletedAt) < deleteInterval {
		return nil
	}
	oldest, expired := log.expired(at, state.Settings.ClaimRetention)
	if !expired {
		return nil
	}
	plugin.deletedAt = at
	return []kernel.Effect{kernel.CallPlatform{
		Owner: pluginName,
		Token: deleteToken,
		Call:  kernel.DeleteObject{Name: oldest.Name},
	}}
}

// deleteToken marks calls whose end changes nothing.
const deleteToken = 1 << 32

func call(log *partitionLog, call kernel.PlatformCall) kernel.Effect {
	return kernel.CallPlatform{Owner: pluginName, Token: uint64(log.partition), Call: call}
}

func (plugin *plugin) answered(state *kernel.State, at time.Time, answered kernel.PlatformAnswered) []kernel.Effect {
	if answered.Token >= uint64(len(plugin.logs)) {
		return nil
	}
	log := plugin.logs[answered.Token]
	switch log.phase {
	case phaseList:
		return plugin.listed(state, log, at, answered.Result)
	case phaseFence, phaseWrite:
		return plugin.created(state, log, at, answered.Result)
	case phaseDoubt:
		return plugin.readBack(state, log, at, answered.Result)
	default:
		return nil
	}
}

// listed replays the log and writes the fence, with the claims that came in
// meanwhile and are free.
func (plugin *plugin) listed(_ *kernel.State, log *partitionLog, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status != kernel.PlatformOK {
		refused := log.close()
		log.retryAt = at.Add(retryWait)
		return refuse(refused, kernel.ClaimUnavailable)
	}
	log.replay(result.Objects)
	effects := log.dropTaken(at)
	return append(effects, call(log, log.create(at, phaseFence)))
}

// dropTaken answers the waiting requests whose keys the log already holds, with
// what the ends that were noted tell of them.
func (log *partitionLog) dropTaken(at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	asks := log.asks
	pending := log.pending
	log.asks = nil
	log.pending = nil
	log.settleEnded(at)
	for index, waiting := range asks {
		wanted := pending[index]
		if held, taken := log.holders[waiting.key]; taken {
			effects = append(effects, answer(waiting.token, heldResult(held, wanted.Request))...)
			continue
		}
		log.holders[waiting.key] = holder{request: wanted.Request, since: at}
		log.asks = append(log.asks, waiting)
		log.pending = append(log.pending, wanted)
	}
	return effects
}

func refuse(asks []ask, status kernel.ClaimStatus) []kernel.Effect {
	var effects []kernel.Effect
	for _, refused := range asks {
		effects = append(effects, answer(refused.token, kernel.ClaimResult{Status: status})...)
	}
	return effects
}

func answer(token uint64, result kernel.ClaimResult) []kernel.Effect {
	return []kernel.Effect{kernel.AnswerClaim{Token: token, Result: result}}
}
