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
// only then who the watchers of its region are: Least, and while new records still arrive
// until none has arrived for Quiet, but no longer than Most.
type Settling struct{ Least, Quiet, Most time.Duration }

// DefaultSettling suits changes that need not be in force within seconds of the fleet's
// start.
var DefaultSettling = Settling{Least: 3500 * time.Millisecond, Quiet: time.Second, Most: 8 * time.Second}

// Contact follows the exchanges with the neighbours. The zero value has had none.
type Contact struct {
	startedAt time.Time
	// lastContact is the time of the last successful exchange with a neighbour,
	// and failedPeers the time of the last failed one by the peer's address.
	lastContact time.Time
	failedPeers map[string]time.Time
	// recordCount is the number of replicated records, and recordsChangedAt when it
	// last changed.
	recordCount      int
	recordsChangedAt time.Time
}

// Update handles the start of the daemon and the end of an exchange. It ignores other
// events.
func (contact *Contact) Update(event kernel.Event) {
	switch message := event.Message.(type) {
	case kernel.Started:
		*contact = Contact{startedAt: event.At, failedPeers: map[string]time.Time{}}
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

// IsSettling reports whether this daemon has started too recently to watch.
func (contact *Contact) IsSettling(state *kernel.State, at time.Time, settling Settling) bool {
	if count := state.Table.Len(); count != contact.recordCount {
		contact.recordCount, contact.recordsChangedAt = count, at
	}
	switch age := at.Sub(contact.startedAt); {
	case age < settling.Least:
		return true
	case age < settling.Most:
		return at.Sub(contact.recordsChangedAt) < settling.Quiet
	default:
		return false
	}
}
