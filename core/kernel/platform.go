package kernel

import "time"

// PlatformCall is one call of the platform's object API. The set is closed.
type PlatformCall interface{ platformCall() }

// WriteObject stores an object if its version still is Base; Base 0 means
// that it must not exist.
type WriteObject struct {
	Name string
	Base uint64
	Body []byte
}

// ReadObject reads one object.
type ReadObject struct{ Name string }

// ListObjects reads all objects whose name has the prefix.
type ListObjects struct{ Prefix string }

// WatchObjects waits for objects with the prefix to change after a revision,
// for at most Wait.
type WatchObjects struct {
	Prefix   string
	Revision uint64
	Wait     time.Duration
}

// DeleteObject removes an object.
type DeleteObject struct{ Name string }

func (WriteObject) platformCall()  {}
func (ReadObject) platformCall()   {}
func (ListObjects) platformCall()  {}
func (WatchObjects) platformCall() {}
func (DeleteObject) platformCall() {}

// CallKind names the kind of a call for logs and metrics.
func CallKind(call PlatformCall) string {
	switch call.(type) {
	case WriteObject:
		return "write"
	case ReadObject:
		return "read"
	case ListObjects:
		return "list"
	case WatchObjects:
		return "watch"
	case DeleteObject:
		return "delete"
	default:
		return "other"
	}
}

// PlatformStatus says how a call of the platform ended.
type PlatformStatus uint8

// The ways in which a call of the platform ends. After PlatformRefused the
// call certainly had no effect; after PlatformUnknown it may have had one,
// now or later.
const (
	PlatformOK PlatformStatus = iota
	PlatformConflict
	PlatformAbsent
	PlatformRefused
	PlatformUnknown
	// PlatformGone says that the history from which a watch asked has been
	// dropped.
	PlatformGone
)

// String names the status for logs and metrics.
func (status PlatformStatus) String() string {
	names := [...]string{"ok", "conflict", "absent", "refused", "unknown", "gone"}
	if int(status) >= len(names) {
		return "other"
	}
	return names[status]
}

// Object is a versioned object of the platform.
type Object struct {
	Name    string
	Version uint64
	Body    []byte
}

// PlatformResult is the end of a call of the platform.
type PlatformResult struct {
	Status   PlatformStatus
	Object   Object
	Objects  []Object
	Revision uint64
}

// ChangeStatus says how an operator's change ended.
type ChangeStatus uint8

// The ways in which a change ends.
const (
	ChangeAccepted ChangeStatus = iota
	ChangeConflict
	ChangeInvalid
	ChangeNotRun
	ChangeUnknown
)

// ChangeResult answers an operator's change. Current is what stands now.
type ChangeResult struct {
	Status  ChangeStatus
	Current Record
	Detail  string
}

// ClaimStatus says how a request for a claim ended.
type ClaimStatus uint8

// The ways in which a request for a claim ends. ClaimRun and ClaimUnknown
// tell what is known of the earlier request that holds the key.
const (
	ClaimGranted ClaimStatus = iota
	ClaimRun
	ClaimUnknown
	ClaimUnavailable
	ClaimElsewhere
)

// ClaimResult answers a ClaimAsked. Holder is the request that has the key.
type ClaimResult struct {
	Status ClaimStatus
	Holder string
}
