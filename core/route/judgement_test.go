package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/profile"
	"ibislift/core/route"
)

func TestJudge(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	rules := profile.Default().Ejection
	judged := func(book *route.Book, at time.Time, before route.Judgement) route.Judgement {
		return book.Judge(at, func(string) route.Judgement { return before })["a"]
	}
	t.Run("a target that answers well is not worth telling", func(t *testing.T) {
		book := &route.Book{}
		book.Answered("a", start, time.Millisecond)
		is.New(t).Equal(len(book.Judge(start, func(string) route.Judgement { return route.Judgement{} })), 0)
	})
	t.Run("a slow target is told until it is fast again", func(t *testing.T) {
		book := &route.Book{}
		is := is.New(t)
		book.Reported("b", start, admit.Load{Slots: 1, Slowness: 1})
		book.Reported("a", start, admit.Load{Slots: 1, Slowness: 4})
		slow := judged(book, start, route.Judgement{})
		is.True(slow.Slow)
		book.Reported("a", start, admit.Load{Slots: 1, Slowness: 1})
		is.True(judged(book, start.Add(100*time.Millisecond), slow).Slow) // that may pass
		book.Reported("a", start.Add(10*time.Second), admit.Load{Slots: 1, Slowness: 1.5})
		is.True(judged(book, start.Add(10*time.Second), slow).Slow)               // above half of the bound
		is.True(!judged(book, start.Add(10*time.Second), route.Judgement{}).Slow) // and below the bound
		is.True(!judged(book, start.Add(time.Minute), slow).Slow)                 // an old report says nothing
	})
	t.Run("a failing target is ejected, both are told and both end", func(t *testing.T) {
		book := &route.Book{}
		is := is.New(t)
		for range rules.ConsecutiveFailures {
			book.Failed("a", start, rules)
		}
		bad := judged(book, start, route.Judgement{})
		is.True(bad.Failing)
		is.True(bad.Ejected)
		is.Equal(judged(book, start.Add(time.Hour), bad), route.Judgement{})
	})
}
