package server_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of checks for the randomised tests. The flags -rapid.seed and -rapid.checks
// override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "15")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
