// Package admin serves the operators' service over gRPC and is its client.
//
// The schema is in io/schema; the code in gen is generated from it.
package admin

import (
	"context"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/io/logs"
)

// Control is what a VM does for operators. Errors carry a result code; those of changes are made by io/revlog.
type Control interface {
	// Catalog returns the configuration in force, from which get and list are answered.
	Catalog(ctx context.Context) (svcdef.Catalog, error)
	// History returns the last revisions in ascending order, those of one service or all if service is "".
	History(ctx context.Context, service string) ([]svcdef.Revision, error)
	// Change accepts a change based on a revision. The answer comes once it is stored.
	Change(ctx context.Context, based uint64, rev svcdef.Revision) (svcdef.Revision, error)
	// VMs returns the known VMs.
	VMs(ctx context.Context) ([]VM, error)
	// Drain starts the graceful stop of a VM, this one or another. The error's code is result.NotFound if it is unknown.
	Drain(ctx context.Context, id string) error
	// Dump returns the state of this VM.
	Dump(ctx context.Context) (Dump, error)
	// LogLevels returns the level of this VM's log and the switches of its layers.
	LogLevels(ctx context.Context) (level string, layers map[string]logs.Switch)
	// SetLogLevel changes the switch of a layer of this VM's log, or its level if layer is "".
	SetLogLevel(ctx context.Context, layer, level string) error
}

// VM describes one VM as the asked VM sees it.
type VM struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	// State is live, leaving, suspected or dead.
	State string `json:"state"`
	// Revision is the configuration in force on the VM, 0 if it is not known.
	Revision uint64 `json:"revision"`
	Self     bool   `json:"self"`
}

// Dump is the state of a VM. State holds all of it in JSON, the other fields the main figures.
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
