package main

import (
	_ "embed"
	"fmt"
	"strings"
)

//go:embed names.txt
var namesText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if name, value, found := strings.Cut(line, "="); found && !strings.HasPrefix(line, "#") {
			parsed[name] = value
		}
	}
	return parsed
}

// protocol returns one of the platform's names. It panics if names.txt lacks it.
func protocol(name string) string {
	value, found := names[name]
	if !found {
		panic(fmt.Sprintf("names.txt has no %q", name))
	}
	return value
}
