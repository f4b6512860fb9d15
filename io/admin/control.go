// Package admin implements the server and the client of the operators' service, which runs over gRPC.
//
// The schema is in io/schema; the code in gen is generated from it.
package admin

import (
	"context"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/io/logs"
)

// Control executes the calls of operators on a VM. Its errors carry a result code; io/revlog creates the errors of changes.
type Control interface {
	// Catalog returns the configuration in force. The server answers get and list from it.
	Catalog(ctx context.Context) (svcdef.Catalog, error)
	// History returns the latest revisions of a service in ascending order, or those of all services if service is "".
	History(ctx context.Context, service string) ([]svcdef.Revision, error)
	// Change accepts rev if baseRevision is the current revision. It returns the accepted revision once it is stored.
	Change(ctx context.Context, baseRevision uint64, rev svcdef.Revision) (svcdef.Revision, error)
	// VMs returns the known VMs.
	VMs(ctx context.Context) ([]VM, error)
	// Drain starts the graceful stop of this VM or another one. It fails with result.NotFound if no VM has this ID.
	Drain(ctx context.Context, id string) error
	// Dump returns the state of this VM.
	Dump(ctx context.Context) (Dump, error)
	// LogLevels returns the default log level of this VM and the switch of each log layer.
	LogLevels(ctx context.Context) (level string, layers map[string]logs.Switch)
	// SetLogLevel changes the switch of a log layer of this VM, or its default log level if layer is "".
	SetLogLevel(ctx context.Context, layer, level string) error
}

// VM describes one VM from the view of the VM that answers the call.
type VM struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	// State is live, leaving, suspected or dead.
	State string `json:"state"`
	// Revision is the configuration revision in force on the VM, 0 if it is not known.
	Revision uint64 `json:"revision"`
	// Self is true for the VM that answers the call.
	Self bool `json:"self"`
}

// Dump is the state of a VM. State is the complete state in JSON; the other fields are its main figures.
type Dump struct {
	VM           string    `json:"vm"`
	DataCentre   string    `json:"data_centre"`
	Revision     uint64    `json:"revision"`
	Services     int       `json:"services"`
	Callers      int       `json:"callers"`
	OwnedServers []string  `json:"owned_servers"`
	Members      int       `json:"members"`
	StoreUp      bool      `json:"store_up"`
	Draining     bool      `json:"draining"`
	Started      time.Time `json:"started"`
	State        []byte    `json:"-"`
}

// ServiceState is a service in force and the revision that defined it.
type ServiceState struct {
	Revision uint64      `json:"revision"`
	Spec     svcdef.Spec `json:"spec"`
}
