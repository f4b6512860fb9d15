package layout

import (
	"fmt"
	"testing"
)

func ExampleConfig_Weights() {
	c := NewConfig(1, nil, nil, 0).WithWorkspaces(map[string]Workspace{
		"k1": NewWorkspace("large", 0, 60, 100), "k2": NewWorkspace("small", 0, 3, 5),
		"k3": NewWorkspace("free", 0, 0, 0), "k4": NewWorkspace("low", 1, 60, 100),
	})
	fmt.Println(c.Weights())
	// Output: map[free:60 large:60 low:30 small:3]
}

// Guards against workspaces without a share where none has a limit.
func TestWeightsWithoutLimits(t *testing.T) {
	c := NewConfig(1, nil, nil, 0).WithWorkspaces(map[string]Workspace{"k1": NewWorkspace("a", 0, 0, 0), "k2": NewWorkspace("b", 0, 0, 0)})
	if w := c.Weights(); len(w) != 2 || w["a"] != 1 || w["b"] != 1 {
		t.Errorf("weights %v, want the same for both", w)
	}
}
