package daemon_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/platform"
)

// writeObject writes a new object, as an operator does, and deleteObject deletes one.
func (cluster *cluster) writeObject(name, body string) {
	cluster.t.Helper()
	cluster.changeObject(http.MethodPut, name, body)
}

func (cluster *cluster) deleteObject(name string) {
	cluster.t.Helper()
	cluster.changeObject(http.MethodDelete, name, "")
}

func (cluster *cluster) changeObject(method, name, body string) {
	cluster.t.Helper()
	request, err := http.NewRequest(method, "http://"+cluster.prefix+".1:7000/objects/"+name, strings.NewReader(body))
	is := is.New(cluster.t)
	is.NoErr(err)
	if method == http.MethodPut {
		request.Header.Set("If-None-Match", "*")
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
	is.True(response.StatusCode < http.StatusMultipleChoices)
}

// awaitEvacuated waits until all daemons know that exactly these data centres are
// evacuated.
func (cluster *cluster) awaitEvacuated(dataCentres ...string) {
	cluster.t.Helper()
	cluster.await("all daemons know the evacuations", func() bool {
		for _, instance := range cluster.instances {
			var status struct{ Evacuated []string }
			response, err := http.Get("http://" + instance.operatorAddress() + "/status")
			if err != nil {
				return false
			}
			err = json.NewDecoder(response.Body).Decode(&status)
			_ = response.Body.Close()
			if err != nil || !slices.Equal(status.Evacuated, dataCentres) {
				return false
			}
		}
		return true
	})
	time.Sleep(200 * time.Millisecond) // until the gates have looked at it twice
}

// runsOn returns how many requests the upstream of an instance has run.
func (cluster *cluster) runsOn(name string) int {
	cluster.ledger.mutex.Lock()
	defer cluster.ledger.mutex.Unlock()
	count := 0
	for _, line := range cluster.ledger.lines {
		if strings.HasPrefix(line, name+" ") {
			count++
		}
	}
	return count
}

func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	t.Parallel()
	cluster := newEvacuableCluster(t, 3)
	// floodFor sends requests through all daemons and returns how many the upstream in
	// data centre e1 has run meanwhile.
	floodFor := func(t *testing.T, length time.Duration) int {
		t.Helper()
		before := cluster.runsOn("intake-1")
		stop := cluster.flood(0, 1, 2)
		time.Sleep(length)
		is.New(t).True(stop() > 0) // others serve
		return cluster.runsOn("intake-1") - before
	}
	t.Run("until the evacuation it gets requests", func(t *testing.T) {
		is.New(t).True(floodFor(t, time.Second) > 0)
	})
	cluster.writeObject("evacuations/e1", "{}")
	cluster.awaitEvacuated("e1")
	t.Run("from any daemon", func(t *testing.T) {
		is.New(t).Equal(floodFor(t, time.Second), 0)
	})
	t.Run("while the daemon beside restarts without the platform", func(t *testing.T) {
		cluster.store.SetSwitches(platform.Switches{Down: true})
		before := cluster.runsOn("intake-1")
		stop := cluster.flood(0, 2)
		cluster.restartDaemon(1)
		time.Sleep(3 * time.Second)
		stop()
		is := is.New(t)
		is.Equal(cluster.runsOn("intake-1"), before)
		cluster.awaitEvacuated("e1")
		cluster.store.SetSwitches(platform.Switches{})
		is.Equal(floodFor(t, time.Second), 0)
	})
	t.Run("if all are evacuated, requests are refused at once", func(t *testing.T) {
		is := is.New(t)
		cluster.writeObject("evacuations/e0", "{}")
		cluster.writeObject("evacuations/e2", "{}")
		cluster.awaitEvacuated("e0", "e1", "e2")
		began := time.Now()
		response := cluster.send(0, request{method: "GET", path: "/enrol"})
		is.Equal(response.status, http.StatusServiceUnavailable)
		is.Equal(response.outcome, "notRun")
		is.True(strings.Contains(response.body, "evacuated"))
		is.True(time.Since(began) < time.Second)
	})
	t.Run("until its object is removed", func(t *testing.T) {
		cluster.deleteObject("evacuations/e1")
		cluster.awaitEvacuated("e0", "e2")
		is.New(t).True(floodFor(t, time.Second) > 0)
	})
}
