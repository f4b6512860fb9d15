package caller

import "hash/fnv"

const (
	hashBits = 12
	// serialBits leaves the sign bit free, because some clients store a process id in a signed integer.
	serialBits = 31 - hashBits
	serialMask = 1<<serialBits - 1
)

// VMHash returns a 12-bit hash of a VM's id. The process ids of the VM's sessions contain it.
func VMHash(vmID string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vmID))
	v := h.Sum32()
	return uint16((v ^ v>>hashBits ^ v>>(2*hashBits)) & (1<<hashBits - 1))
}

// VMHashOfProcessID returns the VMHash that a session's process id contains.
func VMHashOfProcessID(processID uint32) uint16 { return uint16(processID >> serialBits) }

func processID(hash uint16, serial uint32) uint32 {
	return uint32(hash)<<serialBits | serial&serialMask
}
