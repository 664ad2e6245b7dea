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
	for name, text := range map[string]string{
		"not JSON":    `{`,
		"no version":  `{"routes":[]}`,
		"no host":     `{"version":1,"routes":[{"prefix":"/","parts":[{"service":"a","weight":1}]}]}`,
		"no prefix":   `{"version":1,"routes":[{"host":"h","parts":[{"service":"a","weight":1}]}]}`,
		"no parts":    `{"version":1,"routes":[{"host":"h","prefix":"/"}]}`,
		"zero weight": `{"version":1,"routes":[{"host":"h","prefix":"/","parts":[{"service":"a","weight":0}]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routes.Parse([]byte(text))
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
	is.True(table.Leads("a"))
	is.True(!table.Leads("b"))
}

// Shares are met over all daemons together within a few hundred requests, each
// daemon counting for itself.
func TestSplitMeetsWeightsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(1, 99).Draw(t, "weight")
		route := &routes.Route{Name: "r", Parts: []routes.Part{{Service: "one", Weight: float64(weight)}, {Service: "two", Weight: float64(100 - weight)}}}
		daemons := rapid.IntRange(1, 60).Draw(t, "daemons")
		count, all := 0, 0
		for daemon := range daemons {
			split := &routes.Split{Self: fmt.Sprintf("daemon-%d", daemon)}
			for range 400/daemons + 1 {
				all++
				if split.Next(route) == "one" {
					count++
				}
			}
		}
		if off := math.Abs(float64(count)/float64(all) - float64(weight)/100); off > 0.05 {
			t.Fatalf("the share is %.3f off its weight after %d requests at %d daemons", off, all, daemons)
		}
	})
}
