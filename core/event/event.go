// Package event defines the numbered log events.
package event

// ID is the number of a log event. Numbers are never reused.
type ID uint16

// Layer is the part of the program that logs an event; each has its own log switch.
type Layer string

// The layers with a log switch.
const (
	LayerNode    Layer = "node"
	LayerCaller  Layer = "caller"
	LayerRoute   Layer = "route"
	LayerEndpt   Layer = "endpt"
	LayerPeer    Layer = "peer"
	LayerMember  Layer = "member"
	LayerFailov  Layer = "failov"
	LayerConfig  Layer = "config"
	LayerPlatf   Layer = "platf"
	LayerAdmin   Layer = "admin"
	LayerDrain   Layer = "drain"
	LayerInvaria Layer = "invariant"
)

// Info describes a log event for the catalogue.
type Info struct {
	id      ID
	layer   Layer
	message string
	advice  string
}

// ID returns the event's number.
func (i Info) ID() ID { return i.id }

// Layer returns the layer that logs the event.
func (i Info) Layer() Layer { return i.layer }

// Message returns the constant text of the log line.
func (i Info) Message() string { return i.message }

// Advice returns what an operator should do.
func (i Info) Advice() string { return i.advice }

// Lookup returns the description of id and whether the number is assigned.
func Lookup(id ID) (Info, bool) {
	for _, i := range infos {
		if i.id == id {
			return i, true
		}
	}
	return Info{}, false
}

// All returns the catalogue in ascending order of numbers.
func All() []Info { return append([]Info(nil), infos...) }
