// Command faults runs the fault matrix and prints its results. The matrix combines
// every fault with every step of a request, of a change of the configuration and of
// a daemon's life, and pairs of faults with the steps of a request. These cells run
// on state machines with fakes. Faults of real processes under load follow.
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
	processes := app.Flag("processes", "Also run the faults of real processes.").Default("true").Bool()
	only := app.Flag("incident", "Run only this fault of real processes.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	runner := &runner{only: *only}
	if *only == "" {
		runner.runMatrix()
	}
	if *processes {
		if err := runner.runProcessFaults(*programs); err != nil {
			runner.failures = append(runner.failures, "processes: "+err.Error())
		}
	}
	for _, failure := range runner.failures {
		fmt.Println(failure)
	}
	fmt.Printf("%d passed, %d failed\n", runner.passed, len(runner.failures))
	if len(runner.failures) > 0 {
		os.Exit(1)
	}
}

// runner runs cells and faults, and counts those that pass and those that fail.
type runner struct {
	// only is the name of the one fault of real processes to run; empty means all.
	only     string
	passed   int
	failures []string
}

// runMatrix runs the cells on state machines.
func (runner *runner) runMatrix() {
	runner.runTable("a request", matrix.RequestSteps, groupByFault(matrix.RequestCells(), func(cell matrix.RequestCell) matrix.Step { return cell.Step }))
	runner.runTable("a change of configuration", matrix.ChangeSteps, groupByFault(matrix.ChangeCells(), func(cell matrix.ChangeCell) matrix.Step { return cell.Step }))
	runner.runTable("a daemon's life", matrix.LifeSteps, groupByFault(matrix.LifeCells(), func(cell matrix.LifeCell) matrix.Step { return cell.Step }))
	runner.runPairs()
}

// check calls run, which returns a description of the violation or an empty
// string. It counts the result and returns it as the text for the table.
func (runner *runner) check(name string, run func() string) string {
	if violation := run(); violation != "" {
		runner.failures = append(runner.failures, name+": "+violation)
		return "FAILED"
	}
	runner.passed++
	return "passed"
}

// cell is a cell of a matrix: a fault, or two, at a step.
type cell interface {
	Name() string
	Run() string
}

// stepCell is a cell together with its step.
type stepCell struct {
	cell cell
	step matrix.Step
}

// row is a row of a table: a fault with its cells, one for each step.
type row struct {
	fault     string
	stepCells []stepCell
}

// groupByFault makes a row of consecutive cells with the same fault. The name of
// a cell is that of its fault, an @ and the step.
func groupByFault[Cell cell](cells []Cell, stepOf func(Cell) matrix.Step) []row {
	var rows []row
	for _, cell := range cells {
		fault, _, _ := strings.Cut(cell.Name(), "@")
		if len(rows) == 0 || rows[len(rows)-1].fault != fault {
			rows = append(rows, row{fault: fault})
		}
		last := &rows[len(rows)-1]
		last.stepCells = append(last.stepCells, stepCell{cell: cell, step: stepOf(cell)})
	}
	return rows
}

func (runner *runner) runTable(title string, steps []matrix.Step, rows []row) {
	fmt.Println("faults at the steps of " + title + ":")
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(writer, "fault")
	for _, step := range steps {
		fmt.Fprint(writer, "\t", step)
	}
	fmt.Fprintln(writer)
	for _, row := range rows {
		fmt.Fprint(writer, row.fault)
		for _, stepCell := range row.stepCells {
			fmt.Fprint(writer, "\t", runner.check(stepCell.cell.Name(), stepCell.cell.Run))
		}
		fmt.Fprintln(writer)
	}
	_ = writer.Flush()
	fmt.Println()
}

// runPairs runs pairs of faults at the steps of a request.
func (runner *runner) runPairs() {
	before := runner.passed
	cells := matrix.PairCells()
	for _, cell := range cells {
		runner.check(cell.Name(), cell.Run)
	}
	fmt.Printf("two faults together at the steps of a request: %d of %d cells passed\n\n", runner.passed-before, len(cells))
}
