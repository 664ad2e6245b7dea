package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibislift/core/routes"
	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// Settings of the trials whose callers have API keys.
const (
	// keysEvery is how many seeds have one whose route table has workspaces.
	keysEvery  = 3
	tableName  = "routes/soak"
	steadyKey  = "steady-key"
	keyTimeout = time.Second
	// pastKeys is the number of removed keys that are tried at the end.
	pastKeys = 3
)

// usesKeys reports whether the deployment has a route table with workspaces.
func (trial *trial) usesKeys() bool { return trial.seed%keysEvery == 0 }

// keyFlags returns the flags of daemons that concern the route table.
func (trial *trial) keyFlags() []string {
	if !trial.usesKeys() {
		return nil
	}
	return append(append([]string{"--route-object", tableName}, quotaFlags()...), coldFlags()...)
}

// authorize adds the key that is valid at all times to a request.
func (trial *trial) authorize(request *load.Request) {
	if !trial.usesKeys() {
		return
	}
	if request.Header == nil {
		request.Header = map[string]string{}
	}
	maps.Copy(request.Header, authorization(steadyKey))
}

func authorization(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

// tableWith returns a route table whose workspaces have the steady key, the given one, a
// quota and ranks. One of its services has a warm-up rate.
func (trial *trial) tableWith(version uint64, key string) routes.Table {
	table := routes.Table{Version: version, Services: trial.coldServices(), Workspaces: []routes.Workspace{
		{Name: "steady", Keys: []routes.KeyDigest{routes.DigestKey(steadyKey)}},
		{Name: "changing", Keys: []routes.KeyDigest{routes.DigestKey(key)}},
		{Name: "limited", Keys: []routes.KeyDigest{routes.DigestKey(quotaKey)}, Rate: quotaRate, Burst: quotaBurst},
	}}
	table.Workspaces = append(table.Workspaces, rankedWorkspaces()...)
	for _, service := range trial.running.Plan.Services {
		destinations := []routes.Destination{{Service: service.Name, Weight: 1}}
		table.Routes = append(table.Routes,
			routes.Route{Name: service.Name + "-lookup", Host: service.Name, Prefix: service.LookupPath, Repeatable: true, Rank: 1, Destinations: destinations},
			routes.Route{Name: service.Name + "-change", Host: service.Name, Prefix: service.ChangePath, Rank: 1, Destinations: destinations})
	}
	return table
}

// storeTable is the platform's object with the route table.
type storeTable struct {
	Version uint64       `json:"version"`
	Body    routes.Table `json:"body"`
}

// callStore reads or writes the object, and returns the status and the body of the reply.
func (trial *trial) callStore(method string, body []byte, ifMatch uint64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), keyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+trial.running.PlatformAddress()+"/objects/"+tableName, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("If-Match", fmt.Sprint(ifMatch))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// readTable returns the table that the store holds, or false if it cannot be read.
func (trial *trial) readTable() (storeTable, bool) {
	var current storeTable
	status, text, err := trial.callStore(http.MethodGet, nil, 0)
	if err != nil || status == http.StatusNotFound {
		return current, err == nil
	}
	return current, status == http.StatusOK && json.Unmarshal(text, &current) == nil
}

// putKey writes a table with the key, and reports whether the store has accepted it. A
// write without an answer may take effect later.
func (trial *trial) putKey(key string) bool {
	current, known := trial.readTable()
	if !known {
		return false
	}
	body, err := json.Marshal(trial.tableWith(current.Version+1, key))
	if err != nil {
		return false
	}
	status, _, err := trial.callStore(http.MethodPut, body, current.Version)
	return err == nil && status == http.StatusOK
}

// putFirstTable waits until the store has accepted the first table.
func (trial *trial) putFirstTable() error {
	if !trial.usesKeys() {
		return nil
	}
	return deployment.Await(readyTimeout, "the first route table", func() bool { return trial.putKey("key-0") })
}

// changeKeys replaces one key after another while there are faults. The returned function
// stops that, and then checks that all daemons accept the key in the store's table and
// refuse those that were removed.
func (trial *trial) changeKeys() (stop func()) {
	if !trial.usesKeys() {
		return func() {}
	}
	keys := []string{"key-0"}
	var stopped atomic.Bool
	var waitGroup sync.WaitGroup
	waitGroup.Go(func() {
		for !stopped.Load() {
			time.Sleep(changeInterval)
			keys = append(keys, fmt.Sprintf("key-%d", len(keys)))
			trial.putKey(keys[len(keys)-1])
		}
	})
	return func() {
		stopped.Store(true)
		waitGroup.Wait()
		if err := trial.running.AwaitReady(recoveryTimeout); err != nil {
			return // run reports a missing recovery itself
		}
		if current, known := trial.readTable(); known {
			trial.checkKeys(current.Body, keys)
			return
		}
		trial.recordViolation("the route table cannot be read from the platform")
	}
}

// checkKeys checks the answers of all daemons to requests with the key in the table and
// with some that were removed.
func (trial *trial) checkKeys(table routes.Table, keys []string) {
	changing := table.Workspaces[1].Keys
	keys = keys[max(0, len(keys)-1-pastKeys):]
	for _, instance := range trial.running.Instances {
		for _, key := range keys {
			valid := slices.Contains(changing, routes.DigestKey(key))
			err := deployment.Await(inForceTimeout, "the table in force", func() bool {
				status, err := trial.tryKey(instance, key)
				return err == nil && (status == http.StatusUnauthorized) != valid
			})
			if err != nil && !trial.soak.safety {
				trial.recordViolation("%s: the key %s, valid %t, is not treated so: %v", instance.Name, key, valid, err)
			}
		}
	}
}

// tryKey returns the status of a lookup with the key.
func (trial *trial) tryKey(instance *deployment.Instance, key string) (int, error) {
	service := trial.running.Plan.Services[0]
	request := load.Request{
		Address: instance.CallerAddress(), Service: service.Name, Method: http.MethodGet, Path: service.LookupPath, Deadline: keyTimeout,
		Header: authorization(key),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*keyTimeout)
	defer cancel()
	httpRequest, err := request.HTTPRequest(ctx, "key")
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
