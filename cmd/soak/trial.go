package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
	"ibislift/standin/proxy"
)

// Times, rates and counts of a trial.
const (
	readyTimeout = 60 * time.Second
	// recoveryTimeout limits the time from the end of the last fault until all
	// daemons are ready again and know all targets.
	recoveryTimeout = 15 * time.Second
	// finalLoadTime is how long load continues once no more faults are drawn, and
	// how long it runs for the graceful stop.
	finalLoadTime = 2 * time.Second
	requestRate   = 120
	resends       = 2
	// proxiedDaemons is the number of daemons that callers reach through a proxy.
	proxiedDaemons = 4
)

// trial is the run of one seed.
type trial struct {
	soak *soak
	seed int64
	// firstRegionNumber is the second number of the IP addresses in the first
	// region. It differs between trials that run at the same time.
	firstRegionNumber int
	directory         string

	running       *deployment.Running
	random        *rand.Rand
	callerProxies []*proxy.Proxy
	platformProxy *proxy.Proxy
	startedAt     time.Time

	mutex sync.Mutex
	// faulty holds the components that have a fault now.
	faulty     map[string]bool
	history    []string
	violations []string
	total      *load.Row
	faults     int
	// troubles are the times in which components had a fault, and rounds what callers have
	// sent ahead meanwhile.
	troubles troubles
	rounds   []round
	// figures describe what the checks have measured.
	figures []string
	// reports hold the responses to the loads beside the main one.
	reports []*load.Report
}

// run starts the deployment, injects faults, waits for the recovery and checks the
// promises.
func (trial *trial) run() {
	trial.random = rand.New(rand.NewPCG(uint64(trial.seed), 5))
	trial.faulty = map[string]bool{}
	trial.startedAt = time.Now()
	if err := trial.start(); err != nil {
		trial.recordViolation("the deployment did not start: %v", err)
		return
	}
	defer trial.stop()
	stopWatching := trial.watchConfiguration()
	stopChanging := trial.changeKeys()
	trial.startedAt = time.Now()
	report := trial.runWithFaults()
	trial.awaitRecovery("the faults")
	trial.checkRetryBudgets()
	trial.checkQuotaServed()
	trial.checkOrder()
	trial.checkGracefulStop()
	trial.checkStopSeries()
	stopWatching()
	stopChanging()
	trial.audit(append(trial.reports, report)...)
	trial.checkAhead()
	trial.checkQuota()
	trial.checkColdTargets()
	trial.checkRetryBudgets()
	trial.checkFleetRestart()
}

// plan returns a deployment that is small enough to run several at a time. With
// an even seed the ibislift program runs itself, as operators run it; with an odd
// seed a stand-in runs the daemon over simulated links that can be cut.
func (trial *trial) plan() deployment.Plan {
	return deployment.Plan{
		Name: fmt.Sprintf("soak%d", trial.seed), Regions: []string{"north", "south", "east"},
		Services:          []deployment.Service{{Name: "log", LookupPath: "/logs/17", ChangePath: "/logs"}, {Name: "desk", LookupPath: "/entries/4", ChangePath: "/entries"}},
		TargetsPerService: trial.soak.targets, Slots: 8, ServiceTime: 5 * time.Millisecond,
		ColdTime: trial.coldTime(), DataCentreLatency: time.Millisecond, RegionLatency: 15 * time.Millisecond,
		FirstRegionNumber: trial.firstRegionNumber, WritesPerSecond: 300, WithoutLinks: trial.withoutLinks(), PlatformProxy: trial.proxyAddress(0),
		Flags: append(append(trial.stopFlags(), trial.keyFlags()...), "--evacuation-prefix", evacuationPrefix),
	}
}

func (trial *trial) withoutLinks() bool { return trial.seed%2 == 0 }

// proxyAddress returns the address of a proxy. Number 0 is the platform's proxy;
// the others are between callers and daemons.
func (trial *trial) proxyAddress(number int) string {
	return fmt.Sprintf("127.%d.0.%d:7500", trial.firstRegionNumber, 10+number)
}

func (trial *trial) start() error {
	plan := trial.plan()
	trial.platformProxy = &proxy.Proxy{Target: fmt.Sprintf("127.%d.0.1:7000", trial.firstRegionNumber)}
	if err := trial.platformProxy.Listen(plan.PlatformProxy); err != nil {
		return err
	}
	running, err := plan.Start(trial.soak.programs, trial.directory)
	if err != nil {
		trial.platformProxy.Close()
		return err
	}
	trial.running = running
	if err := trial.putFirstTable(); err != nil {
		return err
	}
	for number, instance := range running.Instances[:proxiedDaemons] {
		callerProxy := &proxy.Proxy{Target: instance.CallerAddress()}
		if err := callerProxy.Listen(trial.proxyAddress(number + 1)); err != nil {
			return err
		}
		trial.callerProxies = append(trial.callerProxies, callerProxy)
	}
	return running.AwaitReady(readyTimeout)
}

func (trial *trial) stop() {
	trial.running.Stop()
	trial.platformProxy.Close()
	for _, callerProxy := range trial.callerProxies {
		callerProxy.Close()
	}
}

// awaitRecovery waits until all daemons are ready and know all targets.
func (trial *trial) awaitRecovery(cause string) {
	if err := trial.running.AwaitReady(recoveryTimeout); err != nil && !trial.soak.safety {
		trial.recordViolation("no recovery from %s: %v", cause, err)
	}
}

// callerAddress returns the address at which callers reach a daemon: that of its
// proxy, if it has one, or the daemon's own.
func (trial *trial) callerAddress(number int) string {
	if number < proxiedDaemons {
		return trial.proxyAddress(number + 1)
	}
	return trial.running.Instances[number].CallerAddress()
}

// nextRequest generates a lookup, a change with an idempotency key or a change
// without one.
func (trial *trial) nextRequest(random *rand.Rand, number int) load.Request {
	instances := trial.running.Instances
	service := trial.running.Plan.Services[random.IntN(2)]
	ingress := random.IntN(len(instances))
	request := load.Request{
		Address: trial.callerAddress(ingress), Service: service.Name, Class: "lookup",
		Method: "GET", Path: service.LookupPath, Deadline: time.Second,
	}
	for other := 1; other <= resends; other++ {
		request.ResendAddresses = append(request.ResendAddresses, trial.callerAddress((ingress+5*other)%len(instances)))
	}
	trial.authorize(&request)
	switch random.IntN(4) {
	case 0:
		request.Class, request.Method, request.Path = "change", "POST", service.ChangePath
		request.IdempotencyKey = fmt.Sprintf("s%d-%d", trial.seed, number)
		request.Deadline = 2 * time.Second
	case 1:
		// A caller must not resend a change that has no idempotency key.
		request.Class, request.Method, request.Path = "once", "POST", service.ChangePath
		request.ResendAddresses = nil
	}
	return request
}

// runWithFaults sends load while it injects faults. It returns when both are over.
func (trial *trial) runWithFaults() *load.Report {
	generator := &load.Generator{
		Rate: requestRate, Seed: uint64(trial.seed), IDPrefix: fmt.Sprintf("s%d-", trial.seed), NextRequest: trial.nextRequest, Resends: resends,
		NeverResend: func(request load.Request) bool { return request.Class == "once" },
	}
	var waitGroup sync.WaitGroup
	waitGroup.Go(trial.injectFaults)
	waitGroup.Go(trial.runStatements)
	waitGroup.Go(trial.runEvacuations)
	waitGroup.Go(trial.restartService)
	waitGroup.Go(trial.sendAhead)
	waitGroup.Go(func() { trial.sendOverQuota("f", trial.soak.length+finalLoadTime) })
	report := generator.Run(trial.soak.length + finalLoadTime)
	waitGroup.Wait()
	trial.total = report.Total("")
	return report
}

func (trial *trial) recordEvent(format string, arguments ...any) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.history = append(trial.history, fmt.Sprintf("%6.2fs ", time.Since(trial.startedAt).Seconds())+fmt.Sprintf(format, arguments...))
}

func (trial *trial) recordViolation(format string, arguments ...any) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.violations = append(trial.violations, fmt.Sprintf("%.2fs: ", time.Since(trial.startedAt).Seconds())+fmt.Sprintf(format, arguments...))
}

func (trial *trial) recordFigure(format string, arguments ...any) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.figures = append(trial.figures, fmt.Sprintf(format, arguments...))
}

func (trial *trial) summary() string {
	if trial.total == nil {
		return "not started"
	}
	verdict := "kept"
	if len(trial.violations) > 0 {
		verdict = "VIOLATED"
	}
	return fmt.Sprintf("%s; %d faults, %d requests, %d whole, %d not run, %d unknown; %s", verdict, trial.faults,
		trial.total.Requests, trial.total.Complete, trial.total.NotRun, trial.total.Unknown, strings.Join(trial.figures, "; "))
}
