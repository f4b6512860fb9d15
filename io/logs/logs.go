// Package logs writes the numbered events of core/event with zap.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"verbenagate/core/event"
)

// Logger logs numbered events.
type Logger interface {
	// Event logs the event id with fields. The text of the line comes from the catalogue of core/event.
	Event(id event.ID, fields ...zap.Field)
}

// Switch is the log threshold of one layer: SwitchDefault, SwitchOff or the name of a level.
type Switch string

// Values of Switch that are not names of levels.
const (
	// SwitchDefault makes the layer use the level of the whole log.
	SwitchDefault Switch = "default"
	// SwitchOff disables all lines of the layer.
	SwitchOff Switch = "off"
)

// Formats of log lines.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Thresholds of a layer that are not levels. They lie outside the range of levels.
const (
	thresholdDefault = int32(-100)
	thresholdOff     = int32(100)
)

// Log is a Logger whose level and layer switches can be changed while it is in use.
type Log struct {
	zap    *zap.Logger
	level  *atomic.Int32
	layers map[event.Layer]*atomic.Int32
	events map[event.ID]event.Info
}

var _ Logger = (*Log)(nil)

// New returns a log that writes events of the given level and above to w, in format FormatJSON or FormatConsole.
func New(w io.Writer, format, level string) (*Log, error) {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	var enc zapcore.Encoder
	switch format {
	case FormatJSON:
		enc = zapcore.NewJSONEncoder(cfg)
	case FormatConsole:
		enc = zapcore.NewConsoleEncoder(cfg)
	default:
		return nil, fmt.Errorf("log format %q is not one of %s, %s", format, FormatJSON, FormatConsole)
	}
	l := &Log{
		zap:    zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), zapcore.DebugLevel)),
		level:  new(atomic.Int32),
		layers: make(map[event.Layer]*atomic.Int32),
		events: make(map[event.ID]event.Info),
	}
	for _, layer := range event.Layers() {
		l.layers[layer] = new(atomic.Int32)
		l.layers[layer].Store(thresholdDefault)
	}
	for _, i := range event.All() {
		l.events[i.ID()] = i
	}
	return l, l.SetLevel(level)
}

// Event logs the event id with fields. An id that is missing in the catalogue is logged as event.InvariantViolated, so that
// no line gets lost.
func (l *Log) Event(id event.ID, fields ...zap.Field) {
	info, ok := l.events[id]
	if !ok {
		fields = append(slices.Clone(fields), zap.Uint16("unassigned_event", uint16(id)))
		info = l.events[event.InvariantViolated]
	}
	if !l.enabled(info) {
		return
	}
	ce := l.zap.Check(zapcore.Level(info.Level()), info.Message())
	if ce == nil {
		return
	}
	all := make([]zap.Field, 0, len(fields)+2)
	all = append(all, zap.Uint16("event", uint16(info.ID())), zap.String("layer", string(info.Layer())))
	for _, f := range fields {
		all = append(all, errorAsMessage(f))
	}
	ce.Write(all...)
}

// errorAsMessage replaces an error field by its message, because errorx would add a stack trace and make the line unreadable.
func errorAsMessage(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}

func (l *Log) enabled(info event.Info) bool {
	threshold := l.layers[info.Layer()].Load()
	if threshold == thresholdDefault {
		threshold = l.level.Load()
	}
	return int32(info.Level()) >= threshold
}

// SetLevel changes the level of layers whose switch is SwitchDefault.
func (l *Log) SetLevel(name string) error {
	level, err := parseLevel(name)
	if err != nil {
		return err
	}
	l.level.Store(int32(level))
	return nil
}

// Level returns the level of layers whose switch is SwitchDefault.
func (l *Log) Level() string { return event.Level(l.level.Load()).String() }

// SetLayer changes the switch of one layer.
func (l *Log) SetLayer(layer string, s Switch) error {
	v, ok := l.layers[event.Layer(layer)]
	if !ok {
		return fmt.Errorf("log layer %q is not one of %s", layer, join(event.Layers()))
	}
	n, err := parseSwitch(s)
	if err != nil {
		return err
	}
	v.Store(n)
	return nil
}

// Layers returns the switch of each layer.
func (l *Log) Layers() map[string]Switch {
	m := make(map[string]Switch, len(l.layers))
	for layer, v := range l.layers {
		switch n := v.Load(); n {
		case thresholdDefault:
			m[string(layer)] = SwitchDefault
		case thresholdOff:
			m[string(layer)] = SwitchOff
		default:
			m[string(layer)] = Switch(event.Level(n).String())
		}
	}
	return m
}

// Sync flushes buffered lines.
func (l *Log) Sync() error { return l.zap.Sync() }

// LevelNames returns the names that SetLevel accepts.
func LevelNames() []string {
	return []string{
		event.LevelDebug.String(), event.LevelInfo.String(), event.LevelWarn.String(), event.LevelError.String(),
	}
}

// CheckSwitch returns the error that SetLayer would return for the same arguments, without changing anything.
func CheckSwitch(layer string, s Switch) error {
	if !slices.Contains(event.Layers(), event.Layer(layer)) {
		return fmt.Errorf("log layer %q is not one of %s", layer, join(event.Layers()))
	}
	_, err := parseSwitch(s)
	return err
}

func parseLevel(name string) (event.Level, error) {
	if n := slices.Index(LevelNames(), name); n >= 0 {
		return event.LevelDebug + event.Level(n), nil
	}
	return 0, fmt.Errorf("log level %q is not one of %s", name, join(LevelNames()))
}

func parseSwitch(s Switch) (int32, error) {
	switch s {
	case SwitchDefault:
		return thresholdDefault, nil
	case SwitchOff:
		return thresholdOff, nil
	}
	level, err := parseLevel(string(s))
	if err != nil {
		return 0, fmt.Errorf("log switch %q is not one of %s, %s, %s", s, SwitchDefault, SwitchOff, join(LevelNames()))
	}
	return int32(level), nil
}

func join[T ~string](names []T) string {
	var all []string
	for _, n := range names {
		all = append(all, string(n))
	}
	return strings.Join(all, ", ")
}

// Nop returns a Logger that discards every event.
func Nop() Logger { return nop{} }

type nop struct{}

func (nop) Event(event.ID, ...zap.Field) {}

// Recorder is a Logger for tests that keeps the events in memory.
type Recorder struct {
	mu     sync.Mutex
	events []event.ID
}

// Event appends id to the kept events.
func (r *Recorder) Event(id event.ID, _ ...zap.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, id)
}

// Events returns the events logged so far, oldest first.
func (r *Recorder) Events() []event.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
