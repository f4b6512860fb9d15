package member

import (
	"cmp"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a VM. For the same incarnation, a greater value overrides a smaller one.
type State uint8

// The states of a VM.
const (
	Live State = iota + 1
	Leaving
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Record is what VMs send each other about one VM. Its fields are exported for the codec.
type Record struct {
	ID         string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Addr       string `cbor:"3,keyasint"`
	// Incarnation increases when the VM starts and when it refutes a suspicion. It is 0 for a VM that is known only from the
	// platform's list.
	Incarnation uint64 `cbor:"4,keyasint"`
	State       State  `cbor:"5,keyasint"`
}

// overrides reports whether r is newer than old, a record of the same VM: it has a higher incarnation, or the same one and
// a greater state.
func (r Record) overrides(old Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, old.Incarnation), cmp.Compare(r.State, old.State)) > 0
}

// hash returns the record's contribution to a digest. It is 0 for a dead VM, because the VMs forget dead VMs at different
// times.
func (r Record) hash() uint64 {
	if r.State == Dead {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{r.ID, r.DataCentre, r.Addr} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		d.Write(n[:])
		d.WriteString(s)
	}
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], r.Incarnation)
	tail[8] = byte(r.State)
	d.Write(tail[:])
	return d.Sum64()
}
