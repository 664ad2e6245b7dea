package routes_test

import (
	"fmt"
	"math"
	"strings"
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
				if service, _ := splitter.Next(route, nil); service == "one" {
					matched++
				}
			}
		}
		if deviation := math.Abs(float64(matched)/float64(total) - float64(weight)/100); deviation > 0.05 {
			t.Fatalf("the share deviates by %.3f from the weight after %d requests at %d daemons", deviation, total, daemons)
		}
	})
}

// A destination without targets in the allowed regions must not take a share of the
// requests, and must not distort the shares of the others.
func TestSplitAmongAcceptedDestinations(t *testing.T) {
	route := &routes.Route{Name: "r", Destinations: []routes.Destination{
		{Service: "one", Weight: 60}, {Service: "two", Weight: 30}, {Service: "three", Weight: 10}, {Service: "idle", Weight: 0},
	}}
	checkShares := func(t *testing.T, splitter *routes.Splitter, accepted string, want map[string]float64) {
		t.Helper()
		const requests = 1000
		counts := map[string]int{}
		for range requests {
			// A request that may use all destinations comes in between.
			_, _ = splitter.Next(route, nil)
			service, found := splitter.Next(route, func(service string) bool { return strings.Contains(accepted, service) })
			is.New(t).True(found)
			counts[service]++
		}
		for service, share := range want {
			is.New(t).True(math.Abs(float64(counts[service])/requests-share) < 0.01)
		}
		is.New(t).Equal(len(counts), len(want))
	}
	splitter := &routes.Splitter{Daemon: "d"}
	t.Run("all", func(t *testing.T) {
		checkShares(t, splitter, "one two three", map[string]float64{"one": 0.6, "two": 0.3, "three": 0.1})
	})
	t.Run("two of three", func(t *testing.T) {
		checkShares(t, splitter, "two three idle", map[string]float64{"two": 0.75, "three": 0.25})
	})
	t.Run("one", func(t *testing.T) { checkShares(t, splitter, "three", map[string]float64{"three": 1}) })
	t.Run("none", func(t *testing.T) {
		_, found := splitter.Next(route, func(string) bool { return false })
		is.New(t).True(!found)
	})
	t.Run("a destination without a share gets nothing", func(t *testing.T) {
		_, found := splitter.Next(route, func(service string) bool { return service == "idle" })
		is.New(t).True(!found)
	})
}
