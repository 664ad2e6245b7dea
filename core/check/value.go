package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// reader collects what is found while a file is read.
type reader struct {
	findings []Finding
	// given holds the paths of the fields that the file has.
	given map[string]bool
}

// Value is a value of a file, with its path. A field that is absent or null has a Value
// too, which reads as zero, as in encoding/json.
type Value struct {
	path   string
	node   any
	reader *reader
}

// member is a field of an object. Objects keep their order and duplicates.
type member struct {
	name  string
	value any
}

// parse parses JSON into members, slices, strings, booleans, numbers and nil.
func parse(text []byte) (any, error) {
	// The tokens that are read below need not be checked any more.
	var raw json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	return parseNext(decoder)
}

func parseNext(decoder *json.Decoder) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('['):
		elements := []any{}
		for decoder.More() {
			element, err := parseNext(decoder)
			if err != nil {
				return nil, err
			}
			elements = append(elements, element)
		}
		_, err := decoder.Token()
		return elements, err
	case json.Delim('{'):
		members := []member{}
		for decoder.More() {
			name, err := decoder.Token()
			if err != nil {
				return nil, err
			}
			value, err := parseNext(decoder)
			if err != nil {
				return nil, err
			}
			members = append(members, member{name: name.(string), value: value})
		}
		_, err := decoder.Token()
		return members, err
	default:
		return token, nil
	}
}

// Path returns the path of the value.
func (value Value) Path() string { return value.path }

// IsGiven reports whether the file has the value, and it is not null.
func (value Value) IsGiven() bool { return value.node != nil }

// Fail reports an error about the value.
func (value Value) Fail(code, format string, arguments ...any) {
	value.reader.findings = append(value.reader.findings, Finding{SeverityError, value.path, code, fmt.Sprintf(format, arguments...)})
}

// Warn reports a warning about the value.
func (value Value) Warn(code, format string, arguments ...any) {
	value.reader.findings = append(value.reader.findings, Finding{SeverityWarning, value.path, code, fmt.Sprintf(format, arguments...)})
}

// typeName returns the name of the type of a value. Messages have it instead of the value,
// which may be an API key.
func typeName(node any) string {
	switch node.(type) {
	case string:
		return "a text"
	case json.Number:
		return "a number"
	case bool:
		return "a truth value"
	case []any:
		return "a list"
	case []member:
		return "an object"
	default:
		return "nothing"
	}
}

func (value Value) failType(want string) {
	value.Fail(CodeWrongType, "%s is required, and the file has %s", want, typeName(value.node))
}

// Members are the fields of an object.
type Members struct {
	object Value
	values map[string]any
}

// HasField reports whether the value is an object with a field.
func (value Value) HasField(name string) bool {
	members, _ := value.node.([]member)
	for _, member := range members {
		if member.name == name {
			return true
		}
	}
	return false
}

// Members returns the fields of an object, and reports fields that are not known but
// resemble known ones. Others are ignored, as by a daemon.
func (value Value) Members(known ...string) Members {
	fields, isObject := value.node.([]member)
	if !isObject && value.node != nil {
		value.failType("an object")
	}
	members := Members{object: value, values: map[string]any{}}
	for _, field := range fields {
		if _, twice := members.values[field.name]; twice && slices.Contains(known, field.name) {
			value.field(field.name, field.value).Fail(CodeDuplicateField, "the object has the field twice")
		}
		members.values[field.name] = field.value
		value.checkSpelling(field, known)
	}
	return members
}

// checkSpelling reports a field whose name resembles one of the known names.
func (value Value) checkSpelling(field member, known []string) {
	if slices.Contains(known, field.name) {
		return
	}
	for _, name := range known {
		switch {
		case strings.EqualFold(field.name, name):
			value.field(name, field.value).Fail(CodeFieldCase, "the file has %q, and the name of the field is %q", field.name, name)
		case squeeze(field.name) == squeeze(name):
			value.field(name, field.value).Warn(CodeFieldSpelling, "the file has %q, which is ignored, and the name of the field is %q", field.name, name)
		}
	}
}

// squeeze returns a name in lower case and without hyphens and underscores.
func squeeze(name string) string {
	return strings.ToLower(strings.NewReplacer("-", "", "_", "").Replace(name))
}

func (value Value) field(name string, node any) Value {
	path := name
	if value.path != "" {
		path = value.path + "." + name
	}
	return Value{path: path, node: node, reader: value.reader}
}

// Get returns a field.
func (members Members) Get(name string) Value {
	value := members.object.field(name, members.values[name])
	if value.IsGiven() {
		value.reader.given[value.path] = true
	}
	return value
}

// Entries returns the fields of an object whose names are not fixed, in their order.
func (value Value) Entries() (names []string, values []Value) {
	fields, isObject := value.node.([]member)
	if !isObject && value.node != nil {
		value.failType("an object")
	}
	seen := map[string]bool{}
	for _, field := range fields {
		entry := Value{path: value.path + "[" + strconv.Quote(field.name) + "]", node: field.value, reader: value.reader}
		if seen[field.name] {
			entry.Fail(CodeNameDuplicate, "the name %q is not unique", field.name)
		}
		seen[field.name] = true
		names = append(names, field.name)
		values = append(values, entry)
	}
	return names, values
}

// Elements returns the elements of a list.
func (value Value) Elements() []Value {
	nodes, isList := value.node.([]any)
	if !isList && value.node != nil {
		value.failType("a list")
	}
	elements := make([]Value, 0, len(nodes))
	for index, node := range nodes {
		elements = append(elements, Value{path: value.path + "[" + strconv.Itoa(index) + "]", node: node, reader: value.reader})
	}
	return elements
}

// Text returns a text.
func (value Value) Text() string {
	text, isText := value.node.(string)
	if !isText && value.node != nil {
		value.failType("a text")
	}
	return text
}

// Texts returns a list of texts.
func (value Value) Texts() []string {
	var texts []string
	for _, element := range value.Elements() {
		texts = append(texts, element.Text())
	}
	return texts
}

// Bool returns a truth value.
func (value Value) Bool() bool {
	isTrue, isBool := value.node.(bool)
	if !isBool && value.node != nil {
		value.failType("true or false")
	}
	return isTrue
}

// Int returns a whole number.
func (value Value) Int() int {
	number, isNumber := value.node.(json.Number)
	parsed, err := strconv.ParseInt(number.String(), 10, 64)
	if value.node != nil && (!isNumber || err != nil) {
		value.failType("a whole number")
	}
	return int(parsed)
}

// Unsigned returns a whole number from 0.
func (value Value) Unsigned() uint64 {
	number, isNumber := value.node.(json.Number)
	parsed, err := strconv.ParseUint(number.String(), 10, 64)
	if value.node != nil && (!isNumber || err != nil) {
		value.failType("a whole number from 0")
	}
	return parsed
}

// Number returns a number.
func (value Value) Number() float64 {
	number, isNumber := value.node.(json.Number)
	parsed, err := strconv.ParseFloat(number.String(), 64)
	if value.node != nil && (!isNumber || err != nil) {
		value.failType("a number")
		return 0
	}
	return parsed
}

// maxSeconds is the longest time that is accepted. A time.Duration holds up to 292 years.
const maxSeconds = 1e9

// Seconds returns a time that the file gives in seconds.
func (value Value) Seconds() time.Duration {
	seconds := value.Number()
	if seconds > maxSeconds || seconds < -maxSeconds {
		value.Fail(CodeWrongType, "the time is longer than %.0f s", float64(maxSeconds))
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
