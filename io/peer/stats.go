package peer

import (
	"reflect"
	"slices"
	"sync/atomic"
)

// wsHeader is the size of a WebSocket header for messages of 126 to 65535 bytes without a mask.
const wsHeader = 4

func kindIndex(m Message) int { return byType[reflect.TypeOf(m)] }

type kindCounters struct{ sent, sentBytes, received, receivedBytes atomic.Int64 }

type counters struct {
	kinds   []kindCounters
	late    atomic.Int64 // answers to streams that are not open
	dropped atomic.Int64 // parts of an answer that were discarded
	bad     atomic.Int64
}

func newCounters() *counters { return &counters{kinds: make([]kindCounters, len(kinds))} }

func (c *counters) sent(kind, size int) {
	c.kinds[kind].sent.Add(1)
	c.kinds[kind].sentBytes.Add(int64(size + wsHeader))
}

func (c *counters) received(kind, size int) {
	c.kinds[kind].received.Add(1)
	c.kinds[kind].receivedBytes.Add(int64(size + wsHeader))
}

// KindStats counts the messages of one kind. Bytes include the WebSocket header, but not TLS, TCP and IP.
type KindStats struct {
	name                                     string
	control                                  bool
	sent, sentBytes, received, receivedBytes int64
}

// Name returns the name of the message type.
func (k KindStats) Name() string { return k.name }

// Control reports whether messages of the kind are control traffic.
func (k KindStats) Control() bool { return k.control }

// Sent returns the number of messages sent.
func (k KindStats) Sent() int64 { return k.sent }

// SentBytes returns the number of bytes sent.
func (k KindStats) SentBytes() int64 { return k.sentBytes }

// Received returns the number of messages received.
func (k KindStats) Received() int64 { return k.received }

// ReceivedBytes returns the number of bytes received.
func (k KindStats) ReceivedBytes() int64 { return k.receivedBytes }

// Stats are the totals of a mesh since its start.
type Stats struct {
	kinds []KindStats
	late  int64
	bad   int64
}

// Kinds returns the counts for each kind of message.
func (s Stats) Kinds() []KindStats { return s.kinds }

// Late returns how many answers were dropped because their stream or call was no longer open.
func (s Stats) Late() int64 { return s.late }

// Bad returns how many messages were refused.
func (s Stats) Bad() int64 { return s.bad }

// ControlSentBytes returns the bytes of control messages sent.
func (s Stats) ControlSentBytes() int64 {
	var n int64
	for _, k := range s.kinds {
		if k.control {
			n += k.sentBytes
		}
	}
	return n
}

// ControlSent returns the number of control messages sent.
func (s Stats) ControlSent() int64 {
	var n int64
	for _, k := range s.kinds {
		if k.control {
			n += k.sent
		}
	}
	return n
}

// Stats returns the totals since the start.
func (m *Mesh) Stats() Stats {
	s := Stats{late: m.stats.late.Load(), bad: m.stats.bad.Load()}
	for i := range m.stats.kinds {
		c := &m.stats.kinds[i]
		s.kinds = append(s.kinds, KindStats{
			kinds[i].name, kinds[i].control, c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load(),
		})
	}
	return s
}

// Connected returns the VMs to which a connection is open: heartbeat partners, and those that exchanged units or requests
// with this VM within the last minute.
func (m *Mesh) Connected() []string {
	var ids []string
	for _, c := range m.conns() {
		if c.alive() && !slices.Contains(ids, c.vm) {
			ids = append(ids, c.vm)
		}
	}
	return ids
}
