// Command demo shows ibislift at work. It starts a deployment on loopback,
// applies profiles, and sends lookups and changes through several daemons for a
// fixed time. Meanwhile it changes a profile, drains one target and kills
// another. It prints the outcomes of the requests and ends every process that
// it has started.
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

// Parameters of the demo; loadRate is in requests per second.
const (
	loadDuration   = 15 * time.Second
	loadRate       = 300
	inForceTimeout = 4 * time.Second
)

func main() {
	app := kingpin.New("demo", "Run a deployment of ibislift on loopback.")
	name := app.Flag("deployment", "Deployment to run: bureau or kaldreikn.").Default("bureau").String()
	programs := app.Flag("programs", "Directory that contains the programs.").Default("bin").String()
	profiles := app.Flag("profiles", "Directory that contains the profiles.").Default("profiles").String()
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
		return waitForInterrupt(running)
	}
	return runLoad(running, profiles)
}

// waitForInterrupt prints how to reach the deployment and keeps it running
// until an interrupt.
func waitForInterrupt(running *deployment.Running) error {
	first := running.Instances[0]
	fmt.Printf("callers:   curl -H 'Host: %s' http://%s%s\n", first.Service, first.CallerAddress(), running.Plan.Services[0].LookupPath)
	fmt.Printf("operators: bin/ibislift status --address %s\n", first.OperatorAddress())
	fmt.Println("interrupt to end")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
	return nil
}

// applyProfiles writes the profiles and sets the profile of each service.
func applyProfiles(running *deployment.Running, profiles string) error {
	instance := running.Instances[0]
	written := map[string]bool{}
	for _, service := range running.Plan.Services {
		if !written[service.Profile] {
			written[service.Profile] = true
			if err := applyFile(running, instance, profiles, service.Profile, 0); err != nil {
				return err
			}
		}
		status, _, err := running.Apply(instance, "/services/"+service.Name, 0, fmt.Sprintf(`{"profile": %q}`, service.Profile))
		if err := deployment.ApplyError(status, err); err != nil {
			return fmt.Errorf("service %s: %w", service.Name, err)
		}
	}
	return nil
}

// applyFile writes a profile from its file and waits until it is in force on
// all daemons.
func applyFile(running *deployment.Running, instance *deployment.Instance, profiles, profile string, version uint64) error {
	spec, err := os.ReadFile(filepath.Join(profiles, profile+".json"))
	if err != nil {
		return err
	}
	path := "/profiles/" + profile
	started := time.Now()
	status, object, err := running.Apply(instance, path, version, string(spec))
	if err := deployment.ApplyError(status, err); err != nil {
		return fmt.Errorf("profile %s: %w", profile, err)
	}
	err = deployment.Await(inForceTimeout, "profile in force on all daemons", func() bool {
		return running.AllHaveVersion(path, object.Version)
	})
	if err == nil {
		fmt.Printf("profile %s, version %d: in force on all daemons after %s\n", profile, object.Version,
			time.Since(started).Round(time.Millisecond))
	}
	return err
}

// runLoad sends requests while a profile is changed, a target is drained and
// another is killed together with its daemon.
func runLoad(running *deployment.Running, profiles string) error {
	drained, killed := running.Instances[4], running.Instances[9]
	generator := &load.Generator{
		Rate: loadRate, Seed: 1, NextRequest: requestMix(running, killed),
		Actions: []load.Action{
			{After: loadDuration / 5, Do: func() { changeProfile(running, profiles) }},
			{After: 2 * loadDuration / 5, Do: func() {
				fmt.Printf("draining %s\n", drained.Name)
				drained.Upstream.Signal(syscall.SIGTERM)
			}},
			{After: 3 * loadDuration / 5, Do: func() {
				fmt.Printf("killing %s\n", killed.Name)
				killed.Upstream.Signal(syscall.SIGKILL)
				killed.Daemon.Signal(syscall.SIGKILL)
			}},
		},
	}
	report := generator.Run(loadDuration)
	report.Print(os.Stdout)
	return checkReport(running, report)
}

// changeProfile writes the first service's profile again, as a new version.
func changeProfile(running *deployment.Running, profiles string) {
	profile := running.Plan.Services[0].Profile
	instance := running.Instances[1]
	status, err := running.Status(instance)
	if err != nil {
		return
	}
	for _, version := range status.Versions {
		if version.Kind == "profile" && version.Name == profile {
			if err := applyFile(running, instance, profiles, profile, version.Version); err != nil {
				fmt.Println("profile change:", err)
			}
		}
	}
}

// requestMix returns a function that generates lookups and changes at random.
// They go through all daemons except the excluded one.
func requestMix(running *deployment.Running, excluded *deployment.Instance) func(*rand.Rand, int) load.Request {
	var ingresses []*deployment.Instance
	for _, instance := range running.Instances {
		if instance != excluded {
			ingresses = append(ingresses, instance)
		}
	}
	return func(random *rand.Rand, number int) load.Request {
		service := running.Plan.Services[random.IntN(len(running.Plan.Services))]
		request := load.Request{
			Address: ingresses[random.IntN(len(ingresses))].CallerAddress(), Service: service.Name, Class: "lookup",
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

// checkReport prints the outcome of the demo and returns an error if a response
// was wrong or a change ran twice.
func checkReport(running *deployment.Running, report *load.Report) error {
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
		return fmt.Errorf("%d responses were wrong and %d changes ran twice", wrong, doubled)
	}
	return nil
}
