// Package operator serves the operators' API, which uses JSON over HTTP.
// Operators read, write and retire profiles and services, and read the state of
// the fleet as recorded by the daemon.
//
// Writes are conditional on the version that the operator has read (If-Match, or
// If-None-Match: * for a new object), so that one of two conflicting changes is
// rejected. Errors are sent as application/problem+json. The error of an invalid
// object names the invalid field.
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

// AuthorHeader is the header that holds the operator's name.
const AuthorHeader = "Ibislift-Author"

// maxSpecBytes limits the size of a profile or a service's configuration.
const maxSpecBytes = 256 << 10

// changeTimeout limits the time of a change, including reading the object back.
const changeTimeout = 10 * time.Second

// API is the operators' API of a daemon. Set its fields before calling Handler.
type API struct {
	Name      string
	View      func() *kernel.View
	Change    func(context.Context, kernel.ChangeRequested) (kernel.ChangeResult, error)
	Records   *caller.Records
	Gate      *upstream.Gate
	Metrics   http.Handler
	StartedAt time.Time
	// PlatformCalls returns the numbers of reads and writes that were sent to
	// the platform.
	PlatformCalls func() (reads, writes uint64)
}

// Handler returns the handler of the API.
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
	router.Any("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(servePprof)))
	router.GET("/healthz", func(ctx echo.Context) error { return ctx.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", api.ready)
	return router
}

// Problem is an error response as defined by RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Field is the path of the invalid field.
	Field string `json:"field,omitempty"`
	// Current is the current object if the change conflicted with it.
	Current *Object `json:"current,omitempty"`
}

func (problem *Problem) Error() string { return problem.Title + ": " + problem.Detail }

func newProblem(status int, kind, title, detail string) *Problem {
	return &Problem{Type: "urn:ibislift:problem:" + kind, Title: title, Status: status, Detail: detail}
}

// handleError writes an error as a Problem.
func handleError(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	var problem *Problem
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &problem):
	case errors.As(err, &httpError):
		problem = newProblem(httpError.Code, "http", http.StatusText(httpError.Code), fmt.Sprint(httpError.Message))
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

// Object is the encoding of a profile or of a service's configuration for
// operators.
type Object struct {
	Name       string          `json:"name"`
	Version    uint64          `json:"version"`
	Author     string          `json:"author"`
	WrittenAt  time.Time       `json:"written"`
	ReceivedAt time.Time       `json:"arrived"`
	Retired    bool            `json:"retired,omitempty"`
	Spec       json.RawMessage `json:"spec"`
}

func newObject(config kernel.Config) Object {
	return Object{
		Name: config.Key.Name, Version: config.Version, Author: config.Author, WrittenAt: config.WrittenAt,
		ReceivedAt: config.ReceivedAt, Retired: config.Retired, Spec: config.Spec,
	}
}

func (api *API) list(kind kernel.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		objects := []Object{}
		for _, config := range api.View().Configs {
			if config.Key.Kind == kind && !config.Retired {
				objects = append(objects, newObject(config))
			}
		}
		return ctx.JSON(http.StatusOK, objects)
	}
}

func (api *API) get(kind kernel.Kind) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		config, found := api.View().Config(kernel.Key{Kind: kind, Name: ctx.Param("name")})
		if !found {
			return newProblem(http.StatusNotFound, "notFound", "not found", ctx.Param("name"))
		}
		setETag(ctx, config.Version)
		return ctx.JSON(http.StatusOK, newObject(config))
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
		if _, found := api.View().Config(key); !found {
			return newProblem(http.StatusNotFound, "notFound", "not found", key.Name)
		}
		return api.change(ctx, kernel.ChangeRequested{Key: key, Retire: true})
	}
}

// change requests a change and responds with its result.
func (api *API) change(ctx echo.Context, change kernel.ChangeRequested) error {
	base, err := baseVersion(ctx.Request().Header)
	if err != nil {
		return err
	}
	change.BaseVersion = base
	change.Author = ctx.Request().Header.Get(AuthorHeader)
	if change.Author == "" {
		change.Author = "anonymous"
	}
	change.Nonce = newNonce()
	changeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), changeTimeout)
	defer cancel()
	result, err := api.Change(changeCtx, change)
	if err != nil {
		return newProblem(http.StatusGatewayTimeout, "unknown", "it is not known whether the change was accepted", err.Error())
	}
	return writeChangeResult(ctx, change, result)
}

// baseVersion returns the version that the operator has read, or zero for a new
// object.
func baseVersion(header http.Header) (uint64, error) {
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

// writeChangeResult writes the response to a change. It returns a Problem if the
// change was not accepted.
func writeChangeResult(ctx echo.Context, change kernel.ChangeRequested, result kernel.ChangeResult) error {
	var current *Object
	if config, err := profile.DecodeConfig(result.Current); err == nil {
		object := newObject(config)
		object.Name = change.Key.Name
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
