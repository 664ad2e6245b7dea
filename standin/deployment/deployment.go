// Package deployment starts a deployment on loopback as separate processes: the
// platform's stand-in, and for each target an upstream and a daemon whose links
// take the time that the brief names. It ends all that it has started.
//
// # Usage
//
//	plan, err := deployment.Named("bureau")
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

// Plan is what a deployment consists of.
type Plan struct {
	Name     string
	Regions  []string
	Services []Service
	// TargetsPerService are spread over the regions and data centres in turn.
	TargetsPerService int
	Slots             int
	ServiceTime       time.Duration
	DataCentreLatency time.Duration
	RegionLatency     time.Duration
	// Block is the second number of the first region's addresses, so that
	// several deployments can run beside each other.
	Block int
	// Flags are added to each daemon's.
	Flags []string
	// WritesPerSecond limits the platform.
	WritesPerSecond int
	// ServiceShape is how many exponential parts the service time has; more
	// make it steadier.
	ServiceShape int
	// PlatformProxy is the address that daemons use in place of the platform's
	// own, if it is set.
	PlatformProxy string
	// Plain runs the daemons as operators do, without links that take time.
	Plain bool
}

// Service is a service with a path to look up and one that must run once.
type Service struct {
	Name    string
	Lookup  string
	Change  string
	Profile string
}

// dataCentresPerRegion is the same in both deployments.
const dataCentresPerRegion = 2

// Named returns the plan of one of the two users' deployments.
func Named(name string) (Plan, error) {
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
			Block: 11, WritesPerSecond: 300,
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
			Block: 21, WritesPerSecond: 300,
		}, nil
	default:
		return Plan{}, Error.New("there is no deployment %q; there are bureau and kaldreikn", name)
	}
}

// Ports of every instance; its IP number tells instances apart.
const (
	callerPort   = 8000
	peerPort     = 8001
	announcePort = 8002
	operatorPort = 8003
	carryPort    = 8004
	linkPort     = 8005
	upstreamPort = 9000
	platformPort = 7000
)

// Instance is one daemon with its upstream.
type Instance struct {
	Name       string
	Service    string
	Region     string
	DataCentre string
	// IP is the instance's address, Place its region's part as links know it.
	IP       string
	Place    string
	Daemon   *Process
	Upstream *Process
}

func (instance *Instance) address(port int) string { return fmt.Sprintf("%s:%d", instance.IP, port) }

// Callers is where callers reach the daemon.
func (instance *Instance) Callers() string { return instance.address(callerPort) }

// Operators is where operators reach the daemon.
func (instance *Instance) Operators() string { return instance.address(operatorPort) }

// Links is where the switches of the daemon's links are.
func (instance *Instance) Links() string { return instance.address(linkPort) }

// Server is where the upstream serves.
func (instance *Instance) Server() string { return instance.address(upstreamPort) }

// Running is a deployment that has been started.
type Running struct {
	Plan      Plan
	Instances []*Instance
	Platform  *Process
	// Ledger is the file in which upstreams note what they run.
	Ledger string

	programs  string
	directory string
}

// Start starts the platform and all instances, with programs from one
// directory and logs in another.
func (plan Plan) Start(programs, directory string) (*Running, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, Error.Wrap(err)
	}
	running := &Running{Plan: plan, Ledger: filepath.Join(directory, "ledger"), programs: programs, directory: directory}
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

// instances places the targets of each service in regions and data centres in
// turn.
func (plan Plan) instances() []*Instance {
	var instances []*Instance
	counts := map[string]int{}
	for _, service := range plan.Services {
		for number := range plan.TargetsPerService {
			region := number % len(plan.Regions)
			centre := number / len(plan.Regions) % dataCentresPerRegion
			place := fmt.Sprint(plan.Block + region)
			subnet := fmt.Sprintf("127.%s.%d", place, centre+1)
			counts[subnet]++
			instances = append(instances, &Instance{
				Name:       fmt.Sprintf("%s-%d", service.Name, number+1),
				Service:    service.Name,
				Region:     plan.Regions[region],
				DataCentre: fmt.Sprintf("%s-%d", plan.Regions[region], centre+1),
				IP:         fmt.Sprintf("%s.%d", subnet, counts[subnet]),
				Place:      place,
			})
		}
	}
	return instances
}

// PlatformAddress is where the platform's stand-in serves.
func (running *Running) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", running.Plan.Block, platformPort)
}

// StartDaemon starts an instance's daemon, or starts it again.
func (running *Running) StartDaemon(instance *Instance) error {
	plan := running.Plan
	arguments := []string{
		"daemon", "--name", instance.Name, "--region", instance.Region, "--data-centre", instance.DataCentre,
		"--caller-address", instance.Callers(), "--peer-address", instance.address(peerPort),
		"--carry-address", instance.address(carryPort),
		"--upstream-address", instance.address(announcePort), "--operator-address", instance.Operators(),
		"--platform-address", cmp.Or(plan.PlatformProxy, running.PlatformAddress()), "--platform-region", plan.Regions[0],
		"--data-centre-latency", plan.DataCentreLatency.String(), "--region-capacity", "8",
	}
	program := "ibislift"
	if !plan.Plain {
		program = "standin"
		arguments = append(arguments, "--lan", plan.DataCentreLatency.String(),
			"--wan", plan.RegionLatency.String(), "--link-address", instance.Links())
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

// StartUpstream starts an instance's upstream, or starts it again.
func (running *Running) StartUpstream(instance *Instance) error {
	plan := running.Plan
	process, err := running.launch(instance.Name+".upstream", "standin", "upstream",
		"--service", instance.Service, "--name", instance.Name, "--listen", instance.Server(),
		"--daemon", instance.address(announcePort), "--slots", fmt.Sprint(plan.Slots),
		"--service-time", plan.ServiceTime.String(), "--service-shape", fmt.Sprint(max(1, plan.ServiceShape)),
		"--ledger", running.Ledger)
	instance.Upstream = process
	return err
}

// Stop ends all processes that still run.
func (running *Running) Stop() {
	for _, instance := range running.Instances {
		instance.Upstream.Kill()
		instance.Daemon.Kill()
	}
	running.Platform.Kill()
}
