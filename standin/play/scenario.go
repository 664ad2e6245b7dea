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

// Scenario is a deployment with its callers and the troubles of one day. Times
// are in milliseconds unless their names say otherwise.
type Scenario struct {
	Name string `json:"name"`
	// Note says what the scenario stands for.
	Note string `json:"note,omitempty"`
	Seed uint64 `json:"seed"`
	// Seconds is the length of the day, from the first request.
	Seconds  float64   `json:"seconds"`
	Links    Links     `json:"links"`
	Zones    []Zone    `json:"zones"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	Troubles []Trouble `json:"troubles,omitempty"`
	// RetryRatio and RetrySlack are the retry budget over all daemons.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// Headroom is the part of the slots that gates leave free.
	Headroom float64 `json:"headroom"`
	// ByteSeconds is the time that a megabyte to another zone is worth.
	ByteSeconds float64 `json:"byteSeconds"`
}

// Links are one-way latencies.
type Links struct {
	InZone      float64 `json:"inZone"`
	CrossZone   float64 `json:"crossZone"`
	CrossRegion float64 `json:"crossRegion"`
	Caller      float64 `json:"caller"`
}

// Zone has callers and, of each service, some targets with a daemon beside.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// PerSecond is the callers' rate, which swings as a wave.
	PerSecond     float64 `json:"perSecond"`
	Swing         float64 `json:"swing,omitempty"`
	PeriodSeconds float64 `json:"periodSeconds,omitempty"`
	Phase         float64 `json:"phase,omitempty"`
	// Callers is the number of callers, each with a connection.
	Callers int `json:"callers,omitempty"`
	// Clump is how many requests come at once on average.
	Clump float64 `json:"clump,omitempty"`
	// Targets is the number of targets of each service.
	Targets map[string]int `json:"targets"`
}

// Service is how the targets of a service behave.
type Service struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Queue is the target's own queue behind its slots, and WhenFull what it
	// does beyond: refuse, hang or reset.
	Queue    int    `json:"queue"`
	WhenFull string `json:"whenFull"`
	// ColdSeconds is how long a new target is slowed ColdFactor times.
	ColdSeconds float64 `json:"coldSeconds,omitempty"`
	ColdFactor  float64 `json:"coldFactor,omitempty"`
	// Above the part Knee of its slots a target is slowed, KneeFactor times
	// when it is full.
	Knee       float64 `json:"knee,omitempty"`
	KneeFactor float64 `json:"kneeFactor,omitempty"`
	// NoiseShare of the time a target is slowed NoiseFactor times, drawn anew
	// each NoiseEvery.
	NoiseShare  float64 `json:"noiseShare,omitempty"`
	NoiseFactor float64 `json:"noiseFactor,omitempty"`
	NoiseEvery  float64 `json:"noiseEvery,omitempty"`
	// ProbeTime is how long a health check takes.
	ProbeTime float64 `json:"probeTime,omitempty"`
}

// Class is a kind of request.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Part is the part of the callers' requests; 0 for calls of runs.
	Part float64 `json:"part,omitempty"`
	// Rank is the urgency, 0 the highest.
	Rank       int  `json:"rank"`
	Repeatable bool `json:"repeatable"`
	// Worth is what an answer within Objective earns, LateWorth one before
	// Deadline. Both count from the caller's first attempt; Timeout is the
	// route's, from each arrival.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	Objective float64 `json:"objective"`
	Deadline  float64 `json:"deadline"`
	Timeout   float64 `json:"timeout,omitempty"`
	// Work is the mean time of a run on an idle target, Spread its deviation
	// as a part of it.
	Work   float64 `json:"work"`
	Spread float64 `json:"spread,omitempty"`
	Bytes  float64 `json:"bytes,omitempty"`
	// Retries is how often a caller comes back after a refusal, or after a
	// failure if the request may be repeated.
	Retries int `json:"retries,omitempty"`
	// Pipelined requests of a caller go ahead on one connection, so that their
	// answers come in order.
	Pipelined bool   `json:"pipelined,omitempty"`
	Calls     []Call `json:"calls,omitempty"`
}

// Call is a call that a share of the runs of a class makes, half way through.
type Call struct {
	Class string  `json:"class"`
	Times int     `json:"times"`
	Share float64 `json:"share"`
}

// Trouble is something that happens to a part of the deployment for a time.
type Trouble struct {
	At    float64 `json:"atSeconds"`
	For   float64 `json:"forSeconds"`
	Kind  string  `json:"kind"`
	Zone  string  `json:"zone,omitempty"`
	Share float64 `json:"share,omitempty"`
	// Service names whose targets are meant; empty means all.
	Service string `json:"service,omitempty"`
	// Factor is how strong it is: see Kinds.
	Factor float64 `json:"factor,omitempty"`
}

// Kinds are the kinds of trouble and what their factor means.
var Kinds = map[string]string{
	"burst":        "callers send factor times as much, in one zone or in all",
	"shift":        "a share of the callers of a zone, or of all zones, goes to the next zone's daemons",
	"leaveEarly":   "a share of the callers leaves after half of the objective",
	"impatient":    "a share of the callers comes back at once whatever it is told, factor times as often",
	"slow":         "a share of the targets works factor times as long",
	"failing":      "a share of the targets fails the part factor of its requests at once",
	"shedding":     "a share of the targets refuses the part factor of its requests",
	"hanging":      "a share of the targets never answers the part factor of its requests",
	"lostAnswers":  "a share of the targets loses the part factor of its answers after the run",
	"crash":        "a share of the targets is down, and cold when it is back",
	"lyingHealth":  "a share of the targets says that it is well and fails all at once",
	"staleReports": "gates send no reports of their load",
}

// Parse reads a scenario and checks it. Unknown fields are errors.
func Parse(text []byte) (*Scenario, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	scenario := &Scenario{}
	if err := decoder.Decode(scenario); err != nil {
		return nil, Error.Wrap(err)
	}
	return scenario, scenario.check()
}

// check names all faults at once.
func (scenario *Scenario) check() error {
	var group errs.Group
	fault := func(wrong bool, format string, arguments ...any) {
		if wrong {
			group.Add(Error.New(format, arguments...))
		}
	}
	fault(scenario.Seconds <= 0 || scenario.Seconds > 3600, "seconds: %g is not between 0 and 3600", scenario.Seconds)
	fault(len(scenario.Zones) == 0, "zones: there is none")
	services, classes, zones := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, service := range scenario.Services {
		services[service.Name] = true
		fault(service.Slots < 1, "service %s: slots: must be 1 or more", service.Name)
		fault(service.WhenFull != "refuse" && service.WhenFull != "hang" && service.WhenFull != "reset",
			"service %s: whenFull: %q is not refuse, hang or reset", service.Name, service.WhenFull)
		fault(service.NoiseShare > 0 && service.NoiseEvery <= 0, "service %s: noiseEvery: must be above 0", service.Name)
	}
	parts := 0.0
	for _, class := range scenario.Classes {
		classes[class.Name] = true
		parts += class.Part
		fault(!services[class.Service], "class %s: there is no service %q", class.Name, class.Service)
		fault(class.Work <= 0, "class %s: work: must be above 0", class.Name)
		fault(class.Objective <= 0 || class.Deadline < class.Objective, "class %s: objective: must be above 0 and within the deadline", class.Name)
	}
	fault(parts <= 0, "classes: no class has a part of the callers' requests")
	for _, class := range scenario.Classes {
		for _, call := range class.Calls {
			fault(!classes[call.Class], "class %s: calls: there is no class %q", class.Name, call.Class)
			fault(call.Class == class.Name, "class %s: calls: a class cannot call itself", class.Name)
		}
	}
	targets := map[string]int{}
	for _, zone := range scenario.Zones {
		zones[zone.Name] = true
		for name, count := range zone.Targets {
			targets[name] += count
			fault(!services[name], "zone %s: targets: there is no service %q", zone.Name, name)
		}
	}
	for name := range services {
		fault(targets[name] == 0, "service %s: no zone has a target of it", name)
	}
	for number, trouble := range scenario.Troubles {
		fault(Kinds[trouble.Kind] == "", "trouble %d: there is no kind %q", number+1, trouble.Kind)
		fault(trouble.Zone != "" && !zones[trouble.Zone], "trouble %d: there is no zone %q", number+1, trouble.Zone)
		fault(trouble.Service != "" && !services[trouble.Service], "trouble %d: there is no service %q", number+1, trouble.Service)
		fault(trouble.For <= 0, "trouble %d: forSeconds: must be above 0", number+1)
	}
	return group.Err()
}

// milliseconds makes a duration of a figure of a scenario.
func milliseconds(figure float64) time.Duration {
	return time.Duration(figure * float64(time.Millisecond))
}

func seconds(figure float64) time.Duration { return time.Duration(figure * float64(time.Second)) }

// String names the trouble in a report.
func (trouble Trouble) String() string {
	return fmt.Sprintf("%s at %gs for %gs", trouble.Kind, trouble.At, trouble.For)
}
