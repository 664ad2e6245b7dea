package daemon

import (
	"log/slog"
	"maps"
	"slices"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/route"
	"ibislift/core/routes"
)

// logChanges logs what differs between two views: members and their targets,
// the route table, the state of the platform, the number of crash suspects, and
// whether this daemon watches the platform for its region.
func logChanges(log *slog.Logger, before, now *kernel.View) {
	for _, member := range now.Members {
		old, known := before.Member(member.ID)
		if !known || old.State != member.State || old.Epoch != member.Epoch || old.Leaving != member.Leaving {
			log.Info("member changed", "member", member.ID, "state", member.State, "was", old.State,
				"incarnation", member.Epoch, "leaving", member.Leaving, "address", member.PeerAddress)
		}
		if old.Target != member.Target {
			log.Info("target changed", "member", member.ID, "service", member.Target.Service, "state", member.Target.State,
				"was", old.Target.State, "slots", member.Target.Slots, "since", member.Target.StartedAt)
		}
	}
	for _, member := range before.Members {
		if _, known := now.Member(member.ID); !known {
			log.Info("member forgotten", "member", member.ID)
		}
	}
	logRoutes(log, before, now)
	if !slices.Equal(before.Evacuated, now.Evacuated) {
		log.Info("evacuations changed", "dataCentres", now.Evacuated, "was", before.Evacuated)
	}
	logWithdrawal(log, before.Withdrawal, now.Withdrawal)
	if before.Watching != now.Watching {
		self, _ := now.Member(now.Self)
		log.Info("watcher changed", "watching", now.Watching, "following", self.Following, "platformLost", self.PlatformLost)
	}
	switch {
	case before.PlatformDownSince.IsZero() && !now.PlatformDownSince.IsZero():
		log.Warn("platform lost", "since", now.PlatformDownSince)
	case !before.PlatformDownSince.IsZero() && now.PlatformDownSince.IsZero():
		log.Info("platform regained", "lostAt", before.PlatformDownSince)
	}
	if len(before.CrashSuspects) != len(now.CrashSuspects) {
		log.Info("crash suspects changed", "count", len(now.CrashSuspects), "was", len(before.CrashSuspects))
	}
}

// logWithdrawal logs that this daemon has withdrawn from callers or has returned, and why.
func logWithdrawal(log *slog.Logger, before, now kernel.Withdrawal) {
	switch {
	case before.Since.Equal(now.Since):
	case now.Since.IsZero():
		log.Info("accepts callers again", "reason", now.Reason, "since", before.Since)
	default:
		log.Warn("withdrawn from callers", "reason", now.Reason, "until", now.Until)
	}
}

func logRoutes(log *slog.Logger, before, now *kernel.View) {
	old := uint64(0)
	if before.Routes != nil {
		old = before.Routes.Version
	}
	if now.Routes != nil && now.Routes.Version != old {
		log.Info("route table in force", "version", now.Routes.Version, "was", old, "routes", len(now.Routes.Routes), "from", now.RoutesSource)
		logKeys(log, before.Routes, now.Routes)
	}
}

// maxKeyLines limits the lines about changed API keys of one route table, since a table
// may have 10,000 workspaces.
const maxKeyLines = 10

// logKeys logs how many API keys of which workspaces a new route table adds and removes,
// so that a request with an unknown key can be traced to a removed one. The keys
// themselves, and their digests, are not logged.
func logKeys(log *slog.Logger, before, now *routes.Table) {
	old := map[string][]routes.KeyDigest{}
	if before != nil {
		for _, workspace := range before.Workspaces {
			old[workspace.Name] = workspace.Keys
		}
	}
	lines := 0
	logLine := func(workspace string, oldKeys, newKeys []routes.KeyDigest) {
		added, removed := countMissing(newKeys, oldKeys), countMissing(oldKeys, newKeys)
		if lines < maxKeyLines && added+removed > 0 {
			lines++
			log.Info("API keys changed", "workspace", workspace, "version", now.Version, "added", added, "removed", removed)
		}
	}
	for _, workspace := range now.Workspaces {
		if before != nil {
			logLine(workspace.Name, old[workspace.Name], workspace.Keys)
		}
		delete(old, workspace.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		logLine(name, old[name], nil)
	}
}

// countMissing returns how many of the keys the others lack.
func countMissing(keys, others []routes.KeyDigest) int {
	if slices.Equal(keys, others) {
		return 0
	}
	known := make(map[routes.KeyDigest]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	count := 0
	for _, key := range keys {
		if !known[key] {
			count++
		}
	}
	return count
}

// logWarmup logs that the local target has become cold or warm, and reports whether it is
// cold.
func logWarmup(log *slog.Logger, wasCold bool, load admit.Load) (cold bool) {
	cold = load.WarmupLeft > 0
	if cold != wasCold {
		log.Info("warm-up of the target changed", "cold", cold, "warmupLeft", load.WarmupLeft, "running", load.Running, "queued", load.Queued)
	}
	return cold
}

// logHealthChanges logs each target whose health, as seen by the daemon's own
// requests, has changed, and returns now.
func logHealthChanges(log *slog.Logger, before, now map[string]route.Health) map[string]route.Health {
	for target, health := range now {
		if health == before[target] {
			continue
		}
		log.Info("target judged", "target", target, "slow", health.Slow, "failing", health.Failing, "ejected", health.Ejected)
	}
	for target, health := range before {
		if _, known := now[target]; !known && health != (route.Health{}) {
			log.Info("target judged", "target", target, "slow", false, "failing", false, "ejected", false)
		}
	}
	return now
}
