#!/usr/bin/env bash
# Shows that the checks fail when a promise is broken: breaks one line of a copy
# of the tree at a time, and runs the tests that should notice.
# Usage: tools/mutants.sh   (prints a line a mutant, exits 1 if one lives)
set -u
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
living=0

mutant() { # name, file, old text, new text, packages
  local name=$1 file=$2 old=$3 new=$4
  shift 4
  rm -rf "$copy/tree" && mkdir "$copy/tree"
  git ls-files -co --exclude-standard -z | tar --null -cf - -T - | tar xf - -C "$copy/tree"
  if ! OLD=$old NEW=$new python3 -c '
import os, sys
path = sys.argv[1]
text = open(path).read()
if os.environ["OLD"] not in text: sys.exit(1)
open(path, "w").write(text.replace(os.environ["OLD"], os.environ["NEW"], 1))' "$copy/tree/$file"; then
    echo "$name: the line is not there any more"
    living=1
    return
  fi
  local caught
  caught=$(cd "$copy/tree" && timeout 90 go test -vet=off -count=1 -timeout 80s "$@" 2>&1 | grep -E '^ *--- FAIL|^fatal error|build failed' | grep -v '^--- FAIL.*/' | head -2 | tr -s ' ' | tr '\n' ' ')
  case "$caught" in
    "") echo "$name: NOT CAUGHT"; living=1 ;;
    *"build failed"*) echo "$name: does not build"; living=1 ;;
    *) echo "$name: caught by $caught" ;;
  esac
}

mutant "a lost request is sent again" core/call/end.go \
  'if call.uncertain && !call.Repeatable || call.crashes' 'if call.crashes' ./core/call ./standin/matrix
mutant "notRun is reported without proof" core/call/end.go \
  'if call.mayHaveRun() {' 'if false {' ./core/call ./standin/matrix
mutant "a keyed request runs without a claim" core/call/machine.go \
  'case call.Keyed && !call.claimed:' 'case false:' ./core/call ./standin/matrix
mutant "the claim of a request that may have run is released" core/call/end.go \
  'if call.claimed && outcome == OutcomeNotRun {' 'if call.claimed {' ./core/call ./standin/matrix
mutant "retries have no budget" core/call/budget.go \
  'if budget.available < 1 {' 'if false {' ./core/call
mutant "a reservation never ends" core/admit/admit.go \
  'case committed.At.Sub(reserved.started) >= ReservationTimeout:' 'case false:' ./core/admit
mutant "a draining gate admits" core/admit/admit.go \
  'case gate.draining:' 'case false:' ./core/admit
mutant "a cancelled reservation keeps its slot" core/admit/admit.go \
  'if request.stage == stageReserved {' 'if false {' ./core/admit
mutant "a new claim coordinator does not read the log" core/once/once.go \
  'log.replay(result.Objects)' '' ./core/once ./standin/matrix
mutant "a claim coordinator mistakes another's segment for its own" core/once/log.go \
  'return err == nil && decoded.Writer == log.writer && decoded.Nonce == log.sent.Nonce' 'return err == nil && decoded.Writer != ""' ./core/once
mutant "a refused request is granted later" core/once/once.go \
  'case held.request == request && held.releasing:' 'case false:' ./core/once
mutant "a write whose reply was lost is not recognized" core/profile/change.go \
  'decoded.hasNonce(pending.request.Nonce)' 'len(decoded.RecentNonces) < 0' ./core/profile
mutant "a change is reported as accepted without proof" core/profile/change.go \
  'pending.unconfirmed = true
		return plugin.readBack(token, pending)' \
  'return plugin.completeChange(token, pending, kernel.Object{Name: pending.base.Name, Version: pending.base.Version + 1000})' ./core/profile ./standin/matrix
mutant "an older version replaces a newer one" core/kernel/table.go \
  'return !known || old.Version < record.Version' 'return !known || old.Version != record.Version' ./core/kernel
mutant "losses are not repaired" core/spread/spread.go \
  'if envelope.TableDigest != reply.TableDigest {' 'if false {' ./core/profile ./core/member
mutant "an isolated daemon suspects others" core/member/member.go \
  'return len(state.Neighbours) > 1 && at.Sub(plugin.lastContact) > contactTimeout' 'return false' ./core/member
mutant "a daemon does not refute a suspicion against it" core/member/member.go \
  'plugin.counter = counterOf(version)
	return plugin.publishSelf()' 'return nil' ./core/member
mutant "dead daemons are never contacted again" core/spread/spread.go \
  'append(candidates, state.DeadPeers...)' 'candidates' ./core/member
mutant "a restarted daemon probes without waiting" core/measure/measure.go \
  'plugin.lastProbe = event.At' '' ./core/measure
mutant "the share is one probe too large" core/measure/measure.go \
  'time.Duration(share-1)' 'time.Duration(share)' ./core/measure
mutant "a suspect fingerprint never expires" core/crash/crash.go \
  'if !at.Before(time.UnixMilli(stored.Expires)) {' 'if stored.Expires < 0 {' ./core/crash
mutant "a claim coordinator forgets the completions reported to it" core/once/once.go \
  'log.rememberCompletion(closed.RequestID, at)' '' ./core/once
mutant "a failed call of a claim log is not repeated" core/once/call.go \
  'at.Sub(log.lastCallAt) >= retryDelay' 'at.Sub(log.lastCallAt) >= 0' ./core/once
mutant "a failed call of a claim log is repeated for ever" core/once/call.go \
  'log.lastCallRepeated = true' 'log.lastCallRepeated = false' ./core/once
mutant "a daemon that joins has no claim coordinators" core/member/member.go \
  'if plugin.membersChanged && plugin.lacksCoordinators() {' 'if false {' ./core/member
mutant "completions are written only with the next claim" core/once/once.go \
  'at.Sub(log.completionSince) >= completionWait' 'false' ./core/once
mutant "coordinators that lost a partition are not asked again" daemon/claims.go \
  'if !lost || ctx.Err() != nil {' 'if true {' ./daemon
mutant "a stop does not wait for the end of claims" daemon/claims.go \
  'claims.notices.Wait()' '' ./daemon
mutant "one coordinator delays the notice to the others" daemon/claims.go \
  'claims.notices.Go(func() { claims.notifyClosed(coordinator, closed) })' 'claims.notices.Wait(); claims.notices.Go(func() { claims.notifyClosed(coordinator, closed) })' ./daemon
mutant "gates never request the slowness of their upstream" core/admit/measure.go \
  'if gate.MaxSlownessAge <= 0' 'if true' ./core/admit ./standin/play
mutant "the socket of a reporter may stay open after its end" io/peer/report.go \
  'defer func() { stop(); _ = reporter.socket.Close() }()' 'defer stop()' ./io/peer
mutant "the loss of value does not count the price of the bytes" core/route/crossing.go \
  'lateLoss*late + priceFraction(request, candidate)' 'lateLoss*late' ./core/route
mutant "the loss of value decides also without workspaces" core/profile/profile.go \
  'crossing == CrossingAuto && hasWorkspaces' 'crossing == CrossingAuto' ./core/profile -run TestCrossing
mutant "load reports have no rate limit" io/peer/report.go \
  'if !reporter.byteLimiter.AllowN(at, len(datagram)+datagramOverhead) {' 'if false {' ./io/peer
mutant "a request is sent to the same target twice" core/pick/pick.go \
  'picker.tried[target] = true' '' ./core/pick
mutant "a refused request is retried although no target can meet its objective" core/pick/pick.go \
  'if picker.refusals > 0 &&' 'if false &&' ./core/pick
mutant "an old report of slowness counts like a new one" core/admit/estimator.go \
  'freshness := max(0, 1-float64(at.Sub(estimator.slownessReportedAt))/float64(slownessLifetime))' 'freshness := 1.0' ./core/admit
mutant "the news of one target are offered first" core/spread/spread.go \
  'if size <= maxFloodedSize {' 'if false {' ./core/spread
mutant "a daemon that starts compares its table once a second only" core/spread/spread.go \
  'if at.Sub(plugin.startedAt) < joinPeriod {' 'if false {' ./core/spread
mutant "the upstream beside a stopping daemon is away at once" daemon/daemon.go \
  'time.Sleep(settings.LingerTime - notice)' '' ./daemon
mutant "a connection is reused while its last frame is being sent" io/peer/forward_conn.go \
  '|| !ingressConnStream.sending.TryLock() {' '|| ingressConnStream.sending.TryLock() && false {' ./io/peer
mutant "a forwarded upload may not wait for its upstream" io/peer/forward_conn.go \
  'ingressConnStream.conn.Conn, bodyStallTimeout)' 'ingressConnStream.conn.Conn, tcp.StallTimeout)' ./daemon
mutant "a new connection is closed by a planned stop before its request" io/http1/conn.go \
  'conn.waitUntil = conn.openedAt.Add(firstRequestTime)' 'conn.waitUntil = time.Now()' ./io/http1
mutant "a repeated shutdown drops a request that has arrived" io/http1/conn.go \
  'conn.beginReading()' '_ = conn.SetReadDeadline(time.Now().Add(time.Second))' ./io/http1
mutant "a planned stop resets a response whose end it has not announced" io/http1/conn.go \
  'conn.waitUntil = conn.respondedAt.Add(lingerTimeout)' 'conn.waitUntil = time.Now()' ./io/http1
mutant "a closed server serves the connection that is being accepted" io/http1/server.go \
  'if server.cut {' 'if false {' ./io/http1
mutant "a planned stop closes a connection on which a request has arrived" io/http1/conn.go \
  'if !tcp.IsQuiet(conn.Conn) {' 'if !tcp.IsQuiet(conn.Conn) && false {' ./io/http1
mutant "a planned stop does not wait until the last response has been received" io/http1/server.go \
  'for len(server.openConns()) > 0 {' 'for false {' ./io/http1
mutant "a connection that waits to be accepted is reset by a planned stop" io/http1/server.go \
  'waiting := tcp.HasWaiting(listener)' 'waiting := tcp.HasWaiting(listener) && false' ./io/http1
mutant "the reply to flooded records counts as a comparison" core/spread/spread.go \
  'if envelope.TableDigest == 0 {' 'if false {' ./core/spread
mutant "a stopped watch of a connection begins" io/peer/forward_server.go \
  'if gateConnStream.watch != watch {' 'if gateConnStream.watch == nil {' ./io/peer
mutant "a gate reads the next request while a body is received" io/peer/forward_server.go \
  'if !gateConnStream.receiving.TryLock() {' 'if gateConnStream.receiving.TryLock() && false {' ./io/peer
mutant "a stopping gate cuts a request that it has not read" io/peer/forward_server.go \
  'if gateConn.mustRefuse() {' 'if gateConn.mustRefuse() && false {' ./io/peer
mutant "a stopping gate runs a request whose commit was read late" io/peer/gate_conn.go \
  'if gateConn.dismissed {' 'if gateConn.dismissed && false {' ./io/peer
mutant "a connection accepted late by a stopping gate is not dismissed" io/peer/gate_conn.go \
  'if !gateConns.dismissedAt.IsZero() {' 'if false {' ./io/peer
mutant "a stopping gate closes its connections at once" io/peer/forward_server.go \
  'time.Sleep(time.Until(server.gateConns.dismiss()))' '' ./io/peer
mutant "a gate closes a connection on which a body still arrives" io/peer/forward_server.go \
  'stream.discardBody()' '' ./io/peer
mutant "the gate of a stopping daemon opens again" io/upstream/gate.go \
  'if gate.closed || ' 'if ' ./io/upstream
mutant "a stopping claim coordinator cuts the claims in progress" io/peer/peers.go \
  'server.GracefulStop()' 'server.Stop()' ./io/peer
mutant "a connection to a draining gate is reused" io/peer/forward_conn.go \
  'last.GetRefused().GetReason() == string(admit.ReasonDraining)' 'last.GetRefused().GetReason() == string(admit.ReasonDraining) && false' ./io/peer
mutant "a stopping daemon takes callers until its gate has drained" daemon/daemon.go \
  'drained := daemon.gate.Close()' 'drained := daemon.gate.Close(); <-drained' ./daemon
mutant "requests in progress are cut when the drain timeout has passed" daemon/daemon.go \
  'daemon.ingress.EndRequestsAt(endAt)' '' ./daemon
mutant "a draining server reads on while a request is in progress" io/http1/conn.go \
  'if conn.server.draining.Load() {
		<-conn.lastDone' 'if conn.server.draining.Load() && false {
		<-conn.lastDone' ./io/http1
mutant "the queue ignores ranks" core/admit/queue.go \
  'cmp.Compare(one.arrived.effectiveRank(), other.arrived.effectiveRank()),' '' ./core/admit ./standin/play
mutant "requests that miss their objective go first in the queue" core/admit/queue.go \
  'compareBool(one.missesObjective, other.missesObjective)' 'compareBool(other.missesObjective, one.missesObjective)' ./core/admit ./standin/play
mutant "a connection with a late response is reused" io/upstream/connection.go \
  'if tcp.IsQuiet(idle.Conn) {' 'if tcp.IsQuiet(idle.Conn) || true {' ./io/upstream
mutant "the response to another request is relayed" io/upstream/client.go \
  'return response, client.checkRequestID(request, response)' 'return response, nil' ./io/upstream
mutant "an era of the platform is ignored" core/rollout/rollout.go \
  'era, before := ended.Result.Era' 'era, before := uint64(0)' ./core/rollout
mutant "the era is compared after the number" core/rollout/version.go \
  'return version.era<<routes.VersionBits | version.number' 'return version.number<<12 | version.era' ./core/rollout
mutant "a watch goes on over an era" core/rollout/rollout.go \
  'return before == 0 || ended.Token < firstWatchToken' 'return true' ./core/rollout
mutant "a table of the copy counts as written" core/rollout/version.go \
  'return version{era: known.era, number: number}, number > known.number' 'return version{era: eraTracker.era, number: number}, true' ./core/rollout
mutant "a watch starts from an old revision" core/rollout/rollout.go \
  'if at.Sub(plugin.revisionAt) > maxRevisionAge {' 'if false {' ./core/rollout ./standin/fleet
mutant "a watcher without the platform is not replaced" core/member/watchers.go \
  'if !candidate.PlatformLost {' 'if true {' ./core/member -run Watcher
mutant "a watcher reports late that it does not reach the store" core/member/member.go \
  'platformLossTime      = time.Second' 'platformLossTime      = 2500 * time.Millisecond' ./standin/fleet -run TestKeysAreInForceInTime
mutant "a target's refusals do not count against it" core/route/tracker.go \
  'tracker.statsFor(id).raiseFailureRate(at)' '_ = id' ./core/route
mutant "a lost answer ends a request although a target is left" core/pick/pick.go \
  'picker.lost[target] = true' 'picker.lost[target] = false' ./core/pick
mutant "the head of a response has no limit" io/upstream/head.go \
  'headReader.remaining -= count' '' ./io/upstream
mutant "interim and stray responses have no limit" io/upstream/client.go \
  'if extra > maxExtraResponses {' 'if false {' ./io/upstream
mutant "the write deadline is not renewed" io/http1/response.go \
  'func (response *response) send(part []byte) (int, error) {
	response.renewWriteDeadline()' 'func (response *response) send(part []byte) (int, error) {' ./io/http1
mutant "an idle connection of any age serves a request that may not be repeated" io/upstream/connection.go \
  'func(idle *connection) bool { return idle.isReusable(maxIdle) }' 'func(*connection) bool { return true }' ./io/upstream
mutant "the reply to a change comes before the view" core/kernel/kernel.go \
  'effects = append([]Effect{Publish{View: kernel.View()}}, effects...)' 'effects = append(effects, Publish{View: kernel.View()})' ./core/profile
mutant "large records are flooded" core/spread/spread.go \
  'len(record.Body) > maxUnofferedSize' 'false' ./core/spread
mutant "an offered record is requested from every neighbour" core/spread/spread.go \
  'if isPending || !state.Table.IsNewer' 'if isPending && false || !state.Table.IsNewer' ./core/spread
mutant "route tables are not compressed" core/rollout/compress.go \
  'if len(table) < minCompressedSize {' 'if true {' ./core/rollout
mutant "long messages are not compressed" io/peer/compress.go \
  'if proto.Size(message) < minCompressedSize {' 'if true {' ./io/peer
mutant "bytes have no price" core/route/crossing.go \
  'return priceFraction(request, candidate) * worthSeconds(request)' 'return 0' ./core/route ./core/pick
mutant "the price of bytes has no limit" core/route/crossing.go \
  'min(1, request.Bytes*candidate.BytePrice)' '(request.Bytes * candidate.BytePrice)' ./core/route
mutant "the price of bytes does not depend on the objective" core/route/crossing.go \
  'if request.Objective == 0 {' 'if true {' ./core/route
mutant "the expected time does not count" core/route/crossing.go \
  'return expectedSeconds(request, candidate) + priceSeconds(request, candidate)' 'return priceSeconds(request, candidate)' ./core/route
mutant "a far target that never reported is preferred" core/route/leasttime.go \
  'case !candidate.HasReport && isNear:' 'case !candidate.HasReport && (isNear || true):' ./core/route
mutant "the own data centre is not preferred" core/pick/subset.go \
  'case member.DataCentre != self.DataCentre:' 'case true:' ./core/pick
mutant "a gate decides without the current slowness" core/admit/measure.go \
  'if gate.MaxSlownessAge <= 0 || gate.slowness <= 0 || arrived.MaxDelay <= 0 {' 'if true {' ./core/admit
mutant "a request waits for the slowness without end" core/admit/measure.go \
  'case !reported && at.Sub(request.started) < measurementTimeout:' 'case !reported:' ./core/admit
mutant "an invalid object hides the others" platform/store.go \
  'invalid = append(invalid, err)
			continue' 'return kernel.PlatformResult{}, "", err' ./platform
mutant "an invalid object is logged at each read" io/platform/platform.go \
  'if last := client.lastInvalid.Swap(&text); last == nil || *last != text {' 'client.lastInvalid.Store(&text)
	{' ./io/platform
mutant "a daemon that is not a watcher never asks again after a failure" core/rollout/rollout.go \
  'return plugin.recheck(state, at)' 'return nil' ./core/rollout
mutant "a status that no request asks for is an interim response" io/upstream/client.go \
  'if !isResponseStatus(response.StatusCode) {' 'if false {' ./io/upstream
mutant "a connection is reused after a part of a probe's response" io/upstream/client.go \
  'if count < maxProbeBytes {' 'if count <= maxProbeBytes {' ./io/upstream
mutant "an interim response of another request is relayed" io/upstream/client.go \
  ' && !client.namesAnother(request, response) {' ' {' ./io/upstream
mutant "a connection is reused before the request's body was written" io/upstream/client.go \
  ' || !response.bodySent()' '' ./io/upstream
mutant "a connection that the upstream closes is reused" io/upstream/client.go \
  '!response.stop() || response.Close ||' '!response.stop() ||' ./io/upstream
mutant "a connection is reused at once" io/upstream/connection.go \
  'const minIdleTime = 50 * time.Millisecond' 'const minIdleTime = 0 * time.Millisecond' ./io/upstream
mutant "idle time begins when the response has been read" io/upstream/connection.go \
  '.Add(-tcp.SinceReceived(connection.Conn))' '' ./io/upstream
mutant "a connection between daemons with a late frame is reused" io/peer/forward_conn.go \
  'if tcp.IsQuiet(idle.Conn) {' 'if tcp.IsQuiet(idle.Conn) || true {' ./io/peer
mutant "a response is complete although its gate has gone" io/caller/response.go \
  'attempt.recordFailure(exchange)
			return false
		}
		switch' 'attempt.recordFailure(exchange)
			return true
		}
		switch' ./io/caller
mutant "a part of a short response is relayed" io/peer/run.go \
  'if err != nil {
		response.Abort()
		return true, server.sendLoss(stream, server.checkCrash())
	}
	response.Finish()' 'response.Finish()' ./daemon
mutant "an upstream's status is taken for a promise" io/caller/attempt.go \
  'promises != nil && promises(' 'promises != nil && false && promises(' ./daemon
mutant "a target that is leaving gets slots before its gate drains" daemon/upstream.go \
  'case announcement.Draining:
		daemon.gate.Drain()' 'case announcement.Draining:' ./daemon
mutant "a target that is leaving is published as serving" io/upstream/announce.go \
  'if announcement.Draining {
		state' 'if false {
		state' ./daemon
mutant "a commit after the deadline runs" core/admit/admit.go \
  'case !committed.At.Before(reserved.arrived.Deadline):' 'case false:' ./core/admit
mutant "a claim coordinator keeps its logs over a long pause" core/once/once.go \
  'if !paused {' 'if !paused || true {' ./core/once
mutant "a gate ignores the rate limit of its upstream" core/admit/ratelimit.go \
  'if !rateLimiter.limit.InForce {
		return 0' 'if true {
		return 0' ./core/admit
mutant "a rate limit ends with a late response" core/admit/ratelimit.go \
  'case reported.HandedOverAt.After(rateLimiter.namedAt):' 'default:' ./core/admit
mutant "a hint goes before what the upstream has said" core/admit/ratelimit.go \
  'if rateLimiter.heard || known' 'if known' ./core/admit
mutant "a rate limit passes to the next upstream" core/admit/ratelimit.go \
  'hinted.Limit.StartedAt != rateLimiter.startedAt' 'false' ./core/admit
mutant "a restarted gate begins with a full bucket" core/admit/ratelimit.go \
  'rateLimiter.tokens = 0' 'rateLimiter.tokens = rateLimiter.burst()' ./core/admit
mutant "a token that was never taken is given back" core/admit/ratelimit.go \
  'if !rateLimiter.isVoid(token) {' 'if true {' ./core/admit
mutant "a reservation from before a rate limit runs" core/admit/admit.go \
  'case gate.rateLimiter.isVoid(reserved.token) && gate.rateLimiter.delay(committed.At, 1) > 0:' 'case false:' ./core/admit
mutant "a restarted gate does not learn the rate limit" io/peer/server.go \
  'if limit := head.GetRateLimit(); limit != nil {' 'if limit := head.GetRateLimit(); false && limit != nil {' ./io/peer
mutant "an ingress forgets a rate limit that a restarted gate does not know" core/route/tracker.go \
  'if load.RateLimit == (admit.RateLimit{}) {' 'if false {' ./core/pick
mutant "an ingress does not pass over a target without room in its rate limit" core/route/leasttime.go \
  'max(queueLength*slotInterval, rateDelaySeconds(candidate))' 'queueLength*slotInterval' ./core/pick
mutant "the rate limit that answers name is not read" platform/headers.go \
  'ParseRateLimit:   dialect.RateLimitHeader(headerRateLimit),' '' ./platform
mutant "a gate does not hear that its upstream is leaving" io/peer/statements.go \
  'server.Control.ReportLeaving(instance)' '' ./daemon
mutant "an ingress does not remember that a target is leaving" io/caller/attempt.go \
  'if head.GetLeaving() {' 'if false {' ./io/caller
mutant "a forwarded request does not tell the rate limit that its ingress knows" io/caller/attempt.go \
  'peer.EncodeRateLimit(exchange.service.tracker.RateLimit(send.Target))' 'nil' ./io/caller
mutant "a leaving target is chosen again" core/pick/pick.go \
  'case picker.Tracker.IsLeaving(member.ID, member.Target.StartedAt):' 'case false:' ./core/pick
mutant "a target that has left serves again after a restart of its daemon" core/member/departure.go \
  'case departures[member.ID] == startedAt:' 'case false:' ./core/member
mutant "a target whose daemon alone stops is taken for gone" core/member/departure.go \
  'case member.Target.State == kernel.TargetDraining && !member.Leaving:' 'case member.Target.State == kernel.TargetDraining:' ./core/member
mutant "a health check that names no rate limit ends it" io/peer/statements.go \
  'err == nil && named {
			server.logRateLimit(server.Gate.RecordRateLimit(admit.RateLimitReported{Named: true,' 'err == nil {
			server.logRateLimit(server.Gate.RecordRateLimit(admit.RateLimitReported{HandedOverAt: server.Gate.Now(), Named: named,' ./io/peer
mutant "a health check that says that its upstream is leaving is not heard" io/peer/statements.go \
  'server.recordLeaving(result.Header, result.Instance)' '' ./io/peer
mutant "a rate limit that is no number ends the one before" io/peer/statements.go \
  'if err != nil {' 'if false {' ./io/peer
mutant "a rate limit of 0 lets nothing through that could show its end" core/admit/ratelimit.go \
  'max(minRate, rateLimiter.limit.PerSecond)' 'rateLimiter.limit.PerSecond' ./core/admit
mutant "an upstream without a known start is taken for leaving by its successors" core/route/tracker.go \
  'if startedAt == 0 {' 'if false {' ./core/pick
mutant "a waiting watch is not checked" core/rollout/rollout.go \
  'return plugin.checkWatch(state, at)' 'return nil' ./core/rollout ./standin/fleet
mutant "a change that a watch has missed is not read" core/rollout/check.go \
  'result.Revision <= plugin.checkedRevision' 'true' ./core/rollout ./standin/fleet
mutant "a watch that has missed a change goes on" core/rollout/check.go \
  'object.Version > plugin.eraTracker.revision' 'false' ./core/rollout
mutant "a check in a later era leaves the watch" core/rollout/rollout.go \
  'if era != 0 && plugin.eraTracker.era != era {' 'if era > 1<<60 {' ./core/rollout
mutant "the result of an abandoned watch counts" core/rollout/rollout.go \
  'if !plugin.endCall(ended.Token) {' 'if plugin.endCall(ended.Token); false {' ./core/rollout
mutant "a call that has waited for its timeout is repeated late" core/rollout/rollout.go \
  'plugin.retryAt = plugin.calledAt.Add(' 'plugin.retryAt = event.At.Add(' ./core/rollout
mutant "a list of beacons that has waited for its timeout is repeated late" core/beacon/beacon.go \
  'plugin.nextCallAt = plugin.calledAt.Add(retryDelay)' 'plugin.nextCallAt = event.At.Add(retryDelay)' ./core/beacon
mutant "a beacon that could not be written is written a minute later" core/beacon/beacon.go \
  'plugin.nextCallAt = at.Add(refreshRetryDelay)
		return nil' 'return nil' ./core/beacon
mutant "silent connections to the platform are used again" io/platform/platform.go \
  'client.http().CloseIdleConnections()' '' ./io/platform
mutant "an upload is sent on without a part of its body" core/call/end.go \
  'if committed && call.Streamed {' 'if committed && false {' ./core/call
mutant "an ingress does not tell that a body is streamed" io/caller/exchange.go \
  'Streamed:   exchange.request.streamed,' '' ./daemon
mutant "a restarted daemon does not learn which upstreams have left" core/member/member.go \
  'if replica.Kind == kernel.KindDepartures && replica.Name == plugin.self.ID {' 'if false {' ./core/member
mutant "departures are published before those of the earlier process are known" core/member/own_departures.go \
  'if !plugin.ownDepartures.joined || !plugin.ownDepartures.unpublished {' 'if !plugin.ownDepartures.unpublished {' ./core/member
mutant "an upstream that has left is published as serving" core/member/member.go \
  'case target.Service != "" && plugin.ownDepartures.includes(' 'case false && plugin.ownDepartures.includes(' ./core/member
mutant "the first announcement is not held" io/upstream/announce.go \
  'if monitor.HoldsFirst && !monitor.held.released {' 'if false {' ./io/upstream
mutant "an upstream that has left is accepted after a restart" io/upstream/announce.go \
  'monitor.HasDeparted != nil && !announcement.Draining' 'monitor.HasDeparted != nil && false' ./io/upstream
mutant "a restarted daemon does not ask its upstream whether it is leaving" daemon/upstream.go \
  'if !leaving(result.Header) {' 'if true {' ./daemon
mutant "a departure that is learnt late does not drain the gate" daemon/upstream.go \
  'if current.Service != "" && view.HasDeparted(' 'if false && view.HasDeparted(' ./daemon
mutant "a value that is nested too deeply hides a whole reply" io/platform/reply.go \
  'shallow, cutErr := cutDeepValues(text)' 'shallow, cutErr := text, error(nil)' ./io/platform ./platform
mutant "an object without a name counts" platform/store.go \
  'err == nil && object.Meta.Name == ""' 'false' ./platform
mutant "a claim coordinator passes over an object that it cannot read" core/once/once.go \
  'if result.Invalid > 0 {' 'if false {' ./core/once
mutant "a beacon with a port out of range is a first peer" core/beacon/beacon.go \
  'return err == nil && portErr == nil && host != "" && number > 0' 'return err == nil && host != "" && (portErr == nil || number >= 0)' ./core/beacon
mutant "an announcement with a port out of range is accepted" io/upstream/announce.go \
  'err != nil || portErr != nil || host == "" || number == 0' 'err != nil || portErr != nil && host == "" && number == 0' ./platform
mutant "an announcement that started in the future outdates all others" io/upstream/announce.go \
  'announcement.StartedAt > latest' 'announcement.StartedAt < 0 && latest > 0' ./platform
mutant "an error of Accept ends the forward connections" io/peer/forward_server.go \
  'if errors.Is(err, net.ErrClosed) {' 'if err != nil {' ./io/peer
mutant "a key that is not UTF-8 is passed on" io/caller/request.go \
  '!utf8.ValidString(values[0])' '!utf8.ValidString(name)' ./daemon
mutant "a request that was refused comes again on a kept connection" io/upstream/client.go \
  'if client.refused.includes(' 'if false && client.refused.includes(' ./io/peer
mutant "a refusal of the upstream is not remembered" io/peer/run.go \
  'if kind == responseNotRun || kind == responseMisdirected {' 'if false {' ./io/peer
mutant "refused requests are remembered without end" io/upstream/refused.go \
  'if len(refusedRequests.recent) >= maxRefused {' 'if false {' ./io/upstream
mutant "all health probes share a request ID" io/upstream/client.go \
  'probeRequestID(client.probes.Add(1))' 'probeRequestID(0)' ./io/upstream
mutant "a daemon that is alone does not look for others again" core/beacon/beacon.go \
  'case plugin.listed && len(state.Neighbours) == 0 &&' 'case false && len(state.Neighbours) == 0 &&' ./core/beacon
mutant "a daemon that is alone lists the beacons as often for ever" core/beacon/beacon.go \
  'if at.Sub(plugin.aloneSince) < relistPeriod {' 'if true {' ./core/beacon
mutant "a lost table that is written again replaces a later one" core/rollout/version.go \
  'if isCurrent && changed && (number >= known.number || !wasInForce) {' 'if isCurrent && changed {' ./core/rollout ./standin/fleet
mutant "a new table with a lower number counts as written again" core/rollout/version.go \
  'return slices.Contains(pastTables, table)' 'return len(pastTables) > 0' ./core/rollout
mutant "the shared budget leaves nothing for repeated calls" core/call/shared.go \
  'const unspentFraction = 0.53' 'const unspentFraction = 0.3' ./core/call
mutant "connections that wait at a starved server are reset" io/http1/server.go \
  'case !inTime && (!waiting || server.lateAccepts >= maxLateAccepts):' 'case !inTime:' ./io/http1
mutant "a drain that is requested while the first announcement is held is forgotten" io/upstream/announce.go \
  'monitor.held.announcement.Draining = monitor.held.present' '' ./io/upstream
mutant "a status above 599 is a response" io/upstream/client.go \
  'http1.IsInterimStatus(status) || http1.IsFinalStatus(status)' 'http1.IsInterimStatus(status) || status >= http.StatusOK' ./io/upstream
mutant "a response of a gate without a status is relayed" io/caller/attempt.go \
  'if !http1.IsFinalStatus(int(head.GetStatus())) {' 'if false {' ./io/caller
mutant "an interim response of a gate becomes the final one" io/caller/attempt.go \
  'http1.IsInterimStatus(status) && status != http.StatusContinue' 'status != http.StatusContinue' ./io/caller
mutant "a response without a status becomes 200" io/http1/response.go \
  'response.status = http.StatusBadGateway' '' ./io/http1
mutant "a list of the platform without a body is empty" io/platform/platform.go \
  'return kernel.PlatformUnknown, true' 'return kernel.PlatformOK, true' ./io/platform
mutant "a write that the platform refused with 412 is accepted" platform/store.go \
  'case http.StatusConflict, http.StatusPreconditionFailed:' 'case http.StatusConflict:' ./platform
mutant "a reply to an operator without a status is a success" cmd/ibislift/client.go \
  'case status >= http.StatusOK && status < http.StatusMultipleChoices:' 'case status < http.StatusBadRequest:' ./cmd/ibislift
mutant "a route without a host has no finding" core/check/fields.go \
  'if route.Host == "" {' 'if false {' ./core/check ./platform
mutant "a key of two workspaces has no finding" core/check/fields.go \
  'holders[digest] = keyHolder{workspace: index, key: key}' '' ./core/check ./platform
mutant "a finding has the value instead of its type" core/check/value.go \
  'want, typeName(value.node))' 'want, value.node)' ./platform
mutant "an older version may replace the one in force" core/check/compare.go \
  'if checker.Version < inForce.Version ||' 'if' ./core/check
mutant "a number of another type is read as 0" core/check/value.go \
  'if value.node != nil && (!isNumber || err != nil) {' 'if false && (!isNumber || err != nil) {' ./core/check ./platform
mutant "an empty reply to a claim is a grant" daemon/claims.go \
  'result.Status == kernel.ClaimGranted && result.Holder != requestID' 'false' ./daemon
mutant "a request with an unknown key is served" io/caller/workspace.go \
  'if workspace == nil && !request.route.Anonymous {' 'if false {' ./io/caller
mutant "requests are served without the route table" core/kernel/kernel.go \
  'if kernel.state.Settings.RouteObject != "" && view.Routes == nil {' 'if false {' ./core/kernel
mutant "the key of a caller is forwarded" io/caller/workspace.go \
  'if !request.hidesKey {' 'if true {' ./io/caller
mutant "workspaces share their idempotency keys" io/caller/workspace.go \
  'sha256.Sum256([]byte(request.workspaceName() + ' 'sha256.Sum256([]byte("" + ' ./io/caller
mutant "the rank of the route goes before that of the workspace" core/routes/access.go \
  'first*ranksPerWorkspaceRank + second' 'second*ranksPerWorkspaceRank + first' ./core/routes
mutant "attempts leave the allowed regions" core/pick/pick.go \
  'case !IsAllowed(picker.Regions, member):' 'case false:' ./core/pick
mutant "a daemon outside the allowed regions has few targets in them" io/caller/services.go \
  'pick.Subset(self, pick.InRegions(regions, serving))' 'pick.InRegions(regions, pick.Subset(self, serving))' ./io/caller
mutant "a destination without targets in the allowed regions has a share" core/routes/splitter.go \
  'if destination.Weight > 0 && serves(destination.Service) {' 'if destination.Weight > 0 {' ./core/routes
mutant "a server waits for a body that the handler has not read" io/http1/response.go \
  'length > int64(bodyReader.response.conn.reader.Buffered())' 'length > 1<<30' ./io/http1
mutant "a cold upstream gets as many requests as a warm one" core/admit/warmup.go \
  'func (limit WarmupLimit) isSet() bool { return limit.PerSecond > 0 && limit.Bound > 0 }' 'func (limit WarmupLimit) isSet() bool { return false }' ./core/admit
mutant "tokens of a cold upstream accumulate" core/admit/warmup.go \
  'limiter.tokens = min(limiter.limit.burst(), limiter.tokens+elapsed' 'limiter.tokens = min(100, limiter.tokens+elapsed' ./core/admit
mutant "the bucket is full when an upstream becomes cold" core/admit/warmup.go \
  'limiter.empty(at, 0)' 'limiter.periods++' ./core/admit
mutant "a restarted gate begins with a full bucket for a cold upstream" core/admit/warmup.go \
  'limiter.empty(started.At, tokens)' 'limiter.empty(started.At, limiter.limit.burst()+tokens)' ./core/admit
mutant "late commits come on top of the warm-up rate" core/admit/warmup.go \
  '|| at.Sub(token.takenAt) > limiter.limit.commitTime())' ')' ./core/admit
mutant "health probes of a cold upstream do not count" core/admit/warmup.go \
  'limiter.probedAt = at
	limiter.take(at)' 'limiter.probedAt = at' ./core/admit
mutant "a late heartbeat ends the warm-up" core/admit/warmup.go \
  '!limiter.replaces(reported, source)' 'false' ./core/admit
mutant "a target that has just started is taken for idle" core/route/warmup.go \
  'if candidate.WarmupRate <= 0 {' 'if true {' ./core/pick
mutant "a heartbeat does not tell that the target is cold" platform/checkin.go \
  'ReportsWarmup:   reportsWarmup,' 'ReportsWarmup:   reportsWarmup && false,' ./platform
mutant "a cold target is accepted before its rate is known" daemon/upstream.go \
  'daemon.needsConfiguration() && !view.Ready' 'false && !view.Ready' ./daemon
mutant "an evacuated gate takes new requests" core/admit/admit.go \
  'case gate.evacuated:
		return refuse(arrived.ID, ReasonEvacuated, 0)' 'case false:
		return refuse(arrived.ID, ReasonEvacuated, 0)' ./core/admit
mutant "an evacuated gate takes commits" core/admit/admit.go \
  'case gate.evacuated:
		return gate.revoke(' 'case false:
		return gate.revoke(' ./core/admit
mutant "queued requests run in an evacuated data centre" core/admit/evacuate.go \
  'gate.refuseQueued(ReasonEvacuated)' 'gate.refuseQueued("")[:0]' ./core/admit
mutant "a daemon is ready before it knows the evacuations" core/evacuate/evacuate.go \
  'return plugin.evacuated != nil && (plugin.synced || plugin.current)' 'return plugin.evacuated != nil || true' ./core/evacuate
mutant "a stale read suffices without a neighbour" core/evacuate/evacuate.go \
  'if stale == nil || !plugin.synced {' 'plugin.current = true; if stale == nil {' ./core/evacuate
mutant "a stale read goes before the record of a neighbour" core/evacuate/evacuate.go \
  'if _, known := state.Table.Get(recordKey(state)); known {
		return nil' 'if _, known := state.Table.Get(recordKey(state)); known && false {
		return nil' ./core/evacuate
mutant "a removal is ignored" core/evacuate/calls.go \
  'return other == name })
	}' 'return other == name+"-" })
	}' ./core/evacuate
mutant "a removal that a watch has missed is not read" core/evacuate/calls.go \
  'case plugin.seenRevision > plugin.checkedRevision &&' 'case false &&' ./core/evacuate
mutant "evacuations are ordered without the era of the store" core/evacuate/state.go \
  'return version.era<<revisionBits |' 'return 0 |' ./standin/fleet
mutant "a damaged record of evacuations is merged" core/evacuate/evacuate.go \
  'return err == nil
}' 'return err == nil || true
}' ./core/evacuate
mutant "a store that comes back from a copy ends an evacuation" core/evacuate/calls.go \
  'lost = earlier.all()' 'lost = nil' ./standin/fleet
mutant "objects that cannot be decoded end evacuations" core/evacuate/calls.go \
  'known && result.Invalid > 0 {' 'known && false {' ./core/evacuate
mutant "a fleet that has just started watches late for evacuations" core/evacuate/evacuate.go \
  'Least: 2 * time.Second,' 'Least: 3500 * time.Millisecond,' ./standin/fleet
mutant "a deletion is not passed on" platform/store.go \
  'result.Deleted = append(result.Deleted, full)' '_ = full' ./platform
mutant "an ingress sends to an evacuated data centre" core/pick/pick.go \
  'case picker.isEvacuated(member):' 'case false:' ./core/pick
mutant "the gate opens before the evacuation is known" daemon/upstream.go \
  '	daemon.applyEvacuation(view)
' '' ./daemon
mutant "callers come back before cold targets have capacity" core/pick/retryafter.go \
  'if refusal.IsCold {' 'if false {' ./core/pick
mutant "a vote of a quota is lent twice" core/quota/votes.go \
  'case inForce && current.to != from:' 'case false:' ./core/quota
mutant "each side of a partition has a whole quota" core/quota/fleet.go \
  'if member.Left {' 'if !member.Live {' ./core/quota
mutant "a cached token has a whole lease again" core/quota/cache.go \
  'lease := min(quota.Settings.lease(), last.expires-request.at)' 'lease := quota.Settings.lease()' ./core/quota
mutant "a bucket refills what caches still have" core/quota/owner.go \
  'bucket.limit(votes)-bucket.reserved(now)' 'bucket.limit(votes)' ./core/quota
mutant "a request that did not run keeps its token" io/caller/exchange.go \
  'exchange.returnToken()' '' ./io/caller
mutant "a hot workspace costs the others" core/admit/cost.go \
  'cmp.Compare(one.overUse, other.overUse),' '' ./core/admit
mutant "a late urgent request goes behind less urgent ones" core/admit/cost.go \
  'cmp.Compare(one.rank, other.rank),' '' ./core/admit
mutant "calls of running requests wait behind new requests" core/admit/cost.go \
  'compareBool(!one.isCall, !other.isCall),' '' ./core/admit
mutant "a workspace of a low rank is starved" core/admit/cost.go \
  'entry.isCall || gate.isNeglected(arrived.Workspace, at)' 'entry.isCall' ./core/admit
mutant "an urgent request is refused for a short wait while less urgent ones wait" core/admit/queue.go \
  'gate.ordersByCost() && gate.hasLessUrgentQueued(arrived)' 'false' ./core/admit
mutant "the order by cost is in force without workspaces" core/admit/cost.go \
  'gate.Order != OrderObjective && gate.shares.inUse()' 'gate.Order != OrderObjective' ./core/admit
mutant "the profile cannot select the earlier order" core/admit/cost.go \
  'gate.Order != OrderObjective && gate.shares.inUse()' 'gate.shares.inUse()' ./core/admit
mutant "the use of workspaces is kept for ever" core/admit/share.go \
  '&& share.started+share.refused < idleCount' '&& share.started < 0' ./core/admit
mutant "the use of any number of workspaces is kept" core/admit/share.go \
  'if len(shares.byWorkspace) >= maxShares && workspace != noWorkspace {' 'if false {' ./core/admit
mutant "a workspace is charged for the estimate only" core/admit/cost.go \
  'at.Sub(request.started)-request.charged)' '0)' ./core/admit
mutant "a long body is sent before a slot is granted" io/caller/attempt.go \
  'return send.Reserve && !exchange.request.streamed' 'return false && !exchange.request.streamed' ./io/caller
mutant "a gate that has just started expects no wait" core/admit/admit.go \
  'gate.assumeServiceTime(arrived)' '' ./core/admit
mutant "callers return before a vote can be lent" core/quota/holder.go \
  'return max(unreachablePause, quota.StartedAt+voteLease+borrowInterval-quota.now)' 'return unreachablePause' ./core/quota
mutant "the header of the remaining warm-up is read in seconds" platform/headers.go \
  'dialect.WarmupHeader(headerWarmup, time.Millisecond)' 'dialect.WarmupHeader(headerWarmup, time.Second)' ./platform
mutant "a gate takes each request without a workspace for a call" core/admit/cost.go \
  'entry.isCall = arrived.Call' 'entry.isCall = arrived.Workspace == ""' ./core/admit
mutant "a refused flood of keyless requests goes first" core/admit/share.go \
  'if workspace == noWorkspace {
		return
	}' '' ./core/admit
mutant "keyless requests have no entry where many workspaces send" core/admit/share.go \
  'len(shares.byWorkspace) >= maxShares && workspace != noWorkspace' 'len(shares.byWorkspace) >= maxShares' ./core/admit
mutant "calls are charged to the keyless requests" core/admit/cost.go \
  'if !arrived.Call {' 'if true {' ./core/admit
mutant "any number of keyless requests is marked" core/call/runcalls.go \
  'exceeds == 0 && calls.excess <= maxExcess' 'true' ./core/call
mutant "a flood keeps the marks of its class" core/call/runcalls.go \
  'exceeds == 0 && calls.excess <= maxExcess' 'exceeds == 0' ./core/call
mutant "runs that make four calls at once lose the marks of all" core/call/runcalls.go \
  'maxExcess    = 0.5' 'maxExcess    = 0.25' ./core/call
mutant "an ingress does not send the mark of a call" io/caller/attempt.go \
  'Call:                  exchange.isCall,' '' ./io/caller
mutant "a gate does not read the mark of a call" io/peer/server.go \
  'Call:      head.GetCall(),' '' ./io/caller
mutant "a gate does not read the workspace" io/peer/server.go \
  'Workspace: head.GetWorkspace(),' '' ./io/caller
mutant "a mark is never given back" io/caller/exchange.go \
  'exchange.endCall()' '' ./io/caller
mutant "a refusal has no cause" io/peer/server.go \
  'stream.cause = decision.Cause' '' ./io/caller
mutant "an ingress keeps no cause of a refusal" io/caller/attempt.go \
  'Cause:           frame.Refused.GetCause(),' '' ./io/caller
mutant "the newcomer is not among the causes of a displacement" core/admit/cost.go \
  'gate.cause(at, displaced, newcomer)' 'gate.cause(at, displaced)' ./core/admit
mutant "refusals by use count as refusals by rank" core/admit/cause.go \
  'cause.AheadByRank > 0 && cause.AheadByRank >= cause.AheadByUse' 'cause.AheadByRank >= 0' ./core/admit
mutant "a gate says any number of bytes of a cause" io/caller/record.go \
  'refused.Cause[:min(len(refused.Cause), maxCauseLength)]' 'refused.Cause' ./io/caller
mutant "the soak accepts more than a quota" cmd/soak/quotas.go \
  'float64(most) <= quotaBound()' 'float64(most) <= 2*quotaBound()' ./cmd/soak
mutant "the soak counts a shorter window than that of the quota" cmd/soak/quotas.go \
  'at.Sub(times[begin]) >= window' 'at.Sub(times[begin]) >= window/2' ./cmd/soak
mutant "the soak accepts a workspace that is hardly served" cmd/soak/quotas.go \
  'minQuotaServed = 0.5' 'minQuotaServed = 0.4' ./cmd/soak
mutant "the ledger has no times" standin/upstream/upstream.go \
  'time.Now().UnixMicro(), attemptID' 'int64(0), attemptID' ./standin/deployment
mutant "the soak accepts too many requests to a cold target" cmd/soak/cold.go \
  'float64(most) > coldBound' 'float64(most) > 2*coldBound' ./cmd/soak
mutant "a ledger keeps the last maximum of a cold target" standin/deployment/ledger.go \
  'max(ledger.MostInASecond[fields[0]], most)' 'most' ./cmd/soak
mutant "an upstream does not count probes while it is cold" standin/upstream/upstream.go \
  'server.countProbe()' '' ./standin/deployment
mutant "the soak accepts an urgent workspace that is served less often" cmd/soak/order.go \
  'patient.fraction()-maxRankLoss' 'patient.fraction()-2*maxRankLoss' ./cmd/soak
mutant "the soak accepts a starved workspace" cmd/soak/order.go \
  'minServedShare*all.fraction()' 'minServedShare*all.fraction()/2' ./cmd/soak
mutant "the soak accepts that nothing is served" cmd/soak/order.go \
  'all.complete == 0 || ' '' ./cmd/soak
mutant "the runs of a flood allow marks for the flood" io/upstream/gate.go \
  'pending != nil && pending.class != class' 'pending != nil' ./io/upstream
mutant "a daemon withdraws before it can know earlier claims" core/withdraw/withdraw.go \
  'return SettleTime + settleFactor*decision.meanLate()' 'return 0' ./core/withdraw
mutant "daemons withdraw although most of the data centre is slow" core/withdraw/withdraw.go \
  'return 2*centre.claims > centre.available' 'return false' ./core/withdraw
mutant "daemons that may not withdraw do not count as slow" core/withdraw/withdraw.go \
  'case decision.isSlowForLong() && connected && !at.Before(decision.pauseEnd):' 'case false:' ./core/withdraw
mutant "a daemon that is slow in bursts holds its claim" core/withdraw/withdraw.go \
  'at.Sub(decision.longSlowAt) >= maxBurstyTime' 'false' ./core/withdraw
mutant "more than a quarter of a data centre withdraws" core/withdraw/withdraw.go \
  'centre.ahead < centre.maxWithdrawn() &&' 'true &&' ./core/withdraw
mutant "a daemon is withdrawn for more than an eighth of the time" core/withdraw/withdraw.go \
  'decision.budget -= length + CheckInterval' 'decision.budget -= CheckInterval' ./core/withdraw
mutant "a daemon that was frozen counts as slow" core/withdraw/withdraw.go \
  'minLateSamples = 3' 'minLateSamples = 1' ./core/withdraw
mutant "a daemon that reaches nobody stays withdrawn" core/withdraw/withdraw.go \
  'case !connected:' 'case false:' ./core/withdraw
mutant "claims do not reach the decision" core/member/member.go \
  'if plugin.membersChanged || plugin.claimsChanged {' 'if plugin.membersChanged {' ./core/withdraw
mutant "a daemon that has recovered since its claim withdraws" core/withdraw/withdraw.go \
  'case decision.isSlowForLong() &&' 'case decision.isSlow() &&' ./core/withdraw
mutant "the kernel does not hear of the end of a slow period" daemon/lateness.go \
  'sampler.left = withdraw.SamplesToRecover' 'sampler.left = 0' ./daemon -run Samples
mutant "callers use a withdrawn daemon" standin/play/caller.go \
  'candidates = inService(candidates)' '' ./standin/play -run Withdraw
mutant "explain does not say that the daemon had withdrawn" io/caller/record.go \
  'detail = "withdrawn from callers: " + withdrawal.Reason' '_ = withdrawal' ./io/caller -run Withdrawn
mutant "a slow control goroutine keeps callers away" core/kernel/view.go \
  'return at.Before(withdrawal.Until)' 'return !withdrawal.Until.IsZero()' ./daemon -run Readiness
mutant "a cancelled run that goes on frees its slot" core/admit/queue.go \
  'return gate.occupied(at) < gate.capacity()' 'return gate.slotsInUse < gate.capacity()' ./core/admit
mutant "slots are held at an upstream that drops cancelled requests" core/admit/handover.go \
  'if !handover.runsOn {' 'if false {' ./core/admit
mutant "a report ends a run that was cancelled after it" core/admit/handover.go \
  'return !at.Before(run.cancelledAt.Add(transitTime))' 'return !run.cancelledAt.IsZero()' ./core/admit
mutant "a request under way hides a cancelled run" core/admit/handover.go \
  'if id != reported.ID && !request.started.After(from.Add(-transitTime)) {' 'if id != reported.ID {' ./core/admit
mutant "a request that ended meanwhile counts as a cancelled run" core/admit/handover.go \
  'if !finished.Before(from) {' 'if finished.IsZero() {' ./core/admit
mutant "a probe that the upstream counts is taken for a cancelled run" core/admit/handover.go \
  'reported.ID == 0 && gate.handover.countsProbes' 'false' ./core/admit
mutant "slots are held for long without any report" core/admit/handover.go \
  'handover.reportedAt.Add(run.serviceTime)' 'run.lastEnd' ./core/admit
mutant "slots are held although the setting is off" core/admit/handover.go \
  '!gate.HoldCancelledRuns || gate' 'gate' ./core/admit
mutant "a cancelled run holds its slot for ever" core/admit/handover.go \
  'lastEnd: at.Add(longest)' 'lastEnd: at.Add(1000 * longest)' ./core/admit
mutant "the gate is not told of a cancellation" io/peer/run.go \
  'stream.admission.MarkCancelled()' '' ./io/peer
mutant "the reported load of a probe does not reach the gate" io/peer/statements.go \
  'server.Gate.RecordLoad(*result.Load, result.SentAt)' '' ./io/peer
mutant "records of any kind keep a daemon from watching" core/contact/contact.go \
  'state.Table.Count(kernel.KindMember)' 'state.Table.Count(kernel.KindMember) + state.Table.Count(kernel.KindDepartures)' ./core/contact
mutant "a daemon watches late while members appear" core/rollout/settling.go \
  'Most: 3 * time.Second}' 'Most: 8 * time.Second}' ./core/rollout
mutant "a request waits for a suspended gate" io/caller/attempt.go \
  'time.AfterFunc(exchange.request.deadline.Sub(started)' 'time.AfterFunc(time.Hour' ./io/caller -run Stalls
mutant "a body waits for a suspended gate" io/caller/bodyrelay.go \
  'bodyRelay.attempt.expiry.Reset(limit.Sub(now))' '_ = limit' ./io/caller -run Stalls
mutant "what has arrived of a body is cut at the deadline" io/caller/bodyrelay.go \
  'if endAt.Before(since) {' 'if false {' ./io/caller -run HasArrived
mutant "a response is not read while it waits for its turn" io/http1/conn.go \
  'if !response.isTurn() {' 'if false {' ./io/http1 -run Buffered
mutant "a long response waits for its turn past its deadline" io/http1/response.go \
  'case <-timeout:' 'case <-time.After(time.Hour + time.Duration(len(timeout))):' ./io/http1 -run Buffered
mutant "a response is sent in parts while requests wait behind it" io/http1/conn.go \
  'maySend := conn.lastDone == response.done ||' 'maySend := true ||' ./io/http1 -run HeldBack
mutant "a stream with requests behind it is held back for good" io/http1/conn.go \
  ' || time.Since(response.heldSince) >= maxHoldTime' '' ./io/http1 -run HeldBack
mutant "a cut response ends its connection although none of it was sent" io/caller/response.go \
  'if exchange.discardResponse() {' 'if false {' ./daemon -run TestCutResponse
mutant "a request whose response is cut is not tried again" core/call/end.go \
  'if cut.Attempt != call.relayedAttempt {' 'if true {' ./core/call
mutant "a panic ends the requests behind it" io/http1/conn.go \
  'if isAbort || !response.Discard() {' 'if true {' ./io/http1 -run FailedHandler
mutant "a short body ends the requests behind it" io/http1/response.go \
  'if response.hasOtherLength() && response.Discard() {' 'if false {' ./io/http1 -run FailedHandler
mutant "a request runs behind a part of a response" io/http1/conn.go \
  '{conn.partial, conn.mayClose}' '{nil, conn.mayClose}' ./io/http1 -run BehindAPart
mutant "a request runs behind one that closes its connection" io/http1/conn.go \
  'if request.Close || !request.ProtoAtLeast(1, 1) {' 'if false {' ./io/http1 -run NothingRuns
mutant "an incomplete response resets its connection" io/http1/conn.go \
  'if response.err == nil && response.endsVisibly() {' 'if false {' ./io/http1 -run DropsNoEarlier
mutant "a request that does not start ends before its turn" io/http1/response.go \
  '			<-response.turn' '			_ = response.turn' ./io/http1 -run ShutdownWaits
mutant "trailers of a response that was held back are lost" io/http1/response.go \
  'case whole && !(response.hasTrailers() && response.request.ProtoAtLeast(1, 1)):' 'case whole:' ./io/http1 -run Trailers
mutant "the deadline within a body counts as a failure of the target" io/caller/bodyrelay.go \
  'if bodyRelay.exchange.handler.Now().Before(bodyRelay.exchange.endAt()) {' 'if true {' ./io/caller -run IsNoFailure
mutant "a gate that goes on sending holds its caller" io/caller/bodyrelay.go \
  'return earlier(last, endAt.Add(arrival))' 'return endAt.Add(arrival + 0*last.Sub(endAt))' ./io/caller -run GoesOnSending
mutant "the wait behind a response does not count" io/caller/caller.go \
  'arrived = queued.ReadAt()' '_ = queued.ReadAt()' ./daemon -run WaitBehind
mutant "the claim of a request whose response is cut is forgotten" core/call/end.go \
  'effects = append(effects, CompleteClaim{})' '_ = effects' ./core/call
mutant "a part that is held back waits for the next one" io/caller/bodyrelay.go \
  '			if bodyRelay.held {' '			if false {' ./daemon -run HeldPart
mutant "a response that is cut at the deadline is tried again" io/caller/response.go \
  'cut.Problem = call.ProblemDeadline' '_ = call.ProblemDeadline' ./io/caller -run HeldResponseIsCut
mutant "a request whose caller has left is tried again" io/caller/response.go \
  'cut.Problem = call.ProblemLost' '_ = call.ProblemLost' ./io/caller -run HeldResponseIsCut
mutant "a response is sent whose stream is closed" io/caller/response.go \
  'if !attempt.expiry.Stop() && !head.GetComplete() {' 'if attempt.expiry.Stop(); false {' ./io/caller -run BeginsAtTheDeadline
mutant "a suspended ingress keeps a slot" io/peer/gate_conn.go \
  '_ = gateConn.SetWriteDeadline(time.Now().Add(remaining + sendSlack))' '_ = remaining' ./io/peer -run Stalls
mutant "a watcher ends before those in its place have begun" core/member/watchers.go \
  'return standInRank, followers < watchersPerRegion' 'return standInRank, false' ./core/member ./standin/fleet -run 'WatcherChoice|WatchersAreReplaced'
mutant "nobody takes over from watchers that were restarted" core/member/watchers.go \
  'return standInRank, unfollowed >=' 'return standInRank, false && unfollowed >=' ./core/member -run WatcherChoice
mutant "a suspected watcher counts as one that follows" core/member/watchers.go \
  '!candidate.Following || candidate.State != kernel.MemberAlive' '!candidate.Following' ./core/member -run WatcherChoice
mutant "a daemon reports that it follows the platform before its watch has begun" core/member/watchers.go \
  'follows := state.Watching && state.Following &&' 'follows := state.Watching &&' ./standin/fleet -run FollowersHaveBegun
mutant "a reset that a write has met looks like the end of a response" io/upstream/early_end.go \
  'untilEndBody.writer.interrupt() != nil' 'false' ./io/upstream -run ResponseWithoutALength
mutant "the end of a response waits for an upload that the upstream does not read" io/upstream/early_end.go \
  'SetWriteDeadline(time.Unix(1, 0))' 'SetWriteDeadline(time.Time{})' ./io/upstream -run ResponseWithoutALength
mutant "a stopping daemon passes on what it cannot finish" io/caller/stop.go \
  'if left >= needed {' 'if left >= 0 {' ./daemon -run StoppingDaemonRefuses
mutant "a stopping gate admits what it will cut" core/admit/admit.go \
  'gate.isCutByStop(arrived, wait+stopServiceTimes*serviceTime)' 'gate.isCutByStop(arrived, 0)' ./core/admit -run StoppingGate
mutant "daemons that know nobody watch early" core/rollout/settling.go \
  'if state.Watching && plugin.contact.IsSynced() {' 'if state.Watching {' ./core/rollout
exit $living
