// Command soak runs a small deployment of real processes on loopback and injects
// random faults that are drawn from a seed. It checks the promises of ibislift
// from the outside, by what callers, upstreams and operators observe. It ends only
// processes that it has started.
//
// # Usage
//
//	soak --programs bin --seeds 50
//	soak --first 17 --keep                run one seed and keep its logs
//	soak --first 0 --minutes 5            run fresh seeds for five minutes
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("soak", "Inject random faults into a deployment of real processes and check the promises.")
	programs := app.Flag("programs", "Directory of the programs.").Default("bin").String()
	first := app.Flag("first", "First seed; 0 derives it from the current time.").Default("1").Int64()
	seeds := app.Flag("seeds", "Number of consecutive seeds to run.").Default("1").Int()
	file := app.Flag("file", "File with the seeds to run instead, one at the start of each line.").String()
	minutes := app.Flag("minutes", "Continue with further seeds until this many minutes have passed.").Float64()
	length := app.Flag("length", "How long faults are injected for each seed.").Default("12s").Duration()
	jobs := app.Flag("jobs", "Number of seeds to run at a time.").Default("2").Int()
	targets := app.Flag("targets", "Targets of each of the two services.").Default("6").Int()
	firstRegion := app.Flag("first-region", "Second number of the IP addresses in the first region; the jobs use three numbers each from there on. Soaks that run at the same time need different ones.").Default("60").Int()
	safety := app.Flag("safety", "Check only promises that do not depend on the machine's speed.").Bool()
	keep := app.Flag("keep", "Keep the logs even if no promise is violated.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *first == 0 {
		*first = time.Now().Unix()
	}
	soak := &soak{programs: *programs, firstRegion: *firstRegion, length: *length, targets: *targets, safety: *safety, keep: *keep}
	if *file != "" {
		listed, err := readSeeds(*file)
		kingpin.FatalIfError(err, "seeds")
		soak.runSeeds(listed, 0, *jobs)
	} else {
		soak.runSeeds(consecutiveSeeds(*first, *seeds), *minutes, *jobs)
	}
	fmt.Printf("%d seeds, %d with a violation\n", soak.completed, soak.violated)
	if soak.violated > 0 {
		os.Exit(1)
	}
}

// soak runs seeds and counts those with a violation.
type soak struct {
	programs string
	// firstRegion is the first region number of the first job.
	firstRegion int
	length      time.Duration
	targets     int
	safety      bool
	keep        bool

	mutex     sync.Mutex
	completed int
	violated  int
}

// readSeeds reads the seeds of a file, one at the start of each line. The rest of
// a line is a comment that names the cause of a past failure.
func readSeeds(path string) ([]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var seeds []int64
	for number, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		seed, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: %q is not a seed", path, number+1, fields[0])
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func consecutiveSeeds(first int64, count int) []int64 {
	var seeds []int64
	for number := range count {
		seeds = append(seeds, first+int64(number))
	}
	return seeds
}

// runSeeds runs the seeds, up to jobs of them at a time. It then continues with
// the numbers after the last seed until the given minutes have passed.
func (soak *soak) runSeeds(seeds []int64, minutes float64, jobs int) {
	end := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
	var mutex sync.Mutex
	last := int64(0)
	nextSeed := func() (int64, bool) {
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case len(seeds) > 0:
			last = seeds[0]
			seeds = seeds[1:]
		case time.Now().Before(end):
			last++
		default:
			return 0, false
		}
		return last, true
	}
	var waitGroup sync.WaitGroup
	for job := range jobs {
		waitGroup.Go(func() {
			for {
				seed, more := nextSeed()
				if !more {
					return
				}
				soak.runSeed(seed, job)
			}
		})
	}
	waitGroup.Wait()
}

// runSeed runs one seed and prints its summary, with the violations and the
// history of faults if a promise was broken.
func (soak *soak) runSeed(seed int64, job int) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("ibislift-soak-%d-", seed))
	if err != nil {
		fmt.Println("soak:", err)
		return
	}
	trial := &trial{soak: soak, seed: seed, firstRegionNumber: soak.firstRegion + 3*job, directory: filepath.Join(directory, "logs")}
	trial.run()
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.completed++
	fmt.Printf("seed %d: %s\n", seed, trial.summary())
	if len(trial.violations) > 0 {
		soak.violated++
		for _, line := range trial.violations {
			fmt.Println("  violated:", line)
		}
		for _, line := range trial.history {
			fmt.Println("  ", line)
		}
	}
	if soak.keep || len(trial.violations) > 0 {
		fmt.Println("  logs:", directory)
		return
	}
	_ = os.RemoveAll(directory)
}
