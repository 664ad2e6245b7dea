// Package profile holds the operators' configuration: named profiles, and the
// profile that each service has picked.
//
// A profile says how requests of a service are treated. Fields that are left
// out have defaults, unknown fields are refused, and every fault is reported
// with the path of its field.
//
// The package also registers the kernel plug-in that writes changes to the
// platform, decides whether they were accepted, and keeps the highest version
// of each object in force.
//
// # Usage
//
//	parsed, err := profile.Parse([]byte(`{"defaultDeadline": "250ms"}`))
//	if err != nil {
//		return err // names the field, such as "hedgeBudget.ratio"
//	}
//	parsed.Repeatable("GET", "/logs/17") // true
package profile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("profile")

// Duration is a time.Duration that is written as text, such as "250ms".
type Duration time.Duration

// Duration is the value as the standard library has it.
func (duration Duration) Duration() time.Duration { return time.Duration(duration) }

// MarshalText writes the duration in the usual Go form.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText reads a duration such as "250ms".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// Rule matches requests by method and by the start of their path.
type Rule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

func (rule Rule) matches(method, path string) bool {
	return (rule.Method == "*" || rule.Method == method) && strings.HasPrefix(path, rule.Path)
}

// Weights say what matters more to the services that pick the profile, each
// from 0 to 1. A low weight of measuring lets requests cross regions sooner.
type Weights struct {
	Latency   float64 `json:"latency"`
	Measuring float64 `json:"measuring"`
}

// Budget bounds extra attempts: at most Burst, and Ratio more for each request.
type Budget struct {
	Ratio float64 `json:"ratio"`
	Burst int     `json:"burst"`
}

// MeasuringBudget bounds the probes of a service in each region.
type MeasuringBudget struct {
	ProbesPerMinute int `json:"probesPerMinute"`
}

// Ejection says when a failing target is left out for a time.
type Ejection struct {
	ConsecutiveFailures int      `json:"consecutiveFailures"`
	BaseTime            Duration `json:"baseTime"`
	MaxFraction         float64  `json:"maxFraction"`
}

// CrashLimit says after how many crashes a request is blocked, and how long.
type CrashLimit struct {
	Crashes  int      `json:"crashes"`
	BlockFor Duration `json:"blockFor"`
}

// Profile is how requests of a service are treated. It is immutable: With
// methods return changed copies.
type Profile struct {
	Policy          string          `json:"policy"`
	Weights         Weights         `json:"weights"`
	DefaultDeadline Duration        `json:"defaultDeadline"`
	RepeatableRules []Rule          `json:"repeatable"`
	ImportantRules  []Rule          `json:"important"`
	RetryBudget     Budget          `json:"retryBudget"`
	HedgeBudget     Budget          `json:"hedgeBudget"`
	QueueBound      int             `json:"queueBound"`
	MaxBodyBytes    int64           `json:"maxBodyBytes"`
	MeasuringBudget MeasuringBudget `json:"measuringBudget"`
	Ejection        Ejection        `json:"ejection"`
	SlowStart       Duration        `json:"slowStart"`
	CrashLimit      CrashLimit      `json:"crashLimit"`
}

// Default returns the profile of a service that has picked none.
func Default() Profile {
	return Profile{
		Policy:          "adaptive",
		Weights:         Weights{Latency: 1, Measuring: 0.5},
		DefaultDeadline: Duration(5 * time.Second),
		RepeatableRules: []Rule{{Method: "GET", Path: "/"}, {Method: "HEAD", Path: "/"}},
		ImportantRules:  []Rule{},
		RetryBudget:     Budget{Ratio: 0.2, Burst: 10},
		HedgeBudget:     Budget{Ratio: 0.1, Burst: 10},
		QueueBound:      64,
		MaxBodyBytes:    1 << 30,
		MeasuringBudget: MeasuringBudget{ProbesPerMinute: 600},
		Ejection:        Ejection{ConsecutiveFailures: 5, BaseTime: Duration(time.Second), MaxFraction: 0.5},
		SlowStart:       Duration(10 * time.Second),
		CrashLimit:      CrashLimit{Crashes: 2, BlockFor: Duration(time.Minute)},
	}
}

// WithPolicy returns the profile with another routing policy.
func (profile Profile) WithPolicy(policy string) Profile {
	profile.Policy = policy
	return profile
}

// WithDefaultDeadline returns the profile with another default deadline.
func (profile Profile) WithDefaultDeadline(deadline time.Duration) Profile {
	profile.DefaultDeadline = Duration(deadline)
	return profile
}

// Repeatable says whether a request may run more than once.
func (profile Profile) Repeatable(method, path string) bool {
	return matchesAny(profile.RepeatableRules, method, path)
}

// Important says whether a request goes before others in a queue.
func (profile Profile) Important(method, path string) bool {
	return matchesAny(profile.ImportantRules, method, path)
}

func matchesAny(rules []Rule, method, path string) bool {
	for _, rule := range rules {
		if rule.matches(method, path) {
			return true
		}
	}
	return false
}

// FieldError is a fault in one field. Path is dotted, as in
// "ejection.maxFraction".
type FieldError struct {
	Path   string
	Reason string
}

func (fieldError *FieldError) Error() string { return fieldError.Path + ": " + fieldError.Reason }

// Parse reads a profile from JSON, over the defaults, and checks it.
func Parse(text []byte) (Profile, error) {
	profile := Default()
	if err := decodeStrict(text, &profile); err != nil {
		return Profile{}, err
	}
	return profile, profile.Check()
}

// Service is a service's choice of a profile.
type Service struct {
	Profile string `json:"profile"`
}

// ParseService reads a service's choice from JSON.
func ParseService(text []byte) (Service, error) {
	var service Service
	if err := decodeStrict(text, &service); err != nil {
		return Service{}, err
	}
	if service.Profile == "" {
		return Service{}, Error.Wrap(&FieldError{Path: "profile", Reason: "is missing"})
	}
	return service, nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// CheckName says whether a profile or service may have this name.
func CheckName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return Error.Wrap(&FieldError{
		Path:   "name",
		Reason: fmt.Sprintf("%q must be 1 to 63 of a-z, 0-9, '.' and '-', starting and ending with a letter or digit", name),
	})
}

var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

func decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			return Error.Wrap(&FieldError{Path: "$", Reason: "there is text after the JSON value"})
		}
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Error.Wrap(&FieldError{Path: wrongType.Field, Reason: "cannot be a " + wrongType.Value})
	}
	if found := unknownField.FindStringSubmatch(err.Error()); found != nil {
		return Error.Wrap(&FieldError{Path: found[1], Reason: "is not a known field"})
	}
	return Error.Wrap(&FieldError{Path: "$", Reason: err.Error()})
}
