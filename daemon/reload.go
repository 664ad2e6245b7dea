package daemon

// Reload puts those of the settings in force that may change while the daemon
// runs: the times of a stop, the silence of an upstream, and the shared
// retries. The others stay as they were at the start; a change of them is
// logged.
func (daemon *Daemon) Reload(settings Settings) {
	current := daemon.live.Load()
	if current == nil {
		// The daemon has not started yet.
		current = &daemon.Settings
	}
	next := *current
	next.DrainTimeout = settings.DrainTimeout
	next.LingerTime = settings.LingerTime
	next.SilenceTime = settings.SilenceTime
	next.SharedRetryRatio = settings.SharedRetryRatio
	next.SharedRetrySlack = settings.SharedRetrySlack
	daemon.live.Store(&next)
	fixed := settings.Name != current.Name || settings.CallerAddress != current.CallerAddress ||
		settings.PeerAddress != current.PeerAddress || settings.Service != current.Service ||
		settings.PlatformAddress != current.PlatformAddress
	daemon.Log.Info("settings reloaded", "drainTimeout", next.DrainTimeout, "lingerTime", next.LingerTime,
		"silenceTime", next.SilenceTime, "sharedRetryRatio", next.SharedRetryRatio, "sharedRetrySlack", next.SharedRetrySlack,
		"needsRestart", fixed)
}
