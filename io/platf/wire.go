// Package platf is the HTTP client of the platform: table service, object store and list of VMs.
package platf

// Paths of the platform's services. All bodies are JSON, except those of objects.
const (
	PathGet        = "/table/get"
	PathList       = "/table/list"
	PathCommit     = "/table/commit"
	PathObjects    = "/objects"
	PathVMs        = "/vms"
	PathRegister   = "/vms/register"
	PathDeregister = "/vms/deregister"
)

// MaxBody bounds the size of a request or an answer in bytes.
const MaxBody = 64 << 20

// Record is a record of the table service; an absent one has version 0.
type Record struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// GetRequest asks for one record.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for up to N records with the prefix after the key After.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	N      int    `json:"n"`
}

// ListAnswer holds records in the order of their keys.
type ListAnswer struct {
	Records []Record `json:"records"`
}

// Check is a condition of a commit; version 0 means that the record is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a record.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitRequest is a transaction. A failed check is answered with status 409.
type CommitRequest struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// VM is an entry of the list of VMs.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	Leaving    bool   `json:"leaving"`
}

// VMsAnswer is the list of VMs.
type VMsAnswer struct {
	VMs []VM `json:"vms"`
}

// RegisterRequest adds or renews an entry for a time.
type RegisterRequest struct {
	VM       VM    `json:"vm"`
	TTLMilli int64 `json:"ttl_ms"`
}

// DeregisterRequest removes an entry.
type DeregisterRequest struct {
	ID string `json:"id"`
}

// Problem is the body of an answer that reports an error.
type Problem struct {
	Message string `json:"message"`
}
