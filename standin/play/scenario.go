package play

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("play")

// Scenario describes a deployment, its callers, and the faults that happen to it.
// Times are in milliseconds unless their names say otherwise.
type Scenario struct {
	Name string `json:"name"`
	// Note describes the scenario.
	Note string `json:"note,omitempty"`
	Seed uint64 `json:"seed"`
	// Seconds is how long callers send requests.
	Seconds  float64   `json:"seconds"`
	Links    Links     `json:"links"`
	Zones    []Zone    `json:"zones"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	// Workspaces are the workspaces that callers belong to. Without any, requests carry
	// none.
	Workspaces Workspaces `json:"workspaces,omitzero"`
	Faults     []Fault    `json:"troubles,omitempty"`
	// RetryRatio and RetrySlack are the retry budget of all daemons together.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// Headroom is the fraction of the slots that gates keep free.
	Headroom float64 `json:"headroom"`
	// ZoneBytePrice and RegionBytePrice are the prices of sending a megabyte to
	// another zone of the region and to another region, in responses in time.
	ZoneBytePrice   float64 `json:"zoneBytePrice"`
	RegionBytePrice float64 `json:"regionBytePrice"`
}

// Workspaces describes the workspaces of the callers. The one at position k, the first
// being 1, sends a share of the requests that is proportional to k to the power of
// -Exponent.
type Workspaces struct {
	Count    int     `json:"count"`
	Exponent float64 `json:"exponent"`
	// Ranks holds the ranks of the workspaces, which repeat from the first one when there
	// are fewer. Without any, all have rank 0.
	Ranks []int `json:"ranks,omitempty"`
}

// Links holds one-way latencies: within a zone, between zones of a region, between
// regions, and between callers and daemons.
type Links struct {
	InZone      float64 `json:"inZone"`
	CrossZone   float64 `json:"crossZone"`
	CrossRegion float64 `json:"crossRegion"`
	Caller      float64 `json:"caller"`
}

// Zone is a data centre with callers and with targets of services; scenarios call
// data centres zones. Each target has a daemon beside it.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// RequestsPerSecond is the mean request rate of the callers. The rate follows
	// a sine wave with the relative amplitude Amplitude, the period PeriodSeconds
	// and the phase Phase, which is a fraction of the period.
	RequestsPerSecond float64 `json:"perSecond"`
	Amplitude         float64 `json:"swing,omitempty"`
	PeriodSeconds     float64 `json:"periodSeconds,omitempty"`
	Phase             float64 `json:"phase,omitempty"`
	// Callers is the number of callers. Each has a connection.
	Callers int `json:"callers,omitempty"`
	// MeanBatchSize is the mean number of requests that arrive at once.
	MeanBatchSize float64 `json:"clump,omitempty"`
	// Targets is the number of targets of each service.
	Targets map[string]int `json:"targets"`
}

// Service describes the behaviour of a service's targets.
type Service struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// QueueBound is the length of the target's own queue. WhenFull is what the
	// target does when that is full: refuse, hang or reset.
	QueueBound int    `json:"queue"`
	WhenFull   string `json:"whenFull"`
	// RunsCancelled makes targets run a cancelled request to its end. Otherwise they drop
	// it at once.
	RunsCancelled bool `json:"runsCancelled,omitempty"`
	// For ColdSeconds after its start a target is ColdFactor times slower.
	ColdSeconds float64 `json:"coldSeconds,omitempty"`
	ColdFactor  float64 `json:"coldFactor,omitempty"`
	// For WarmupSeconds after its start a target takes WarmupPerSecond requests a second,
	// and in any second at most as many times WarmupOvershoot plus WarmupSlack. Without
	// the rate it takes as many as later.
	WarmupSeconds   float64 `json:"warmupSeconds,omitempty"`
	WarmupPerSecond float64 `json:"warmupPerSecond,omitempty"`
	WarmupOvershoot float64 `json:"warmupOvershoot,omitempty"`
	WarmupSlack     float64 `json:"warmupSlack,omitempty"`
	// A target slows down when more than the fraction Knee of its slots is in
	// use. It is KneeFactor times slower when all of them are.
	Knee       float64 `json:"knee,omitempty"`
	KneeFactor float64 `json:"kneeFactor,omitempty"`
	// For the fraction NoiseShare of the time a target is NoiseFactor times
	// slower. Whether it is slow is drawn again after each NoiseInterval.
	NoiseShare    float64 `json:"noiseShare,omitempty"`
	NoiseFactor   float64 `json:"noiseFactor,omitempty"`
	NoiseInterval float64 `json:"noiseEvery,omitempty"`
	// ProbeTime is how long a probe takes.
	ProbeTime float64 `json:"probeTime,omitempty"`
}

// Class is a kind of request.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Weight is the class's relative share of the callers' requests. It is 0 for
	// a class that only runs call.
	Weight float64 `json:"part,omitempty"`
	// Rank is the urgency. 0 is the most urgent.
	Rank       int  `json:"rank"`
	Repeatable bool `json:"repeatable"`
	// Value is the credit for a response within Objective, LateValue that for a
	// later one within Deadline. Objective and Deadline count from the caller's
	// first attempt. Timeout is the timeout of the route and counts from each
	// arrival at a daemon.
	Value     float64 `json:"worth"`
	LateValue float64 `json:"lateWorth"`
	Objective float64 `json:"objective"`
	Deadline  float64 `json:"deadline"`
	Timeout   float64 `json:"timeout,omitempty"`
	// ServiceTime is the mean duration of a run on an idle target. Variation is
	// its standard deviation as a fraction of the mean.
	ServiceTime float64 `json:"work"`
	Variation   float64 `json:"spread,omitempty"`
	// RequestBytes and ResponseBytes are the sizes of the bodies.
	RequestBytes  float64 `json:"requestBytes,omitempty"`
	ResponseBytes float64 `json:"bytes,omitempty"`
	// MaxRetries is how often a caller retries after a refusal, or after a failure
	// if the request is repeatable.
	MaxRetries int `json:"retries,omitempty"`
	// Pipelined requests of a caller share one connection without waiting for
	// each other, and their responses arrive in order.
	Pipelined bool `json:"pipelined,omitempty"`
	// Keyless requests of callers belong to no workspace.
	Keyless bool   `json:"keyless,omitempty"`
	Calls   []Call `json:"calls,omitempty"`
}

// Call is a call that a share of the runs of a class makes half way through.
type Call struct {
	Class string  `json:"class"`
	Count int     `json:"times"`
	Share float64 `json:"share"`
	// AtOnce makes the calls at the same time instead of one after the other.
	AtOnce bool `json:"atOnce,omitempty"`
}

// Fault affects a part of the deployment for some time.
type Fault struct {
	StartSeconds    float64 `json:"atSeconds"`
	DurationSeconds float64 `json:"forSeconds"`
	Kind            string  `json:"kind"`
	Zone            string  `json:"zone,omitempty"`
	Share           float64 `json:"share,omitempty"`
	// Service selects the affected targets. Empty means those of all services.
	Service string `json:"service,omitempty"`
	// Class and Workspace select the requests of a surge. Empty and 0 mean all of them;
	// the largest workspace is 1.
	Class     string `json:"class,omitempty"`
	Workspace int    `json:"workspace,omitempty"`
	// Factor is the strength of the fault. FaultKinds describes its meaning.
	Factor float64 `json:"factor,omitempty"`
}

// FaultKinds holds the kinds of faults and the meaning of their share and factor.
var FaultKinds = map[string]string{
	"burst":        "the callers of a zone, or of all zones, send factor times as many requests",
	"surge":        "the requests of a class, of a workspace, or of all are sent factor times as often",
	"shift":        "a share of the callers of a zone, or of all zones, sends to the daemons of the next zone",
	"leaveEarly":   "a share of the callers gives up after half of the objective",
	"impatient":    "a share of the callers retries at once, whatever the retry time is, and factor times as often",
	"slow":         "a share of the targets is factor times slower",
	"failing":      "a share of the targets fails the fraction factor of its requests at once",
	"shedding":     "a share of the targets refuses the fraction factor of its requests",
	"hanging":      "a share of the targets never responds to the fraction factor of its requests",
	"lostAnswers":  "a share of the targets loses the fraction factor of its responses after the run",
	"crash":        "a share of the targets is down, and slow after its restart while it is cold",
	"limited":      "a share of the targets names a limit of factor requests a second in its responses",
	"lyingHealth":  "a share of the targets passes health checks but fails all requests at once",
	"slowDaemon":   "a share of the daemons handles each step of a request factor milliseconds late, and their timers fire as late",
	"staleReports": "gates send no load reports",
}

// Parse decodes and checks a scenario. Unknown fields are errors.
func Parse(text []byte) (*Scenario, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	scenario := &Scenario{}
	if err := decoder.Decode(scenario); err != nil {
		return nil, Error.Wrap(err)
	}
	return scenario, scenario.check()
}

// check returns all errors of the scenario together.
func (scenario *Scenario) check() error {
	var problems errs.Group
	rejectIf := func(invalid bool, format string, arguments ...any) {
		if invalid {
			problems.Add(Error.New(format, arguments...))
		}
	}
	rejectIf(scenario.Seconds <= 0 || scenario.Seconds > 3600, "seconds: %g is not between 0 and 3600", scenario.Seconds)
	rejectIf(len(scenario.Zones) == 0, "zones: there is none")
	services, classes, zones := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, service := range scenario.Services {
		services[service.Name] = true
		rejectIf(service.Slots < 1, "service %s: slots: must be 1 or more", service.Name)
		rejectIf(service.WhenFull != "refuse" && service.WhenFull != "hang" && service.WhenFull != "reset",
			"service %s: whenFull: %q is not refuse, hang or reset", service.Name, service.WhenFull)
		rejectIf(service.NoiseShare > 0 && service.NoiseInterval <= 0, "service %s: noiseEvery: must be above 0", service.Name)
	}
	totalWeight := 0.0
	for _, class := range scenario.Classes {
		classes[class.Name] = true
		totalWeight += class.Weight
		rejectIf(!services[class.Service], "class %s: there is no service %q", class.Name, class.Service)
		rejectIf(class.ServiceTime <= 0, "class %s: work: must be above 0", class.Name)
		rejectIf(class.Objective <= 0 || class.Deadline < class.Objective, "class %s: objective: must be above 0 and within the deadline", class.Name)
	}
	rejectIf(totalWeight <= 0, "classes: no class has a part above 0")
	for _, class := range scenario.Classes {
		for _, call := range class.Calls {
			rejectIf(!classes[call.Class], "class %s: calls: there is no class %q", class.Name, call.Class)
			rejectIf(call.Class == class.Name, "class %s: calls: a class cannot call itself", class.Name)
		}
	}
	targets := map[string]int{}
	for _, zone := range scenario.Zones {
		zones[zone.Name] = true
		for name, count := range zone.Targets {
			targets[name] += count
			rejectIf(!services[name], "zone %s: targets: there is no service %q", zone.Name, name)
		}
	}
	for name := range services {
		rejectIf(targets[name] == 0, "service %s: no zone has a target of it", name)
	}
	for number, fault := range scenario.Faults {
		rejectIf(FaultKinds[fault.Kind] == "", "trouble %d: there is no kind %q", number+1, fault.Kind)
		rejectIf(fault.Zone != "" && !zones[fault.Zone], "trouble %d: there is no zone %q", number+1, fault.Zone)
		rejectIf(fault.Service != "" && !services[fault.Service], "trouble %d: there is no service %q", number+1, fault.Service)
		rejectIf(fault.Class != "" && !classes[fault.Class], "trouble %d: there is no class %q", number+1, fault.Class)
		rejectIf(fault.Workspace < 0 || fault.Workspace > scenario.Workspaces.Count, "trouble %d: there is no workspace %d", number+1, fault.Workspace)
		rejectIf(fault.DurationSeconds <= 0, "trouble %d: forSeconds: must be above 0", number+1)
	}
	return problems.Err()
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// String returns the kind and the times of the fault.
func (fault Fault) String() string {
	return fmt.Sprintf("%s at %gs for %gs", fault.Kind, fault.StartSeconds, fault.DurationSeconds)
}
