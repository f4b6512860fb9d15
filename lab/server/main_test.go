package server_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests; -rapid.seed and -rapid.checks on the command line still override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "15")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
