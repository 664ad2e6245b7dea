package daemon

import (
	"net/http"

	"ibislift/core/call"
	"ibislift/io/dialect"
	"ibislift/io/platform"
	"ibislift/io/upstream"
)

// Site is how the place speaks where a daemon runs. The zero Site is the
// product's own way; an adapter to a platform sets the fields.
type Site struct {
	Dialect *dialect.Dialect
	Codec   platform.Codec
	// Announcements returns the face towards the upstream beside, which is of
	// the service.
	Announcements func(service string, beside *upstream.Beside) http.Handler
}

func (site Site) withDefaults() Site {
	if site.Dialect == nil {
		site.Dialect = dialect.Own()
	}
	if site.Announcements == nil {
		site.Announcements = func(_ string, beside *upstream.Beside) http.Handler { return beside.Handler() }
	}
	return site
}

// sharedRetries is the budget that all daemons share, or nil.
func (settings Settings) sharedRetries() *call.SharedBudget {
	if settings.SharedRetryRatio == 0 {
		return nil
	}
	return &call.SharedBudget{Ratio: settings.SharedRetryRatio, Slack: settings.SharedRetrySlack}
}
