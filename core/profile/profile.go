// Package profile manages the operators' configuration: named profiles, and the
// profile that each service has selected.
//
// A profile defines how requests of a service are handled. Omitted fields have
// default values, unknown fields are rejected, and every error names its field
// as far as the decoder reports it; see FieldError.
//
// The package also registers the kernel plug-in that writes changes to the
// platform, determines whether they were accepted, and applies the highest
// version of each object.
//
// # Usage
//
//	parsed, err := profile.Parse([]byte(`{"defaultDeadline": "250ms"}`))
//	if err != nil {
//		return err // contains the path of the field, such as "hedgeBudget.ratio"
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

	"ibislift/core/admit"
)

// Error is the class of all errors that this package returns.
var Error = errs.Class("profile")

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// Duration returns the value as a time.Duration.
func (duration Duration) Duration() time.Duration { return time.Duration(duration) }

// MarshalText encodes the duration in the format of time.Duration.String.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// Rule matches requests by their method, or any method if it is "*", and by a
// prefix of their path.
type Rule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

func (rule Rule) matches(method, path string) bool {
	return (rule.Method == "*" || rule.Method == method) && strings.HasPrefix(path, rule.Path)
}

// Weights sets how much latency and the cost of links count for the services
// that select the profile. Each weight is from 0 to 1. With a low LinkCost,
// requests cross regions sooner. Profiles keep the field name "measuring" for it.
type Weights struct {
	Latency  float64 `json:"latency"`
	LinkCost float64 `json:"measuring"`
}

// Budget limits extra attempts: up to Burst at once, and Ratio more for each
// request.
type Budget struct {
	Ratio float64 `json:"ratio"`
	Burst int     `json:"burst"`
}

// MeasuringBudget limits the rate of the probes of a service in each region. The
// slowness measurements of core/admit do not count.
type MeasuringBudget struct {
	ProbesPerMinute int `json:"probesPerMinute"`
}

// Ejection defines when a failing target is temporarily excluded from routing.
type Ejection struct {
	ConsecutiveFailures int      `json:"consecutiveFailures"`
	BaseTime            Duration `json:"baseTime"`
	MaxFraction         float64  `json:"maxFraction"`
}

// CrashLimit defines after how many crashes a request is blocked, and for how
// long.
type CrashLimit struct {
	Crashes  int      `json:"crashes"`
	BlockFor Duration `json:"blockFor"`
}

// Crossing names what decides whether a request goes to a target in another region.
type Crossing string

// The kinds of decision.
const (
	// CrossingAuto is CrossingByValue where the route table has workspaces, and elsewhere
	// CrossingByTime.
	CrossingAuto Crossing = "auto"
	// CrossingByValue compares the value that is expected to be lost.
	CrossingByValue Crossing = "value"
	// CrossingByTime compares the expected time and the price of the bytes.
	CrossingByTime Crossing = "time"
)

// IsByValue reports whether the value that is expected to be lost decides.
func (crossing Crossing) IsByValue(hasWorkspaces bool) bool {
	return crossing == CrossingByValue || crossing == CrossingAuto && hasWorkspaces
}

// Profile defines how requests of a service are handled. It is immutable; the
// With methods return modified copies.
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
	// QueueOrder is the order in which the gates of the service serve queued requests:
	// admit.OrderCost or admit.OrderObjective.
	QueueOrder admit.Order `json:"queueOrder"`
	// Crossing is what decides whether requests go to another region.
	Crossing Crossing `json:"crossing"`
}

// Default returns the profile of a service that has selected none.
func Default() Profile {
	return Profile{
		Policy:          "adaptive",
		Weights:         Weights{Latency: 1, LinkCost: 0.5},
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
		QueueOrder:      admit.OrderCost,
		Crossing:        CrossingAuto,
	}
}

// WithPolicy returns a copy of the profile with the given routing policy.
func (profile Profile) WithPolicy(policy string) Profile {
	profile.Policy = policy
	return profile
}

// WithDefaultDeadline returns a copy of the profile with the given default
// deadline.
func (profile Profile) WithDefaultDeadline(deadline time.Duration) Profile {
	profile.DefaultDeadline = Duration(deadline)
	return profile
}

// Repeatable reports whether a request may be executed more than once.
func (profile Profile) Repeatable(method, path string) bool {
	return matchesAny(profile.RepeatableRules, method, path)
}

// Important reports whether a request is queued ahead of other requests.
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

// FieldError describes an invalid field. Path separates nested fields by dots,
// as in "ejection.maxFraction". It is the name alone for an unknown field, and "$"
// for an error that cannot be assigned to a field.
type FieldError struct {
	Path   string
	Reason string
}

func (fieldError *FieldError) Error() string { return fieldError.Path + ": " + fieldError.Reason }

// Parse decodes a profile from JSON, with default values for omitted fields,
// and validates it.
func Parse(text []byte) (Profile, error) {
	profile := Default()
	if err := decodeStrict(text, &profile); err != nil {
		return Profile{}, err
	}
	return profile, profile.Validate()
}

// ServiceConfig is the configuration of a service. It selects the profile of
// the service.
type ServiceConfig struct {
	Profile string `json:"profile"`
}

// ParseServiceConfig decodes the configuration of a service from JSON.
func ParseServiceConfig(text []byte) (ServiceConfig, error) {
	var service ServiceConfig
	if err := decodeStrict(text, &service); err != nil {
		return ServiceConfig{}, err
	}
	if service.Profile == "" {
		return ServiceConfig{}, Error.Wrap(&FieldError{Path: "profile", Reason: "is missing"})
	}
	return service, nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidateName returns an error if the name is not valid for a profile or a
// service.
func ValidateName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return Error.Wrap(&FieldError{
		Path:   "name",
		Reason: fmt.Sprintf("%q must be 1 to 63 of a-z, 0-9, '.' and '-', starting and ending with a letter or digit", name),
	})
}

// unknownField extracts the name of the field from the error of encoding/json,
// which has no type for this error.
var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

// decodeStrict decodes one JSON value and rejects unknown fields and text after
// the value. Its errors wrap a FieldError.
func decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
			return Error.Wrap(&FieldError{Path: "$", Reason: "unexpected text after the JSON value"})
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
