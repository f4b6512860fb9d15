package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for standard output.
	queueLines = 512
	// burstSeconds is how many seconds' worth of lines may be written at once.
	burstSeconds = 2
)

// Lines is a writer of log lines that never blocks: lines beyond a rate, or beyond what the output takes, are dropped and
// counted.
type Lines struct {
	out     chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

// NewLines returns a writer to w of at most rate lines a second. Close ends it.
func NewLines(w io.Writer, rate int) *Lines {
	l := &Lines{
		out: make(chan []byte, queueLines), done: make(chan struct{}), rate: float64(rate),
		tokens: float64(rate * burstSeconds), last: time.Now(),
	}
	go func() {
		defer close(l.done)
		for b := range l.out {
			if _, err := w.Write(b); err != nil {
				l.dropped.Add(1)
			}
		}
	}()
	return l
}

// Write queues one line.
func (l *Lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.last).Seconds()*l.rate, l.rate*burstSeconds)
	l.last = now
	allowed := l.tokens >= 1
	if allowed {
		l.tokens--
	}
	l.mu.Unlock()
	if !allowed {
		l.dropped.Add(1)
		return len(b), nil
	}
	select {
	case l.out <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped.
func (l *Lines) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines. No line may be written after it.
func (l *Lines) Close() error {
	close(l.out)
	<-l.done
	return nil
}
