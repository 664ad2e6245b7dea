package kernel

import "time"

// Effect is something that has to be done outside the kernel, or by the
// kernel itself (Adopt, Raise). The set is closed.
type Effect interface{ effect() }

// Adopt offers records to the table. The kernel performs it.
type Adopt struct {
	From    string
	Records []Record
}

// Raise hands a message to all plug-ins. The kernel performs it.
type Raise struct{ Message Message }

// Publish replaces the view that traffic goroutines read.
type Publish struct{ View *View }

// Wake asks for a Ticked message sooner than the next regular one.
type Wake struct{ After time.Duration }

// ProbeUpstream asks the upstream beside for its health and load.
type ProbeUpstream struct{}

// AskPeer sends an envelope to another daemon. It ends with EnvelopeAnswered
// or PeerFailed.
type AskPeer struct {
	Peer     Neighbour
	Envelope Envelope
}

// AnswerPeer answers an EnvelopeReceived.
type AnswerPeer struct {
	Token    uint64
	Envelope Envelope
}

// CallPlatform makes one call of the platform's object API. It ends with
// PlatformAnswered.
type CallPlatform struct {
	Owner string
	Token uint64
	Call  PlatformCall
}

// AnswerChange answers a ChangeAsked.
type AnswerChange struct {
	Token  uint64
	Result ChangeResult
}

// AnswerClaim answers a ClaimAsked.
type AnswerClaim struct {
	Token  uint64
	Result ClaimResult
}

func (Adopt) effect()         {}
func (Raise) effect()         {}
func (Publish) effect()       {}
func (Wake) effect()          {}
func (ProbeUpstream) effect() {}
func (AskPeer) effect()       {}
func (AnswerPeer) effect()    {}
func (CallPlatform) effect()  {}
func (AnswerChange) effect()  {}
func (AnswerClaim) effect()   {}

// Neighbour is a daemon that this one talks to for control. ID is empty for a
// first peer that is known by its address only.
type Neighbour struct {
	ID      string
	Address string
	// Watched neighbours are suspected when they stop answering.
	Watched bool
}

// Envelope is what two daemons exchange to bring their tables together. A
// probe carries Root alone; each further part narrows the difference down.
type Envelope struct {
	From     string
	Root     uint64
	Buckets  []uint64
	Compared []int
	Versions []KeyVersion
	Wanted   []Key
	Records  []Record
}
