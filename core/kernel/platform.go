package kernel

import "time"

// PlatformCall is a call to the platform's object API. The set of calls is
// closed.
type PlatformCall interface{ platformCall() }

// WriteObject stores an object if its current version is BaseVersion. With
// BaseVersion 0 the object must not exist.
type WriteObject struct {
	Name        string
	BaseVersion uint64
	Body        []byte
}

// ReadObject reads one object.
type ReadObject struct{ Name string }

// ListObjects reads all objects whose name has the prefix. With StaleAllowed the
// result may be some seconds old, which costs a platform less that offers it.
type ListObjects struct {
	Prefix       string
	StaleAllowed bool
}

// WatchObjects waits, for at most Wait, until an object with the prefix changes
// after Revision.
type WatchObjects struct {
	Prefix   string
	Revision uint64
	Wait     time.Duration
}

// ReadRevision reads the platform's revision without any object. It may be some seconds
// old, which costs a platform less that offers it. Prefix is that of the objects which the
// caller watches.
type ReadRevision struct{ Prefix string }

// DeleteObject removes an object.
type DeleteObject struct{ Name string }

func (WriteObject) platformCall()  {}
func (ReadObject) platformCall()   {}
func (ListObjects) platformCall()  {}
func (WatchObjects) platformCall() {}
func (ReadRevision) platformCall() {}
func (DeleteObject) platformCall() {}

// CallKind returns the kind of a call as it appears in logs and metrics.
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
	case ReadRevision:
		return "revision"
	case DeleteObject:
		return "delete"
	default:
		return "other"
	}
}

// PlatformStatus is the outcome of a call to the platform.
type PlatformStatus uint8

// The outcomes of a call to the platform.
const (
	PlatformOK PlatformStatus = iota
	// PlatformConflict means that the object has another version than the one
	// that the write is based on.
	PlatformConflict
	// PlatformNotFound means that the object does not exist.
	PlatformNotFound
	// PlatformNotExecuted means that this call certainly had no effect: it did
	// not reach the platform, or the platform refused it. An earlier call may
	// still have taken effect.
	PlatformNotExecuted
	// PlatformUnknown means that the call may have taken effect, or may still
	// do so later.
	PlatformUnknown
	// PlatformHistoryLost means that the platform no longer keeps the history since
	// the revision that a watch starts from.
	PlatformHistoryLost
)

// String returns the status as it appears in logs and metrics, where "absent" means
// PlatformNotFound, "refused" PlatformNotExecuted and "gone" PlatformHistoryLost.
func (status PlatformStatus) String() string {
	names := [...]string{"ok", "conflict", "absent", "refused", "unknown", "gone"}
	if int(status) >= len(names) {
		return "other"
	}
	return names[status]
}

// Object is a versioned object stored by the platform.
type Object struct {
	Name    string
	Version uint64
	Body    []byte
}

// PlatformResult is the result of a call to the platform. Invalid is the number of
// objects in the reply that were left out because they could not be decoded. Deleted has
// the names of the objects whose deletion a watch reports. Era
// rises each time that the platform comes back from an older copy of its objects,
// after which revisions are given out again; it is 0 if the platform has no eras.
type PlatformResult struct {
	Era      uint64
	Status   PlatformStatus
	Object   Object
	Objects  []Object
	Deleted  []string
	Revision uint64
	Invalid  int
}

// ChangeStatus is the outcome of an operator's change.
type ChangeStatus uint8

// The outcomes of an operator's change. After ChangeNotWritten the change
// certainly had no effect; after ChangeUnknown it may have been written.
const (
	ChangeAccepted ChangeStatus = iota
	ChangeConflict
	ChangeInvalid
	ChangeNotWritten
	ChangeUnknown
)

// ChangeResult is the reply to an operator's change. Current is the record in
// force after it.
type ChangeResult struct {
	Status  ChangeStatus
	Current Record
	Detail  string
}

// ClaimStatus is the outcome of a request for a claim.
type ClaimStatus uint8

// The outcomes of a request for a claim.
const (
	ClaimGranted ClaimStatus = iota
	// ClaimAlreadyRun means that another request holds the key and has run.
	ClaimAlreadyRun
	// ClaimOutcomeUnknown means that another request holds the key and it is
	// not known whether it has run.
	ClaimOutcomeUnknown
	// ClaimUnavailable means that the claim can be neither granted nor denied
	// at present.
	ClaimUnavailable
	// ClaimNotCoordinator means that this daemon is not the claim coordinator
	// of the partition.
	ClaimNotCoordinator
)

// ClaimResult is the reply to a ClaimRequested. Holder is the ID of the request
// that holds the key. Reason says for the coordinator's log why a claim is
// unavailable.
type ClaimResult struct {
	Status ClaimStatus
	Holder string
	Reason string
}
