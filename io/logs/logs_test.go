package logs_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/io/logs"
)

func ExampleLog_Event() {
	l, err := logs.New(os.Stdout, logs.FormatConsole, "warn")
	if err != nil {
		panic(err)
	}
	l.Event(event.NodeStarted) // below the level: not written
	_ = l.SetLayer("node", "off")
	l.Event(event.NodeFailed) // layer switched off: not written
	// Output:
}

// Guards against lines without the event number, which operators need to look up the advice for the event.
func TestEventHasNumberLayerAndFields(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l, err := logs.New(&out, logs.FormatJSON, "info")
	g.Expect(err).NotTo(HaveOccurred())
	l.Event(event.EndptDown, zap.String("server", "127.0.0.1:1"))
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	g.Expect(line).To(And(HaveKeyWithValue("event", 400.0), HaveKeyWithValue("layer", "endpt"),
		HaveKeyWithValue("level", "warn"), HaveKeyWithValue("msg", "server unreachable"),
		HaveKeyWithValue("server", "127.0.0.1:1"), HaveKey("time")))
}

// Guards against a level or layer switch that takes effect only after a restart, and against a layer switch that affects
// other layers.
func TestSwitchesChangeAtRunTime(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l, err := logs.New(&out, logs.FormatConsole, "info")
	g.Expect(err).NotTo(HaveOccurred())
	lines := func(id event.ID) int {
		out.Reset()
		l.Event(id)
		return strings.Count(out.String(), "\n")
	}
	g.Expect(lines(event.CallerClosed)).To(Equal(0))
	g.Expect(l.SetLayer("caller", "debug")).To(Succeed())
	g.Expect(lines(event.CallerClosed)).To(Equal(1))
	g.Expect(lines(event.RouteRetry)).To(Equal(0))
	g.Expect(l.SetLayer("caller", logs.SwitchOff)).To(Succeed())
	g.Expect(lines(event.CallerProtocol)).To(Equal(0))
	g.Expect(l.SetLayer("caller", logs.SwitchDefault)).To(Succeed())
	g.Expect(l.SetLevel("debug")).To(Succeed())
	g.Expect(lines(event.CallerClosed)).To(Equal(1))
	g.Expect(l.Level()).To(Equal("debug"))
	g.Expect(l.Layers()).To(And(HaveLen(len(event.Layers())), HaveKeyWithValue("caller", logs.SwitchDefault)))
	g.Expect(l.SetLayer("nothing", "off")).To(MatchError(ContainSubstring(`log layer "nothing"`)))
	g.Expect(l.SetLevel("loud")).To(MatchError(ContainSubstring(`log level "loud"`)))
	g.Expect(l.SetLayer("caller", "loud")).To(MatchError(ContainSubstring(`log switch "loud"`)))
}

// Guards against an event that is dropped because its number is missing in the catalogue, and against an event whose layer
// is not in event.Layers and so has no switch.
func TestUnassignedNumberIsLogged(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l, err := logs.New(&out, logs.FormatJSON, "info")
	g.Expect(err).NotTo(HaveOccurred())
	l.Event(9999)
	g.Expect(out.String()).To(And(ContainSubstring(`"event":1200`), ContainSubstring(`"unassigned_event":9999`)))
	for _, i := range event.All() {
		g.Expect(event.Layers()).To(ContainElement(i.Layer()), "event %d", i.ID())
	}
}
