package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// clerkScript is what each call of a clerk ends with, in order; the last one
// repeats.
type clerkScript []kernel.ClaimStatus

// unreachable stands for a clerk that gives no answer.
const unreachable kernel.ClaimStatus = 99

// claimFrom asks clerks that follow scripts, and returns the turns asked.
func claimFrom(ctx context.Context, scripts ...clerkScript) (kernel.ClaimResult, []int, error) {
	var turns []int
	result, err := askInTurn(ctx, len(scripts), func(turn int) (kernel.ClaimResult, error) {
		turns = append(turns, turn)
		script := scripts[turn]
		if len(script) > 1 {
			scripts[turn] = script[1:]
		}
		if script[0] == unreachable {
			return kernel.ClaimResult{}, errors.New("no answer")
		}
		return kernel.ClaimResult{Status: script[0]}, nil
	})
	return result, turns, err
}

func TestAskInTurn(t *testing.T) {
	ctx := context.Background()
	t.Run("the first clerk that decides is believed", func(t *testing.T) {
		is := is.New(t)
		result, turns, err := claimFrom(ctx, clerkScript{unreachable}, clerkScript{kernel.ClaimOutcomeUnknown}, clerkScript{kernel.ClaimGranted})
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimOutcomeUnknown)
		is.Equal(turns, []int{0, 1})
	})
	t.Run("clerks that have all lost the partition are asked once more", func(t *testing.T) {
		is := is.New(t)
		lost := clerkScript{kernel.ClaimNotCoordinator}
		result, turns, err := claimFrom(ctx, clerkScript{kernel.ClaimNotCoordinator, kernel.ClaimGranted}, lost, lost)
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimGranted)
		is.Equal(turns, []int{0, 1, 2, 0})
	})
	t.Run("clerks that cannot be reached are asked once", func(t *testing.T) {
		is := is.New(t)
		_, turns, err := claimFrom(ctx, clerkScript{unreachable}, clerkScript{unreachable})
		is.True(err != nil)
		is.Equal(turns, []int{0, 1})
	})
	t.Run("no further round after the time is over", func(t *testing.T) {
		over, cancel := context.WithCancel(ctx)
		cancel()
		_, turns, _ := claimFrom(over, clerkScript{kernel.ClaimNotCoordinator}, clerkScript{kernel.ClaimNotCoordinator})
		is.New(t).Equal(turns, []int{0, 1})
	})
	t.Run("without clerks no claim", func(t *testing.T) {
		result, _, err := claimFrom(ctx)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(result.Status, kernel.ClaimUnavailable)
	})
}
