package kernel

import "time"

// Message describes what happened in an Event. The set of messages is closed:
// plug-ins distinguish them with a type switch.
type Message interface{ message() }

// Started is the first message that a kernel receives.
type Started struct{}

// Ticked is sent every TickInterval, and when a Wake effect is due.
type Ticked struct{}

// TickInterval is the time between two Ticked messages.
const TickInterval = 100 * time.Millisecond

// RecordsMerged reports records that have been stored in the table because
// they are newer than the previous versions. From is the ID of the daemon that
// sent them, or empty if they originate here.
type RecordsMerged struct {
	From    string
	Records []Record
}

// EnvelopeReceived is a request from another daemon. The reply is a ReplyToPeer
// effect with the same token.
type EnvelopeReceived struct {
	Token    uint64
	Envelope Envelope
}

// PeerReplied is the reply to a CallPeer effect.
type PeerReplied struct {
	Peer     Neighbour
	Envelope Envelope
}

// PeerFailed reports that a CallPeer effect got no reply in time.
type PeerFailed struct{ Peer Neighbour }

// PeerSynced reports a reply after which this daemon requests nothing more from
// the peer. After a comparison, its table contains every record that the peer had.
// The reply to records that this daemon sent also counts, although nothing was
// compared.
type PeerSynced struct{ Peer Neighbour }

// PeersFound reports peer addresses of daemons that may not be known yet.
type PeersFound struct{ Addresses []string }

// PlatformCallEnded is the result of a CallPlatform effect.
type PlatformCallEnded struct {
	Owner  string
	Token  uint64
	Result PlatformResult
}

// ChangeRequested is an operator's request to write or retire a configuration
// object. The reply is a ReplyToChange effect with the same token.
type ChangeRequested struct {
	Token uint64
	Nonce string
	Key   Key
	// BaseVersion is the version that the change replaces.
	BaseVersion uint64
	Spec        []byte
	Author      string
	Retire      bool
}

// NoPeersFound reports that neither the settings nor the platform name another daemon.
type NoPeersFound struct{}

// UpstreamAnnounced is the announcement that the local upstream repeats as a
// heartbeat. Instance is empty if the upstream does not name its instances.
type UpstreamAnnounced struct {
	Target   Target
	Instance string
}

// UpstreamDeparted reports that an instance of the local upstream has said that it is
// leaving.
type UpstreamDeparted struct{ Departure Departure }

// UpstreamSilent reports that the local upstream has stopped announcing
// itself.
type UpstreamSilent struct{}

// DrainRequested starts the drain of this daemon's target. Leaving means that
// the daemon is about to stop as well.
type DrainRequested struct{ Leaving bool }

// StopRequested is the last message that a kernel receives before the process
// exits.
type StopRequested struct{}

// UpstreamCrashed reports the fingerprints of the requests that were running
// when the local upstream crashed. The crash counts against each of them for
// BlockFor.
type UpstreamCrashed struct {
	Fingerprints []string
	BlockFor     time.Duration
}

// SuspectCompleted reports that a request with a suspect fingerprint has
// completed, so the fingerprint does not crash upstreams.
type SuspectCompleted struct{ Fingerprint string }

// ClaimRequested asks for the right to run a request that must not run twice.
// The reply is a ReplyToClaim effect with the same token.
type ClaimRequested struct {
	Token uint64
	// TakeOver is set when the earlier claim coordinators of the partition
	// could not be reached or have refused, so that this one is to take over.
	TakeOver  bool
	Partition int
	// Key is the idempotency key of the request.
	Key       string
	RequestID string
}

// ClaimClosed reports how a claimed request ended. Released means that it is
// proven not to have run; otherwise it is recorded as run.
type ClaimClosed struct {
	Partition int
	Key       string
	RequestID string
	Released  bool
}

// TimerLatenessMeasured reports how late a timer of this daemon has fired.
type TimerLatenessMeasured struct{ Late time.Duration }

// WithdrawalClaimed reports the order of this daemon's claim to withdraw from callers, or
// 0 if it has none.
type WithdrawalClaimed struct{ Order uint64 }

func (Started) message()               {}
func (Ticked) message()                {}
func (RecordsMerged) message()         {}
func (EnvelopeReceived) message()      {}
func (PeerReplied) message()           {}
func (PeerFailed) message()            {}
func (PeerSynced) message()            {}
func (PeersFound) message()            {}
func (NoPeersFound) message()          {}
func (PlatformCallEnded) message()     {}
func (ChangeRequested) message()       {}
func (UpstreamAnnounced) message()     {}
func (UpstreamDeparted) message()      {}
func (UpstreamSilent) message()        {}
func (DrainRequested) message()        {}
func (StopRequested) message()         {}
func (UpstreamCrashed) message()       {}
func (SuspectCompleted) message()      {}
func (ClaimRequested) message()        {}
func (ClaimClosed) message()           {}
func (TimerLatenessMeasured) message() {}
func (WithdrawalClaimed) message()     {}
