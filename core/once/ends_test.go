package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/once"
)

func TestEnds(t *testing.T) {
	t.Run("a clerk that takes over knows the end that it was told before", func(t *testing.T) {
		bench := newBench(13, 4)
		clerks := bench.fleet.Nodes["d0"].View.Clerks[once.PartitionOf("a", partitions)]
		first := bench.askTo(clerks[1], "a", once.PartitionOf("a", partitions), true)
		answered(t, bench, first, kernel.ClaimGranted)
		for _, clerk := range clerks {
			bench.fleet.Tell(clerk, first.ended())
		}
		bench.fleet.Run(100 * time.Millisecond)
		resent := bench.askTo(clerks[0], "a", first.partition, false)
		answered(t, bench, resent, kernel.ClaimGranted)
		answered(t, bench, bench.askFor(clerks[0], first.key, first.partition, true), kernel.ClaimRun)
	})
	t.Run("a clerk that was overtaken knows the end after it takes back", func(t *testing.T) {
		bench := newBench(14, 4)
		first := bench.ask("a", "d0", false)
		answered(t, bench, first, kernel.ClaimGranted)
		clerks := bench.fleet.Nodes["d0"].View.Clerks[first.partition]
		answered(t, bench, bench.askTo(clerks[1], "b", first.partition, true), kernel.ClaimGranted)
		bench.fleet.Tell(clerks[0], first.ended())
		answered(t, bench, bench.askTo(clerks[0], "c", first.partition, false), kernel.ClaimElsewhere)
		answered(t, bench, bench.askFor(clerks[0], first.key, first.partition, true), kernel.ClaimRun)
	})
	t.Run("the end of a request outlives its clerk", func(t *testing.T) {
		bench := newBench(15, 4)
		first := bench.ask("a", "d0", false)
		answered(t, bench, first, kernel.ClaimGranted)
		clerks := bench.fleet.Nodes["d0"].View.Clerks[first.partition]
		bench.fleet.Tell(clerks[0], first.ended())
		bench.fleet.Run(3 * time.Second)
		bench.fleet.Stop(clerks[0])
		answered(t, bench, bench.askTo(clerks[1], "warm", first.partition, true), kernel.ClaimGranted)
		answered(t, bench, bench.askFor(clerks[1], first.key, first.partition, true), kernel.ClaimRun)
	})
	t.Run("many ends share a write", func(t *testing.T) {
		bench := newBench(16, 3)
		for number := range 100 {
			bench.ask(fmt.Sprintf("key%d", number), "d0", false)
		}
		bench.fleet.Run(time.Second)
		before := bench.fleet.Platform.Writes
		bench.settle(func() bool { return true })
		bench.fleet.Run(10 * time.Second)
		is.New(t).True(bench.fleet.Platform.Writes-before <= partitions)
	})
}
