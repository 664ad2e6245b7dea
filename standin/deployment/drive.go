package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"ibislift/core/kernel"
	"ibislift/io/operator"
	"ibislift/standin/link"
	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

var httpClient = &http.Client{Timeout: 10 * time.Second}

// Await polls until a condition holds, for at most a time.
func Await(most time.Duration, what string, condition func() bool) error {
	end := time.Now().Add(most)
	for !condition() {
		if time.Now().After(end) {
			return Error.New("%s did not come about in %s", what, most)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// AwaitReady waits until every daemon is ready and sees every target.
func (running *Running) AwaitReady(most time.Duration) error {
	wanted := len(running.Instances)
	end := time.Now().Add(most)
	for _, instance := range running.Instances {
		err := Await(time.Until(end), "readiness of "+instance.Name, func() bool {
			return running.Targets(instance) == wanted
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Targets counts the targets that serve in the eyes of a ready daemon.
func (running *Running) Targets(instance *Instance) int {
	status, err := running.Status(instance)
	if err != nil || !status.Ready {
		return 0
	}
	targets := 0
	for _, region := range status.Regions {
		targets += region.Targets
	}
	return targets
}

// Status is the fleet as a daemon sees it.
func (running *Running) Status(instance *Instance) (operator.Status, error) {
	var status operator.Status
	err := getJSON("http://"+instance.Operators()+"/status", &status)
	return status, err
}

// Members are the daemons that a daemon knows.
func (running *Running) Members(instance *Instance) ([]kernel.Member, error) {
	var members []kernel.Member
	err := getJSON("http://"+instance.Operators()+"/targets", &members)
	return members, err
}

func getJSON(url string, into any) error {
	response, err := httpClient.Get(url)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return Error.Wrap(json.NewDecoder(response.Body).Decode(into))
}

// Apply writes a profile or a service's choice through a daemon, and returns
// the status and the body of the answer. Version 0 creates.
func (running *Running) Apply(instance *Instance, path string, version uint64, spec string) (int, operator.Object, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+instance.Operators()+path, strings.NewReader(spec))
	if err != nil {
		return 0, operator.Object{}, Error.Wrap(err)
	}
	if version == 0 {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", fmt.Sprint(version))
	}
	request.Header.Set(operator.AuthorHeader, "demo")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, operator.Object{}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var object operator.Object
	err = json.NewDecoder(response.Body).Decode(&object)
	return response.StatusCode, object, Error.Wrap(err)
}

// VersionEverywhere says whether every living daemon has a version in force.
func (running *Running) VersionEverywhere(path string, version uint64) bool {
	for _, instance := range running.Instances {
		if instance.Daemon.hasEnded() {
			continue
		}
		var object operator.Object
		if getJSON("http://"+instance.Operators()+path, &object) != nil || object.Version < version {
			return false
		}
	}
	return true
}

func (process *Process) hasEnded() bool {
	select {
	case <-process.ended:
		return true
	default:
		return false
	}
}

// CutRegion cuts a region's links to the others, or mends them.
func (running *Running) CutRegion(place string, direction link.Direction) error {
	for _, instance := range running.Instances {
		if instance.Daemon.hasEnded() {
			continue
		}
		places := []string{place}
		if instance.Place == place {
			places = running.otherPlaces(place)
		}
		for _, cut := range places {
			body := fmt.Sprintf(`{"place":%q,"direction":%q}`, cut, direction)
			if err := post("http://"+instance.Links()+"/links", body); err != nil {
				return err
			}
		}
	}
	return nil
}

func (running *Running) otherPlaces(place string) []string {
	var places []string
	for region := range running.Plan.Regions {
		if other := fmt.Sprint(running.Plan.Block + region); other != place {
			places = append(places, other)
		}
	}
	return places
}

// Traffic is what has passed the connections that an instance's daemon has set
// up to others.
func (running *Running) Traffic(instance *Instance) (link.Traffic, error) {
	var traffic link.Traffic
	err := getJSON("http://"+instance.Links()+"/links", &traffic)
	return traffic, err
}

// TurnPlatform sets the platform's switches.
func (running *Running) TurnPlatform(switches platform.Switches) error {
	return postJSON("http://"+running.PlatformAddress()+"/switches", switches)
}

// PlatformCounts are the calls that the platform has seen.
func (running *Running) PlatformCounts() (platform.Counts, error) {
	var counts platform.Counts
	err := getJSON("http://"+running.PlatformAddress()+"/counts", &counts)
	return counts, err
}

// TurnUpstream sets an upstream's switches.
func (running *Running) TurnUpstream(instance *Instance, switches upstream.Switches) error {
	return postJSON("http://"+instance.Server()+"/switches", switches)
}

func postJSON(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	return post(url, string(body))
}

func post(url, body string) error {
	response, err := httpClient.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return Error.Wrap(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode >= http.StatusBadRequest {
		_ = response.Body.Close()
		return Error.New("%s: %s", url, response.Status)
	}
	return Error.Wrap(response.Body.Close())
}

// Runs counts how often each trial has run, by the upstreams' ledger.
func (running *Running) Runs() (map[string]int, error) {
	text, err := os.ReadFile(running.Ledger)
	if err != nil && !os.IsNotExist(err) {
		return nil, Error.Wrap(err)
	}
	runs := map[string]int{}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 {
			runs[fields[2]]++
		}
	}
	return runs, nil
}
