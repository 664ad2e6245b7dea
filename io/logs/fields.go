package logs

// Fields maps the name of each log field to a description of its value. Times are
// in the format of RFC 3339 and durations in nanoseconds. A test checks that log
// lines use no other fields.
var Fields = map[string]string{
	// The request, the daemons and the target.
	"instance":    "name of the daemon that wrote the line",
	"request":     "ID of the request; the IDs of calls that the upstream makes for it start with it",
	"service":     "service that the request is for, or the service of the target",
	"class":       "class of requests that are measured together: their route",
	"target":      "name of the target",
	"member":      "name of another daemon",
	"peer":        "name of the daemon that was called",
	"clerk":       "name of the claim coordinator: the daemon that decides on claims of idempotency keys",
	"name":        "name of the daemon itself",
	"address":     "address of the other party",
	"callers":     "address that accepts callers' requests",
	"path":        "path of the health check",
	"incarnation": "start time of the daemon, in Unix milliseconds",

	// The end of a request at the daemon that the caller reached.
	"rank":       "priority of the request; 0 is the highest. It is 1024 times the rank of the workspace plus that of the route",
	"deadline":   "time left until the deadline when the request arrived",
	"objective":  "time left at arrival until the response loses most of its value",
	"status":     "HTTP status of the response",
	"outcome":    "run, notRun or unknown",
	"took":       "time from arrival to the end",
	"workspace":  "workspace whose API key the request carries",
	"regions":    "regions that the request is restricted to",
	"problem":    "why the request has no response from a target",
	"steps":      "steps of the request, each with the milliseconds since arrival",
	"callerLeft": "whether the caller left before the end of the response",

	// Connections of callers.
	"connection":  "address of the caller's end of its connection",
	"connections": "number of open connections",
	"busy":        "number of connections with a request in progress or being read",
	"age":         "time since the connection was accepted",
	"used":        "whether a request has come on the connection",
	"requests":    "number of requests of the connection that are in progress",
	"reading":     "whether the header of a request is being read",

	// At the gate.
	"reason":     "why the request was refused, or why the daemon has withdrawn from callers or returned",
	"cause":      "what put the request behind others: rank, or the use of its workspace",
	"retryAfter": "when the request may be sent again",
	"reached":    "whether the upstream itself refused the request; if not, the gate did",
	"running":    "number of requests that hold a slot",
	"slots":      "number of slots of the target",
	"queued":     "number of requests that wait for a slot",
	"slowness":   "current service time on the target, as a multiple of the usual one",
	"rateDelay":  "time until the upstream's rate limit or its warm-up limit lets a further request through",
	"cold":       "whether the upstream takes only its warm-up rate",
	"warmupLeft": "how much longer the upstream stays cold",
	"limited":    "whether the upstream names a rate limit",
	"perSecond":  "requests a second that the upstream takes from all daemons together",
	"handedOver": "number of requests handed over to the upstream since the daemon started",
	"left":       "time left until the deadline",
	"givenUp":    "whether the ingress had already given up on the request",
	"crashed":    "whether the target's address no longer accepted connections",

	// The daemon's record of the fleet and of the configuration.
	"state":        "current state of the daemon or target",
	"was":          "previous state, version or count",
	"leaving":      "whether the daemon is stopping",
	"uptime":       "time since the daemon started",
	"since":        "when the current state began",
	"until":        "when the current state ends at the latest",
	"lostAt":       "when the connection to the platform was lost",
	"evacuated":    "whether the data centre of the target is evacuated",
	"dataCentres":  "data centres whose targets get nothing",
	"watching":     "whether this daemon watches the platform for its region",
	"following":    "whether the watch of this daemon has begun",
	"platformLost": "whether this daemon has reported that it does not reach the platform",
	"slow":         "whether the target is twice as slow as usual for its service",
	"failing":      "whether the target responds with failures",
	"ejected":      "whether the target temporarily receives no requests",
	"version":      "version of the route table",
	"routes":       "number of routes",
	"added":        "number of API keys that the route table adds to the workspace",
	"removed":      "number of API keys that the route table removes from the workspace",
	"from":         "daemon that sent the table; empty if it came from the platform",
	"count":        "number of items",

	// Quotas of workspaces.
	"slot":  "number of a group of workspaces whose quotas have the same owner",
	"votes": "part of the votes of the slot that the daemon has",

	// The process and its settings.
	"error":            "the error",
	"failure":          "value of the panic in a handler",
	"stack":            "stack trace of the panic",
	"fingerprints":     "fingerprints of the requests that were running when the upstream crashed",
	"parts":            "number of pages of a list that were read",
	"total":            "number of lines left out since the start",
	"drainTimeout":     "time limit of a graceful stop",
	"lingerTime":       "time for which callers' requests are still accepted after a stop was requested",
	"silenceTime":      "time without a heartbeat after which the upstream is considered gone",
	"sharedRetryRatio": "extra attempts allowed per request, over all daemons",
	"sharedRetrySlack": "extra attempts allowed in addition to the ratio, over all daemons",
	"needsRestart":     "whether a changed setting takes effect only after a restart",
}
