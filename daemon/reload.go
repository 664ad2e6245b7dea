package daemon

// Reload applies the settings that may change while the daemon runs: the drain
// and linger times, the silence timeout, the shared retry budget, and the bound for cold
// upstreams. The other
// settings keep their values from the start. The log line's needsRestart field
// says whether the name, the service, or the address for callers, peers or the
// platform has changed.
func (daemon *Daemon) Reload(settings Settings) {
	current := daemon.liveSettings.Load()
	if current == nil {
		// The daemon has not started yet.
		current = &daemon.Settings
	}
	next := *current
	next.DrainTimeout = settings.DrainTimeout
	next.LingerTime = settings.LingerTime
	next.SilenceTimeout = settings.SilenceTimeout
	next.SharedRetryRatio = settings.SharedRetryRatio
	next.SharedRetrySlack = settings.SharedRetrySlack
	next.WarmupOvershoot = settings.WarmupOvershoot
	next.WarmupSlack = settings.WarmupSlack
	daemon.liveSettings.Store(&next)
	needsRestart := settings.Name != current.Name || settings.CallerAddress != current.CallerAddress ||
		settings.PeerAddress != current.PeerAddress || settings.Service != current.Service ||
		settings.PlatformAddress != current.PlatformAddress || settings.Quotas != current.Quotas
	daemon.Log.Info("settings reloaded", "drainTimeout", next.DrainTimeout, "lingerTime", next.LingerTime,
		"silenceTime", next.SilenceTimeout, "sharedRetryRatio", next.SharedRetryRatio, "sharedRetrySlack", next.SharedRetrySlack,
		"needsRestart", needsRestart)
}
