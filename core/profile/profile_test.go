package profile_test

import (
	"testing"

	"github.com/matryer/is"

	"ibislift/core/profile"
	_ "ibislift/core/route"
)

func TestParse(t *testing.T) {
	t.Run("omitted fields have default values", func(t *testing.T) {
		parsed, err := profile.Parse([]byte(`{"defaultDeadline": "250ms"}`))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(parsed.DefaultDeadline.Duration().String(), "250ms")
		is.Equal(parsed.QueueBound, profile.Default().QueueBound)
	})
	for name, example := range map[string]struct{ text, field string }{
		"unknown field":             {`{"retries": 3}`, "retries"},
		"wrong type":                {`{"queueBound": "many"}`, "queueBound"},
		"out of range":              {`{"hedgeBudget": {"ratio": 2, "burst": 1}}`, "hedgeBudget.ratio"},
		"bad duration":              {`{"slowStart": "soon"}`, "$"},
		"rule's path":               {`{"important": [{"method": "POST", "path": "enrol"}]}`, "important[0].path"},
		"rule's method":             {`{"repeatable": [{"method": "get", "path": "/"}]}`, "repeatable[0].method"},
		"unknown policy":            {`{"policy": "magic"}`, "policy"},
		"text after the JSON value": {`{} {}`, "$"},
		"empty":                     {``, "$"},
		"unknown queue order":       {`{"queueOrder": "newest"}`, "queueOrder"},
		"unknown crossing":          {`{"crossing": "never"}`, "crossing"},
		"negative number":           {`{"queueBound": -1}`, "queueBound"},
	} {
		t.Run(name, func(t *testing.T) { requireFieldError(t, example.text, example.field) })
	}
}

// requireFieldError checks that Parse rejects a profile with an error for the
// field.
func requireFieldError(t *testing.T, text, field string) {
	t.Helper()
	is := is.New(t)
	_, err := profile.Parse([]byte(text))
	var fieldError *profile.FieldError
	is.True(profile.Error.Has(err))
	is.True(asFieldError(err, &fieldError))
	is.Equal(fieldError.Path, field)
}

func TestRepeatable(t *testing.T) {
	is := is.New(t)
	defaults := profile.Default()
	is.True(defaults.Repeatable("GET", "/logs/17"))
	is.True(defaults.Repeatable("HEAD", "/"))
	is.True(!defaults.Repeatable("POST", "/enrol"))
	is.True(!defaults.Repeatable("DELETE", "/logs/17"))
}

// Guards against a decision that changes for deployments whose route table has no
// workspaces.
func TestCrossing(t *testing.T) {
	is := is.New(t)
	is.True(profile.Default().Crossing.IsByValue(true))
	is.True(!profile.Default().Crossing.IsByValue(false))
	is.True(profile.CrossingByValue.IsByValue(false))
	is.True(!profile.CrossingByTime.IsByValue(true))
}
