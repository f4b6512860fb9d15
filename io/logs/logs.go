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
	// Event logs the event id. The constant text of the line comes from the catalogue of core/event.
	Event(id event.ID, fields ...zap.Field)
}

// Switch is the threshold of one layer.
type Switch string

// Switches other than the names of levels.
const (
	// SwitchDefault makes the layer follow the level of the log.
	SwitchDefault Switch = "default"
	// SwitchOff silences the layer.
	SwitchOff Switch = "off"
)

// Formats of log lines.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Values that a layer's threshold takes besides the levels.
const (
	followLevel = int32(-100)
	silent      = int32(100)
)

// Log is a Logger whose level and layer switches can be changed while it is in use.
type Log struct {
	zap    *zap.Logger
	level  *atomic.Int32
	layers map[event.Layer]*atomic.Int32
	events map[event.ID]event.Info
}

var _ Logger = (*Log)(nil)

// New returns a log that writes lines in format (FormatJSON or FormatConsole) to w from level upwards.
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
		l.layers[layer].Store(followLevel)
	}
	for _, i := range event.All() {
		l.events[i.ID()] = i
	}
	return l, l.SetLevel(level)
}

// Event logs the event id. An unassigned number is logged as a violated invariant, since no line may get lost.
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
		all = append(all, plain(f))
	}
	ce.Write(all...)
}

// plain turns an error into its message: errorx would add its stack trace, which makes a line unreadable.
func plain(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}

func (l *Log) enabled(info event.Info) bool {
	threshold := l.layers[info.Layer()].Load()
	if threshold == followLevel {
		threshold = l.level.Load()
	}
	return int32(info.Level()) >= threshold
}

// SetLevel changes the level that layers follow by default.
func (l *Log) SetLevel(name string) error {
	level, err := parseLevel(name)
	if err != nil {
		return err
	}
	l.level.Store(int32(level))
	return nil
}

// Level returns the level that layers follow by default.
func (l *Log) Level() string { return event.Level(l.level.Load()).String() }

// SetLayer changes the threshold of one layer: SwitchDefault, SwitchOff or the name of a level.
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

// Layers returns the threshold of each layer.
func (l *Log) Layers() map[string]Switch {
	m := make(map[string]Switch, len(l.layers))
	for layer, v := range l.layers {
		switch n := v.Load(); n {
		case followLevel:
			m[string(layer)] = SwitchDefault
		case silent:
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

// CheckSwitch returns an error if SetLayer would refuse the arguments.
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
		return followLevel, nil
	case SwitchOff:
		return silent, nil
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

// Record is a Logger that keeps the events, for tests.
type Record struct {
	mu     sync.Mutex
	events []event.ID
}

// Event keeps id.
func (r *Record) Event(id event.ID, _ ...zap.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, id)
}

// Events returns the events so far.
func (r *Record) Events() []event.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
