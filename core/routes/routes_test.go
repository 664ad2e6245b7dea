package routes_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/routes"
)

func TestParse(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":     `{`,
		"no version":   `{"routes":[]}`,
		"high version": `{"version":4503599627370496,"routes":[]}`,
		"no host":      `{"version":1,"routes":[{"prefix":"/","parts":[{"service":"a","weight":1}]}]}`,
		"no prefix":    `{"version":1,"routes":[{"host":"h","parts":[{"service":"a","weight":1}]}]}`,
		"no parts":     `{"version":1,"routes":[{"host":"h","prefix":"/"}]}`,
		"zero weight":  `{"version":1,"routes":[{"host":"h","prefix":"/","parts":[{"service":"a","weight":0}]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routes.Parse([]byte(body))
			is.New(t).True(err != nil)
		})
	}
}

func TestMatch(t *testing.T) {
	is := is.New(t)
	part := `"parts":[{"service":"a","weight":1}]`
	table, err := routes.Parse([]byte(fmt.Sprintf(`{"version":1,"routes":[
		{"name":"short","host":"h","prefix":"/",%s},
		{"name":"long","host":"h","prefix":"/a/b/",%s},
		{"name":"middle","host":"h","prefix":"/a/",%s}]}`, part, part, part)))
	is.NoErr(err)
	for path, name := range map[string]string{"/a/b/c": "long", "/a/b": "middle", "/a/c": "middle", "/ab/": "short"} {
		route, found := table.Match("H:80", path)
		is.True(found)
		is.Equal(route.Name, name)
	}
	_, found := table.Match("other", "/")
	is.True(!found)
	is.True(table.HasRouteTo("a"))
	is.True(!table.HasRouteTo("b"))
}

// The daemons do not coordinate, but over all of them together the shares must
// match the weights within a few hundred requests.
func TestSplitMeetsWeightsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(1, 99).Draw(t, "weight")
		route := &routes.Route{Name: "r", Destinations: []routes.Destination{{Service: "one", Weight: float64(weight)}, {Service: "two", Weight: float64(100 - weight)}}}
		daemons := rapid.IntRange(1, 60).Draw(t, "daemons")
		matched, total := 0, 0
		for daemon := range daemons {
			splitter := &routes.Splitter{Daemon: fmt.Sprintf("daemon-%d", daemon)}
			for range 400/daemons + 1 {
				total++
				if splitter.Next(route) == "one" {
					matched++
				}
			}
		}
		if deviation := math.Abs(float64(matched)/float64(total) - float64(weight)/100); deviation > 0.05 {
			t.Fatalf("the share deviates by %.3f from the weight after %d requests at %d daemons", deviation, total, daemons)
		}
	})
}
