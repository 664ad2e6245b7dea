package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/route"
)

// reported is a candidate that has just reported its load.
func reported(running int, slowness float64) route.Candidate {
	return route.Candidate{Known: true, Warmth: 1, Load: admit.Load{Running: running, Slots: 10, Slowness: slowness}}
}

var plain = route.Request{Work: 100 * time.Millisecond, Bytes: 5000, UsualLoad: 0.4, UsualSlowness: 1.75}

// taken checks which candidate is taken.
func taken(t *testing.T, request route.Request, expected int, candidates ...route.Candidate) {
	t.Helper()
	best, _ := route.ChooseSoonest(request, candidates)
	is.New(t).Equal(best, expected)
}

func TestSoonest(t *testing.T) {
	far := func(candidate route.Candidate) route.Candidate {
		candidate.Link = 30 * time.Millisecond
		candidate.SecondsPerByte = 8e-6
		return candidate
	}
	t.Run("a slowed target is avoided", func(t *testing.T) {
		taken(t, plain, 1, reported(0, 4), reported(3, 1))
	})
	t.Run("the near one goes first among equals", func(t *testing.T) {
		taken(t, plain, 1, far(reported(0, 1)), reported(2, 1))
	})
	t.Run("a far one is better than a near one with a queue", func(t *testing.T) {
		taken(t, plain, 0, far(reported(0, 1)), reported(40, 1))
	})
	t.Run("a large answer stays near, even on a slowed target", func(t *testing.T) {
		large := plain
		large.Bytes = 90_000
		taken(t, large, 1, far(reported(0, 1)), reported(0, 4))
	})
	t.Run("an old word on slowness fades to the usual", func(t *testing.T) {
		old := reported(0, 4)
		old.Age = 2 * time.Second
		taken(t, plain, 0, old, reported(0, 3))
	})
	t.Run("one that has said nothing is tried", func(t *testing.T) {
		taken(t, plain, 0, route.Candidate{Warmth: 0, Load: admit.Load{Slots: 10}}, reported(2, 1.5))
	})
	t.Run("the patience is what the next best costs more", func(t *testing.T) {
		_, patience := route.ChooseSoonest(plain, []route.Candidate{reported(0, 1), reported(0, 3)})
		is.New(t).True(patience > 150*time.Millisecond && patience < 250*time.Millisecond)
		_, patience = route.ChooseSoonest(plain, []route.Candidate{reported(0, 1)})
		is.New(t).Equal(patience, time.Duration(0))
	})
}

func TestClasses(t *testing.T) {
	is := is.New(t)
	book := &route.Book{}
	is.Equal(book.Class("a"), route.Class{})
	for range 100 {
		book.Learn("a", 80*time.Millisecond, 5000)
		book.Learn("b", 20*time.Millisecond, 10)
	}
	is.Equal(book.Class("a"), route.Class{Work: 80 * time.Millisecond, Bytes: 5000})
}
