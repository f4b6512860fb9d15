// Package quota decides how many operations a workspace may begin, so that its limit holds over all VMs.
//
// The limit of a workspace is divided into a few fixed parts, the portions. Each portion is held by one VM, its holder, which has a Ledger
// for it. A VM whose callers begin operations gets tokens for them from a holder. Tokens expire within a second. Since each Ledger keeps
// within its part, the holders need no agreement with each other, and the loss of a holder costs its part only.
package quota

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPortions is how many portions a workspace has at most. A VM that fails takes the part of its portions with it until they have a new
	// holder.
	maxPortions = 8
	// mainPortion is the portion that is asked first, and whose holder borrows the others.
	mainPortion = 0
	// shards is the number of groups of workspaces that have the same holders. It bounds the number of holders that a VM calls.
	shards = 8
)

// Limit is a limit of operations: in a window of any length d, at most rate x d + burst operations.
type Limit struct {
	rate    float64 // operations per second
	burst   float64 // operations
	version uint64  // of the configuration that sets the limit
}

// NewLimit returns a limit that a version of the configuration sets. The burst is at least 1: a workspace with a rate may begin an
// operation.
func NewLimit(rate, burst float64, version uint64) Limit {
	return Limit{rate: rate, burst: max(burst, 1), version: version}
}

// Rate returns the operations per second.
func (l Limit) Rate() float64 { return l.rate }

// Burst returns the operations that may begin at once.
func (l Limit) Burst() float64 { return l.burst }

// Version returns the version of the configuration that sets the limit.
func (l Limit) Version() uint64 { return l.version }

// Portions returns the number of portions of the workspace. Each of them has a burst of at least 1.
func (l Limit) Portions() int { return int(min(max(math.Floor(l.burst), 1), maxPortions)) }

// Portion returns the part of the limit that belongs to a portion. The bursts of all portions but the first are whole numbers, and the
// rate is divided in the same proportion, which Ledger relies on. The parts add up to the limit. A portion that the workspace does not have
// gets nothing.
func (l Limit) Portion(portion int) Limit {
	n := l.Portions()
	if portion < 0 || portion >= n {
		return Limit{version: l.version}
	}
	whole := int(l.burst)
	part := float64(whole / n)
	if portion < whole%n {
		part++
	}
	if portion == 0 {
		part += l.burst - float64(whole)
	}
	return Limit{rate: l.rate * part / l.burst, burst: part, version: l.version}
}

// Key names the portions that are held together: one portion of all workspaces of a shard.
type Key struct {
	shard, portion int
}

// NewKey returns a key.
func NewKey(shard, portion int) Key { return Key{shard: shard, portion: portion} }

// KeyOf returns the key of a portion of a workspace.
func KeyOf(workspace string, portion int) Key {
	return Key{shard: ShardOf(workspace), portion: portion}
}

// ShardOf returns the shard of a workspace.
func ShardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % shards) }

// Keys returns all keys.
func Keys() []Key {
	all := make([]Key, 0, shards*maxPortions)
	for shard := range shards {
		for portion := range maxPortions {
			all = append(all, Key{shard: shard, portion: portion})
		}
	}
	return all
}

// Portion returns the portion.
func (k Key) Portion() int { return k.portion }

// Shard returns the shard of the workspaces.
func (k Key) Shard() int { return k.shard }

// String returns the key for logs.
func (k Key) String() string { return strconv.Itoa(k.shard) + "/" + strconv.Itoa(k.portion) }
