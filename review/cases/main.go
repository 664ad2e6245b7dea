// Command cases plays the cases of the review that are no day of the bench. It exits
// with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
//
// # Usage
//
//	target/cases upload review/1/record.txt
//	TROUBLE=0 target/cases upload review/1/record.txt
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"ibislift/review/kit"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxCaseTime  = 110 * time.Second
	readyTimeout = 20 * time.Second
)

// environment is what a case works with.
type environment struct {
	record   *kit.Record
	store    *kit.Store
	fleet    *kit.Fleet
	consumer *kit.Consumer
	trouble  bool

	mutex sync.Mutex
	runs  []kit.Run
}

// cases holds the cases by name. The file of each case adds its own.
var cases = map[string]func(*environment) (violations []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*environment) ([]string, error), path string) int {
	record, err := kit.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	store := &kit.Store{Record: record}
	environment := &environment{
		record: record, store: store, trouble: os.Getenv("TROUBLE") != "0",
		fleet:    &kit.Fleet{Record: record, Store: store, Command: []string{"target/ibislift", "platform"}},
		consumer: &kit.Consumer{Record: record},
	}
	defer environment.fleet.Close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		violations []string
		err        error
	}
	results := make(chan result, 1)
	go func() {
		violations, err := run(environment)
		results <- result{violations, err}
	}()
	select {
	case <-interrupted:
		record.Line("verdict: interrupted")
		return exitNotRun
	case <-time.After(maxCaseTime):
		record.Line("verdict: the case took too long")
		return exitNotRun
	case ended := <-results:
		return environment.judge(ended.violations, ended.err)
	}
}

func (environment *environment) judge(violations []string, err error) int {
	if err != nil {
		environment.say("verdict: the case could not run: %v", err)
		return exitNotRun
	}
	for _, violation := range violations {
		environment.record.Line("broken: %s", violation)
	}
	if len(violations) == 0 {
		environment.say("verdict: the rule held")
		return exitHeld
	}
	environment.say("verdict: the rule was broken %d times, first: %s", len(violations), violations[0])
	return exitBroken
}

// say writes a line to the record and to standard output.
func (environment *environment) say(format string, arguments ...any) {
	environment.record.Line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// addTarget adds a machine with a daemon and a target of a service, and starts both.
func (environment *environment) addTarget(node, zone, service string, target *kit.Target) (*kit.Machine, error) {
	machine, err := environment.fleet.Add(node, zone, service)
	if err != nil {
		return nil, err
	}
	if err := environment.fleet.Start(machine); err != nil {
		return nil, err
	}
	target.Record, target.Machine, target.ID = environment.record, machine, "i-"+node
	target.OnRun = func(run kit.Run) {
		environment.mutex.Lock()
		defer environment.mutex.Unlock()
		environment.runs = append(environment.runs, run)
	}
	return machine, target.Start()
}

// recordedRuns returns the runs so far.
func (environment *environment) recordedRuns() []kit.Run {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	return append([]kit.Run(nil), environment.runs...)
}

// configure writes the operator's configuration to the store.
func (environment *environment) configure(config kit.Config) {
	environment.store.Put("config", "main", config.Encode())
	environment.record.Line("operator: version r%d is acknowledged", config.Version)
}
