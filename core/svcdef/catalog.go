package svcdef

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenagate/core/result"
)

// HistoryLimit is the number of revisions that a Catalog keeps, the same as in core/spread, which shares the encoded bytes.
// It covers about four hours at 3,100 changes a day. Older revisions are only in the table service.
const HistoryLimit = 512

// RevisionSpec holds the fields of a Revision for NewRevision and for codecs. Spec is nil if the revision removes the service.
type RevisionSpec struct {
	Number  uint64 `cbor:"1,keyasint" json:"number"`
	Service string `cbor:"2,keyasint" json:"service"`
	Spec    *Spec  `cbor:"3,keyasint,omitempty" json:"spec,omitempty"`
	Author  string `cbor:"4,keyasint" json:"author"`
	// Millis is the time of the change in milliseconds since 1970, UTC.
	Millis int64 `cbor:"5,keyasint" json:"unix_ms"`
	// Attempt identifies the attempt to store the revision. If the store's answer is lost, the VM that made the attempt
	// recognises its own revision by it.
	Attempt string `cbor:"6,keyasint,omitempty" json:"attempt,omitempty"`
}

// Revision is one accepted change: the definition of one service, or its removal.
type Revision struct {
	spec    RevisionSpec // spec.Spec is nil, since service holds the definition
	service Service
	defined bool // false if the revision removes the service
	// encoded is the revision as it is stored, and decode decodes it; both are nil if they are not known. A packed revision
	// has only these and no service.
	encoded []byte
	decode  func([]byte) (RevisionSpec, error)
	packed  bool
}

// NewRevision returns the revision that spec describes.
func NewRevision(spec RevisionSpec) Revision {
	r := Revision{spec: spec}
	if spec.Spec != nil {
		r.service, r.defined = New(*spec.Spec), true
		r.spec.Service, r.spec.Spec = spec.Spec.Name, nil
	}
	return r
}

// WithEncoded returns r with its encoded form body, which must not be changed after the call. A Catalog keeps only the encoded
// form of a revision that is no longer in force: a definition with 40 callers takes 6 KB encoded and 16 to 24 KB decoded.
func (r Revision) WithEncoded(body []byte, decode func([]byte) (RevisionSpec, error)) Revision {
	r.encoded, r.decode = body, decode
	return r
}

// Encoded returns the encoded form, nil if it is not known. It must not be changed.
func (r Revision) Encoded() []byte { return r.encoded }

// pack returns r without its decoded definition if the encoded form is known.
func (r Revision) pack() Revision {
	if r.encoded == nil || r.Removal() {
		return r
	}
	r.service, r.packed = Service{}, true
	return r
}

// unpack returns r with its decoded definition, and false if the encoded form cannot be decoded.
func (r Revision) unpack() (Revision, bool) {
	if !r.packed {
		return r, true
	}
	spec, err := r.decode(r.encoded)
	if err != nil {
		return r, false
	}
	return NewRevision(spec).WithEncoded(r.encoded, r.decode), true
}

// NewDefinition returns a change that defines or replaces a service. WithNumber assigns its number once it is accepted.
func NewDefinition(spec Spec, author string, now time.Time) Revision {
	return NewRevision(RevisionSpec{Service: spec.Name, Spec: &spec, Author: author, Millis: now.UnixMilli()})
}

// NewRemoval returns a change that removes the service. WithNumber assigns its number once it is accepted.
func NewRemoval(service, author string, now time.Time) Revision {
	return NewRevision(RevisionSpec{Service: service, Author: author, Millis: now.UnixMilli()})
}

// Spec returns the fields of r, for codecs.
func (r Revision) Spec() RevisionSpec {
	spec := r.spec
	if r.defined {
		s := r.service.Spec()
		spec.Spec = &s
	}
	return spec
}

// Number returns the revision's number; the first is 1.
func (r Revision) Number() uint64 { return r.spec.Number }

// ServiceName returns the name of the service that the revision defines or removes.
func (r Revision) ServiceName() string { return r.spec.Service }

// Service returns the new definition, and false if the revision removes the service.
func (r Revision) Service() (Service, bool) { return r.service, r.defined }

// Removal reports whether the revision removes the service.
func (r Revision) Removal() bool { return !r.defined }

// Author returns the name of the operator who made the change.
func (r Revision) Author() string { return r.spec.Author }

// Time returns the time of the change by the clock of the VM that accepted it, in UTC.
func (r Revision) Time() time.Time { return time.UnixMilli(r.spec.Millis).UTC() }

// Attempt returns the identifier of the attempt that stored the revision.
func (r Revision) Attempt() string { return r.spec.Attempt }

// WithNumber returns r with a number and an attempt identifier, and without its encoded form, which does not have them.
func (r Revision) WithNumber(number uint64, attempt string) Revision {
	r.spec.Number, r.spec.Attempt = number, attempt
	r.encoded, r.decode = nil, nil
	return r
}

// Unmasked returns r with its masked secrets replaced by those of the definition stored.
func (r Revision) Unmasked(stored Spec) Revision {
	if r.Removal() {
		return r
	}
	spec := r.Spec()
	unmasked := spec.Spec.Unmasked(stored)
	spec.Spec = &unmasked
	return NewRevision(spec)
}

// Catalog is the set of services at one revision. It is immutable. The zero Catalog has no services and revision 0.
type Catalog struct {
	revision uint64
	services map[string]entry
	// history holds revisions with consecutive numbers. Those no longer in force are packed if their encoded form is known.
	// Catalogs share the revisions, which must not be changed.
	history []*Revision
}

type entry struct {
	service  Service
	revision uint64
}

// Apply returns the catalog after the revision r, which must have the next number. The removal of an unknown service is no
// error, because a stored revision must never block those after it; it only adds to the history.
func (c Catalog) Apply(r Revision) (Catalog, error) {
	if r.Number() != c.revision+1 {
		return c, result.New(result.RevisionConflict, "revision %d does not follow revision %d", r.Number(), c.revision)
	}
	next := Catalog{revision: r.Number(), services: maps.Clone(c.services)}
	if next.services == nil {
		next.services = make(map[string]entry)
	}
	if r.defined {
		r.service = r.service.withEncodedCallers(r.encoded, r.decode)
		next.services[r.ServiceName()] = entry{r.service, r.Number()}
	} else {
		delete(next.services, r.ServiceName())
	}
	kept := c.history[max(0, len(c.history)+1-HistoryLimit):]
	next.history = make([]*Revision, len(kept)+1)
	next.history[copy(next.history, kept)] = &r
	if old := c.services[r.ServiceName()].revision; old > 0 && old >= next.history[0].Number() {
		i := old - next.history[0].Number()
		packed := next.history[i].pack()
		next.history[i] = &packed
	}
	return next, nil
}

// WithRecentHistory returns c with at most the last n revisions of its history.
func (c Catalog) WithRecentHistory(n int) Catalog {
	c.history = c.history[max(0, len(c.history)-n):]
	return c
}

// CatalogSpec holds the fields of a Catalog for Restore and for codecs.
type CatalogSpec struct {
	Revision uint64           `cbor:"1,keyasint" json:"revision"`
	Services []CatalogService `cbor:"2,keyasint" json:"services"`
	History  []RevisionSpec   `cbor:"3,keyasint,omitempty" json:"history,omitempty"`
}

// CatalogService is a service with the number of the revision that defined it.
type CatalogService struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Spec     Spec   `cbor:"2,keyasint" json:"spec"`
}

// Restore returns the catalog of a decoded snapshot. Like Apply, it keeps at most HistoryLimit revisions of the history.
func Restore(spec CatalogSpec) Catalog {
	c := Catalog{revision: spec.Revision, services: make(map[string]entry)}
	for _, s := range spec.Services {
		c.services[s.Spec.Name] = entry{New(s.Spec), s.Revision}
	}
	for _, r := range spec.History[max(0, len(spec.History)-HistoryLimit):] {
		rev := NewRevision(r)
		c.history = append(c.history, &rev)
	}
	return c
}

// WithEncodedHistory returns c with the revisions of its history and the callers of its services in encoded form only. Encode
// returns a revision with its encoded form; see Revision.WithEncoded.
func (c Catalog) WithEncodedHistory(encode func(Revision) (Revision, error)) (Catalog, error) {
	history := make([]*Revision, len(c.history))
	inForce := map[uint64]Revision{}
	for i, r := range c.history {
		encoded, err := encode(*r)
		if err != nil {
			return c, err
		}
		packed := encoded.pack()
		history[i] = &packed
		inForce[r.Number()] = encoded
	}
	services := make(map[string]entry, len(c.services))
	for name, e := range c.services {
		r, ok := inForce[e.revision]
		if !ok {
			spec := e.service.Spec()
			var err error
			if r, err = encode(NewRevision(RevisionSpec{Number: e.revision, Spec: &spec})); err != nil {
				return c, err
			}
		}
		services[name] = entry{e.service.withEncodedCallers(r.encoded, r.decode), e.revision}
	}
	c.history, c.services = history, services
	return c, nil
}

// Spec returns the fields of c, for codecs.
func (c Catalog) Spec() CatalogSpec {
	spec := CatalogSpec{Revision: c.revision}
	for _, s := range c.Services() {
		spec.Services = append(spec.Services, CatalogService{c.services[s.Name()].revision, s.Spec()})
	}
	for _, r := range c.History("") {
		spec.History = append(spec.History, r.Spec())
	}
	return spec
}

// Revision returns the number of the last revision applied.
func (c Catalog) Revision() uint64 { return c.revision }

// Services returns the services, sorted by name.
func (c Catalog) Services() []Service {
	all := make([]Service, 0, len(c.services))
	for _, e := range c.services {
		all = append(all, e.service)
	}
	slices.SortFunc(all, func(a, b Service) int { return strings.Compare(a.Name(), b.Name()) })
	return all
}

// Service returns the service with this name, and false if it does not exist.
func (c Catalog) Service(name string) (Service, bool) {
	e, ok := c.services[name]
	return e.service, ok
}

// ServiceRevision returns the number of the revision that defined the service, 0 if it does not exist.
func (c Catalog) ServiceRevision(name string) uint64 { return c.services[name].revision }

// History returns the kept revisions in ascending order, either of one service or, if service is "", of all services.
func (c Catalog) History(service string) []Revision {
	all := make([]Revision, 0)
	for _, r := range c.history {
		if service != "" && r.ServiceName() != service {
			continue
		}
		// Decoding cannot fail, since the VM has decoded these bytes before. A revision that failed is left out, because
		// without its definition it would look like a removal.
		if unpacked, ok := r.unpack(); ok {
			all = append(all, unpacked)
		}
	}
	return all
}

// OldestRevision returns the number of the oldest revision in the history, 0 if the history is empty.
func (c Catalog) OldestRevision() uint64 {
	if len(c.history) == 0 {
		return 0
	}
	return c.history[0].Number()
}

// Conflicts returns the violations of spec that depend on the other services. A server must belong to only one service, because
// one definition sets its slots, connections and group.
func (c Catalog) Conflicts(spec Spec) []Problem {
	var p problems
	for i, s := range spec.Servers {
		for _, other := range c.Services() {
			if _, ok := other.Server(s.Address); ok && other.Name() != spec.Name {
				p.add(fmt.Sprintf("servers[%d].address", i), "%s belongs to service %s", s.Address, other.Name())
			}
		}
	}
	return p
}

// Check returns every violation in the change r: those in its definition, its conflicts with other services, and the removal
// of an unknown service.
func (c Catalog) Check(r Revision) []Problem {
	s, ok := r.Service()
	if !ok {
		if _, known := c.Service(r.ServiceName()); !known {
			return []Problem{{path: "name", message: fmt.Sprintf("service %q does not exist", r.ServiceName())}}
		}
		return nil
	}
	return append(Validate(s.Spec()), c.Conflicts(s.Spec())...)
}
