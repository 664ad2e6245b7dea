package matrix_test

import (
	"testing"

	"ibislift/standin/matrix"
)

// cell is a cell of any of the matrices.
type cell interface {
	Name() string
	Run() string
}

// runCells runs each cell as a subtest.
func runCells[Cell cell](t *testing.T, cells []Cell) {
	t.Helper()
	for _, cell := range cells {
		t.Run(cell.Name(), func(t *testing.T) {
			t.Parallel()
			if violation := cell.Run(); violation != "" {
				t.Fatal(violation)
			}
		})
	}
}

func TestRequests(t *testing.T) { runCells(t, matrix.RequestCells()) }

func TestPairs(t *testing.T) { runCells(t, matrix.PairCells()) }

func TestChanges(t *testing.T) { runCells(t, matrix.ChangeCells()) }

func TestLives(t *testing.T) { runCells(t, matrix.LifeCells()) }
