// Package port declares what the core needs of the systems around it.
package port

import (
	"context"
	"fmt"
	"time"

	"verbenagate/core/point"
)

// Role is the part that a database server plays in its group.
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

// Status is what a database server reports of itself.
type Status struct {
	// Term is the newest term whose history the server holds up to the start of that term, or of which it holds an
	// entry. A server that merely follows a newer primary keeps reporting the older term until its log has caught up,
	// so that a promotion never takes its log for newer than it is.
	Term uint64
	// Promised is the highest term that the server has promised; it accepts nothing of a lower one.
	Promised uint64
	// Received is the position up to which the log is durable.
	Received uint64
	// Applied is the position up to which reads see the log.
	Applied uint64
	// Role is the server's part in the group.
	Role Role
	// Leaving says that the server wants no new work.
	Leaving bool
	// Connections counts the open connections, control connections included; 0 if the server does not report it.
	Connections int
	// Replicas are the positions that replicas acknowledged to a primary; empty if the server does not report them.
	Replicas []ReplicaStatus
}

// AppliedPoint returns the point that reads on the server see.
func (s Status) AppliedPoint() point.Point { return point.New(s.Term, s.Applied) }

// ReceivedPoint returns the point up to which the server holds the log.
func (s Status) ReceivedPoint() point.Point { return point.New(s.Term, s.Received) }

// Serving reports whether the server may act as the primary of its term.
func (s Status) Serving() bool { return s.Role == RolePrimary && s.Term >= s.Promised }

// ReplicaStatus is the position that one replica acknowledged to its primary.
type ReplicaStatus struct {
	Address  string
	Term     uint64
	Received uint64
}

// Endpoint controls one database server.
type Endpoint interface {
	// Status returns the server's present state.
	Status(ctx context.Context) (Status, error)
	// Promote makes the server primary under term. The server refuses a term below the one it promised.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the server a replica of the primary at address under term.
	Follow(ctx context.Context, term uint64, address string) (Status, error)
}

// Fencer is the ability of a server to promise a term ahead of a promotion.
type Fencer interface {
	// Fence makes the server refuse everything below term, and returns its state after that. The server refuses a term that
	// it has promised already: two candidates with the same number, which a store that lost a reservation can give out,
	// must not both get a majority.
	Fence(ctx context.Context, term uint64) (Status, error)
}

// Evictor is the ability of a server to end the connections of another VM.
type Evictor interface {
	// Evict ends all connections of a VM, and returns how many there were. Their open transactions are rolled back.
	Evict(ctx context.Context, vm string) (int, error)
}

// Record is one entry of the table service.
type Record struct {
	Key     string
	Value   []byte
	Version uint64
}

// Check is a condition of a transaction: the record has this version; version 0 means that it is absent.
type Check struct {
	Key     string
	Version uint64
}

// Write sets a record, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a record; an absent one has version 0.
	Get(ctx context.Context, key string) (Record, error)
	// List returns up to n records whose keys have the prefix and sort after the key after.
	List(ctx context.Context, prefix, after string, n int) ([]Record, error)
	// Commit applies all writes if all checks hold. The error's code is result.RevisionConflict if one does not,
	// and result.StoreUnavailable if the effect is not known.
	Commit(ctx context.Context, checks []Check, writes []Write) error
}

// Objects is the platform's object store.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID         string
	DataCentre string
	PeerAddr   string
	Leaving    bool
}

// VMList is the platform's list of live and leaving VMs, which lags.
type VMList interface {
	// VMs returns the list.
	VMs(ctx context.Context) ([]VM, error)
	// Register adds the VM to the list and renews its entry for ttl.
	Register(ctx context.Context, vm VM, ttl time.Duration) error
	// Deregister removes the VM from the list.
	Deregister(ctx context.Context, id string) error
}
