package daemon

import (
	"net/http"

	"ibislift/core/call"
	"ibislift/io/dialect"
	"ibislift/io/platform"
	"ibislift/io/upstream"
)

// Site holds what depends on the environment that a daemon runs in. The zero
// value selects ibislift's own formats; an adapter to a platform sets the
// fields.
type Site struct {
	Dialect *dialect.Dialect
	Codec   platform.Codec
	// AnnouncementHandler returns the handler for announcements of the local
	// upstream, which belongs to the service. The handler passes them on to
	// monitor.
	AnnouncementHandler func(service string, monitor *upstream.Monitor) http.Handler
}

func (site Site) withDefaults() Site {
	if site.Dialect == nil {
		site.Dialect = dialect.Default()
	}
	if site.AnnouncementHandler == nil {
		site.AnnouncementHandler = func(_ string, monitor *upstream.Monitor) http.Handler { return monitor.Handler() }
	}
	return site
}

// sharedRetryBudget returns the retry budget that all daemons share, or nil if
// there is none.
func (settings Settings) sharedRetryBudget() *call.SharedBudget {
	if settings.SharedRetryRatio == 0 {
		return nil
	}
	return &call.SharedBudget{Ratio: settings.SharedRetryRatio, Slack: settings.SharedRetrySlack}
}
