package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the number of lines that wait to be written.
	maxQueuedLines = 512
	// maxQueuedBytes bounds their bytes.
	maxQueuedBytes = 4 << 20
	// burstSeconds is the burst size of the rate limit, in seconds of the permitted rate.
	burstSeconds = 2
)

// LogWriter is a writer of log lines that never blocks. It drops and counts lines that exceed its rate limit, that find its queue
// full or that the output fails to write. It is safe for concurrent use.
type LogWriter struct {
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	queued  atomic.Int64 // bytes

	mu       sync.Mutex
	closed   bool
	rate     float64
	tokens   float64
	refilled time.Time
}

// NewLogWriter returns a writer that passes at most rate lines a second to w, after an initial burst. Close ends it.
func NewLogWriter(w io.Writer, rate int) *LogWriter {
	l := &LogWriter{
		queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), rate: float64(rate),
		tokens: float64(rate * burstSeconds), refilled: time.Now(),
	}
	go func() {
		defer close(l.done)
		for b := range l.queue {
			if _, err := w.Write(b); err != nil {
				l.dropped.Add(1)
			}
			l.queued.Add(-int64(len(b)))
		}
	}()
	return l
}

// Write queues b as one line, or drops it. It always returns len(b) and no error.
func (l *LogWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilled).Seconds()*l.rate, l.rate*burstSeconds)
	l.refilled = now
	if l.closed || l.tokens < 1 || l.queued.Load()+int64(len(b)) > maxQueuedBytes {
		l.dropped.Add(1)
		return len(b), nil
	}
	l.tokens--
	select {
	case l.queue <- append([]byte(nil), b...):
		l.queued.Add(int64(len(b)))
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close waits until the queued lines are written. Lines that are written after it are dropped.
func (l *LogWriter) Close() error {
	l.mu.Lock()
	wasClosed := l.closed
	l.closed = true
	l.mu.Unlock()
	if !wasClosed {
		close(l.queue)
	}
	<-l.done
	return nil
}
