// Package event defines the numbered log events, their texts, layers and levels.
package event

// ID is the number of a log event. The number of a removed event is never reused.
type ID uint16

// Layer is the part of the program that logs an event. The log level can be set separately for each layer.
type Layer string

// The layers, by their names in the settings and in log lines.
const (
	LayerNode      Layer = "node"
	LayerCaller    Layer = "caller"
	LayerRoute     Layer = "route"
	LayerEndpoint  Layer = "endpt"
	LayerPeer      Layer = "peer"
	LayerMember    Layer = "member"
	LayerFailover  Layer = "failov"
	LayerConfig    Layer = "config"
	LayerPlatform  Layer = "platf"
	LayerAdmin     Layer = "admin"
	LayerDrain     Layer = "drain"
	LayerInvariant Layer = "invariant"
)

// Info describes a log event.
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

// Message returns the constant message of the event's log lines.
func (i Info) Message() string { return i.message }

// Advice returns what an operator should do when the event is logged.
func (i Info) Advice() string { return i.advice }

// Lookup returns the description of the event id, and false if the number is not assigned.
func Lookup(id ID) (Info, bool) {
	for _, i := range infos {
		if i.id == id {
			return i, true
		}
	}
	return Info{}, false
}

// All returns all events in ascending order of their numbers.
func All() []Info { return append([]Info(nil), infos...) }
