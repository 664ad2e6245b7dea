package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
	"ibislift/standin/proxy"
)

// Times and sizes of a trial.
const (
	readyTimeout = 60 * time.Second
	// recoveryTime is the time after the last harm in which all targets must
	// be known and ready again everywhere.
	recoveryTime = 15 * time.Second
	calmTime     = 2 * time.Second
	callRate     = 120
	resends      = 2
	// proxied is how many daemons callers reach through a proxy.
	proxied = 4
)

// trial is the play of one seed.
type trial struct {
	soak      *soak
	seed      int64
	block     int
	directory string

	running *deployment.Running
	random  *rand.Rand
	proxies []*proxy.Proxy
	store   *proxy.Proxy
	began   time.Time

	mutex      sync.Mutex
	harmed     map[string]bool
	history    []string
	violations []string
	total      *load.Row
}

// play starts the deployment, harms it, lets it recover and audits.
func (trial *trial) play() {
	trial.random = rand.New(rand.NewPCG(uint64(trial.seed), 5))
	trial.harmed = map[string]bool{}
	trial.began = time.Now()
	if err := trial.start(); err != nil {
		trial.violate("the deployment did not start: %v", err)
		return
	}
	defer trial.stop()
	watching := trial.watch()
	trial.began = time.Now()
	report := trial.harm()
	if err := trial.running.AwaitReady(recoveryTime); err != nil && !trial.soak.safety {
		trial.violate("no recovery: %v", err)
	}
	trial.stopCutsNothing()
	watching()
	trial.audit(report)
	trial.budgets()
}

// plan is a deployment small enough for several at a time. Even seeds run the
// daemons as operators do, odd ones behind links that can be cut.
func (trial *trial) plan() deployment.Plan {
	return deployment.Plan{
		Name: fmt.Sprintf("soak%d", trial.seed), Regions: []string{"north", "south", "east"},
		Services:          []deployment.Service{{Name: "log", LookupPath: "/logs/17", ChangePath: "/logs"}, {Name: "desk", LookupPath: "/entries/4", ChangePath: "/entries"}},
		TargetsPerService: trial.soak.targets, Slots: 8, ServiceTime: 5 * time.Millisecond,
		DataCentreLatency: time.Millisecond, RegionLatency: 15 * time.Millisecond,
		FirstRegionNumber: trial.block, WritesPerSecond: 300, WithoutLinks: trial.plain(), PlatformProxy: trial.proxyAddress(0),
	}
}

func (trial *trial) plain() bool { return trial.seed%2 == 0 }

// proxyAddress is that of the platform's proxy, number 0, or of a daemon's.
func (trial *trial) proxyAddress(number int) string {
	return fmt.Sprintf("127.%d.0.%d:7500", trial.block, 10+number)
}

func (trial *trial) start() error {
	plan := trial.plan()
	trial.store = &proxy.Proxy{Target: fmt.Sprintf("127.%d.0.1:7000", trial.block)}
	if err := trial.store.Listen(plan.PlatformProxy); err != nil {
		return err
	}
	running, err := plan.Start(trial.soak.programs, trial.directory)
	if err != nil {
		trial.store.Close()
		return err
	}
	trial.running = running
	for number, instance := range running.Instances[:proxied] {
		through := &proxy.Proxy{Target: instance.CallerAddress()}
		if err := through.Listen(trial.proxyAddress(number + 1)); err != nil {
			return err
		}
		trial.proxies = append(trial.proxies, through)
	}
	return running.AwaitReady(readyTimeout)
}

func (trial *trial) stop() {
	trial.running.Stop()
	trial.store.Close()
	for _, through := range trial.proxies {
		through.Close()
	}
}

// callers is where callers reach a daemon: some through a proxy.
func (trial *trial) callers(number int) string {
	if number < proxied {
		return trial.proxyAddress(number + 1)
	}
	return trial.running.Instances[number].CallerAddress()
}

// pick draws lookups, changes with a key and changes without.
func (trial *trial) pick(random *rand.Rand, number int) load.Request {
	instances := trial.running.Instances
	service := trial.running.Plan.Services[random.IntN(2)]
	entry := random.IntN(len(instances))
	request := load.Request{
		Address: trial.callers(entry), Service: service.Name, Class: "lookup",
		Method: "GET", Path: service.LookupPath, Deadline: time.Second,
	}
	for other := 1; other <= resends; other++ {
		request.ResendAddresses = append(request.ResendAddresses, trial.callers((entry+5*other)%len(instances)))
	}
	switch random.IntN(4) {
	case 0:
		request.Class, request.Method, request.Path = "change", "POST", service.ChangePath
		request.IdempotencyKey = fmt.Sprintf("s%d-%d", trial.seed, number)
		request.Deadline = 2 * time.Second
	case 1:
		// Without a key a change may not be sent again by its caller.
		request.Class, request.Method, request.Path = "once", "POST", service.ChangePath
		request.ResendAddresses = nil
	}
	return request
}

// harm sends load while harms begin and end, and ends them all.
func (trial *trial) harm() *load.Report {
	generator := &load.Generator{
		Rate: callRate, Seed: uint64(trial.seed), IDPrefix: fmt.Sprintf("s%d-", trial.seed), NextRequest: trial.pick, Resends: resends,
		NeverResend: func(request load.Request) bool { return request.Class == "once" },
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		trial.harms()
	}()
	report := generator.Run(trial.soak.length + calmTime)
	<-done
	trial.total = report.Total("")
	return report
}

func (trial *trial) note(format string, arguments ...any) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.history = append(trial.history, fmt.Sprintf("%6.2fs ", time.Since(trial.began).Seconds())+fmt.Sprintf(format, arguments...))
}

func (trial *trial) violate(format string, arguments ...any) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.violations = append(trial.violations, fmt.Sprintf("%.2fs: ", time.Since(trial.began).Seconds())+fmt.Sprintf(format, arguments...))
}

func (trial *trial) summary() string {
	if trial.total == nil {
		return "not played"
	}
	verdict := "kept"
	if len(trial.violations) > 0 {
		verdict = "VIOLATED"
	}
	return fmt.Sprintf("%s; %d harms, %d requests, %d whole, %d not run, %d unknown", verdict, len(trial.history)/2,
		trial.total.Requests, trial.total.Complete, trial.total.NotRun, trial.total.Unknown)
}
