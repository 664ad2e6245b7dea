package logs

// Fields are the names that lines carry, with what they hold. Times are RFC
// 3339, durations nanoseconds. A line has no other names; a test checks that.
var Fields = map[string]string{
	// Who and what.
	"instance":    "name of the daemon that wrote the line",
	"request":     "name of the request; calls that its run makes start with it",
	"service":     "service that the request goes to, or of the target",
	"class":       "kind of request that is measured together: its route",
	"target":      "name of the target",
	"member":      "name of another daemon",
	"peer":        "name of the daemon that was asked",
	"clerk":       "name of the daemon that keeps idempotency keys",
	"name":        "name of the daemon itself",
	"address":     "address of the other side",
	"callers":     "address for callers",
	"path":        "path of the health check",
	"incarnation": "start of the daemon, in Unix milliseconds",

	// The end of a request at the daemon that the caller reached.
	"rank":       "urgency of the request, 0 the highest",
	"deadline":   "time that was left at arrival until the deadline",
	"objective":  "time that was left at arrival until the answer loses most of its worth",
	"status":     "status of the answer",
	"outcome":    "run, notRun or unknown",
	"took":       "time from arrival to the end",
	"problem":    "why a request has no answer of a target",
	"steps":      "what happened, each step with the milliseconds since arrival",
	"callerLeft": "whether the caller went away first",

	// At the gate.
	"reason":     "why the request was refused",
	"retryAfter": "when the request may be sent again",
	"reached":    "whether the gate was reached: if not, the upstream refused",
	"running":    "requests that hold a slot",
	"slots":      "slots of the target",
	"queued":     "requests that wait for a slot",
	"slowness":   "how long the target's work takes now, as a multiple of the usual time",
	"left":       "time left until the deadline",
	"givenUp":    "whether the entry had given the request up",
	"crashed":    "whether nothing listened at the target's address any more",

	// What the daemon believes.
	"state":    "what is believed now",
	"was":      "what was believed before",
	"leaving":  "whether the daemon drains",
	"since":    "when it began",
	"lostAt":   "when the platform was lost",
	"watching": "whether this daemon watches the platform for its data centre",
	"slow":     "whether the target is twice as slow as usual for its service",
	"failing":  "whether answers of the target fail",
	"ejected":  "whether the target gets no requests for a while",
	"version":  "version of the route table",
	"routes":   "number of routes",
	"from":     "daemon that the table came from; empty for the platform",
	"count":    "how many",

	// The process and its settings.
	"error":            "error as it was seen",
	"failure":          "what a handler panicked with",
	"stack":            "stack of the panic",
	"fingerprints":     "kinds of request that ran when the upstream crashed",
	"parts":            "parts of a list that were read",
	"total":            "lines left out since the start",
	"drainTimeout":     "longest time of a graceful stop",
	"lingerTime":       "time that callers are still taken after a stop was asked for",
	"silenceTime":      "time without a heartbeat after which the upstream counts as gone",
	"sharedRetryRatio": "extra attempts for each request, over all daemons",
	"sharedRetrySlack": "extra attempts besides, over all daemons",
	"needsRestart":     "whether a changed setting comes into force with the next start only",
}
