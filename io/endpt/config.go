// Package endpt runs units of work on one database server: its queue, its connections and the PostgreSQL protocol
// towards it.
package endpt

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/once"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/svcdef"
	"verbenagate/io/metric"
)

// Status is the source of the server's status, such as the watcher of its group.
//
// A source may also have the methods of Refresher, Asker and Ager.
type Status interface {
	// Status returns the latest status, the time at which it was asked for by the clock of Config.Now, and whether there
	// is one.
	Status() (port.Status, time.Time, bool)
}

// Refresher is the ability of a status source to ask the server now. Concurrent calls should share one request.
type Refresher interface {
	Refresh(ctx context.Context) error
}

// Asker is the ability of a status source to ask the server soon, without a wait for the answer.
type Asker interface {
	Ask()
}

// Ager is the ability of a status source to bound the age of the data on the server.
type Ager interface {
	Age() (time.Duration, bool)
}

// Logger takes log events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

type noLogger struct{}

// Event implements Logger.
func (noLogger) Event(event.ID, ...zap.Field) {}

// Config has the parts that a Server needs.
type Config struct {
	// Service and Server describe the server and the account for it.
	Service svcdef.Service
	Server  svcdef.Server
	// VM is the id of this VM.
	VM string
	// Status is the source of the server's status.
	Status Status
	// Confirm is called after a unit has committed a write and before its answer is passed on. If it fails, the unit
	// ends as QuorumNotReached. It may be nil.
	Confirm func(ctx context.Context, commit point.Point) error
	// Metrics keeps the measurements of the server; nil for none.
	Metrics *metric.Set
	// Once has the declared statements whose expired outcome records are deleted while the server is the primary; nil
	// for none.
	Once *once.Rules
	// Logger takes log events; nil for none.
	Logger Logger
	// Now is the time source; nil for time.Now.
	Now func() time.Time
	// QueueLimit is how many units may wait; 0 for 10,000.
	QueueLimit int
	// BehindWait is how long a unit waits for a server that has not reached its required point; 0 for 5 ms.
	BehindWait time.Duration
	// DialTimeout bounds the opening of a connection; 0 for 3 s.
	DialTimeout time.Duration
	// MaxPrepared is how many prepared statements a connection holds; 0 for 200.
	MaxPrepared int
}

const (
	defaultQueueLimit  = 10_000
	defaultBehindWait  = 5 * time.Millisecond
	defaultDialTimeout = 3 * time.Second
	defaultMaxPrepared = 200
)

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = noLogger{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.BehindWait == 0 {
		c.BehindWait = defaultBehindWait
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxPrepared == 0 {
		c.MaxPrepared = defaultMaxPrepared
	}
	return c
}
