package peer

import (
	"log/slog"
	"net/http"
	"time"

	"ibislift/core/admit"
)

// recordStatements records what a response says of the upstream's own state: its rate
// limit, and whether it is leaving.
func (server *Server) recordStatements(stream *requestStream, header http.Header, handedOverAt time.Time) {
	dialect := server.Upstream.EffectiveDialect()
	if dialect.ParseRateLimit != nil {
		server.recordRateLimit(stream, header, handedOverAt)
	}
	if dialect.Leaving != nil && dialect.Leaving(header) && !server.Gate.Load().Draining {
		server.log(stream, slog.LevelInfo, "upstream says that it is leaving")
	}
}

// recordRateLimit records the rate limit that a response names, or that it names none.
func (server *Server) recordRateLimit(stream *requestStream, header http.Header, handedOverAt time.Time) {
	perSecond, named, err := server.Upstream.EffectiveDialect().ParseRateLimit(header)
	if err != nil {
		server.log(stream, slog.LevelWarn, "rate limit of the upstream ignored", "error", err.Error())
		return
	}
	before, after := server.Gate.RecordRateLimit(admit.RateLimitReported{HandedOverAt: handedOverAt, Named: named, PerSecond: perSecond})
	if before != after {
		server.log(stream, slog.LevelInfo, "rate limit of the upstream changed", "limited", after.InForce, "perSecond", after.PerSecond, "handedOver", server.Gate.HandedOverCount())
	}
}
