package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/io/operator"
)

// clientTimeout bounds one call of a daemon.
const clientTimeout = 15 * time.Second

// client speaks to the operators' face of a daemon.
type client struct {
	address string
	output  string
	author  string
	ifMatch uint64
}

func (client *client) register(command *kingpin.CmdClause) *kingpin.CmdClause {
	command.Flag("address", "Operators' IP:port of any daemon.").Default("127.0.0.1:8003").StringVar(&client.address)
	command.Flag("output", "Form of the output.").Short('o').Default("table").EnumVar(&client.output, "table", "json")
	return command
}

func (client *client) registerWrite(command *kingpin.CmdClause) *kingpin.CmdClause {
	command.Flag("author", "Your name, kept with the change.").StringVar(&client.author)
	command.Flag("if-match", "Change only if the version still is this one; 0 takes the newest.").Uint64Var(&client.ifMatch)
	return client.register(command)
}

// call makes one call and returns the body of its answer.
func (client *client) call(method, path string, header http.Header, body []byte) ([]byte, http.Header, error) {
	request, err := http.NewRequest(method, "http://"+client.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &exitError{code: exitUsage, cause: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := (&http.Client{Timeout: clientTimeout}).Do(request)
	if err != nil {
		return nil, nil, &exitError{code: exitUnavailable, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, &exitError{code: exitUnavailable, cause: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, nil, failureOf(response.StatusCode, answer)
	}
	return answer, response.Header, nil
}

// failureOf turns an error answer into an error with its exit code.
func failureOf(status int, answer []byte) error {
	var problem operator.Problem
	if json.Unmarshal(answer, &problem) != nil || problem.Title == "" {
		problem = operator.Problem{Title: http.StatusText(status), Detail: string(answer)}
	}
	failure := &exitError{code: exitFailure, cause: &problem}
	switch status {
	case http.StatusConflict:
		failure.code = exitConflict
		if problem.Current != nil {
			failure.cause = fmt.Errorf("%w (version %d by %s stands now)", &problem, problem.Current.Version, problem.Current.Author)
		}
	case http.StatusServiceUnavailable:
		failure.code = exitUnavailable
	case http.StatusGatewayTimeout:
		failure.code = exitUnknown
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		failure.code = exitUsage
	}
	return failure
}

// show prints an answer as JSON, or by the table function.
func show[Value any](client *client, answer []byte, table func(Value) error) error {
	if client.output == "json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, answer, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Println(indented.String())
		return err
	}
	var value Value
	if err := json.Unmarshal(answer, &value); err != nil {
		return err
	}
	return table(value)
}

func get[Value any](client *client, path string, table func(Value) error) error {
	answer, _, err := client.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return show(client, answer, table)
}

// change writes or retires an object. Without --if-match it builds on the
// version that stands when the command starts.
func (client *client) change(method, path string, body []byte) error {
	header := http.Header{}
	header.Set(operator.AuthorHeader, client.authorName())
	version := client.ifMatch
	if version == 0 {
		found, err := client.versionOf(path)
		if err != nil {
			return err
		}
		version = found
	}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	answer, _, err := client.call(method, path, header, body)
	if err != nil {
		return err
	}
	return show(client, answer, func(object operator.Object) error {
		_, err := fmt.Printf("accepted: %s, version %d\n", object.Name, object.Version)
		return err
	})
}

// versionOf is the version of an object that stands now, or zero.
func (client *client) versionOf(path string) (uint64, error) {
	response, err := (&http.Client{Timeout: clientTimeout}).Get("http://" + client.address + path)
	if err != nil {
		return 0, &exitError{code: exitUnavailable, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return 0, nil
	}
	var object operator.Object
	if err := json.NewDecoder(response.Body).Decode(&object); err != nil {
		return 0, &exitError{code: exitUnavailable, cause: err}
	}
	return object.Version, nil
}

func (client *client) authorName() string {
	if client.author != "" {
		return client.author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "anonymous"
}

func registerClient(app *kingpin.Application, commands map[string]func() error) {
	registerObjects(app, commands)
	client := &client{}
	targets := client.register(app.Command("targets", "List the daemons and their targets."))
	commands[targets.FullCommand()] = func() error { return get(client, "/targets", targetTable) }
	status := client.register(app.Command("status", "Show the fleet as one daemon sees it."))
	commands[status.FullCommand()] = func() error { return get(client, "/status", statusTable) }
	explain := client.register(app.Command("explain", "Show what was done for requests, and why."))
	request := explain.Flag("request", "Name of a request, from its Ibislift-Request-Id.").String()
	service := explain.Flag("service", "Show the newest requests of a service.").String()
	most := explain.Flag("most", "Show at most this many.").Default("5").Int()
	log := explain.Flag("log", "Read log files of daemons instead of asking one; needs --request.").ExistingFile()
	commands[explain.FullCommand()] = func() error {
		if *log != "" {
			if *request == "" {
				return &exitError{code: exitUsage, cause: errors.New("--log needs --request")}
			}
			return explainLog(*log, *request, os.Stdout)
		}
		query := url.Values{"request": {*request}, "service": {*service}, "most": {strconv.Itoa(*most)}}
		return get(client, "/explain?"+query.Encode(), explainTable)
	}
}

func registerObjects(app *kingpin.Application, commands map[string]func() error) {
	client := &client{}
	profiles := app.Command("profile", "Read, write and retire profiles.")
	list := client.register(profiles.Command("list", "List the profiles."))
	commands[list.FullCommand()] = func() error { return get(client, "/profiles", objectTable) }
	show := client.register(profiles.Command("show", "Show a profile."))
	shown := show.Arg("name", "Name of the profile.").Required().String()
	commands[show.FullCommand()] = func() error {
		return get(client, "/profiles/"+url.PathEscape(*shown), specTable)
	}
	apply := client.registerWrite(profiles.Command("apply", "Write a profile from a file."))
	applied := apply.Arg("name", "Name of the profile.").Required().String()
	file := apply.Flag("file", "File with the profile as JSON; - reads the standard input.").Short('f').Required().String()
	commands[apply.FullCommand()] = func() error {
		text, err := readFile(*file)
		if err != nil {
			return err
		}
		return client.change(http.MethodPut, "/profiles/"+url.PathEscape(*applied), text)
	}
	retire := client.registerWrite(profiles.Command("retire", "Retire a profile that no service uses."))
	retired := retire.Arg("name", "Name of the profile.").Required().String()
	commands[retire.FullCommand()] = func() error {
		return client.change(http.MethodDelete, "/profiles/"+url.PathEscape(*retired), nil)
	}
	services := app.Command("service", "Read and set the profiles of services.")
	serviceList := client.register(services.Command("list", "List the services that have picked a profile."))
	commands[serviceList.FullCommand()] = func() error { return get(client, "/services", objectTable) }
	set := client.registerWrite(services.Command("set", "Pick a profile for a service."))
	name := set.Arg("name", "Name of the service.").Required().String()
	picked := set.Flag("profile", "Name of the profile.").Required().String()
	commands[set.FullCommand()] = func() error {
		spec, err := json.Marshal(map[string]string{"profile": *picked})
		if err != nil {
			return err
		}
		return client.change(http.MethodPut, "/services/"+url.PathEscape(*name), spec)
	}
}

func readFile(name string) ([]byte, error) {
	if name == "-" || name == "" { // kingpin passes a lone "-" on as nothing
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &exitError{code: exitUsage, cause: err}
	}
	return text, nil
}
