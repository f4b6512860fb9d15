package spread_test

import "flag"

// A fixed seed makes failures of the randomised tests reproducible.
func init() { _ = flag.Set("rapid.seed", "20261204") }
