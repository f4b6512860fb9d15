package caller

import "hash/fnv"

const (
	hashBits = 12
	// serialBits leaves the sign bit free: some clients hold a process id in a signed integer.
	serialBits = 31 - hashBits
	serialMask = 1<<serialBits - 1
)

// VMHash returns the 12 bits of a VM's id that the process ids of its sessions carry.
func VMHash(vmID string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vmID))
	v := h.Sum32()
	return uint16((v ^ v>>hashBits ^ v>>(2*hashBits)) & (1<<hashBits - 1))
}

// HashOf returns the VM's 12 bits from a session's process id.
func HashOf(processID uint32) uint16 { return uint16(processID >> serialBits) }

func processID(hash uint16, serial uint32) uint32 {
	return uint32(hash)<<serialBits | serial&serialMask
}
