package routes_test

import (
	"cmp"
	"flag"
	"os"
)

// init fixes the seed of the property tests, so that a run gives the same
// verdict every time. IBISLIFT_SEED tries another.
func init() {
	_ = flag.Set("rapid.seed", cmp.Or(os.Getenv("IBISLIFT_SEED"), "1"))
	_ = flag.Set("rapid.nofailfile", "true")
}
