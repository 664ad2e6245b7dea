// Command demo shows ibislift at work: it starts a deployment on loopback,
// applies profiles, sends a bounded mix of lookups and changes through several
// daemons, changes a profile, drains a target and kills one while they run,
// and prints what became of the requests. It ends all that it has started.
//
// # Usage
//
//	demo --deployment bureau
//	demo --deployment kaldreikn --keep
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// Times and sizes of the demo.
const (
	loadTime    = 15 * time.Second
	loadRate    = 300
	inForceTime = 4 * time.Second
)

func main() {
	app := kingpin.New("demo", "Run a deployment of ibislift on loopback.")
	name := app.Flag("deployment", "bureau or kaldreikn.").Default("bureau").String()
	programs := app.Flag("programs", "Directory of the programs.").Default("bin").String()
	profiles := app.Flag("profiles", "Directory of the profiles.").Default("profiles").String()
	keep := app.Flag("keep", "Keep the deployment running until interrupted.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*name, *programs, *profiles, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(name, programs, profiles string, keep bool) error {
	plan, err := deployment.PlanByName(name)
	if err != nil {
		return err
	}
	running, stop, err := plan.Launch(programs)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("%s: %d daemons and %d targets are ready\n", name, len(running.Instances), len(running.Instances))
	if err := applyProfiles(running, profiles); err != nil {
		return err
	}
	if keep {
		return wait(running)
	}
	return show(running, profiles)
}

// wait keeps the deployment running until it is interrupted.
func wait(running *deployment.Running) error {
	first := running.Instances[0]
	fmt.Printf("callers:   curl -H 'Host: %s' http://%s%s\n", first.Service, first.CallerAddress(), running.Plan.Services[0].LookupPath)
	fmt.Printf("operators: bin/ibislift status --address %s\n", first.OperatorAddress())
	fmt.Println("interrupt to end")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
	return nil
}

// applyProfiles writes each service's profile and lets the service pick it.
func applyProfiles(running *deployment.Running, profiles string) error {
	operator := running.Instances[0]
	written := map[string]bool{}
	for _, service := range running.Plan.Services {
		if !written[service.Profile] {
			written[service.Profile] = true
			if err := applyFile(running, operator, profiles, service.Profile, 0); err != nil {
				return err
			}
		}
		status, _, err := running.Apply(operator, "/services/"+service.Name, 0, fmt.Sprintf(`{"profile": %q}`, service.Profile))
		if err != nil || status >= 300 {
			return fmt.Errorf("service %s: status %d: %w", service.Name, status, err)
		}
	}
	return nil
}

func applyFile(running *deployment.Running, operator *deployment.Instance, profiles, profile string, version uint64) error {
	spec, err := os.ReadFile(filepath.Join(profiles, profile+".json"))
	if err != nil {
		return err
	}
	path := "/profiles/" + profile
	started := time.Now()
	status, object, err := running.Apply(operator, path, version, string(spec))
	if err != nil || status >= 300 {
		return fmt.Errorf("profile %s: status %d: %w", profile, status, err)
	}
	err = deployment.Await(inForceTime, "profile in force everywhere", func() bool {
		return running.AllHaveVersion(path, object.Version)
	})
	if err == nil {
		fmt.Printf("profile %s, version %d: in force on all daemons after %s\n", profile, object.Version,
			time.Since(started).Round(time.Millisecond))
	}
	return err
}

// show sends load while a profile changes, a target drains and one is killed.
func show(running *deployment.Running, profiles string) error {
	drained, killed := running.Instances[4], running.Instances[9]
	generator := &load.Generator{
		Rate: loadRate, Seed: 1, NextRequest: mix(running, killed),
		Actions: []load.Action{
			{After: loadTime / 5, Do: func() { changeProfile(running, profiles) }},
			{After: 2 * loadTime / 5, Do: func() {
				fmt.Printf("draining %s\n", drained.Name)
				drained.Upstream.Signal(syscall.SIGTERM)
			}},
			{After: 3 * loadTime / 5, Do: func() {
				fmt.Printf("killing %s\n", killed.Name)
				killed.Upstream.Signal(syscall.SIGKILL)
				killed.Daemon.Signal(syscall.SIGKILL)
			}},
		},
	}
	report := generator.Run(loadTime)
	report.Print(os.Stdout)
	return conclude(running, report)
}

func changeProfile(running *deployment.Running, profiles string) {
	profile := running.Plan.Services[0].Profile
	operator := running.Instances[1]
	status, err := running.Status(operator)
	if err != nil {
		return
	}
	for _, version := range status.Versions {
		if version.Kind == "profile" && version.Name == profile {
			if err := applyFile(running, operator, profiles, profile, version.Version); err != nil {
				fmt.Println("profile change:", err)
			}
		}
	}
}

// mix makes lookups and changes in turn, through all daemons but one.
func mix(running *deployment.Running, not *deployment.Instance) func(*rand.Rand, int) load.Request {
	var entries []*deployment.Instance
	for _, instance := range running.Instances {
		if instance != not {
			entries = append(entries, instance)
		}
	}
	return func(random *rand.Rand, number int) load.Request {
		service := running.Plan.Services[random.IntN(len(running.Plan.Services))]
		request := load.Request{
			Address: entries[random.IntN(len(entries))].CallerAddress(), Service: service.Name, Class: "lookup",
			Method: "GET", Path: service.LookupPath, Deadline: 2 * time.Second,
		}
		if random.IntN(10) < 3 {
			request.Class = "change"
			request.Method = "POST"
			request.Path = service.ChangePath
			request.IdempotencyKey = fmt.Sprintf("key-%d", number)
		}
		return request
	}
}

func conclude(running *deployment.Running, report *load.Report) error {
	runs, err := running.RunCounts()
	if err != nil {
		return err
	}
	doubled, wrong := report.Audit(runs)
	counts, err := running.PlatformCounts()
	if err != nil {
		return err
	}
	total := report.Total("")
	fmt.Printf("platform: %d reads, %d writes, %.1f calls per thousand requests\n", counts.Reads, counts.Writes,
		1000*float64(counts.Reads+counts.Writes)/float64(max(1, total.Requests)))
	fmt.Printf("demo: %d requests, %d whole, %d wrong, %d doubled\n", total.Requests, total.Complete, wrong, doubled)
	if wrong+doubled > 0 {
		return fmt.Errorf("%d answers were wrong and %d changes ran twice", wrong, doubled)
	}
	return nil
}
