package flood

import (
	"os"
	"testing"

	"verbenagate/lab/fleet"
)

// buildDir receives the program, which all tests share.
var buildDir string

func build() (string, error) { return fleet.Build(buildDir) }

func TestMain(m *testing.M) {
	var err error
	if buildDir, err = os.MkdirTemp("", "flood"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(buildDir)
	os.Exit(code)
}
