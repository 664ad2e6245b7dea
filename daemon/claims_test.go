package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// coordinatorScript holds the results of the calls to a coordinator, in order.
// The last one repeats.
type coordinatorScript []kernel.ClaimStatus

// unreachable stands for a coordinator that does not reply.
const unreachable kernel.ClaimStatus = 99

// claimWithScripts asks coordinators that follow scripts, and also returns the
// order in which they were asked.
func claimWithScripts(ctx context.Context, scripts ...coordinatorScript) (kernel.ClaimResult, []int, error) {
	var turns []int
	result, err := askInTurn(ctx, len(scripts), func(turn int) (kernel.ClaimResult, error) {
		turns = append(turns, turn)
		script := scripts[turn]
		if len(script) > 1 {
			scripts[turn] = script[1:]
		}
		if script[0] == unreachable {
			return kernel.ClaimResult{}, errors.New("no reply")
		}
		return kernel.ClaimResult{Status: script[0]}, nil
	})
	return result, turns, err
}

func TestAskInTurn(t *testing.T) {
	ctx := context.Background()
	t.Run("the result of the first coordinator that decides is used", func(t *testing.T) {
		is := is.New(t)
		result, turns, err := claimWithScripts(ctx, coordinatorScript{unreachable}, coordinatorScript{kernel.ClaimOutcomeUnknown}, coordinatorScript{kernel.ClaimGranted})
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimOutcomeUnknown)
		is.Equal(turns, []int{0, 1})
	})
	t.Run("coordinators that have all lost the partition are asked in another round", func(t *testing.T) {
		is := is.New(t)
		lost := coordinatorScript{kernel.ClaimNotCoordinator}
		result, turns, err := claimWithScripts(ctx, coordinatorScript{kernel.ClaimNotCoordinator, kernel.ClaimGranted}, lost, lost)
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimGranted)
		is.Equal(turns, []int{0, 1, 2, 0})
	})
	t.Run("coordinators that cannot be reached are asked once", func(t *testing.T) {
		is := is.New(t)
		_, turns, err := claimWithScripts(ctx, coordinatorScript{unreachable}, coordinatorScript{unreachable})
		is.True(err != nil)
		is.Equal(turns, []int{0, 1})
	})
	t.Run("no further round after the context has ended", func(t *testing.T) {
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, turns, _ := claimWithScripts(cancelled, coordinatorScript{kernel.ClaimNotCoordinator}, coordinatorScript{kernel.ClaimNotCoordinator})
		is.New(t).Equal(turns, []int{0, 1})
	})
	t.Run("no claim without coordinators", func(t *testing.T) {
		result, _, err := claimWithScripts(ctx)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimUnavailable)
	})
}
