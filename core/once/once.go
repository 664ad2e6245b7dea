// Package once grants claims of idempotency keys. A request that may not be
// repeated is executed only after its key was claimed, and each key is granted
// to at most one request across all daemons.
//
// Keys are divided into partitions. Each partition has a claim coordinator, a
// daemon that holds the claims of the partition in memory and writes them to the
// platform as segments of a log. The name of a segment is its position in the
// log, and an object is created only if its name is absent. So two coordinators
// can never write the same position: the slower one finds the name taken and
// closes its log. This needs neither clocks nor leases. Many claims share one
// segment.
//
// # Usage
//
// The package registers itself with the kernel. A daemon that needs a claim
// sends ClaimRequested to the kernel of the partition's coordinator, which the
// view names, and waits for the reply with the same token:
//
//	partition := once.PartitionOf(key, len(view.ClaimCoordinators))
//	coordinator := view.ClaimCoordinators[partition][0]
package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/kernel"
)

const pluginName = "once"

// retryDelay is the delay before the log is opened again after a failed listing,
// and before a write with an unknown result is checked again. A call that fails
// sooner than this is repeated once before the waiting requests are refused.
const retryDelay = 250 * time.Millisecond

// takeoverIdleTime is how long a coordinator that has taken over a partition
// keeps it without receiving requests for claims.
const takeoverIdleTime = 5 * time.Second

// closedClaimRetention is how long a claim that was completed or released early is
// remembered outside the log. It exceeds the time that a request for a claim can be
// in transit and the time until a completion is written to the log.
const closedClaimRetention = 10 * time.Second

// completionWait is how long a completion waits for a claim to share a write
// with: a tenth of closedClaimRetention.
const completionWait = time.Second

// deleteInterval is the minimum time between two deletions of old segments.
const deleteInterval = time.Second

// pauseDivisor divides the retention of claims: a coordinator that was paused for
// longer than the resulting time reads its logs again.
const pauseDivisor = 4

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

// PartitionOf returns the partition of a key, from 0 to partitions-1.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

type plugin struct {
	logs         []*partitionLog
	lastDeleteAt time.Time
	lastEventAt  time.Time
}

func (plugin *plugin) Accepts(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) FillView(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	if state.Settings.NoClaims {
		return nil
	}
	effects := plugin.closeAfterPause(state, event.At)
	return append(effects, plugin.handle(state, event)...)
}

// closeAfterPause closes all logs after a pause so long that other daemons may
// have deleted segments which this daemon has not seen.
func (plugin *plugin) closeAfterPause(state *kernel.State, at time.Time) []kernel.Effect {
	paused := !plugin.lastEventAt.IsZero() && at.Sub(plugin.lastEventAt) > state.Settings.ClaimRetention/pauseDivisor
	plugin.lastEventAt = at
	if !paused {
		return nil
	}
	var effects []kernel.Effect
	for _, log := range plugin.logs {
		effects = append(effects, refuse(log.giveUp(), notCoordinator)...)
	}
	return effects
}

func (plugin *plugin) handle(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.start(state.Settings)
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.ClaimRequested:
		return plugin.claimRequested(state, event.At, message)
	case kernel.ClaimClosed:
		return plugin.closeClaim(state, event.At, message)
	case kernel.PlatformCallEnded:
		if message.Owner == pluginName {
			return plugin.platformReplied(state, event.At, message)
		}
	}
	return nil
}

func (plugin *plugin) start(settings kernel.Settings) {
	writer := fmt.Sprintf("%s/%d", settings.Self, settings.Epoch)
	for partition := range settings.ClaimPartitions {
		plugin.logs = append(plugin.logs, &partitionLog{partition: partition, writer: writer})
	}
}

// isCoordinator reports whether this daemon is the first coordinator of a
// partition or, with takeOver, one of its substitutes.
func isCoordinator(state *kernel.State, partition int, takeOver bool) bool {
	if partition >= len(state.ClaimCoordinators) {
		return false
	}
	rank := slices.Index(state.ClaimCoordinators[partition], state.Settings.Self)
	return rank == 0 || rank > 0 && takeOver
}

// claimRequested handles a request for a claim. It opens the log if it is closed.
func (plugin *plugin) claimRequested(state *kernel.State, at time.Time, requested kernel.ClaimRequested) []kernel.Effect {
	if requested.Partition < 0 || requested.Partition >= len(plugin.logs) || !isCoordinator(state, requested.Partition, requested.TakeOver) {
		return replyToClaim(requested.Token, notCoordinator)
	}
	log := plugin.logs[requested.Partition]
	log.lastRequestAt = at
	if _, released := log.releasedEarly[requested.RequestID]; released {
		return replyToClaim(requested.Token, unavailable("the request was released before"))
	}
	var effects []kernel.Effect
	switch log.phase {
	case phaseClosed:
		if at.Before(log.retryAt) {
			return replyToClaim(requested.Token, unavailable("the log was not readable shortly before"))
		}
		effects = append(effects, log.call(at, log.open()))
	case phaseUncertain:
		return replyToClaim(requested.Token, unavailable("it is not known whether the last write took place"))
	}
	if held, taken := log.holders[requested.Key]; taken {
		return append(effects, replyToClaim(requested.Token, heldResult(held, requested.RequestID))...)
	}
	log.waiters = append(log.waiters, waiter{token: requested.Token, key: requested.Key})
	log.pending = append(log.pending, entry{Key: requested.Key, Request: requested.RequestID, Operation: operationClaim})
	if log.phase != phaseList {
		log.holders[requested.Key] = holder{request: requested.RequestID, since: at}
	}
	return append(effects, plugin.flush(state, log, at)...)
}

// heldResult returns the reply to a request whose key is held. If the holder is
// the same request, its durable claim is granted again, since the first reply may
// have been lost.
func heldResult(held holder, request string) kernel.ClaimResult {
	switch {
	case held.request == request && held.releasing:
		return kernel.ClaimResult{Status: kernel.ClaimUnavailable, Holder: request, Reason: "the claim is being released"}
	case held.request == request && held.durable:
		return kernel.ClaimResult{Status: kernel.ClaimGranted, Holder: request}
	case held.request == request:
		return kernel.ClaimResult{Status: kernel.ClaimUnavailable, Holder: request, Reason: "the claim is being written"}
	case held.completed:
		return kernel.ClaimResult{Status: kernel.ClaimAlreadyRun, Holder: held.request}
	default:
		return kernel.ClaimResult{Status: kernel.ClaimOutcomeUnknown, Holder: held.request}
	}
}

// closeClaim records the end of a claimed request. A release is written as soon
// as possible; a completion waits a while to share the write of a claim.
func (plugin *plugin) closeClaim(state *kernel.State, at time.Time, closed kernel.ClaimClosed) []kernel.Effect {
	if closed.Partition < 0 || closed.Partition >= len(plugin.logs) {
		return nil
	}
	log := plugin.logs[closed.Partition]
	if !closed.Released {
		log.rememberCompletion(closed.RequestID, at)
	}
	held, known := log.holders[closed.Key]
	if log.phase == phaseClosed || log.phase == phaseList || !known || held.request != closed.RequestID {
		if closed.Released {
			log.rememberEarlyRelease(closed.RequestID, at)
		}
		return nil
	}
	if !closed.Released {
		log.complete(closed.Key, at)
		return nil
	}
	log.release(closed.Key, closed.RequestID)
	return plugin.flush(state, log, at)
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	for _, log := range plugin.logs {
		log.forgetClosedClaims(at)
		if log.phase == phaseIdle && len(log.pending) == 0 && at.Sub(log.lastRequestAt) >= takeoverIdleTime && !isCoordinator(state, log.partition, false) {
			effects = append(effects, refuse(log.giveUp(), notCoordinator)...)
			continue
		}
		if log.phase == phaseUncertain && !log.retryAt.IsZero() && !at.Before(log.retryAt) {
			log.retryAt = time.Time{}
			effects = append(effects, log.call(at, log.readSent()))
		}
		effects = append(effects, plugin.flush(state, log, at)...)
		effects = append(effects, plugin.deleteExpired(state, log, at)...)
	}
	return effects
}

// shouldWrite reports whether the pending entries need a write now. Completions
// alone wait for completionWait.
func (log *partitionLog) shouldWrite(at time.Time) bool {
	if !log.completionSince.IsZero() && at.Sub(log.completionSince) >= completionWait {
		return true
	}
	for _, entry := range log.pending {
		if entry.Operation != operationComplete {
			return true
		}
	}
	return false
}

// deleteExpired deletes the oldest segment if its claims are past their retention.
func (plugin *plugin) deleteExpired(state *kernel.State, log *partitionLog, at time.Time) []kernel.Effect {
	if log.phase != phaseIdle || at.Sub(plugin.lastDeleteAt) < deleteInterval {
		return nil
	}
	oldest, expired := log.popExpired(at, state.Settings.ClaimRetention)
	if !expired {
		return nil
	}
	plugin.lastDeleteAt = at
	return []kernel.Effect{kernel.CallPlatform{
		Owner: pluginName,
		Token: deleteToken,
		Call:  kernel.DeleteObject{Name: oldest.Name},
	}}
}

// deleteToken is the token of platform calls whose reply is ignored.
const deleteToken = 1 << 32

func (plugin *plugin) platformReplied(state *kernel.State, at time.Time, reply kernel.PlatformCallEnded) []kernel.Effect {
	if reply.Token >= uint64(len(plugin.logs)) {
		return nil
	}
	log := plugin.logs[reply.Token]
	if repeated, repeat := log.repeatFailed(at, reply.Result.Status); repeat {
		return []kernel.Effect{repeated}
	}
	switch log.phase {
	case phaseList:
		return plugin.segmentsListed(state, log, at, reply.Result)
	case phaseFence, phaseWrite:
		return plugin.segmentCreated(state, log, at, reply.Result)
	case phaseUncertain:
		return plugin.resolveWrite(state, log, at, reply.Result)
	default:
		return nil
	}
}

// segmentsListed replays the log and writes the fence. The fence contains the
// claims that were requested meanwhile and whose keys are free.
func (plugin *plugin) segmentsListed(_ *kernel.State, log *partitionLog, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	if result.Status != kernel.PlatformOK {
		refused := log.giveUp()
		log.retryAt = at.Add(retryDelay)
		return refuse(refused, unavailable("reading the log: "+result.Status.String()))
	}
	if result.Invalid > 0 {
		// The object may be a segment with claims.
		refused := log.giveUp()
		log.retryAt = at.Add(retryDelay)
		return refuse(refused, unavailable("the log holds an object that cannot be read"))
	}
	log.replay(result.Objects)
	effects := log.replyToHeldKeys(at)
	return append(effects, log.call(at, log.createSegment(at, phaseFence)))
}

// replyToHeldKeys replies to the waiting requests whose keys are held according
// to the log. The remembered completions are applied first.
func (log *partitionLog) replyToHeldKeys(at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	waiters := log.waiters
	pending := log.pending
	log.waiters = nil
	log.pending = nil
	log.completeRemembered(at)
	for index, waiting := range waiters {
		claim := pending[index]
		if held, taken := log.holders[waiting.key]; taken {
			effects = append(effects, replyToClaim(waiting.token, heldResult(held, claim.Request))...)
			continue
		}
		log.holders[waiting.key] = holder{request: claim.Request, since: at}
		log.waiters = append(log.waiters, waiting)
		log.pending = append(log.pending, claim)
	}
	return effects
}

func refuse(waiters []waiter, result kernel.ClaimResult) []kernel.Effect {
	var effects []kernel.Effect
	for _, refused := range waiters {
		effects = append(effects, replyToClaim(refused.token, result)...)
	}
	return effects
}

func unavailable(reason string) kernel.ClaimResult {
	return kernel.ClaimResult{Status: kernel.ClaimUnavailable, Reason: reason}
}

// notCoordinator is the reply to requests whose partition this daemon does not
// coordinate or has lost.
var notCoordinator = kernel.ClaimResult{Status: kernel.ClaimNotCoordinator}

func replyToClaim(token uint64, result kernel.ClaimResult) []kernel.Effect {
	return []kernel.Effect{kernel.ReplyToClaim{Token: token, Result: result}}
}
