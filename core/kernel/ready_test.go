package kernel_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/routes"
)

// profileStub is a plug-in that has the profiles, and the route table if it is set.
type profileStub struct{}

// stubTable is the route table of the next view.
var stubTable *routes.Table

func init() { kernel.Register("stub", func() kernel.Plugin { return profileStub{} }) }

func (profileStub) Update(*kernel.State, kernel.Event) []kernel.Effect { return nil }
func (profileStub) Accepts(time.Time, kernel.Record) bool              { return true }
func (profileStub) FillView(view *kernel.View)                         { view.Ready, view.Routes = true, stubTable }

// A daemon that served requests before it has the route table would let those without an
// API key through.
func TestReadinessNeedsTheRouteTable(t *testing.T) {
	check := func(t *testing.T, object string, table *routes.Table, want bool) {
		t.Helper()
		stubTable = table
		built := &kernel.Kernel{Settings: kernel.Settings{Self: "a", RouteObject: object}}
		built.Update(kernel.Event{At: time.Unix(1_800_000_000, 0)})
		is.New(t).Equal(built.View().Ready, want)
	}
	t.Run("no table is expected", func(t *testing.T) { check(t, "", nil, true) })
	t.Run("the table is missing", func(t *testing.T) { check(t, "config/main", nil, false) })
	t.Run("the table is known", func(t *testing.T) { check(t, "config/main", &routes.Table{}, true) })
}
