// Package operator speaks HTTP and JSON with operators: profiles and services
// to read, write and retire, and what the daemon knows of the fleet.
//
// Writes are conditional on the version that the operator has seen (If-Match,
// or If-None-Match: * for a new object), so that of two conflicting changes
// one is told so. Errors are application/problem+json and name the field.
//
// # Usage
//
//	api := &operator.API{View: view, Change: change}
//	http.ListenAndServe("127.0.0.1:8100", api.Handler())
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/io/caller"
	"ibislift/io/upstream"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

// AuthorHeader names the header with the operator's name.
const AuthorHeader = "Ibislift-Author"

// maxSpecBytes is the largest profile.
const maxSpecBytes = 256 << 10

// changeTimeout bounds a change, its read-back included.
const changeTimeout = 10 * time.Second

// API is the face of a daemon towards operators. Set the fields before
// Handler.
type API struct {
	Name    string
	View    func() *kernel.View
	Change  func(context.Context, kernel.ChangeRequested) (kernel.ChangeResult, error)
	Records *caller.Records
	Gate    *upstream.Gate
	Metrics http.Handler
	Started time.Time
	// Calls counts the reads and writes of the platform.
	Calls func() (reads, writes uint64)
}

// Handler returns the API.
func (api *API) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = handleError
	for _, group := range []struct {
		path string
		kind kernel.Kind
	}{{"/profiles", kernel.KindProfile}, {"/services", kernel.KindService}} {
		router.GET(group.path, api.list(group.kind))
		router.GET(group.path+"/:name", api.get(group.kind))
		router.PUT(group.path+"/:name", api.put(group.kind))
		router.DELETE(group.path+"/:name", api.retire(group.kind))
	}
	router.GET("/targets", api.targets)
	router.GET("/status", api.status)
	router.GET("/explain", api.explain)
	router.GET("/metrics", echo.WrapHandler(api.Metrics))
	router.Any("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(profiles)))
	router.GET("/healthz", func(ctx echo.Context) error { return ctx.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", api.ready)
	return router
}

// Problem is an error answer, in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Field is the path of the faulty field.
	Field string `json:"field,omitempty"`
	// Current is what stands now, for the loser of a race.
	Current *Object `json:"current,omitempty"`
}

func (problem *Problem) Error() string { return problem.Title + ": " + problem.Detail }

func newProblem(status int, kind, title, detail string) *Problem {
	return &Problem{Type: "urn:ibislift:problem:" + kind, Title: title, Status: status, Detail: detail}
}

func handleError(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	var problem *Problem
	var fault *echo.HTTPError
	switch {
	case errors.As(err, &problem):
	case errors.As(err, &fault):
		problem = newProblem(fault.Code, "http", http.StatusText(fault.Code), fmt.Sprint(fault.Message))
	default:
		problem = newProblem(http.StatusInternalServerError, "internal", "internal error", err.Error())
	}
	ctx.Response().Header().Set("Content-Type", "application/problem+json")
	if problem.Status == http.StatusServiceUnavailable {
		ctx.Response().Header().Set("Retry-After", "1")
	}
	ctx.Response().WriteHeader(problem.Status)
	_ = json.NewEncoder(ctx.Response()).Encode(problem)
}

// Object is a profile or a service's choice, as operators see it.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Written time.Time       `json:"written"`
	Arrived time.Time       `json:"arrived"`
	Retired bool            `json:"retired,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

func objectOf(config kernel.Config) Object {
	return Object{
		Name: config.Key.Name, Version: config.Version, Author: config.Author, Written: config.WrittenAt,
		Arrived: config.ReceivedAt, Retired: config.Retired, Spec: config.Spec,
	}
}

func (api *API) list(kind kernel.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		objects := []Object{}
		for _, config := range api.View().Configs {
			if config.Key.Kind == kind && !config.Retired {
				objects = append(objects, objectOf(config))
			}
		}
		return ctx.JSON(http.StatusOK, objects)
	}
}

func (api *API) get(kind kernel.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		config, known := api.View().Config(kernel.Key{Kind: kind, Name: ctx.Param("name")})
		if !known {
			return newProblem(http.StatusNotFound, "notFound", "not found", ctx.Param("name"))
		}
		setETag(ctx, config.Version)
		return ctx.JSON(http.StatusOK, objectOf(config))
	}
}

func setETag(ctx echo.Context, version uint64) {
	ctx.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func (api *API) put(kind kernel.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		spec, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxSpecBytes))
		if err != nil {
			return newProblem(http.StatusRequestEntityTooLarge, "tooLarge", "the body is too long", err.Error())
		}
		if !json.Valid(spec) {
			return newProblem(http.StatusBadRequest, "invalid", "invalid", "the body is not JSON")
		}
		return api.change(ctx, kernel.ChangeRequested{Key: kernel.Key{Kind: kind, Name: ctx.Param("name")}, Spec: spec})
	}
}

func (api *API) retire(kind kernel.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		key := kernel.Key{Kind: kind, Name: ctx.Param("name")}
		if _, known := api.View().Config(key); !known {
			return newProblem(http.StatusNotFound, "notFound", "not found", key.Name)
		}
		return api.change(ctx, kernel.ChangeRequested{Key: key, Retire: true})
	}
}

// change asks for a change and tells the operator how it ended.
func (api *API) change(ctx echo.Context, asked kernel.ChangeRequested) error {
	base, err := baseOf(ctx.Request().Header)
	if err != nil {
		return err
	}
	asked.BaseVersion = base
	asked.Author = ctx.Request().Header.Get(AuthorHeader)
	if asked.Author == "" {
		asked.Author = "anonymous"
	}
	asked.Nonce = newNonce()
	waiting, cancel := context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), changeTimeout)
	defer cancel()
	result, err := api.Change(waiting, asked)
	if err != nil {
		return newProblem(http.StatusGatewayTimeout, "unknown", "it is not known whether the change was accepted", err.Error())
	}
	return answerChange(ctx, asked, result)
}

// baseOf is the version that the operator has seen, or zero for a new object.
func baseOf(header http.Header) (uint64, error) {
	if header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	tag := strings.Trim(header.Get("If-Match"), `"`)
	if tag == "" {
		return 0, newProblem(http.StatusPreconditionRequired, "preconditionRequired", "a condition is required",
			"send If-Match with the ETag that you have read, or If-None-Match: * for a new object")
	}
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil || version == 0 {
		return 0, newProblem(http.StatusBadRequest, "invalid", "invalid", "If-Match: "+strconv.Quote(tag)+" is not a version")
	}
	return version, nil
}

func answerChange(ctx echo.Context, asked kernel.ChangeRequested, result kernel.ChangeResult) error {
	var current *Object
	if config, err := profile.SpecOf(result.Current); err == nil {
		object := objectOf(config)
		object.Name = asked.Key.Name
		current = &object
		setETag(ctx, config.Version)
	}
	switch result.Status {
	case kernel.ChangeAccepted:
		return ctx.JSON(http.StatusOK, current)
	case kernel.ChangeConflict:
		problem := newProblem(http.StatusConflict, "conflict", "the change conflicts with what stands now", result.Detail)
		problem.Current = current
		return problem
	case kernel.ChangeInvalid:
		problem := newProblem(http.StatusUnprocessableEntity, "invalid", "invalid", result.Detail)
		problem.Field, _, _ = strings.Cut(strings.TrimPrefix(result.Detail, "profile: "), ":")
		return problem
	case kernel.ChangeNotWritten:
		return newProblem(http.StatusServiceUnavailable, "notRun", "the change was not made", result.Detail)
	default:
		return newProblem(http.StatusGatewayTimeout, "unknown", "it is not known whether the change was accepted", result.Detail)
	}
}
