// Package platf is the HTTP client of the platform: table service, object store and list of VMs.
package platf

// Paths of the platform's services. Requests and answers are JSON, except that objects are sent as raw bytes.
const (
	PathGet        = "/table/get"
	PathList       = "/table/list"
	PathCommit     = "/table/commit"
	PathObjects    = "/objects"
	PathVMs        = "/vms"
	PathRegister   = "/vms/register"
	PathDeregister = "/vms/deregister"
)

// MaxBody is the maximum size of the body of a request or an answer in bytes.
const MaxBody = 64 << 20

// Record is a record of the table service. Version 0 means that the record does not exist.
type Record struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// GetRequest asks for one record.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for up to N records whose keys start with Prefix and sort after After.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	N      int    `json:"n"`
}

// ListAnswer holds the records found, sorted by key.
type ListAnswer struct {
	Records []Record `json:"records"`
}

// Check is a precondition of a commit: the record has this version. Version 0 means that the record must not exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a record, or deletes the record.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitRequest asks to apply all writes atomically if all checks hold. If a check fails, the answer has HTTP
// status 409.
type CommitRequest struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// VM is one entry of the platform's list of VMs. Other VMs connect to it at PeerAddr.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	Leaving    bool   `json:"leaving"`
}

// VMsAnswer holds the platform's list of VMs.
type VMsAnswer struct {
	VMs []VM `json:"vms"`
}

// RegisterRequest asks to add or renew the VM's entry in the list. The entry expires after TTLMilli milliseconds.
type RegisterRequest struct {
	VM       VM    `json:"vm"`
	TTLMilli int64 `json:"ttl_ms"`
}

// DeregisterRequest asks to remove the entry of the VM with this ID from the list.
type DeregisterRequest struct {
	ID string `json:"id"`
}

// Problem is the body of an answer that reports an error.
type Problem struct {
	Message string `json:"message"`
}
