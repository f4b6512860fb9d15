package logs

import (
	"fmt"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

// RecoverPanic ends a panic of the calling goroutine and logs it with its stack. A goroutine that serves one caller, one VM or one
// server defers it, so that a fault in one connection does not end the process and all other connections. Work says what the
// goroutine did. RecoverPanic must be deferred directly.
func RecoverPanic(log Logger, work string) {
	if p := recover(); p != nil {
		Panic(log, work, p)
	}
}

// Panic logs a recovered panic with its stack. It must be called by the deferred function that recovered.
func Panic(log Logger, work string, p any) {
	log.Event(event.PanicRecovered, zap.String("work", work), zap.String("panic", fmt.Sprint(p)), zap.Stack("stack"))
}
