package logs

import (
	"go.uber.org/zap"

	"verbenagate/core/event"
)

// Counted returns a Logger that passes events on to next and calls count for each, whatever the level of the log.
func Counted(next Logger, count func(event.ID)) Logger { return &counted{next: next, count: count} }

type counted struct {
	next  Logger
	count func(event.ID)
}

func (c *counted) Event(id event.ID, fields ...zap.Field) {
	c.count(id)
	c.next.Event(id, fields...)
}
