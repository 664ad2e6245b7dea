package kernel

import "time"

// Effect is an action that a plug-in requests. The kernel performs
// MergeRecords and Dispatch itself; the driver performs all others. The set of
// effects is closed.
type Effect interface{ effect() }

// MergeRecords offers records to the table. The kernel stores those that every
// plug-in accepts and that are newer than the stored versions.
type MergeRecords struct {
	// From is the ID of the daemon that sent the records, or empty if they
	// originate here.
	From    string
	Records []Record
}

// Dispatch passes a message to all plug-ins. The kernel performs it.
type Dispatch struct{ Message Message }

// Publish replaces the View that traffic goroutines read.
type Publish struct{ View *View }

// Wake requests an additional Ticked message, earlier than the next regular
// one.
type Wake struct{ After time.Duration }

// ProbeUpstream requests the health and load of the local upstream.
type ProbeUpstream struct{}

// CallPeer sends an envelope to another daemon. Its result arrives as
// PeerReplied or PeerFailed.
type CallPeer struct {
	Peer     Neighbour
	Envelope Envelope
}

// ReplyToPeer replies to the EnvelopeReceived with the same token.
type ReplyToPeer struct {
	Token    uint64
	Envelope Envelope
}

// CallPlatform makes one call to the platform's object API. Its result arrives
// as PlatformCallEnded with the same owner and token.
type CallPlatform struct {
	Owner string
	Token uint64
	Call  PlatformCall
}

// CancelPlatformCall ends a CallPlatform that waits. Its result still arrives.
type CancelPlatformCall struct {
	Owner string
	Token uint64
}

// ReplyToChange replies to the ChangeRequested with the same token.
type ReplyToChange struct {
	Token  uint64
	Result ChangeResult
}

// ReplyToClaim replies to the ClaimRequested with the same token.
type ReplyToClaim struct {
	Token  uint64
	Result ClaimResult
}

func (MergeRecords) effect()       {}
func (Dispatch) effect()           {}
func (Publish) effect()            {}
func (Wake) effect()               {}
func (ProbeUpstream) effect()      {}
func (CallPeer) effect()           {}
func (ReplyToPeer) effect()        {}
func (CallPlatform) effect()       {}
func (CancelPlatformCall) effect() {}
func (ReplyToChange) effect()      {}
func (ReplyToClaim) effect()       {}

// Neighbour is a daemon that this one exchanges control traffic with. ID is
// empty for a first peer of which only the address is known.
type Neighbour struct {
	ID      string
	Address string
	// Monitored neighbours become suspect when they stop replying.
	Monitored bool
}

// Envelope is the message with which two daemons reconcile their tables. The
// first message of a comparison carries only TableDigest; the fields after it narrow
// down the differences step by step.
type Envelope struct {
	// From is the ID of the sender.
	From string
	// TableDigest is the digest of the sender's table. It is set in the first message
	// of a comparison and in replies, and zero in all other messages.
	TableDigest uint64
	// BucketDigests has the digest of each bucket of the sender's table.
	BucketDigests []uint64
	// ComparedBuckets are the buckets whose digests differ, and Versions lists
	// the sender's records in them.
	ComparedBuckets []int
	Versions        []KeyVersion
	// Wanted has the keys of the records that the sender requests from the
	// receiver, whose versions are newer.
	Wanted  []Key
	Records []Record
}
