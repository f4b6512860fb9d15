package link

import (
	"github.com/fxamacker/cbor/v2"
)

// Method is the number of a kind of call.
type Method uint8

// The methods. Each of them has its own types of body in the package that handles it.
const (
	methodPing Method = iota + 1
	// Store calls that an agent makes for another VM; see io/relay.
	Renew
	List
	Changes
	Fleet
	// Work on a server that another VM owns; see io/remote.
	Run
	Release
	Position
	// Tokens for the operations of limited workspaces; see io/grant.
	Tokens
	Loans
)

// request is a call from one VM to another.
type request struct {
	ID     uint64          `cbor:"1,keyasint"`
	Method Method          `cbor:"2,keyasint"`
	SentAt int64           `cbor:"3,keyasint"` // on the caller's clock, in nanoseconds
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// response answers the request with the same ID.
type response struct {
	ID   uint64          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// maxArrayElements bounds the arrays in a message, for example the rows of a table.
const maxArrayElements = 100_000

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Decode decodes the body of a call or of a reply into v.
func Decode(body []byte, v any) error { return decMode.Unmarshal(body, v) }
