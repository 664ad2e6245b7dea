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

	"ibislift/io/http1"
	"ibislift/io/operator"
)

// clientTimeout limits the time of one call to a daemon.
const clientTimeout = 15 * time.Second

// client calls the operator API of a daemon.
type client struct {
	address string
	output  string
	author  string
	ifMatch uint64
}

func (client *client) register(command *kingpin.CmdClause) *kingpin.CmdClause {
	command.Flag("address", "Operator address (IP:port) of any daemon.").Default("127.0.0.1:8003").StringVar(&client.address)
	command.Flag("output", "Output format.").Short('o').Default("table").EnumVar(&client.output, "table", "json")
	return command
}

func (client *client) registerWrite(command *kingpin.CmdClause) *kingpin.CmdClause {
	command.Flag("author", "Your name, stored with the change.").StringVar(&client.author)
	command.Flag("if-match", "Change only if this is still the current version; 0 takes the version that is current when the command starts.").Uint64Var(&client.ifMatch)
	return client.register(command)
}

// call sends one request and returns the body and the header of the response.
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
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, &exitError{code: exitUnavailable, cause: err}
	}
	if failure := statusError(method, response.StatusCode, responseBody); failure != nil {
		return nil, nil, failure
	}
	return responseBody, response.Header, nil
}

// statusError returns the error that the status of a response means, or nil for a
// success. A status that is neither a success nor an error leaves unknown whether a change
// was accepted.
func statusError(method string, status int, body []byte) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status >= http.StatusBadRequest && http1.IsFinalStatus(status):
		return responseError(status, body)
	case method == http.MethodGet:
		return &exitError{code: exitUnavailable, cause: fmt.Errorf("the daemon replied with the unexpected status %03d", status)}
	default:
		return &exitError{code: exitUnknown, cause: fmt.Errorf("it is not known whether the change was accepted: the daemon replied with the unexpected status %03d", status)}
	}
}

// responseError turns an error response into an error with an exit code.
func responseError(status int, body []byte) error {
	var problem operator.Problem
	if json.Unmarshal(body, &problem) != nil || problem.Title == "" {
		problem = operator.Problem{Title: http.StatusText(status), Detail: string(body)}
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

// show prints a response body as JSON, or decodes it and calls printValue.
func show[Value any](client *client, body []byte, printValue func(Value) error) error {
	if client.output == "json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, body, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Println(indented.String())
		return err
	}
	var value Value
	if err := json.Unmarshal(body, &value); err != nil {
		return err
	}
	return printValue(value)
}

func get[Value any](client *client, path string, printValue func(Value) error) error {
	body, _, err := client.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return show(client, body, printValue)
}

// change writes or retires an object. Without --if-match, the change is based
// on the version that is current when the command starts.
func (client *client) change(method, path string, body []byte) error {
	header := http.Header{}
	header.Set(operator.AuthorHeader, client.authorName())
	version := client.ifMatch
	if version == 0 {
		current, err := client.currentVersion(path)
		if err != nil {
			return err
		}
		version = current
	}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	responseBody, _, err := client.call(method, path, header, body)
	if err != nil {
		return err
	}
	return show(client, responseBody, func(object operator.Object) error {
		_, err := fmt.Printf("accepted: %s, version %d\n", object.Name, object.Version)
		return err
	})
}

// currentVersion returns the current version of an object, or zero if there is
// no such object.
func (client *client) currentVersion(path string) (uint64, error) {
	response, err := (&http.Client{Timeout: clientTimeout}).Get("http://" + client.address + path)
	if err != nil {
		return 0, &exitError{code: exitUnavailable, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return 0, nil
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, &exitError{code: exitUnavailable, cause: err}
	}
	if failure := statusError(http.MethodGet, response.StatusCode, body); failure != nil {
		return 0, failure
	}
	var object operator.Object
	if err := json.Unmarshal(body, &object); err != nil {
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
	commands[targets.FullCommand()] = func() error { return get(client, "/targets", printTargets) }
	status := client.register(app.Command("status", "Show the fleet as one daemon sees it."))
	commands[status.FullCommand()] = func() error { return get(client, "/status", printStatus) }
	explain := client.register(app.Command("explain", "Show how requests were handled, and why."))
	requestID := explain.Flag("request", "ID of a request, from its Ibislift-Request-Id header.").String()
	service := explain.Flag("service", "Show the newest requests of a service.").String()
	limit := explain.Flag("most", "Maximum number of requests to show.").Default("5").Int()
	logFile := explain.Flag("log", "Read a file of daemon logs instead of querying a daemon; needs --request.").ExistingFile()
	commands[explain.FullCommand()] = func() error {
		if *logFile != "" {
			if *requestID == "" {
				return &exitError{code: exitUsage, cause: errors.New("--log needs --request")}
			}
			return explainLog(*logFile, *requestID, os.Stdout)
		}
		query := url.Values{"request": {*requestID}, "service": {*service}, "most": {strconv.Itoa(*limit)}}
		return get(client, "/explain?"+query.Encode(), printRecords)
	}
}

func registerObjects(app *kingpin.Application, commands map[string]func() error) {
	client := &client{}
	profiles := app.Command("profile", "Read, write and retire profiles.")
	list := client.register(profiles.Command("list", "List the profiles."))
	commands[list.FullCommand()] = func() error { return get(client, "/profiles", printObjects) }
	show := client.register(profiles.Command("show", "Show a profile."))
	showName := show.Arg("name", "Name of the profile.").Required().String()
	commands[show.FullCommand()] = func() error {
		return get(client, "/profiles/"+url.PathEscape(*showName), printObject)
	}
	apply := client.registerWrite(profiles.Command("apply", "Write a profile from a file."))
	applyName := apply.Arg("name", "Name of the profile.").Required().String()
	file := apply.Flag("file", "File with the profile as JSON; - reads the standard input.").Short('f').Required().String()
	commands[apply.FullCommand()] = func() error {
		text, err := readFile(*file)
		if err != nil {
			return err
		}
		return client.change(http.MethodPut, "/profiles/"+url.PathEscape(*applyName), text)
	}
	retire := client.registerWrite(profiles.Command("retire", "Retire a profile that no service uses."))
	retireName := retire.Arg("name", "Name of the profile.").Required().String()
	commands[retire.FullCommand()] = func() error {
		return client.change(http.MethodDelete, "/profiles/"+url.PathEscape(*retireName), nil)
	}
	services := app.Command("service", "Read and set the profiles of services.")
	serviceList := client.register(services.Command("list", "List the services that have a profile."))
	commands[serviceList.FullCommand()] = func() error { return get(client, "/services", printObjects) }
	set := client.registerWrite(services.Command("set", "Set the profile of a service."))
	name := set.Arg("name", "Name of the service.").Required().String()
	profileName := set.Flag("profile", "Name of the profile.").Required().String()
	commands[set.FullCommand()] = func() error {
		spec, err := json.Marshal(map[string]string{"profile": *profileName})
		if err != nil {
			return err
		}
		return client.change(http.MethodPut, "/services/"+url.PathEscape(*name), spec)
	}
}

func readFile(name string) ([]byte, error) {
	if name == "-" || name == "" { // kingpin passes a single "-" as an empty string
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &exitError{code: exitUsage, cause: err}
	}
	return text, nil
}
