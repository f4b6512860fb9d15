// Package svcdef defines services, their revisions and the validation of their definitions.
package svcdef

import (
	"reflect"
	"slices"
	"time"
)

// Ack is the condition for acknowledging a commit to the caller.
type Ack string

// Acknowledgement modes.
const (
	// AckQuorum acknowledges a commit when a majority of the servers hold it in the same term.
	AckQuorum Ack = "quorum"
	// AckPrimary acknowledges a commit when the primary holds it. A crash of the primary can lose the last writes.
	AckPrimary Ack = "primary"
)

// Service is the definition of a service, through which callers use one group of replicated database servers. It is immutable.
type Service struct {
	name       string
	database   string
	servers    []Server
	ack        Ack
	timeout    time.Duration
	maxWait    time.Duration
	callers    []Caller
	staleReads []StaleRead
	onceRules  []OnceRule
	login      Login
	// encoded holds the callers if callers is nil.
	encoded *encodedCallers
}

// encodedCallers holds the callers of a definition as part of its encoded revision. The bytes are shared with the history and
// core/spread, so that 820 definitions with 40 callers each need no second copy of the users and verifiers.
type encodedCallers struct {
	encodedRevision []byte
	decode          func([]byte) (RevisionSpec, error)
}

// Spec holds the fields of a Service for New and for codecs.
type Spec struct {
	Name       string          `cbor:"1,keyasint" json:"name" yaml:"name"`
	Database   string          `cbor:"2,keyasint" json:"database" yaml:"database"`
	Servers    []ServerSpec    `cbor:"3,keyasint" json:"servers" yaml:"servers"`
	Ack        Ack             `cbor:"4,keyasint,omitempty" json:"ack,omitempty" yaml:"ack,omitempty"`
	Timeout    time.Duration   `cbor:"5,keyasint,omitempty" json:"timeout,omitempty" yaml:"timeout,omitempty"`
	MaxWait    time.Duration   `cbor:"10,keyasint,omitempty" json:"max_wait,omitempty" yaml:"max_wait,omitempty"`
	Callers    []CallerSpec    `cbor:"6,keyasint" json:"callers" yaml:"callers"`
	StaleReads []StaleReadSpec `cbor:"7,keyasint,omitempty" json:"stale_reads,omitempty" yaml:"stale_reads,omitempty"`
	Once       []OnceRuleSpec  `cbor:"8,keyasint,omitempty" json:"once,omitempty" yaml:"once,omitempty"`
	Login      LoginSpec       `cbor:"9,keyasint" json:"login" yaml:"login"`
}

// ServerSpec describes one database server.
type ServerSpec struct {
	Address     string `cbor:"1,keyasint" json:"address" yaml:"address"`
	DataCentre  string `cbor:"2,keyasint" json:"data_centre" yaml:"data_centre"`
	Slots       int    `cbor:"3,keyasint" json:"slots" yaml:"slots"`
	Connections int    `cbor:"4,keyasint" json:"connections" yaml:"connections"`
}

// CallerSpec describes a caller that may use the service. Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's form.
type CallerSpec struct {
	User     string `cbor:"1,keyasint" json:"user" yaml:"user"`
	Verifier string `cbor:"2,keyasint" json:"verifier" yaml:"verifier"`
}

// StaleReadSpec declares that some reads accept data that is up to MaxAge old. User, Table and Statement select the reads; an
// empty one matches everything.
type StaleReadSpec struct {
	User      string        `cbor:"1,keyasint,omitempty" json:"user,omitempty" yaml:"user,omitempty"`
	Table     string        `cbor:"2,keyasint,omitempty" json:"table,omitempty" yaml:"table,omitempty"`
	Statement string        `cbor:"3,keyasint,omitempty" json:"statement,omitempty" yaml:"statement,omitempty"`
	MaxAge    time.Duration `cbor:"4,keyasint" json:"max_age" yaml:"max_age"`
}

// OnceRuleSpec declares a non-idempotent statement. Key lists the numbers of the parameters, counted from 1, that form its
// idempotency key. Keep is how long the outcome of a request is kept.
type OnceRuleSpec struct {
	Statement string        `cbor:"1,keyasint" json:"statement" yaml:"statement"`
	Key       []int         `cbor:"2,keyasint" json:"key" yaml:"key"`
	Keep      time.Duration `cbor:"3,keyasint" json:"keep" yaml:"keep"`
}

// LoginSpec describes the account with which VMs log in to the servers.
type LoginSpec struct {
	User     string `cbor:"1,keyasint" json:"user" yaml:"user"`
	Password string `cbor:"2,keyasint" json:"password" yaml:"password"`
}

// Server is one database server of a group.
type Server struct{ spec ServerSpec }

// Address returns the server's IP address and port.
func (s Server) Address() string { return s.spec.Address }

// DataCentre returns the data centre that the server is in.
func (s Server) DataCentre() string { return s.spec.DataCentre }

// Slots returns how many statements the server executes concurrently.
func (s Server) Slots() int { return s.spec.Slots }

// Connections returns how many connections to the server all VMs together may hold open.
func (s Server) Connections() int { return s.spec.Connections }

// Caller is a caller that may use the service.
type Caller struct{ spec CallerSpec }

// User returns the caller's user name.
func (c Caller) User() string { return c.spec.User }

// Verifier returns the caller's SCRAM-SHA-256 verifier.
func (c Caller) Verifier() string { return c.spec.Verifier }

// StaleRead declares that some reads accept data up to a maximum age.
type StaleRead struct{ spec StaleReadSpec }

// User returns the user name of the caller that the declaration applies to, or "" for all callers.
func (r StaleRead) User() string { return r.spec.User }

// Table returns the table that the declaration applies to, or "" for all tables.
func (r StaleRead) Table() string { return r.spec.Table }

// Statement returns the text of the statement that the declaration applies to, or "" for all reads.
func (r StaleRead) Statement() string { return r.spec.Statement }

// MaxAge returns the maximum age of data that the reads accept.
func (r StaleRead) MaxAge() time.Duration { return r.spec.MaxAge }

// OnceRule declares a non-idempotent statement.
type OnceRule struct{ spec OnceRuleSpec }

// Statement returns the declared statement text.
func (o OnceRule) Statement() string { return o.spec.Statement }

// Key returns the numbers of the parameters, counted from 1, that form the idempotency key of a request.
func (o OnceRule) Key() []int { return slices.Clone(o.spec.Key) }

// Keep returns how long the outcome of a request is kept.
func (o OnceRule) Keep() time.Duration { return o.spec.Keep }

// Login is the account with which VMs log in to the servers.
type Login struct{ spec LoginSpec }

// User returns the user name.
func (l Login) User() string { return l.spec.User }

// Password returns the password.
func (l Login) Password() string { return l.spec.Password }

// defaultTimeout is the timeout of a unit of work if the service sets none.
const defaultTimeout = 30 * time.Second

// defaultMaxWait is the maximum queueing delay of new short work if the service sets none. It covers the burst after a pause
// of one second, so that only lasting overload is refused.
const defaultMaxWait = time.Second

// New returns the service that spec describes, with defaults for ack, timeout and maximum wait. It does not validate spec; see
// Validate.
func New(spec Spec) Service {
	s := Service{
		name: spec.Name, database: spec.Database, ack: spec.Ack, timeout: spec.Timeout, maxWait: spec.MaxWait, login: Login{spec.Login},
	}
	if s.ack == "" {
		s.ack = AckQuorum
	}
	if s.timeout == 0 {
		s.timeout = defaultTimeout
	}
	if s.maxWait == 0 {
		s.maxWait = defaultMaxWait
	}
	for _, v := range spec.Servers {
		s.servers = append(s.servers, Server{v})
	}
	for _, v := range spec.Callers {
		s.callers = append(s.callers, Caller{v})
	}
	for _, v := range spec.StaleReads {
		s.staleReads = append(s.staleReads, StaleRead{v})
	}
	for _, v := range spec.Once {
		s.onceRules = append(s.onceRules, OnceRule{v})
	}
	return s
}

// withEncodedCallers returns s with its callers only in the encoded revision, which decode must have decoded before. It
// returns s unchanged if encodedRevision is nil.
func (s Service) withEncodedCallers(encodedRevision []byte, decode func([]byte) (RevisionSpec, error)) Service {
	if encodedRevision == nil || len(s.callers) == 0 {
		return s
	}
	s.callers, s.encoded = nil, &encodedCallers{encodedRevision, decode}
	return s
}

// decodedCallers returns the callers, decoded if necessary. It does not cache the result: a VM that serves a few callers of
// every service would soon hold all callers in memory, and decoding a definition takes only a small part of a login's time.
func (s Service) decodedCallers() []Caller {
	if s.encoded == nil {
		return s.callers
	}
	// Decoding cannot fail, since the bytes were decoded before the revision was accepted. If it did, no caller would be
	// admitted.
	r, err := s.encoded.decode(s.encoded.encodedRevision)
	if err != nil || r.Spec == nil {
		return nil
	}
	return New(*r.Spec).callers
}

// Spec returns the fields of s, for codecs.
func (s Service) Spec() Spec {
	spec := Spec{
		Name: s.name, Database: s.database, Ack: s.ack, Timeout: s.timeout, MaxWait: s.maxWait, Login: s.login.spec,
	}
	for _, v := range s.servers {
		spec.Servers = append(spec.Servers, v.spec)
	}
	for _, v := range s.decodedCallers() {
		spec.Callers = append(spec.Callers, v.spec)
	}
	for _, v := range s.staleReads {
		spec.StaleReads = append(spec.StaleReads, v.spec)
	}
	for _, v := range s.onceRules {
		spec.Once = append(spec.Once, v.spec)
	}
	return spec
}

// Equal reports whether two services have the same definition.
func (s Service) Equal(o Service) bool {
	if s.encoded == o.encoded {
		return reflect.DeepEqual(s, o)
	}
	return reflect.DeepEqual(s.Spec(), o.Spec())
}

// Name returns the service's name, which callers specify as the database name when they connect.
func (s Service) Name() string { return s.name }

// Database returns the name of the database on the servers.
func (s Service) Database() string { return s.database }

// Servers returns the servers of the group.
func (s Service) Servers() []Server { return slices.Clone(s.servers) }

// Server returns the server at address, and false if the group has none there.
func (s Service) Server(address string) (Server, bool) {
	for _, v := range s.servers {
		if v.Address() == address {
			return v, true
		}
	}
	return Server{}, false
}

// Ack returns the condition for acknowledging commits.
func (s Service) Ack() Ack { return s.ack }

// Timeout returns the timeout of a unit of work.
func (s Service) Timeout() time.Duration { return s.timeout }

// MaxWait returns the maximum queueing delay: new short work is refused if its expected wait for a server reaches it.
func (s Service) MaxWait() time.Duration { return s.maxWait }

// Caller returns the caller with this user name, and false if it may not use the service.
func (s Service) Caller(user string) (Caller, bool) {
	for _, c := range s.decodedCallers() {
		if c.User() == user {
			return c, true
		}
	}
	return Caller{}, false
}

// StaleReads returns the declarations of reads that accept data up to a maximum age.
func (s Service) StaleReads() []StaleRead { return slices.Clone(s.staleReads) }

// OnceRules returns the declarations of non-idempotent statements.
func (s Service) OnceRules() []OnceRule { return slices.Clone(s.onceRules) }

// Login returns the account with which VMs log in to the servers.
func (s Service) Login() Login { return s.login }
