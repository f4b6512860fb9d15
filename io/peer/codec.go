package peer

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

const (
	// protocolVersion is the version of the message envelope. A VM refuses messages of any other version.
	protocolVersion = 1
	// MaxMessage is the maximum size of an encoded message in bytes.
	MaxMessage = 1 << 20
	// maxDepth, maxElements and maxPairs limit the memory that the decoder allocates for one message. A deployment of
	// 790 VMs with headroom needs fewer than 8192 records.
	maxDepth    = 8
	maxElements = 8192
	maxPairs    = 256
	// maxOneByteType is the highest message type number that CBOR encodes in one byte.
	maxOneByteType = 23
)

// kind describes one message type. Its number must never be reused.
type kind struct {
	number byte
	name   string
	typ    reflect.Type
	// control is set if the messages count as control traffic; the others belong to units of work.
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
	kindIndexByNumber = map[byte]int{}
	kindIndexByType   = map[reflect.Type]int{}
	encMode           cbor.UserBufferEncMode
	decMode           cbor.DecMode
)

func init() {
	for i, k := range kinds {
		kindIndexByNumber[k.number] = i
		kindIndexByType[k.typ] = i
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

// Encode returns a message as a frame: a CBOR array of protocol version, type number and body.
func Encode(m Message) ([]byte, error) {
	i, ok := kindIndexByType[reflect.TypeOf(m)]
	if !ok {
		return nil, fmt.Errorf("%T is not a registered message type", m)
	}
	var buf bytes.Buffer
	buf.Grow(sizeHint(m))
	if kinds[i].number > maxOneByteType {
		buf.Write([]byte{0x83, protocolVersion, 0x18, kinds[i].number})
	} else {
		buf.Write([]byte{0x83, protocolVersion, kinds[i].number})
	}
	if err := encMode.MarshalToBuffer(m, &buf); err != nil {
		return nil, fmt.Errorf("encode %s: %w", kinds[i].name, err)
	}
	if buf.Len() > MaxMessage {
		return nil, fmt.Errorf("%s of %d bytes exceeds the limit of %d bytes", kinds[i].name, buf.Len(), MaxMessage)
	}
	return buf.Bytes(), nil
}

// sizeHint returns an initial buffer size in bytes, so that the buffer rarely grows for messages with large frames.
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

// Decode returns the message in a frame. The message holds no reference to the frame.
func Decode(frame []byte) (Message, error) {
	m, _, err := decode(frame)
	return m, err
}

func decode(frame []byte) (Message, int, error) {
	if len(frame) > MaxMessage {
		return nil, 0, fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", len(frame), MaxMessage)
	}
	if len(frame) < 4 || frame[0] != 0x83 {
		return nil, 0, fmt.Errorf("frame of %d bytes does not begin with a message envelope", len(frame))
	}
	if frame[1] != protocolVersion {
		return nil, 0, fmt.Errorf("message has version %d, expected %d", frame[1], protocolVersion)
	}
	number, body := frame[2], frame[3:]
	if number == 0x18 {
		number, body = frame[3], frame[4:]
		if number <= maxOneByteType {
			return nil, 0, fmt.Errorf("message type number %d is not in its shortest CBOR form", number)
		}
	}
	i, ok := kindIndexByNumber[number]
	if !ok {
		return nil, 0, fmt.Errorf("message type number %d is not assigned", number)
	}
	v := reflect.New(kinds[i].typ)
	if err := decMode.Unmarshal(body, v.Interface()); err != nil {
		return nil, 0, fmt.Errorf("decode %s: %w", kinds[i].name, err)
	}
	return v.Elem().Interface().(Message), i, nil
}

func decodeAs[M Message](body []byte) (M, error) {
	var zero M
	m, err := Decode(body)
	if err != nil {
		return zero, err
	}
	v, ok := m.(M)
	if !ok {
		return zero, fmt.Errorf("unexpected message type %T", m)
	}
	return v, nil
}
