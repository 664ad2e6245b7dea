// Package contact tells a plug-in that follows the platform whether its neighbours bring
// what the watchers read, so that it need not call the platform itself, and whether the
// daemon has started too recently to know the watchers.
//
// # Usage
//
//	contact.Update(event)
//	if !state.Watching && contact.IsConnected(event.At) {
//		return nil // the neighbours send every change
//	}
package contact

import (
	"time"

	"ibislift/core/kernel"
)

// Limits for the loss of contact.
const (
	// contactTimeout is how long a daemon considers itself connected after its
	// last exchange with a neighbour. Exchanges happen once a second.
	contactTimeout = 2500 * time.Millisecond
	// failureRetention is how long a neighbour counts as failed after an
	// exchange with it has failed.
	failureRetention = 3 * time.Second
	// minFailedNeighbours is the number of failed neighbours from which a
	// daemon considers itself disconnected. A single one may be restarting.
	minFailedNeighbours = 2
)

// Settling is how long a daemon waits after its start before it watches, since it learns
// only then who the watchers of its region are: Least, and while new members appear until
// none has appeared for Quiet, but no longer than Most.
type Settling struct{ Least, Quiet, Most time.Duration }

// Contact follows the exchanges with the neighbours. The zero value has had none.
type Contact struct {
	startedAt time.Time
	// lastContact is the time of the last successful exchange with a neighbour,
	// and failedPeers the time of the last failed one by the peer's address.
	lastContact time.Time
	failedPeers map[string]time.Time
	// memberCount is the number of known members, and membersChangedAt when it last
	// changed.
	memberCount      int
	membersChangedAt time.Time
	// isSynced is set once another daemon has sent its records.
	isSynced bool
}

// Update handles the start of the daemon and the end of an exchange. It ignores other
// events.
func (contact *Contact) Update(event kernel.Event) {
	switch message := event.Message.(type) {
	case kernel.Started:
		*contact = Contact{startedAt: event.At, failedPeers: map[string]time.Time{}}
	case kernel.PeerSynced:
		contact.isSynced = true
	case kernel.PeerReplied:
		contact.lastContact = event.At
		delete(contact.failedPeers, message.Peer.Address)
	case kernel.PeerFailed:
		contact.failedPeers[message.Peer.Address] = event.At
	}
}

// IsConnected reports whether this daemon has enough contact with its neighbours
// to receive what the watchers read.
func (contact *Contact) IsConnected(at time.Time) bool {
	failedCount := 0
	for address, failedAt := range contact.failedPeers {
		if at.Sub(failedAt) > failureRetention {
			delete(contact.failedPeers, address)
			continue
		}
		failedCount++
	}
	return at.Sub(contact.lastContact) <= contactTimeout && failedCount < minFailedNeighbours
}

// IsSynced reports whether another daemon has sent its records since the start.
func (contact *Contact) IsSynced() bool { return contact.isSynced }

// IsSettling reports whether this daemon has started too recently to watch.
func (contact *Contact) IsSettling(state *kernel.State, at time.Time, settling Settling) bool {
	if count := state.Table.Count(kernel.KindMember); count != contact.memberCount {
		contact.memberCount, contact.membersChangedAt = count, at
	}
	switch age := at.Sub(contact.startedAt); {
	case age < settling.Least:
		return true
	case age < settling.Most:
		return at.Sub(contact.membersChangedAt) < settling.Quiet
	default:
		return false
	}
}
