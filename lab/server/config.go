// Package server implements a stand-in for a PostgreSQL server. It speaks version 3 of the PostgreSQL protocol to
// unmodified clients and replicates asynchronously to the other servers of its group. Tests can make it lag, freeze,
// crash or lose its replication links.
package server

import (
	"time"
)

// Config describes one server. It holds only plain data, so that a separate process can read it from a file.
type Config struct {
	// Listen is the address to listen on. If empty, the server picks a free port of 127.0.0.1.
	Listen string
	// Advertise is the address that a replica reports to its primary. If empty, it reports the listening address.
	Advertise string
	// User and Password are the only accepted credentials. An empty password disables authentication.
	User, Password string
	// Scram selects SCRAM-SHA-256 authentication; otherwise the server requests the password in clear text.
	Scram bool
	// Primary makes the server the primary of Term. Otherwise it replicates from the primary of Term at address Follow;
	// if Follow is empty, it replicates from none.
	Primary bool
	Term    uint64
	Follow  string
	// Slots limits the number of statements that execute at the same time; 0 means no limit.
	Slots int
	// MaxConnections limits the number of open client connections; 0 means no limit.
	MaxConnections int
	// OpenDelay is the simulated time that opening a client connection takes.
	OpenDelay time.Duration
	// ServiceTime is how long each statement holds its slot in addition to its execution time.
	ServiceTime time.Duration
	// NetDelay is the one-way latency of a replica's replication link.
	NetDelay time.Duration
	// Routes maps the address of a primary to the address that replication links dial instead, such as that of a
	// fault-injecting proxy.
	Routes map[string]string
	// Lag is the initial delay between receiving and applying a log entry. SetLag changes it.
	Lag time.Duration
	// Schema holds the SQL statements that create the tables before the log is applied. It must be the same on all
	// servers of a group.
	Schema string
}

// Stmt is one statement of a log entry. Its SQL is in sqlite's dialect, with calls of volatile functions replaced by
// constants.
type Stmt struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint"`
}

// Entry is one committed transaction in the replicated log.
type Entry struct {
	Term     uint64 `cbor:"1,keyasint"`
	Position uint64 `cbor:"2,keyasint"`
	Stmts    []Stmt `cbor:"3,keyasint"`
}

// DefaultOpenDelay is the time that opening a connection takes on the real servers that the stand-in simulates.
const DefaultOpenDelay = 12 * time.Millisecond
