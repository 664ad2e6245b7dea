package play

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// workspace is a group of callers that the gates know by its name.
type workspace struct {
	number int
	// share is its share of the callers' requests.
	share float64
	rank  int
	tally WorkspaceTally
}

func newWorkspaces(description Workspaces) []*workspace {
	var workspaces []*workspace
	total := 0.0
	for number := 1; number <= description.Count; number++ {
		size := math.Pow(float64(number), -description.Exponent)
		total += size
		workspace := &workspace{number: number, share: size, tally: WorkspaceTally{Number: number}}
		if ranks := description.Ranks; len(ranks) > 0 {
			workspace.rank = ranks[(number-1)%len(ranks)]
		}
		workspaces = append(workspaces, workspace)
	}
	for _, workspace := range workspaces {
		workspace.share /= total
	}
	return workspaces
}

// name returns the name that gates get, which is empty for a call of a run.
func (workspace *workspace) name() string {
	if workspace == nil {
		return ""
	}
	return fmt.Sprintf("w%d", workspace.number)
}

// ranksPerWorkspaceRank is more than the highest rank of a class.
const ranksPerWorkspaceRank = 16

// rankOf returns the rank of a request, in which the rank of the workspace goes before
// that of the class.
func (workspace *workspace) rankOf(class *Class) int {
	if workspace == nil {
		return class.Rank
	}
	return workspace.rank*ranksPerWorkspaceRank + class.Rank
}

// drawWorkspace draws the workspace of a request in proportion to the shares. It draws
// nothing if there are none, so that the requests of such scenarios stay the same.
func (simulation *simulation) drawWorkspace() *workspace {
	if len(simulation.workspaces) == 0 {
		return nil
	}
	drawn := simulation.trafficRandom.Float64()
	for _, workspace := range simulation.workspaces {
		if drawn -= workspace.share; drawn < 0 {
			return workspace
		}
	}
	return simulation.workspaces[0]
}

// surgeSpread is the time over which the additional requests of a surge are spread, so
// that they do not arrive at the same moment.
const surgeSpread = 200 * time.Millisecond

// drawCopies draws how many additional requests the surges in force cause for a request.
func (simulation *simulation) drawCopies(class *Class, workspace *workspace) int {
	factor := 1.0
	for _, surge := range simulation.surges {
		if (surge.Class == "" || surge.Class == class.Name) && (surge.Workspace == 0 || workspace != nil && surge.Workspace == workspace.number) {
			factor *= surge.Factor
		}
	}
	if factor <= 1 {
		return 0
	}
	copies := int(factor - 1)
	if simulation.trafficRandom.Float64() < factor-1-float64(copies) {
		copies++
	}
	return copies
}

// WorkspaceTally counts the results of a workspace's requests.
type WorkspaceTally struct {
	// Number is the position of the workspace, the largest being 1.
	Number    int
	Offered   int
	Served    int
	Credit    float64
	MaxCredit float64
}

func (tally *WorkspaceTally) recordOffered(class *Class) {
	tally.Offered++
	tally.MaxCredit += class.Value
}

func (tally *WorkspaceTally) recordResponse(elapsed time.Duration, class *Class) {
	tally.Served++
	if elapsed <= milliseconds(class.Objective) {
		tally.Credit += class.Value
		return
	}
	tally.Credit += class.LateValue
}

// ServedFraction returns the fraction of the requests that got a complete response.
func (tally *WorkspaceTally) ServedFraction() float64 {
	return float64(tally.Served) / float64(max(1, tally.Offered))
}

// WorstTenth returns the mean of the served fractions of the tenth of the workspaces that
// is served least often, and the smallest one. It returns 1 without workspaces.
func (report *Report) WorstTenth() (mean, least float64) {
	var fractions []float64
	for _, tally := range report.Workspaces {
		if tally.Offered > 0 {
			fractions = append(fractions, tally.ServedFraction())
		}
	}
	if len(fractions) == 0 {
		return 1, 1
	}
	slices.Sort(fractions)
	worst := fractions[:max(1, len(fractions)/10)]
	for _, fraction := range worst {
		mean += fraction / float64(len(worst))
	}
	return mean, fractions[0]
}

// writeWorkspaces prints the served fractions of the workspaces.
func (report *Report) writeWorkspaces(out io.Writer) {
	if len(report.Workspaces) == 0 {
		return
	}
	mean, least := report.WorstTenth()
	fmt.Fprintf(out, "workspaces: worst tenth served %.3f, worst %.3f; by size:", mean, least)
	var line strings.Builder
	for _, tally := range report.Workspaces {
		fmt.Fprintf(&line, " %.2f", tally.ServedFraction())
	}
	fmt.Fprintln(out, line.String())
}
