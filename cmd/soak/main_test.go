package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestSeedsOf(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	t.Run("a seed a line, with its cause", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte("13 a cause\n\n19\n"), 0o600))
		seeds, err := seedsOf(path)
		is.NoErr(err)
		is.Equal(seeds, []int64{13, 19})
	})
	t.Run("a line without a seed is named", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(path, []byte("13\nx"), 0o600))
		_, err := seedsOf(path)
		is.True(err != nil)
	})
	t.Run("the file of the repository is whole", func(t *testing.T) {
		_, err := seedsOf("../../soak-seeds.txt")
		is.New(t).NoErr(err)
	})
}

func TestSum(t *testing.T) {
	lines := scraped{`made_total{kind="retry",service="a"} 3`, `made_total{kind="retry",service="b"} 5`, `made_total_other{service="a"} 7`}
	is := is.New(t)
	is.Equal(lines.sum("made_total", `service="a"`), 3.0)
	is.Equal(lines.sum("made_total"), 8.0)
}
