package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
)

// reserve returns a gate that has granted its slot to request 1, and the time of the
// grant.
func reserve(t *testing.T, timeLeft time.Duration) (*admit.Gate, time.Time) {
	t.Helper()
	gate := &admit.Gate{Slots: 1, QueueBound: 4}
	at := time.Unix(1_800_000_000, 0)
	effects := gate.Update(admit.Arrived{ID: 1, At: at, Deadline: at.Add(timeLeft), Reserve: true})
	is.New(t).Equal(effects, []admit.Effect{admit.Grant{ID: 1}})
	return gate, at
}

// checkLateCommit checks that a commit is refused, and that the slot is free for the
// next request. No tick comes in between, as after a pause of the process.
func checkLateCommit(t *testing.T, gate *admit.Gate, at time.Time, reason admit.Reason) {
	t.Helper()
	is := is.New(t)
	is.Equal(gate.Update(admit.Committed{ID: 1, At: at}), []admit.Effect{admit.Refuse{ID: 1, Reason: reason}})
	next := gate.Update(admit.Arrived{ID: 2, At: at, Deadline: at.Add(time.Minute)})
	is.Equal(next, []admit.Effect{admit.HandOver{ID: 2}})
}

// No request runs on a reservation that ended during a pause.
func TestLateCommit(t *testing.T) {
	t.Run("after the deadline", func(t *testing.T) {
		gate, at := reserve(t, time.Second)
		checkLateCommit(t, gate, at.Add(time.Second), admit.ReasonDeadline)
	})
	t.Run("after the end of the reservation", func(t *testing.T) {
		gate, at := reserve(t, time.Minute)
		checkLateCommit(t, gate, at.Add(admit.ReservationTimeout), admit.ReasonReservationExpired)
	})
	t.Run("just before either it runs", func(t *testing.T) {
		gate, at := reserve(t, admit.ReservationTimeout)
		effects := gate.Update(admit.Committed{ID: 1, At: at.Add(admit.ReservationTimeout - time.Millisecond)})
		is.New(t).Equal(effects, []admit.Effect{admit.HandOver{ID: 1}})
	})
}
