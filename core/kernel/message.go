package kernel

import "time"

// Message is something that happened. The set is closed: plug-ins tell
// messages apart with a type switch.
type Message interface{ message() }

// Started is the first message of a kernel.
type Started struct{}

// Ticked comes every TickInterval.
type Ticked struct{}

// TickInterval is the time between two Ticked messages.
const TickInterval = 100 * time.Millisecond

// Adopted says that records newer than those held have entered the table.
// From is the neighbour they came from, or empty.
type Adopted struct {
	From    string
	Records []Record
}

// EnvelopeReceived is a question or a push of another daemon. The answer is
// an AnswerPeer effect with the same token.
type EnvelopeReceived struct {
	Token    uint64
	Envelope Envelope
}

// EnvelopeAnswered is the answer to an AskPeer effect.
type EnvelopeAnswered struct {
	Peer     Neighbour
	Envelope Envelope
}

// PeerFailed says that an AskPeer effect got no answer in time.
type PeerFailed struct{ Peer Neighbour }

// PeerSynced says that this daemon's table has been compared with a peer's
// and now holds all that the peer held.
type PeerSynced struct{ Peer Neighbour }

// PeersFound names peer addresses of daemons that may not be known yet.
type PeersFound struct{ Addresses []string }

// PlatformAnswered is the end of a PlatformCall effect.
type PlatformAnswered struct {
	Owner  string
	Token  uint64
	Result PlatformResult
}

// ChangeAsked is an operator's wish to write or retire a configuration
// object. The answer is an AnswerChange effect with the same token.
type ChangeAsked struct {
	Token  uint64
	Nonce  string
	Key    Key
	Base   uint64
	Spec   []byte
	Author string
	Retire bool
}

// UpstreamAnnounced is the upstream's word about itself, repeated as a
// heartbeat.
type UpstreamAnnounced struct{ Target Target }

// UpstreamSilent says that the announcements have stopped.
type UpstreamSilent struct{}

// DrainAsked starts the drain of this daemon's target. With Leaving the daemon
// itself is about to stop as well.
type DrainAsked struct{ Leaving bool }

// StopAsked is the last message of a kernel: the process is about to end.
type StopAsked struct{}

// UpstreamCrashed names the requests that ran when the upstream died, and how
// long each of them counts against its fingerprint.
type UpstreamCrashed struct {
	Fingerprints []string
	BlockFor     time.Duration
}

// SuspectCompleted says that a request with the fingerprint of a suspect has
// been answered: it does not crash upstreams.
type SuspectCompleted struct{ Fingerprint string }

// ClaimAsked asks for the right to run a request that may not be repeated.
// The answer is an AnswerClaim effect with the same token. With TakeOver the
// asker could not reach the clerks before this one.
type ClaimAsked struct {
	Token     uint64
	TakeOver  bool
	Partition int
	Key       string
	Request   string
}

// ClaimClosed says how a claimed request ended: released on proof that it was
// not run, or settled as run.
type ClaimClosed struct {
	Partition int
	Key       string
	Request   string
	Released  bool
}

func (Started) message()           {}
func (Ticked) message()            {}
func (Adopted) message()           {}
func (EnvelopeReceived) message()  {}
func (EnvelopeAnswered) message()  {}
func (PeerFailed) message()        {}
func (PeerSynced) message()        {}
func (PeersFound) message()        {}
func (PlatformAnswered) message()  {}
func (ChangeAsked) message()       {}
func (UpstreamAnnounced) message() {}
func (UpstreamSilent) message()    {}
func (DrainAsked) message()        {}
func (StopAsked) message()         {}
func (UpstreamCrashed) message()   {}
func (SuspectCompleted) message()  {}
func (ClaimAsked) message()        {}
func (ClaimClosed) message()       {}
