package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// candidates returns watcher candidates of which the numbered ones follow the platform.
func candidates(following ...int) []kernel.Member {
	members := make([]kernel.Member, maxWatcherCandidates)
	for number := range members {
		members[number] = kernel.Member{ID: fmt.Sprint(number), State: kernel.MemberAlive}
	}
	for _, number := range following {
		members[number].Following = true
	}
	return members
}

// Guards against a moment in which no daemon of a region follows the platform, and against
// more watchers than are needed.
func TestWatcherChoice(t *testing.T) {
	suspected := candidates(0, 1)
	suspected[1].State = kernel.MemberSuspect
	for _, test := range []struct {
		name       string
		candidates []kernel.Member
		self       kernel.Member
		follows    bool
		unfollowed time.Duration
		watches    bool
		rank       int
	}{
		{name: "the first in rank watches", candidates: candidates(), self: kernel.Member{ID: "0"}, watches: true, rank: 0},
		{name: "the second in rank watches", candidates: candidates(), self: kernel.Member{ID: "1"}, watches: true, rank: 1},
		{name: "one that follows goes on until two before it do", candidates: candidates(0, 2), self: kernel.Member{ID: "2"}, follows: true, watches: true, rank: standInRank},
		{name: "one that follows goes on after those behind it", candidates: candidates(2, 3, 4), self: kernel.Member{ID: "2"}, follows: true, watches: true, rank: standInRank},
		{name: "one that follows ends after two before it", candidates: candidates(0, 1, 2), self: kernel.Member{ID: "2"}, follows: true, rank: standInRank},
		{name: "one that is no candidate any more goes on", candidates: candidates(0), self: kernel.Member{ID: "gone"}, follows: true, watches: true, rank: standInRank},
		{name: "one that does not reach the platform ends", candidates: candidates(0), self: kernel.Member{ID: "gone", PlatformLost: true}, follows: true, rank: standInRank},
		{name: "a suspected watcher does not count", candidates: suspected, self: kernel.Member{ID: "2"}, follows: true, watches: true, rank: standInRank},
		{name: "the third does not watch at once", candidates: candidates(), self: kernel.Member{ID: "2"}, unfollowed: takeOverDelay - 1, rank: standInRank},
		{name: "the third takes over", candidates: candidates(), self: kernel.Member{ID: "2"}, unfollowed: takeOverDelay, watches: true, rank: standInRank},
		{name: "the fourth waits for the third", candidates: candidates(), self: kernel.Member{ID: "3"}, unfollowed: takeOverDelay, rank: standInRank},
		{name: "the fourth takes over", candidates: candidates(), self: kernel.Member{ID: "3"}, unfollowed: 2 * takeOverDelay, watches: true, rank: standInRank},
		{name: "nobody takes over while one follows", candidates: candidates(1), self: kernel.Member{ID: "2"}, unfollowed: time.Minute, rank: standInRank},
		{name: "one that does not reach the platform does not take over", candidates: candidates(), self: kernel.Member{ID: "2", PlatformLost: true}, unfollowed: time.Minute, rank: standInRank},
		{name: "another daemon does not take over", candidates: candidates(), self: kernel.Member{ID: "other"}, unfollowed: time.Minute, rank: standInRank},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			choice := watcherChoice{candidates: test.candidates, followedAt: now.Add(-test.unfollowed)}
			rank, watches := choice.update(test.self, now, test.follows)
			is.Equal(watches, test.watches)
			is.Equal(rank, test.rank)
		})
	}
}

// Guards against a region whose first daemons do not reach the platform and are waited for.
func TestWatcherCandidates(t *testing.T) {
	var members []kernel.Member
	for number := range 2 * maxWatcherCandidates {
		members = append(members, kernel.Member{ID: fmt.Sprint(number), Region: fmt.Sprint("r", number%2), DataCentre: fmt.Sprint("d", number%4)})
	}
	self := members[0]
	t.Run("they are those of the own region", func(t *testing.T) {
		is := is.New(t)
		candidates := watcherCandidates(self, members)
		is.Equal(len(candidates), maxWatcherCandidates)
		for _, candidate := range candidates {
			is.Equal(candidate.Region, self.Region)
		}
		is.True(candidates[0].DataCentre != candidates[1].DataCentre)
	})
	lose := func(count int) []kernel.Member {
		lost := watcherCandidates(self, members)[:count]
		changed := slices.Clone(members)
		for number, member := range changed {
			changed[number].PlatformLost = positionIn(lost, member) < len(lost)
		}
		return changed
	}
	t.Run("those that do not reach the platform are passed over", func(t *testing.T) {
		is := is.New(t)
		is.Equal(watcherCandidates(self, lose(2))[0].ID, watcherCandidates(self, members)[2].ID)
	})
	t.Run("if none reaches it, all remain", func(t *testing.T) {
		is.New(t).Equal(len(watcherCandidates(self, lose(maxWatcherCandidates))), maxWatcherCandidates)
	})
}
