package profile_test

import (
	"cmp"
	"flag"
	"os"
)

// init fixes the seed of the property tests so that their results are
// reproducible. IBISLIFT_SEED selects another seed.
func init() {
	_ = flag.Set("rapid.seed", cmp.Or(os.Getenv("IBISLIFT_SEED"), "1"))
	_ = flag.Set("rapid.nofailfile", "true")
}
