package check

// The codes of findings that are errors.
const (
	// CodeUnreadable is for a file that is not JSON.
	CodeUnreadable = "unreadable"
	// CodeWrongType is for a value of another type than the field has, or one that its
	// type cannot hold.
	CodeWrongType = "wrongType"
	// CodeFieldCase is for the name of a field in other letters, which a daemon reads and
	// other programs do not.
	CodeFieldCase = "fieldCase"
	// CodeDuplicateField is for a field that an object has twice. The last one counts.
	CodeDuplicateField   = "duplicateField"
	CodeUnknownRouteType = "unknownRouteType"
	CodeVersionMissing   = "versionMissing"
	CodeVersionTooHigh   = "versionTooHigh"
	CodeVersionNotNewer  = "versionNotNewer"
	CodeHostMissing      = "hostMissing"
	// CodePrefixStart and CodePrefixEnd are for a prefix without a slash there. Without the
	// last one, /order also matches /orders.
	CodePrefixStart         = "prefixStart"
	CodePrefixEnd           = "prefixEnd"
	CodeDestinationsMissing = "destinationsMissing"
	CodeServiceMissing      = "serviceMissing"
	CodeWeightsNotPositive  = "weightsNotPositive"
	CodeNegativeNumber      = "negativeNumber"
	CodeNameMissing         = "nameMissing"
	CodeNameDuplicate       = "nameDuplicate"
	CodeKeyEmpty            = "keyEmpty"
	CodeKeyTwice            = "keyTwice"
	CodeKeyOfTwoWorkspaces  = "keyOfTwoWorkspaces"
	// CodeInForceUnreadable is for a configuration in force that cannot be compared.
	CodeInForceUnreadable = "inForceUnreadable"
	// CodeRejected is for a configuration that a daemon rejects for a reason that no other
	// check finds.
	CodeRejected = "rejected"
)

// The codes of findings that are warnings.
const (
	// CodeFieldSpelling is for a field that is not known and differs from a known one only
	// by its hyphens, underscores and letters.
	CodeFieldSpelling = "fieldSpelling"
	// CodeUnknownEntryType is for an entry of a type that is ignored and is spelled almost
	// like a known one.
	CodeUnknownEntryType     = "unknownEntryType"
	CodeMixedDestinations    = "mixedDestinations"
	CodeNoRoutes             = "noRoutes"
	CodeRouteShadowed        = "routeShadowed"
	CodeHostNeverMatches     = "hostNeverMatches"
	CodeDestinationWeight    = "destinationWeightZero"
	CodeServiceWithoutEntry  = "serviceWithoutEntry"
	CodeServiceUnused        = "serviceUnused"
	CodeRegionUnknown        = "regionUnknown"
	CodeRegionWithoutTargets = "regionWithoutTargets"
	CodeRouteUnreachable     = "routeUnreachable"
	CodeRegionsDisjoint      = "regionsDisjoint"
	CodeKeysMissing          = "keysMissing"
	CodeKeyNotSendable       = "keyNotSendable"
	CodeTimeoutBelow         = "timeoutBelowObjective"
	CodeAttemptsBelowOne     = "attemptsBelowOne"
	CodeLimitZero            = "limitZero"
	CodeBurstBelowOne        = "burstBelowOne"
	CodeBurstWithoutRate     = "burstWithoutRate"
	CodeQuotaAbove           = "quotaAboveCapacity"
	CodeQuotasAbove          = "quotasAboveCapacity"
	CodeWarmupIncomplete     = "warmupIncomplete"
	CodeLimitsTwice          = "limitsTwice"
)
