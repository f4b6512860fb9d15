package peer

import (
	"reflect"
	"slices"
	"sync/atomic"
)

// webSocketHeaderBytes is the size of a WebSocket header for messages of 126 to 65535 bytes without a mask.
const webSocketHeaderBytes = 4

func kindIndex(m Message) int { return kindIndexByType[reflect.TypeOf(m)] }

type kindCounters struct{ sent, sentBytes, received, receivedBytes atomic.Int64 }

type meshCounters struct {
	perKind         []kindCounters
	lateAnswers     atomic.Int64 // answers to units or calls that are no longer open
	droppedParts    atomic.Int64 // parts of an answer that were discarded
	refusedMessages atomic.Int64
}

func newCounters() *meshCounters { return &meshCounters{perKind: make([]kindCounters, len(kinds))} }

func (c *meshCounters) countSent(kind, size int) {
	c.perKind[kind].sent.Add(1)
	c.perKind[kind].sentBytes.Add(int64(size + webSocketHeaderBytes))
}

func (c *meshCounters) countReceived(kind, size int) {
	c.perKind[kind].received.Add(1)
	c.perKind[kind].receivedBytes.Add(int64(size + webSocketHeaderBytes))
}

// KindStats counts the messages of one type. Bytes include the WebSocket header, but not TLS, TCP and IP.
type KindStats struct {
	name                                     string
	control                                  bool
	sent, sentBytes, received, receivedBytes int64
}

// Name returns the name of the message type.
func (k KindStats) Name() string { return k.name }

// Control reports whether the messages count as control traffic.
func (k KindStats) Control() bool { return k.control }

// Sent returns the number of messages sent.
func (k KindStats) Sent() int64 { return k.sent }

// SentBytes returns the number of bytes sent.
func (k KindStats) SentBytes() int64 { return k.sentBytes }

// Received returns the number of messages received.
func (k KindStats) Received() int64 { return k.received }

// ReceivedBytes returns the number of bytes received.
func (k KindStats) ReceivedBytes() int64 { return k.receivedBytes }

// Stats holds the message counts of a mesh since its start.
type Stats struct {
	kinds           []KindStats
	lateAnswers     int64
	refusedMessages int64
}

// Kinds returns the counts of each message type.
func (s Stats) Kinds() []KindStats { return s.kinds }

// LateAnswers returns the number of answers that were dropped because their stream, unit or call was no longer open.
func (s Stats) LateAnswers() int64 { return s.lateAnswers }

// RefusedMessages returns the number of messages and connections that were refused as invalid.
func (s Stats) RefusedMessages() int64 { return s.refusedMessages }

// ControlSentBytes returns the number of bytes of control messages sent.
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

// Stats returns the message counts since the start of the mesh.
func (m *Mesh) Stats() Stats {
	s := Stats{lateAnswers: m.stats.lateAnswers.Load(), refusedMessages: m.stats.refusedMessages.Load()}
	for i := range m.stats.perKind {
		c := &m.stats.perKind[i]
		s.kinds = append(s.kinds, KindStats{
			kinds[i].name, kinds[i].control, c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load(),
		})
	}
	return s
}

// ConnectedVMs returns the ids of the VMs with an open connection: the heartbeat partners, and the VMs that exchanged
// units or requests with this VM within Config.IdleTimeout, by default one minute.
func (m *Mesh) ConnectedVMs() []string {
	var ids []string
	for _, c := range m.conns() {
		if c.isOpen() && !slices.Contains(ids, c.vm) {
			ids = append(ids, c.vm)
		}
	}
	return ids
}
