package withdraw_test

import (
	"cmp"
	"flag"
	"os"
)

// init fixes the seed of the property tests to make every run give the same result.
// IBISLIFT_SEED selects another seed.
func init() {
	_ = flag.Set("rapid.seed", cmp.Or(os.Getenv("IBISLIFT_SEED"), "1"))
	_ = flag.Set("rapid.nofailfile", "true")
}
