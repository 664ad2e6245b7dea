package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ibislift/core/kernel"
	"ibislift/io/operator"
	"ibislift/standin/link"
	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

var httpClient = &http.Client{Timeout: 10 * time.Second}

// Await polls a condition until it holds. After the timeout it returns an error
// that names what was awaited.
func Await(timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return Error.New("%s: not reached within %s", description, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// AwaitReady waits until every daemon is ready and lists every target as serving.
func (running *Running) AwaitReady(timeout time.Duration) error {
	wanted := len(running.Instances)
	deadline := time.Now().Add(timeout)
	for _, instance := range running.Instances {
		err := Await(time.Until(deadline), "readiness of "+instance.Name, func() bool {
			return running.CountTargets(instance) == wanted
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// CountTargets returns the number of targets that a daemon lists as serving, or
// zero if the daemon is not ready.
func (running *Running) CountTargets(instance *Instance) int {
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

// Status returns the state of the fleet according to a daemon.
func (running *Running) Status(instance *Instance) (operator.Status, error) {
	var status operator.Status
	err := getJSON("http://"+instance.OperatorAddress()+"/status", &status)
	return status, err
}

// Members returns the daemons that a daemon has in its member list.
func (running *Running) Members(instance *Instance) ([]kernel.Member, error) {
	var members []kernel.Member
	err := getJSON("http://"+instance.OperatorAddress()+"/targets", &members)
	return members, err
}

func getJSON(url string, target any) error {
	response, err := httpClient.Get(url)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return Error.Wrap(json.NewDecoder(response.Body).Decode(target))
}

// Apply writes a profile, or the configuration that chooses a service's profile,
// through a daemon's operator API. It returns the status and the object in the
// response, which after a conflict is the current one. Version 0 creates the object;
// any other version must be the current one.
func (running *Running) Apply(instance *Instance, path string, version uint64, spec string) (int, operator.Object, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+instance.OperatorAddress()+path, strings.NewReader(spec))
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
	var reply struct {
		operator.Object
		Current *operator.Object `json:"current"`
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	if reply.Current != nil {
		reply.Object = *reply.Current
	}
	return response.StatusCode, reply.Object, Error.Wrap(err)
}

// ApplyError returns why a change was not accepted, from the results of Apply, or nil
// if it was.
func ApplyError(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status >= http.StatusMultipleChoices:
		return Error.New("the change was refused with status %d", status)
	default:
		return nil
	}
}

// AllHaveVersion reports whether every daemon that is still running has the given
// version of an object, or a later one, in force.
func (running *Running) AllHaveVersion(path string, version uint64) bool {
	for _, instance := range running.Instances {
		if instance.Daemon.hasEnded() {
			continue
		}
		var object operator.Object
		if getJSON("http://"+instance.OperatorAddress()+path, &object) != nil || object.Version < version {
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

// CutRegion cuts the links between a region and all others, or restores them if
// the direction is link.None. In each request to an instance, the JSON field
// place is the number of the region at the other end of the links.
func (running *Running) CutRegion(regionNumber string, direction link.Direction) error {
	for _, instance := range running.Instances {
		if instance.Daemon.hasEnded() {
			continue
		}
		regionNumbers := []string{regionNumber}
		if instance.RegionNumber == regionNumber {
			regionNumbers = running.otherRegionNumbers(regionNumber)
		}
		for _, number := range regionNumbers {
			body := fmt.Sprintf(`{"place":%q,"direction":%q}`, number, direction)
			if err := post("http://"+instance.LinkAddress()+"/links", body); err != nil {
				return err
			}
		}
	}
	return nil
}

func (running *Running) otherRegionNumbers(regionNumber string) []string {
	var regionNumbers []string
	for region := range running.Plan.Regions {
		if other := fmt.Sprint(running.Plan.FirstRegionNumber + region); other != regionNumber {
			regionNumbers = append(regionNumbers, other)
		}
	}
	return regionNumbers
}

// Traffic returns the bytes sent and received over the connections that an
// instance's daemon has opened to others.
func (running *Running) Traffic(instance *Instance) (link.Traffic, error) {
	var traffic link.Traffic
	err := getJSON("http://"+instance.LinkAddress()+"/links", &traffic)
	return traffic, err
}

// SetPlatformSwitches sets the switches of the platform's stand-in.
func (running *Running) SetPlatformSwitches(switches platform.Switches) error {
	return postJSON("http://"+running.PlatformAddress()+"/switches", switches)
}

// PlatformCounts returns the numbers of calls that the platform has received.
func (running *Running) PlatformCounts() (platform.Counts, error) {
	var counts platform.Counts
	err := getJSON("http://"+running.PlatformAddress()+"/counts", &counts)
	return counts, err
}

// SetUpstreamSwitches sets the switches of an upstream.
func (running *Running) SetUpstreamSwitches(instance *Instance, switches upstream.Switches) error {
	return postJSON("http://"+instance.UpstreamAddress()+"/switches", switches)
}

// UpstreamLoad is what an upstream reports at its load path.
type UpstreamLoad struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Excess counts the requests above the rate limit that the upstream has named, Late
	// those long after it had said that it is leaving.
	Excess int `json:"excess"`
	Late   int `json:"late"`
	// Arrived counts all requests but health probes.
	Arrived int `json:"arrived"`
}

// UpstreamLoad reads the load of an upstream.
func (running *Running) UpstreamLoad(instance *Instance) (load UpstreamLoad, err error) {
	response, err := httpClient.Get("http://" + instance.UpstreamAddress() + "/load")
	if err != nil {
		return load, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return load, Error.Wrap(json.NewDecoder(response.Body).Decode(&load))
}

// WriteObject writes a new object to the platform, as an operator does who goes through no
// daemon.
func (running *Running) WriteObject(name, body string) error {
	return running.changeObject(http.MethodPut, name, body)
}

// DeleteObject removes an object from the platform.
func (running *Running) DeleteObject(name string) error {
	return running.changeObject(http.MethodDelete, name, "")
}

func (running *Running) changeObject(method, name, body string) error {
	request, err := http.NewRequest(method, "http://"+running.PlatformAddress()+"/objects/"+name, strings.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return Error.New("%s %s: %s", method, name, response.Status)
	}
	return nil
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
