package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestReadSeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	t.Run("reads the number at the start of each line and skips empty lines", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte("13 a cause\n\n19\n"), 0o600))
		seeds, err := readSeeds(path)
		is.NoErr(err)
		is.Equal(seeds, []int64{13, 19})
	})
	t.Run("a line without a seed is an error", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte("13\nx"), 0o600))
		_, err := readSeeds(path)
		is.True(err != nil)
	})
	t.Run("the repository's seed file is valid", func(t *testing.T) {
		_, err := readSeeds("../../soak-seeds.txt")
		is.New(t).NoErr(err)
	})
}

func TestSum(t *testing.T) {
	lines := metricLines{`made_total{kind="retry",service="a"} 3`, `made_total{kind="retry",service="b"} 5`, `made_total_other{service="a"} 7`}
	is := is.New(t)
	is.Equal(lines.sum("made_total", `service="a"`), 3.0)
	is.Equal(lines.sum("made_total"), 8.0)
}
