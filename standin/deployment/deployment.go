// Package deployment starts a deployment on loopback as separate processes: a
// stand-in for the platform and, for each target, a stand-in upstream and a
// daemon. The daemons' connections have the latencies of the simulated data
// centres and regions. Stop ends every process that the package has started.
//
// # Usage
//
//	plan, err := deployment.PlanByName("bureau")
//	running, err := plan.Start("bin", directory)
//	defer running.Stop()
//	err = running.AwaitReady(20 * time.Second)
package deployment

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("deployment")

// Plan describes a deployment: its regions, services and settings.
type Plan struct {
	Name     string
	Regions  []string
	Services []Service
	// TargetsPerService is the number of instances of each service. They are
	// placed in the regions and data centres in turn.
	TargetsPerService int
	Slots             int
	ServiceTime       time.Duration
	DataCentreLatency time.Duration
	RegionLatency     time.Duration
	// FirstRegionNumber is the second number of the IP addresses in the first
	// region, 127.R.D.N. Further regions count up from it. Deployments whose
	// region numbers differ can run at the same time.
	FirstRegionNumber int
	// ColdTime is how long an upstream that was started again says that it is cold.
	ColdTime time.Duration
	// Flags are further command-line flags of every daemon.
	Flags []string
	// WritesPerSecond is the platform's limit on writes.
	WritesPerSecond int
	// ServiceShape is the number of exponentially distributed parts that make up
	// a service time. The more parts, the less the service time varies.
	ServiceShape int
	// PlatformProxy, if set, is the address that the daemons use instead of the
	// platform's own.
	PlatformProxy string
	// WithoutLinks runs the ibislift program itself, as operators do, so that
	// connections have no simulated latency and cannot be cut.
	WithoutLinks bool
}

// Service is a service with the paths that the load generator requests.
// LookupPath is read with GET; a request to ChangePath must run at most once.
type Service struct {
	Name       string
	LookupPath string
	ChangePath string
	Profile    string
}

// dataCentresPerRegion applies to both deployments.
const dataCentresPerRegion = 2

// PlanByName returns the plan of one of the two users' deployments, bureau or
// kaldreikn.
func PlanByName(name string) (Plan, error) {
	switch name {
	case "bureau":
		return Plan{
			Name:    name,
			Regions: []string{"gauteng", "western-cape", "kwazulu-natal"},
			Services: []Service{
				{"sleeplog", "/logs/17", "/logs", "bureau-lookups"},
				{"intake", "/participants/4", "/enrolments", "bureau-enrolments"},
				{"archive", "/reports/9", "/reports", "bureau-lookups"},
				{"seal", "/certificates/2", "/certificates", "bureau-enrolments"},
			},
			TargetsPerService: 6, Slots: 13, ServiceTime: 5 * time.Millisecond,
			DataCentreLatency: time.Millisecond, RegionLatency: 30 * time.Millisecond,
			FirstRegionNumber: 11, WritesPerSecond: 300,
		}, nil
	case "kaldreikn":
		return Plan{
			Name:    name,
			Regions: []string{"sudvestur", "nordur", "austur"},
			Services: []Service{
				{"yfirlit", "/statements/17", "/statements", "kaldreikn-lookups"},
				{"greidslur", "/payments/4", "/payments", "kaldreikn-payments"},
				{"skjalasafn", "/archives/9", "/archives", "kaldreikn-lookups"},
				{"inneign", "/credit-notes/2", "/credit-notes", "kaldreikn-payments"},
			},
			TargetsPerService: 6, Slots: 18, ServiceTime: 5 * time.Millisecond,
			DataCentreLatency: 500 * time.Microsecond, RegionLatency: 30 * time.Millisecond,
			FirstRegionNumber: 21, WritesPerSecond: 300,
		}, nil
	default:
		return Plan{}, Error.New("unknown deployment %q; the deployments are bureau and kaldreikn", name)
	}
}

// All instances use the same ports; each has an IP address of its own.
const (
	callerPort   = 8000
	peerPort     = 8001
	announcePort = 8002
	operatorPort = 8003
	forwardPort  = 8004
	linkPort     = 8005
	upstreamPort = 9000
	platformPort = 7000
)

// Instance is a daemon and the upstream beside it.
type Instance struct {
	Name       string
	Service    string
	Region     string
	DataCentre string
	// IP is the instance's IP address, and RegionNumber its second number, by
	// which package link identifies the region.
	IP           string
	RegionNumber string
	Daemon       *Process
	Upstream     *Process
}

func (instance *Instance) address(port int) string { return fmt.Sprintf("%s:%d", instance.IP, port) }

// CallerAddress returns the address at which the daemon serves callers.
func (instance *Instance) CallerAddress() string { return instance.address(callerPort) }

// OperatorAddress returns the address of the daemon's operator API.
func (instance *Instance) OperatorAddress() string { return instance.address(operatorPort) }

// LinkAddress returns the address at which the daemon's links are cut and their
// traffic is read.
func (instance *Instance) LinkAddress() string { return instance.address(linkPort) }

// UpstreamAddress returns the address at which the upstream serves.
func (instance *Instance) UpstreamAddress() string { return instance.address(upstreamPort) }

// Running is a deployment that has been started.
type Running struct {
	Plan      Plan
	Instances []*Instance
	Platform  *Process
	// Ledger is the file in which the upstreams record each request that they
	// start to run.
	Ledger string

	programDirectory string
	workDirectory    string
}

// Start starts the platform and all instances. It takes the programs from one
// directory and writes the logs and the ledger into another.
func (plan Plan) Start(programDirectory, workDirectory string) (*Running, error) {
	if err := os.MkdirAll(workDirectory, 0o700); err != nil {
		return nil, Error.Wrap(err)
	}
	running := &Running{Plan: plan, Ledger: filepath.Join(workDirectory, "ledger"), programDirectory: programDirectory, workDirectory: workDirectory}
	platform, err := running.launch("platform", "standin", "platform",
		"--listen", running.PlatformAddress(), "--writes", fmt.Sprint(plan.WritesPerSecond))
	if err != nil {
		return nil, err
	}
	running.Platform = platform
	running.Instances = plan.instances()
	for _, instance := range running.Instances {
		if err := running.StartDaemon(instance); err != nil {
			running.Stop()
			return nil, err
		}
		if err := running.StartUpstream(instance); err != nil {
			running.Stop()
			return nil, err
		}
	}
	return running, nil
}

// instances returns the instances of all services, placed in the regions and
// data centres in turn.
func (plan Plan) instances() []*Instance {
	var instances []*Instance
	counts := map[string]int{}
	for _, service := range plan.Services {
		for number := range plan.TargetsPerService {
			region := number % len(plan.Regions)
			dataCentre := number / len(plan.Regions) % dataCentresPerRegion
			regionNumber := fmt.Sprint(plan.FirstRegionNumber + region)
			subnet := fmt.Sprintf("127.%s.%d", regionNumber, dataCentre+1)
			counts[subnet]++
			instances = append(instances, &Instance{
				Name:         fmt.Sprintf("%s-%d", service.Name, number+1),
				Service:      service.Name,
				Region:       plan.Regions[region],
				DataCentre:   fmt.Sprintf("%s-%d", plan.Regions[region], dataCentre+1),
				IP:           fmt.Sprintf("%s.%d", subnet, counts[subnet]),
				RegionNumber: regionNumber,
			})
		}
	}
	return instances
}

// PlatformAddress returns the address of the platform's stand-in.
func (running *Running) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", running.Plan.FirstRegionNumber, platformPort)
}

// StartDaemon starts or restarts the daemon of an instance.
func (running *Running) StartDaemon(instance *Instance) error {
	plan := running.Plan
	arguments := []string{
		"daemon", "--name", instance.Name, "--region", instance.Region, "--data-centre", instance.DataCentre,
		"--caller-address", instance.CallerAddress(), "--peer-address", instance.address(peerPort),
		"--carry-address", instance.address(forwardPort),
		"--upstream-address", instance.address(announcePort), "--operator-address", instance.OperatorAddress(),
		"--platform-address", cmp.Or(plan.PlatformProxy, running.PlatformAddress()), "--platform-region", plan.Regions[0],
		"--data-centre-latency", plan.DataCentreLatency.String(), "--region-capacity", "8",
	}
	program := "ibislift"
	if !plan.WithoutLinks {
		program = "standin"
		arguments = append(arguments, "--lan", plan.DataCentreLatency.String(),
			"--wan", plan.RegionLatency.String(), "--link-address", instance.LinkAddress())
	}
	for _, region := range plan.Regions {
		if region != instance.Region {
			arguments = append(arguments, "--link", fmt.Sprintf("%s=%s,1", region, plan.RegionLatency))
		}
	}
	for _, first := range running.Instances[:min(3, len(running.Instances))] {
		arguments = append(arguments, "--first-peer", first.address(peerPort))
	}
	process, err := running.launch(instance.Name+".daemon", program, append(arguments, plan.Flags...)...)
	instance.Daemon = process
	return err
}

// StartUpstream starts or restarts the upstream of an instance.
func (running *Running) StartUpstream(instance *Instance) error {
	plan := running.Plan
	arguments := []string{
		"upstream",
		"--service", instance.Service, "--name", instance.Name, "--listen", instance.UpstreamAddress(),
		"--daemon", instance.address(announcePort), "--slots", fmt.Sprint(plan.Slots),
		"--service-time", plan.ServiceTime.String(), "--service-shape", fmt.Sprint(max(1, plan.ServiceShape)),
		"--ledger", running.Ledger,
	}
	if instance.Upstream != nil {
		arguments = append(arguments, "--cold-time", plan.ColdTime.String())
	}
	process, err := running.launch(instance.Name+".upstream", "standin", arguments...)
	instance.Upstream = process
	return err
}

// Stop kills all processes that are still running.
func (running *Running) Stop() {
	for _, instance := range running.Instances {
		instance.Upstream.Kill()
		instance.Daemon.Kill()
	}
	running.Platform.Kill()
}
