// Package port declares the interfaces through which the core uses database servers and the platform's services.
package port

import (
	"context"
	"fmt"
	"time"

	"verbenagate/core/point"
)

// Role is a database server's replication role in its group. The zero value is not a role.
type Role uint8

// The roles of a server.
const (
	RoleReplica Role = iota + 1
	RolePrimary
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	}
	return fmt.Sprintf("role %d", uint8(r))
}

// Status is the state that a database server reports about itself.
type Status struct {
	// Term is the newest term for which the server's log holds an entry or reaches the start of the term. A server that
	// has begun to follow a newer primary reports the older term until its log has caught up, so that a promotion
	// never overestimates how recent its log is.
	Term uint64
	// Promised is the highest term that the server has promised. The server rejects requests of lower terms.
	Promised uint64
	// Received is the log position up to which the server's log is durable.
	Received uint64
	// Applied is the log position up to which reads on the server see the log.
	Applied uint64
	// Role is the server's replication role.
	Role Role
	// Leaving is set while the server drains and wants no new work.
	Leaving bool
	// Connections is the number of open connections, control connections included; 0 if the server does not report it.
	Connections int
	// Replicas are the log positions that replicas have acknowledged to this primary; empty if it does not report them.
	Replicas []ReplicaStatus
}

// AppliedPoint returns the point up to which reads on the server see the log.
func (s Status) AppliedPoint() point.Point { return point.New(s.Term, s.Applied) }

// ReceivedPoint returns the point up to which the server's log is durable.
func (s Status) ReceivedPoint() point.Point { return point.New(s.Term, s.Received) }

// IsServingPrimary reports whether the server may act as the primary: it has that role and has promised no term above its own.
func (s Status) IsServingPrimary() bool { return s.Role == RolePrimary && s.Term >= s.Promised }

// ReplicaStatus is the log position that one replica has acknowledged to its primary.
type ReplicaStatus struct {
	Address  string
	Term     uint64
	Received uint64
}

// Endpoint controls one database server.
type Endpoint interface {
	// Status returns the server's current state.
	Status(ctx context.Context) (Status, error)
	// Promote makes the server the primary of term and returns its new state. The server rejects a term below the one
	// that it has promised.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the server a replica of the primary at address in term, and returns its new state.
	Follow(ctx context.Context, term uint64, address string) (Status, error)
}

// Fencer is implemented by endpoints whose server can promise a term ahead of a promotion.
type Fencer interface {
	// Fence makes the server reject all requests of terms below term, and returns its state after that. The server rejects
	// a term that it has already promised: a store that lost a reservation can give the same term to two candidates,
	// and they must not both get a majority.
	Fence(ctx context.Context, term uint64) (Status, error)
}

// Evictor is implemented by endpoints whose server can end the connections of another VM.
type Evictor interface {
	// Evict ends all connections of the VM named vm and returns their number. Their open transactions are rolled back.
	Evict(ctx context.Context, vm string) (int, error)
}

// Record is one entry of a KeyValueStore. Version 0 means that the entry does not exist.
type Record struct {
	Key     string
	Value   []byte
	Version uint64
}

// VersionCheck is a precondition of a transaction: the record has this version. Version 0 means that the record must not exist.
type VersionCheck struct {
	Key     string
	Version uint64
}

// Write sets the value of a record, or deletes the record.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// KeyValueStore is the platform's transactional key-value store.
type KeyValueStore interface {
	// Get returns the record of a key, with version 0 if it does not exist.
	Get(ctx context.Context, key string) (Record, error)
	// List returns up to n records whose keys start with prefix and sort after the key after.
	List(ctx context.Context, prefix, after string, n int) ([]Record, error)
	// Commit applies all writes atomically if all checks hold. The error's code is result.RevisionConflict if a check
	// fails, and result.StoreUnavailable if it is not known whether the writes took effect.
	Commit(ctx context.Context, checks []VersionCheck, writes []Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VM is one entry of the platform's list of VMs. PeerAddr is the address at which it accepts connections of other VMs.
type VM struct {
	ID         string
	DataCentre string
	PeerAddr   string
	Leaving    bool
}

// VMList is the platform's list of live and leaving VMs. The list is eventually consistent.
type VMList interface {
	// VMs returns the current entries of the list.
	VMs(ctx context.Context) ([]VM, error)
	// Register adds the VM to the list and renews its entry for ttl.
	Register(ctx context.Context, vm VM, ttl time.Duration) error
	// Deregister removes the VM with this ID from the list.
	Deregister(ctx context.Context, id string) error
}
