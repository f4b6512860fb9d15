package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/member"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

func sampleMessages() []Message {
	record := member.Record{ID: "vm-1", DataCentre: "north", Addr: "10.0.0.1:7000", Incarnation: 1800000000000, State: member.Live}
	return []Message{
		Hello{Protocol: protocolVersion, VM: record},
		Heartbeat{Incarnation: 1800000000000, State: member.Live, Revision: 3100, Digest: 1 << 63, Probe: true},
		HeartbeatAck{Incarnation: 1800000000000, State: member.Leaving, Digest: 7},
		Members{Records: []member.Record{record}, Bulk: true, Digests: map[string]uint64{"north": 1, "south": 2}},
		Unit{Stream: 1, Number: 2, Work: work.Unit{
			Service: "dues", Server: "10.0.0.9:5432", Caller: "gate", Term: 3, Position: 99, Class: stmt.Write, Remaining: time.Second,
			Frames: []byte("Q\x00\x00\x00\x05\x00"), Prepared: []work.Prepared{{Name: "p", SQL: "SELECT 1", ParamOIDs: []uint32{23}}},
			IdempotencyKey: &work.OnceKey{Key: "k", Keep: time.Hour},
		}},
		UnitPart{Stream: 1, Frames: []byte{1, 2, 3}},
		Answer{Stream: 1, Number: 2, Seq: 3, Frames: []byte{9}, More: true},
		Answer{Stream: 1, Number: 2, Seq: 4, Final: &work.Final{
			Code: result.OK, Status: work.TxActive, Info: &work.ServerInfo{Address: "10.0.0.9:5432", Term: 3},
		}},
		Window{Stream: 1, Delivered: 1 << 40},
		Close{Stream: 1},
		Cancel{Stream: 1, Number: 2},
		Call{ID: 5, Remaining: time.Second, Body: []byte{0x83}},
		Return{ID: 5, Code: 308, Message: "no"},
		BarrierRequest{Service: "dues", Callers: []string{"ann"}},
		BarrierAnswer{Term: 1, Position: 2, Servers: []work.ServerInfo{{Address: "a"}}, Required: []uint64{1}},
		ViewRequest{Group: "dues"},
		ViewAnswer{Health: 2, Primary: "a", Term: 1, Servers: []ServerObservation{{Address: "a", StatusAge: time.Second, StatusKnown: true}}},
		RevisionRequest{After: 9, Limit: 100},
		Revisions{Head: 11, List: []Revision{{10, []byte{1}}, {11, []byte{2}}}, Snapshot: []byte{3}},
		CancelForward{ProcessID: 77, Secret: []byte{1, 2, 3, 4}},
		PrimaryNews{Service: "dues", Term: 2, Address: "a"},
		DrainRequest{},
		DumpRequest{},
		DumpAnswer{JSON: []byte("{}")},
		Done{},
	}
}

// Guards against a message type that is not registered in kinds, and against fields that are lost in encoding or decoding.
func TestEveryKindSurvivesTheCodec(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[reflect.Type]bool{}
	for _, m := range sampleMessages() {
		seen[reflect.TypeOf(m)] = true
		frame, err := Encode(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		back, err := Decode(frame)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(back).To(gomega.Equal(m))
	}
	for _, k := range kinds {
		g.Expect(seen).To(gomega.HaveKey(k.typ), k.name)
	}
	g.Expect(kindIndexByNumber).To(gomega.HaveLen(len(kinds)))
}

// Guards against heartbeats that exceed the byte budget of 110 bytes, which include 40 of TCP/IP, 29 of TLS and up to 8 of
// WebSocket.
func TestHeartbeatSize(t *testing.T) {
	g := gomega.NewWithT(t)
	frame, err := Encode(sampleMessages()[1])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("heartbeat of %d bytes", len(frame))
	g.Expect(len(frame)).To(gomega.BeNumerically("<=", 110-40-29-8))
}

// Guards against frames that crash the decoder, and against decoded messages that change when they are encoded and decoded
// again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
		f.Add(frame[:len(frame)-1])
	}
	f.Add([]byte{0x83, 1, 0x18, 1, 0xa0})
	f.Add([]byte{0x83, 1, 4, 0xa1, 1, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{0x83, 1, 4}, bytes.Repeat([]byte{0x81}, 100)...))
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("decoded %T cannot be encoded: %v", m, err)
		}
		back, err := Decode(again)
		if err != nil || !reflect.DeepEqual(canonicalForm(t, back), canonicalForm(t, m)) {
			t.Fatalf("%#v became %#v: %v", m, back, err)
		}
	})
}

// canonicalForm returns the encoding of a message, in which nil and empty lists are equal.
func canonicalForm(t *testing.T, m Message) []byte {
	frame, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}
