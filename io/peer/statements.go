package peer

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"ibislift/core/admit"
	"ibislift/io/upstream"
)

// recordStatements records what a response to a request says of the upstream's own
// state: its rate limit, how long it stays cold, and whether it is leaving. It reports
// whether it is.
func (server *Server) recordStatements(response *upstream.Response, handedOverAt time.Time) (leaving bool) {
	dialect := server.Upstream.EffectiveDialect()
	if dialect.ParseRateLimit != nil {
		perSecond, named, err := dialect.ParseRateLimit(response.Header)
		if err != nil {
			server.logStatement(slog.LevelWarn, "rate limit of the upstream ignored", "error", err.Error())
		} else {
			server.logRateLimit(server.Gate.RecordRateLimit(admit.RateLimitReported{HandedOverAt: handedOverAt, Named: named, PerSecond: perSecond}))
		}
	}
	server.recordWarmup(response.Header, handedOverAt)
	return server.recordLeaving(response.Header, response.Request.Header.Get(dialect.Instance))
}

// RecordProbe records what a response to a health probe says of the upstream's own state.
// A rate limit that it does not name may still be in force: not every upstream names it
// there.
func (server *Server) RecordProbe(result upstream.ProbeResult) {
	dialect := server.Upstream.EffectiveDialect()
	if dialect.ParseRateLimit != nil {
		if perSecond, named, err := dialect.ParseRateLimit(result.Header); err == nil && named {
			server.logRateLimit(server.Gate.RecordRateLimit(admit.RateLimitReported{Named: true, PerSecond: perSecond}))
		}
	}
	if result.Load != nil {
		server.Gate.RecordLoad(*result.Load, result.SentAt)
	}
	server.recordWarmup(result.Header, result.SentAt)
	server.recordLeaving(result.Header, result.Instance)
}

// recordLoad records how many requests the upstream says it runs, in the response to a
// request that was handed over at handedOverAt.
func (server *Server) recordLoad(stream *requestStream, response *upstream.Response, handedOverAt time.Time) {
	parse := server.Upstream.EffectiveDialect().ParseLoad
	if parse == nil {
		return
	}
	if load, reported := parse(response.Header); reported {
		stream.admission.RecordLoad(load, handedOverAt)
	}
}

// recordWarmup records what a response to a request that was handed over at askedAt says
// of how much longer the upstream stays cold.
func (server *Server) recordWarmup(header http.Header, askedAt time.Time) {
	parse := server.Upstream.EffectiveDialect().ParseWarmup
	if parse == nil {
		return
	}
	if left, reported := parse(header); reported {
		server.Gate.RecordWarmup(left, askedAt)
	}
}

// logRateLimit writes a line if the known rate limit of the upstream has changed.
func (server *Server) logRateLimit(before, after admit.RateLimit) {
	if before != after {
		server.logStatement(slog.LevelInfo, "rate limit of the upstream changed", "limited", after.InForce, "perSecond", after.PerSecond, "handedOver", server.Gate.HandedOverCount())
	}
}

// recordLeaving records that a response of an instance says that it is leaving, and
// reports whether it does.
func (server *Server) recordLeaving(header http.Header, instance string) bool {
	dialect := server.Upstream.EffectiveDialect()
	if dialect.Leaving == nil || !dialect.Leaving(header) {
		return false
	}
	if !server.Gate.Load().Draining {
		server.logStatement(slog.LevelInfo, "upstream says that it is leaving")
		server.Control.ReportLeaving(instance)
	}
	return true
}

// logStatement writes a message about what the upstream has said.
func (server *Server) logStatement(level slog.Level, message string, attributes ...any) {
	if server.Log != nil {
		server.Log.Log(context.Background(), level, message, append(attributes, "target", server.Upstream.ExpectedInstance())...)
	}
}
