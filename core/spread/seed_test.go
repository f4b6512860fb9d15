package spread_test

import "flag"

// A fixed seed makes a failure of the randomised tests repeatable.
func init() { _ = flag.Set("rapid.seed", "20261204") }
