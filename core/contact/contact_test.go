package contact_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/contact"
	"ibislift/core/kernel"
)

var settling = contact.Settling{Least: 2 * time.Second, Quiet: 500 * time.Millisecond, Most: 3 * time.Second}

// settlingTime starts a daemon, adds a record of the kind with each tick, and returns how
// long the daemon settles.
func settlingTime(kind kernel.Kind) time.Duration {
	const limit = 10 * time.Second
	start := time.Unix(1_800_000_000, 0)
	var contact contact.Contact
	contact.Update(kernel.Event{At: start, Message: kernel.Started{}})
	state := &kernel.State{}
	for age := time.Duration(0); age < limit; age += kernel.TickInterval {
		state.Table.Put(kernel.Record{Key: kernel.Key{Kind: kind, Name: fmt.Sprint(age)}, Version: 1})
		if !contact.IsSettling(state, start.Add(age), settling) {
			return age
		}
	}
	return limit
}

// Guards against daemons that start with the whole fleet and watch late because records
// arrive that say nothing about the watchers.
func TestSettlingEnds(t *testing.T) {
	t.Run("records of departures do not extend it", func(t *testing.T) {
		is.New(t).Equal(settlingTime(kernel.KindDepartures), settling.Least)
	})
	t.Run("new members extend it", func(t *testing.T) {
		is.New(t).Equal(settlingTime(kernel.KindMember), settling.Most)
	})
}
