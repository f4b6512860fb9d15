package logs

import (
	"go.uber.org/zap"

	"verbenagate/core/event"
)

// NewCounting returns a Logger that calls count for each event and passes the event on to next. Events below the log
// level are counted too.
func NewCounting(next Logger, count func(event.ID)) Logger {
	return &countingLogger{next: next, count: count}
}

type countingLogger struct {
	next  Logger
	count func(event.ID)
}

func (c *countingLogger) Event(id event.ID, fields ...zap.Field) {
	c.count(id)
	c.next.Event(id, fields...)
}
