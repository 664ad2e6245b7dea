// Command soak runs a small deployment of real processes on loopback, harms it
// at random from a seed, and checks the promises from what callers, upstreams
// and operators see. It ends only the processes that it has started.
//
// # Usage
//
//	soak --programs bin --seeds 50
//	soak --first 17 --seeds 1 --keep      keeps the logs
//	soak --minutes 5                      fresh seeds from the clock
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
	app := kingpin.New("soak", "Harm a deployment of real processes at random and check the promises.")
	programs := app.Flag("programs", "Directory of the programs.").Default("bin").String()
	first := app.Flag("first", "First seed; 0 takes the clock.").Default("1").Int64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Int()
	file := app.Flag("file", "File with seeds to play, one at the start of each line, in place of the others.").String()
	minutes := app.Flag("minutes", "Go on with further seeds for so long.").Float64()
	length := app.Flag("length", "Time of harm for each seed.").Default("12s").Duration()
	jobs := app.Flag("jobs", "Seeds at a time.").Default("2").Int()
	targets := app.Flag("targets", "Targets of each of two services.").Default("6").Int()
	safety := app.Flag("safety", "Check only what must hold whatever the machine's speed.").Bool()
	keep := app.Flag("keep", "Keep the logs also if nothing is violated.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *first == 0 {
		*first = time.Now().Unix()
	}
	soak := &soak{programs: *programs, length: *length, targets: *targets, safety: *safety, keep: *keep}
	if *file != "" {
		listed, err := seedsOf(*file)
		kingpin.FatalIfError(err, "seeds")
		soak.run(listed, 0, *jobs)
	} else {
		soak.run(between(*first, *seeds), *minutes, *jobs)
	}
	fmt.Printf("%d seeds, %d with a violation\n", soak.played, soak.violated)
	if soak.violated > 0 {
		os.Exit(1)
	}
}

// soak plays seeds and counts.
type soak struct {
	programs string
	length   time.Duration
	targets  int
	safety   bool
	keep     bool

	mutex    sync.Mutex
	played   int
	violated int
}

// seedsOf reads the seeds of a file. What stands behind a seed is its cause.
func seedsOf(path string) ([]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var seeds []int64
	for number, line := range strings.Split(string(text), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		seed, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: %q is not a seed", path, number+1, words[0])
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func between(first int64, count int) []int64 {
	var seeds []int64
	for number := range count {
		seeds = append(seeds, first+int64(number))
	}
	return seeds
}

// run plays seeds, some at a time, and goes on with those that follow the last
// one until the time is used up.
func (soak *soak) run(seeds []int64, minutes float64, jobs int) {
	end := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
	var mutex sync.Mutex
	last := int64(0)
	take := func() (int64, bool) {
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
	var playing sync.WaitGroup
	for job := range jobs {
		playing.Go(func() {
			for {
				seed, more := take()
				if !more {
					return
				}
				soak.seed(seed, job)
			}
		})
	}
	playing.Wait()
}

// seed plays one seed and prints its line, with its history if a promise was
// broken.
func (soak *soak) seed(seed int64, job int) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("ibislift-soak-%d-", seed))
	if err != nil {
		fmt.Println("soak:", err)
		return
	}
	trial := &trial{soak: soak, seed: seed, block: 60 + 3*job, directory: filepath.Join(directory, "logs")}
	trial.play()
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.played++
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
