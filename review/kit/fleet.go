package kit

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/template"
	"time"
)

var (
	//go:embed settings.txt
	settingsText string
	//go:embed config.txt
	configText string

	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
	configTemplate   = template.Must(template.New("config").Parse(configText))
)

// Route is a route of the operator's configuration. Times are in seconds.
type Route struct {
	Name, Host, Prefix, Type, Service string
	Timeout, Objective                float64
}

// Config is the operator's configuration.
type Config struct {
	Version  int
	Routes   []Route
	Services []string
}

// Encode returns the configuration as the operator writes it.
func (config Config) Encode() []byte {
	var text bytes.Buffer
	if err := configTemplate.Execute(&text, config); err != nil {
		panic("kit: " + err.Error())
	}
	return text.Bytes()
}

// Machine is a machine with a target and a daemon.
type Machine struct {
	Node, IP, Zone, Region, Service string
	Zones                           map[string]string
	InitialStart                    bool
	Platform                        string

	process *exec.Cmd
	ended   chan struct{}
}

// Outbound returns the address at which consumers on the machine send requests.
func (machine *Machine) Outbound() string { return machine.IP + ":8304" }

// AppAddress returns the address of the target.
func (machine *Machine) AppAddress() string { return machine.IP + ":8301" }

// Control returns the address to which the target checks in.
func (machine *Machine) Control() string { return machine.IP + ":8306" }

// zones are the zones of a deployment with their regions.
var zones = map[string]string{
	"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south", "west-a": "west", "west-b": "west",
}

// Fleet starts and stops the daemons of a deployment. Set the fields before the first
// call.
type Fleet struct {
	Record *Record
	Store  *Store
	// Command is the command of the deploy file.
	Command []string

	folder   string
	network  string
	Machines []*Machine
}

// Zones returns the names of all zones, sorted.
func Zones() []string { return slices.Sorted(maps.Keys(zones)) }

// Add adds a machine in a zone. The daemon is started by Start.
func (fleet *Fleet) Add(node, zone, service string) (*Machine, error) {
	if fleet.folder == "" {
		folder, err := os.MkdirTemp("", "review")
		if err != nil {
			return nil, err
		}
		fleet.folder = folder
		fleet.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	}
	machine := &Machine{
		Node: node, IP: fmt.Sprintf("%s.%d", fleet.network, len(fleet.Machines)+1), Zone: zone, Region: zones[zone], Service: service,
		Zones: zones, InitialStart: true,
	}
	address, err := fleet.Store.Listen(machine.IP, node)
	if err != nil {
		return nil, err
	}
	machine.Platform = address
	fleet.Machines = append(fleet.Machines, machine)
	return machine, nil
}

// Start starts the daemon of a machine.
func (fleet *Fleet) Start(machine *Machine) error {
	path := filepath.Join(fleet.folder, machine.Node+".conf")
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, machine); err != nil {
		return err
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(fleet.folder, machine.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(fleet.Command[0], fleet.Command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), Name("settingsVariable") + "=" + path}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	fleet.Record.Line("daemon: %s starts", machine.Node)
	ended := make(chan struct{})
	machine.process, machine.ended = process, ended
	go func() {
		_ = process.Wait()
		fleet.Record.Line("daemon: %s has ended: %s", machine.Node, process.ProcessState)
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// Kill ends the daemon of a machine with SIGKILL and waits for its end.
func (fleet *Fleet) Kill(machine *Machine) {
	if machine.process == nil {
		return
	}
	fleet.Record.Line("daemon: SIGKILL to %s", machine.Node)
	_ = machine.process.Process.Kill()
	<-machine.ended
	machine.process = nil
}

// Signal sends a signal to the daemon of a machine.
func (fleet *Fleet) Signal(machine *Machine, signal os.Signal) {
	if machine.process == nil {
		return
	}
	fleet.Record.Line("daemon: %s to %s", signal, machine.Node)
	_ = machine.process.Process.Signal(signal)
}

// Await waits for the end of the daemon of a machine.
func (fleet *Fleet) Await(machine *Machine) {
	if machine.process != nil {
		<-machine.ended
		machine.process = nil
	}
}

// Close ends all daemons and removes their files.
func (fleet *Fleet) Close() {
	for _, machine := range fleet.Machines {
		fleet.Kill(machine)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(fleet.folder, keep)
		return
	}
	_ = os.RemoveAll(fleet.folder)
}

// errNotReady is returned if daemons do not get ready in time.
var errNotReady = errors.New("the daemons are not ready")

// AwaitReady waits until all given daemons are ready.
func (fleet *Fleet) AwaitReady(machines []*Machine, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, machine := range machines {
		for !isReady(client, machine) {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	fleet.Record.Line("all daemons are ready")
	return nil
}

func isReady(client *http.Client, machine *Machine) bool {
	response, err := client.Get("http://" + net.JoinHostPort(machine.IP, "8302") + Name("readyPath"))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// LogLines returns the lines in the log of a daemon that contain a text.
func (fleet *Fleet) LogLines(machine *Machine, text string) []string {
	content, _ := os.ReadFile(filepath.Join(fleet.folder, machine.Node+".log"))
	var found []string
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}
