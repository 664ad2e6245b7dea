// Command faults prints the fault matrix: every fault at every step of a
// request, of a change and of a daemon's life, and pairs of faults, on state
// machines with fakes; then faults of real processes under load.
//
// # Usage
//
//	faults --programs bin
//	faults --no-processes
package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/standin/matrix"
)

func main() {
	app := kingpin.New("faults", "Run the fault matrix.")
	programs := app.Flag("programs", "Directory of the programs.").Default("bin").String()
	processes := app.Flag("processes", "Run the faults of real processes too.").Default("true").Bool()
	only := app.Flag("incident", "Run only this fault of real processes.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	score := &score{only: *only}
	if *only == "" {
		score.matrix()
	}
	if *processes {
		if err := score.processes(*programs); err != nil {
			score.failures = append(score.failures, "processes: "+err.Error())
		}
	}
	for _, failure := range score.failures {
		fmt.Println(failure)
	}
	fmt.Printf("%d passed, %d failed\n", score.passed, len(score.failures))
	if len(score.failures) > 0 {
		os.Exit(1)
	}
}

// score counts the cells.
type score struct {
	only     string
	passed   int
	failures []string
}

// matrix plays the cells on state machines.
func (score *score) matrix() {
	score.table("a request", matrix.RequestSteps, rowsOf(matrix.Requests(), func(cell matrix.Cell) matrix.Step { return cell.Step }))
	score.table("a change of configuration", matrix.ChangeSteps, rowsOf(matrix.Changes(), func(cell matrix.ChangeCell) matrix.Step { return cell.Step }))
	score.table("a daemon's life", matrix.LifeSteps, rowsOf(matrix.Lives(), func(cell matrix.LifeCell) matrix.Step { return cell.Step }))
	score.pairs()
}

// play runs a cell and returns its mark.
func (score *score) play(name string, run func() string) string {
	if fault := run(); fault != "" {
		score.failures = append(score.failures, name+": "+fault)
		return "FAILED"
	}
	score.passed++
	return "passed"
}

// cell is one cell of a matrix.
type cell interface {
	Name() string
	Run() string
}

// entry is a cell with its step.
type entry struct {
	cell cell
	step matrix.Step
}

// row is a fault with its cells.
type row struct {
	fault   string
	entries []entry
}

func rowsOf[Cell cell](cells []Cell, stepOf func(Cell) matrix.Step) []row {
	var rows []row
	for _, cell := range cells {
		fault, _, _ := strings.Cut(cell.Name(), "@")
		if len(rows) == 0 || rows[len(rows)-1].fault != fault {
			rows = append(rows, row{fault: fault})
		}
		last := &rows[len(rows)-1]
		last.entries = append(last.entries, entry{cell: cell, step: stepOf(cell)})
	}
	return rows
}

func (score *score) table(title string, steps []matrix.Step, rows []row) {
	fmt.Println("faults at the steps of " + title + ":")
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(writer, "fault")
	for _, step := range steps {
		fmt.Fprint(writer, "\t", step)
	}
	fmt.Fprintln(writer)
	for _, row := range rows {
		fmt.Fprint(writer, row.fault)
		for _, entry := range row.entries {
			fmt.Fprint(writer, "\t", score.play(entry.cell.Name(), entry.cell.Run))
		}
		fmt.Fprintln(writer)
	}
	_ = writer.Flush()
	fmt.Println()
}

// pairs runs two faults together at the steps of a request.
func (score *score) pairs() {
	before := score.passed
	cells := matrix.Pairs()
	for _, cell := range cells {
		score.play(cell.Name(), cell.Run)
	}
	fmt.Printf("two faults together at the steps of a request: %d of %d cells passed\n\n", score.passed-before, len(cells))
}
