package edge_test

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/io/edge"
)

// Guards against a check of the settings file that reports only one of several errors, or errors without their line and key.
func TestSettingsErrorsAreListedTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := edge.Parse("vm.yaml", []byte(`vm: ""
data_centre: dc
callers: 10.0.0.1
ready: 10.0.0.1:1
metrics: 10.0.0.1:2
store: 10.0.0.1:3
orders: 10.0.0.1:4
grace_s: 1
colour: red
log:
  level: loud
`))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.InvalidConfig))
	for _, want := range []string{"vm.yaml:1:", "vm.yaml:3:", "callers", "vm.yaml:8:", "grace_s", "colour", "log.level"} {
		g.Expect(result.Message(err)).To(gomega.ContainSubstring(want))
	}
}

// Guards against a settings template in deploy/settings.yaml that has an unknown key or lacks a required one.
func TestTemplateMatchesTheSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile("../../deploy/settings.yaml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	filled := strings.NewReplacer("{{nodeName}}", "vm-1", "{{zone}}", "dc", "{{listenAddrs.front}}", "10.0.0.1:1",
		"{{listenAddrs.ready}}", "10.0.0.1:2", "{{ip}}", "10.0.0.1", "{{internalPorts.0}}", "3", "{{platform.address}}", "10.0.0.2:4",
		"{{cloudApi.address}}", "10.0.0.2:5", "{{bounds.graceS}}", "6", "{{limits.cpuShare}}", "0.4",
		"{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4200").Replace(string(text))
	s, err := edge.Parse("settings.yaml", []byte(filled))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Metrics()).To(gomega.Equal("10.0.0.1:3"))
	g.Expect(s.Cores()).To(gomega.Equal(0.4))
	g.Expect(s.Memory()).To(gomega.Equal(int64(284 << 20)))
	g.Expect(s.Descriptors()).To(gomega.Equal(4200))
}
