// Package endpt runs units of work on one database server. It holds the server's queue and its connections, and speaks
// the PostgreSQL protocol to it.
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

// StatusSource supplies the server's status; the watcher of the server's group is one.
//
// A source may also implement Refresher, StatusRequester and DataAger.
type StatusSource interface {
	// Status returns the latest status, the time of the request that it answers, by the clock of Config.Now, and
	// whether there is a status at all.
	Status() (port.Status, time.Time, bool)
}

// Refresher is a status source that can request the status and wait for it. Concurrent calls should share one request.
type Refresher interface {
	Refresh(ctx context.Context) error
}

// StatusRequester is a status source that can request the status soon, without waiting for the answer.
type StatusRequester interface {
	RequestStatus()
}

// DataAger is a status source that can bound the age of the data on the server.
type DataAger interface {
	DataAge() (time.Duration, bool)
}

// Logger receives log events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

type noLogger struct{}

// Event implements Logger.
func (noLogger) Event(event.ID, ...zap.Field) {}

// Config has the settings and dependencies of a Server.
type Config struct {
	// Service and Server are the definitions of the service, with its database account, and of the server.
	Service svcdef.Service
	Server  svcdef.Server
	// VM is the id of this VM.
	VM string
	// Status supplies the server's status.
	Status StatusSource
	// ConfirmCommit is called after a unit has committed a write and before its answer is forwarded. If it fails, the unit
	// ends as QuorumNotReached. It may be nil.
	ConfirmCommit func(ctx context.Context, commit point.Point) error
	// Metrics records the measurements of the server; nil for none.
	Metrics *metric.Set
	// OnceRules has the declared statements. Their expired outcome records are deleted while the server is the primary;
	// nil for none.
	OnceRules *once.Rules
	// Logger receives log events; nil for none.
	Logger Logger
	// Now returns the current time; nil for time.Now.
	Now func() time.Time
	// QueueLimit is the number of units that may wait; 0 for 10,000.
	QueueLimit int
	// CatchUpTimeout bounds the wait of a unit for a server that has not reached its required point; 0 for 5 ms.
	CatchUpTimeout time.Duration
	// DialTimeout bounds the opening of a connection; 0 for 3 s.
	DialTimeout time.Duration
	// MaxPrepared is the number of prepared statements that a connection holds; 0 for 200.
	MaxPrepared int
}

const (
	defaultQueueLimit     = 10_000
	defaultCatchUpTimeout = 5 * time.Millisecond
	defaultDialTimeout    = 3 * time.Second
	defaultMaxPrepared    = 200
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
	if c.CatchUpTimeout == 0 {
		c.CatchUpTimeout = defaultCatchUpTimeout
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxPrepared == 0 {
		c.MaxPrepared = defaultMaxPrepared
	}
	return c
}
