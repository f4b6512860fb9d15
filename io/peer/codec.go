package peer

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

const (
	// version is the version of the envelope. A VM refuses every other one.
	version = 1
	// MaxMessage is the greatest size of a message in bytes.
	MaxMessage = 1 << 20
	// maxDepth, maxElements and maxPairs bound what a message can make the decoder allocate. 790 VMs with room to grow
	// need less than 8192 records.
	maxDepth    = 8
	maxElements = 8192
	maxPairs    = 256
	// shortType is the greatest type number that CBOR writes in one byte.
	shortType = 23
)

// kind describes one type of message. Numbers are never reused.
type kind struct {
	number byte
	name   string
	typ    reflect.Type
	// control messages count as control traffic; the others belong to units of work.
	control bool
}

func kindOf[M Message](number byte, name string, control bool) kind {
	return kind{number, name, reflect.TypeFor[M](), control}
}

var kinds = []kind{
	kindOf[Hello](1, "Hello", true),
	kindOf[Heartbeat](2, "Heartbeat", true),
	kindOf[HeartbeatAck](3, "HeartbeatAck", true),
	kindOf[Members](4, "Members", true),
	kindOf[Unit](5, "Unit", false),
	kindOf[UnitPart](6, "UnitPart", false),
	kindOf[Answer](7, "Answer", false),
	kindOf[Window](8, "Window", false),
	kindOf[Close](9, "Close", false),
	kindOf[Cancel](10, "Cancel", false),
	kindOf[Call](11, "Call", true),
	kindOf[Return](12, "Return", true),
	kindOf[BarrierRequest](13, "BarrierRequest", true),
	kindOf[BarrierAnswer](14, "BarrierAnswer", true),
	kindOf[ViewRequest](15, "ViewRequest", true),
	kindOf[ViewAnswer](16, "ViewAnswer", true),
	kindOf[RevisionRequest](17, "RevisionRequest", true),
	kindOf[Revisions](18, "Revisions", true),
	kindOf[CancelForward](19, "CancelForward", true),
	kindOf[PrimaryNews](20, "PrimaryNews", true),
	kindOf[DrainRequest](21, "DrainRequest", true),
	kindOf[DumpRequest](22, "DumpRequest", true),
	kindOf[DumpAnswer](23, "DumpAnswer", true),
	kindOf[Done](24, "Done", true),
}

var (
	byNumber = map[byte]int{}
	byType   = map[reflect.Type]int{}
	encMode  cbor.UserBufferEncMode
	decMode  cbor.DecMode
)

func init() {
	for i, k := range kinds {
		byNumber[k.number] = i
		byType[k.typ] = i
	}
	var err error
	if encMode, err = cbor.CoreDetEncOptions().UserBufferEncMode(); err != nil {
		panic(err)
	}
	decMode, err = cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: maxDepth, MaxArrayElements: maxElements, MaxMapPairs: maxPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Encode returns the frame of a message: a CBOR array of version, type number and body.
func Encode(m Message) ([]byte, error) {
	i, ok := byType[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("%T is not a message", m)
	}
	var buf bytes.Buffer
	buf.Grow(sizeHint(m))
	if kinds[i].number > shortType {
		buf.Write([]byte{0x83, version, 0x18, kinds[i].number})
	} else {
		buf.Write([]byte{0x83, version, kinds[i].number})
	}
	if err := encMode.MarshalToBuffer(m, &buf); err != nil {
		return nil, fmt.Errorf("encode %s: %w", kinds[i].name, err)
	}
	if buf.Len() > MaxMessage {
		return nil, fmt.Errorf("%s of %d bytes exceeds the limit of %d", kinds[i].name, buf.Len(), MaxMessage)
	}
	return buf.Bytes(), nil
}

// sizeHint avoids that the buffer grows in steps for messages with many bytes.
func sizeHint(m Message) int {
	switch m := m.(type) {
	case Unit:
		return 256 + len(m.Work.Frames)
	case UnitPart:
		return 64 + len(m.Frames)
	case Answer:
		return 256 + len(m.Frames)
	}
	return 64
}

// Decode returns the message in a frame. It keeps no reference to the frame.
func Decode(frame []byte) (Message, error) {
	m, _, err := decode(frame)
	return m, err
}

func decode(frame []byte) (Message, int, error) {
	if len(frame) > MaxMessage {
		return nil, 0, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(frame), MaxMessage)
	}
	if len(frame) < 4 || frame[0] != 0x83 {
		return nil, 0, fmt.Errorf("frame of %d bytes is not an envelope", len(frame))
	}
	if frame[1] != version {
		return nil, 0, fmt.Errorf("message has version %d, expected %d", frame[1], version)
	}
	number, body := frame[2], frame[3:]
	if number == 0x18 {
		number, body = frame[3], frame[4:]
		if number <= shortType {
			return nil, 0, fmt.Errorf("type number %d is not in its shortest form", number)
		}
	}
	i, ok := byNumber[number]
	if !ok {
		return nil, 0, fmt.Errorf("type number %d is not assigned", number)
	}
	v := reflect.New(kinds[i].typ)
	if err := decMode.Unmarshal(body, v.Interface()); err != nil {
		return nil, 0, fmt.Errorf("decode %s: %w", kinds[i].name, err)
	}
	return v.Elem().Interface().(Message), i, nil
}

func decodeAs[M Message](body []byte) (M, error) {
	var none M
	m, err := Decode(body)
	if err != nil {
		return none, err
	}
	v, ok := m.(M)
	if !ok {
		return none, fmt.Errorf("%T is not of the expected kind", m)
	}
	return v, nil
}
