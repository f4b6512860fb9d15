// Package server is a stand-in for a database server: it speaks PostgreSQL protocol 3 to unmodified clients, replicates
// asynchronously to the other servers of its group, and can be made to lag, freeze, crash or lose its replication links.
package server

import (
	"time"
)

// Config describes one server. It is plain data, so that a separate process can read it from a file.
type Config struct {
	// Listen is the address to listen on; empty means a free port of 127.0.0.1.
	Listen string
	// Advertise is the address under which replicas report themselves; empty means the listening address.
	Advertise string
	// User and Password are the only accepted credentials. An empty password turns authentication off.
	User, Password string
	// Scram selects SCRAM-SHA-256; otherwise the password is requested in clear text.
	Scram bool
	// Primary makes the server the primary of Term; otherwise it follows Follow under Term.
	Primary bool
	Term    uint64
	Follow  string
	// Slots bounds the statements that execute at the same time; 0 means no bound.
	Slots int
	// MaxConnections bounds the client connections; 0 means no bound.
	MaxConnections int
	// OpenDelay is the time that opening a connection takes.
	OpenDelay time.Duration
	// ServiceTime is the time that each statement holds its slot in addition to its own execution.
	ServiceTime time.Duration
	// NetDelay is the one-way latency of the replication link of a replica.
	NetDelay time.Duration
	// Routes maps addresses of primaries to the addresses that replication links use instead, such as those of
	// fault-injecting links.
	Routes map[string]string
	// Lag is the initial delay between receiving and applying a log entry.
	Lag time.Duration
	// Schema is run on the empty database before the log; it must be the same on all servers of a group.
	Schema string
}

// Stmt is one statement of a log entry. Its SQL is in sqlite's dialect with constants in place of volatile functions.
type Stmt struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint"`
}

// Entry is one committed transaction of the replicated log.
type Entry struct {
	Term     uint64 `cbor:"1,keyasint"`
	Position uint64 `cbor:"2,keyasint"`
	Stmts    []Stmt `cbor:"3,keyasint"`
}

// DefaultOpenDelay is the time that opening a connection takes on the servers that the stand-in represents.
const DefaultOpenDelay = 12 * time.Millisecond
