// Package svcdef defines services, their revisions and the rules that a definition must keep.
package svcdef

import (
	"reflect"
	"slices"
	"time"
)

// Ack says when a commit is acknowledged.
type Ack string

// Acknowledgement modes.
const (
	// AckQuorum holds the acknowledgement until a majority of the servers hold the commit under the same term.
	AckQuorum Ack = "quorum"
	// AckPrimary acknowledges with the primary alone; a crash can lose the last writes.
	AckPrimary Ack = "primary"
)

// Service fronts one group of replicated databases.
type Service struct {
	name     string
	database string
	servers  []Server
	ack      Ack
	timeout  time.Duration
	maxWait  time.Duration
	callers  []Caller
	stale    []StaleRead
	once     []Once
	login    Login
	// encoded has the callers if callers is nil.
	encoded *encodedCallers
}

// encodedCallers are the callers of a definition in the stored form of its revision. The bytes are shared with the history
// and core/spread, so that 820 definitions of 40 callers need no second copy of their users and verifiers.
type encodedCallers struct {
	stored []byte
	decode func([]byte) (RevisionSpec, error)
}

// Spec has the fields of a Service for New and for codecs.
type Spec struct {
	Name     string        `cbor:"1,keyasint" json:"name" yaml:"name"`
	Database string        `cbor:"2,keyasint" json:"database" yaml:"database"`
	Servers  []ServerSpec  `cbor:"3,keyasint" json:"servers" yaml:"servers"`
	Ack      Ack           `cbor:"4,keyasint,omitempty" json:"ack,omitempty" yaml:"ack,omitempty"`
	Timeout  time.Duration `cbor:"5,keyasint,omitempty" json:"timeout,omitempty" yaml:"timeout,omitempty"`
	MaxWait  time.Duration `cbor:"10,keyasint,omitempty" json:"max_wait,omitempty" yaml:"max_wait,omitempty"`
	Callers  []CallerSpec  `cbor:"6,keyasint" json:"callers" yaml:"callers"`
	Stale    []StaleSpec   `cbor:"7,keyasint,omitempty" json:"stale_reads,omitempty" yaml:"stale_reads,omitempty"`
	Once     []OnceSpec    `cbor:"8,keyasint,omitempty" json:"once,omitempty" yaml:"once,omitempty"`
	Login    LoginSpec     `cbor:"9,keyasint" json:"login" yaml:"login"`
}

// ServerSpec describes one database server.
type ServerSpec struct {
	Address     string `cbor:"1,keyasint" json:"address" yaml:"address"`
	DataCentre  string `cbor:"2,keyasint" json:"data_centre" yaml:"data_centre"`
	Slots       int    `cbor:"3,keyasint" json:"slots" yaml:"slots"`
	Connections int    `cbor:"4,keyasint" json:"connections" yaml:"connections"`
}

// CallerSpec admits one caller. Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's form.
type CallerSpec struct {
	User     string `cbor:"1,keyasint" json:"user" yaml:"user"`
	Verifier string `cbor:"2,keyasint" json:"verifier" yaml:"verifier"`
}

// StaleSpec declares which reads accept data of a stated age. An empty field matches everything.
type StaleSpec struct {
	User      string        `cbor:"1,keyasint,omitempty" json:"user,omitempty" yaml:"user,omitempty"`
	Table     string        `cbor:"2,keyasint,omitempty" json:"table,omitempty" yaml:"table,omitempty"`
	Statement string        `cbor:"3,keyasint,omitempty" json:"statement,omitempty" yaml:"statement,omitempty"`
	MaxAge    time.Duration `cbor:"4,keyasint" json:"max_age" yaml:"max_age"`
}

// OnceSpec declares a non-idempotent statement. Key lists the parameters, counted from 1, that identify a request.
type OnceSpec struct {
	Statement string        `cbor:"1,keyasint" json:"statement" yaml:"statement"`
	Key       []int         `cbor:"2,keyasint" json:"key" yaml:"key"`
	Keep      time.Duration `cbor:"3,keyasint" json:"keep" yaml:"keep"`
}

// LoginSpec is the account with which VMs log in to the servers.
type LoginSpec struct {
	User     string `cbor:"1,keyasint" json:"user" yaml:"user"`
	Password string `cbor:"2,keyasint" json:"password" yaml:"password"`
}

// Server is one database server of a group.
type Server struct{ spec ServerSpec }

// Address returns the server's host and port.
func (s Server) Address() string { return s.spec.Address }

// DataCentre returns the data centre that the server is in.
func (s Server) DataCentre() string { return s.spec.DataCentre }

// Slots returns how many statements the server executes at a time.
func (s Server) Slots() int { return s.spec.Slots }

// Connections returns how many connections all VMs together may hold open.
func (s Server) Connections() int { return s.spec.Connections }

// Caller may reach the service.
type Caller struct{ spec CallerSpec }

// User returns the caller's user name.
func (c Caller) User() string { return c.spec.User }

// Verifier returns the caller's SCRAM-SHA-256 verifier.
func (c Caller) Verifier() string { return c.spec.Verifier }

// StaleRead declares reads that accept data of a stated age.
type StaleRead struct{ spec StaleSpec }

// User returns the caller the rule is for, or "" for every caller.
func (r StaleRead) User() string { return r.spec.User }

// Table returns the table the rule is for, or "" for every table.
func (r StaleRead) Table() string { return r.spec.Table }

// Statement returns the statement text the rule is for, or "" for every read.
func (r StaleRead) Statement() string { return r.spec.Statement }

// MaxAge returns the greatest age of data that the reads accept.
func (r StaleRead) MaxAge() time.Duration { return r.spec.MaxAge }

// Once declares a non-idempotent statement.
type Once struct{ spec OnceSpec }

// Statement returns the declared statement text.
func (o Once) Statement() string { return o.spec.Statement }

// Key returns the numbers of the parameters that identify a request.
func (o Once) Key() []int { return slices.Clone(o.spec.Key) }

// Keep returns for how long an outcome is kept.
func (o Once) Keep() time.Duration { return o.spec.Keep }

// Login is the account for the servers.
type Login struct{ spec LoginSpec }

// User returns the user name.
func (l Login) User() string { return l.spec.User }

// Password returns the password.
func (l Login) Password() string { return l.spec.Password }

// defaultTimeout bounds a unit of work if the service sets no limit.
const defaultTimeout = 30 * time.Second

// defaultMaxWait bounds the wait of new short work if the service sets no bound. It covers the burst that follows a pause of
// a second, so that only a lasting excess of demand is refused.
const defaultMaxWait = time.Second

// New returns the service that spec describes, with defaults filled in. It does not validate; see Validate.
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
	for _, v := range spec.Stale {
		s.stale = append(s.stale, StaleRead{v})
	}
	for _, v := range spec.Once {
		s.once = append(s.once, Once{v})
	}
	return s
}

// compact returns s with its callers in the stored form, which decode has read before.
func (s Service) compact(stored []byte, decode func([]byte) (RevisionSpec, error)) Service {
	if stored == nil || len(s.callers) == 0 {
		return s
	}
	s.callers, s.encoded = nil, &encodedCallers{stored, decode}
	return s
}

// admitted returns the callers. Those that are decoded here are not kept: a VM that serves a few callers of every service
// would soon hold all of them, and decoding one definition takes a small part of a login.
func (s Service) admitted() []Caller {
	if s.encoded == nil {
		return s.callers
	}
	// What was decoded before it was accepted cannot fail now; if it did, nobody would be admitted.
	r, err := s.encoded.decode(s.encoded.stored)
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
	for _, v := range s.admitted() {
		spec.Callers = append(spec.Callers, v.spec)
	}
	for _, v := range s.stale {
		spec.Stale = append(spec.Stale, v.spec)
	}
	for _, v := range s.once {
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

// Name returns the service's name, which callers give as the database name.
func (s Service) Name() string { return s.name }

// Database returns the name of the database on the servers.
func (s Service) Database() string { return s.database }

// Servers returns the servers of the group.
func (s Service) Servers() []Server { return slices.Clone(s.servers) }

// Server returns the server at address.
func (s Service) Server(address string) (Server, bool) {
	for _, v := range s.servers {
		if v.Address() == address {
			return v, true
		}
	}
	return Server{}, false
}

// Ack returns when commits are acknowledged.
func (s Service) Ack() Ack { return s.ack }

// Timeout returns how long a unit of work may take.
func (s Service) Timeout() time.Duration { return s.timeout }

// MaxWait returns the expected wait for a server from which new short work is refused.
func (s Service) MaxWait() time.Duration { return s.maxWait }

// Caller returns the admitted caller with this user name.
func (s Service) Caller(user string) (Caller, bool) {
	for _, c := range s.admitted() {
		if c.User() == user {
			return c, true
		}
	}
	return Caller{}, false
}

// StaleReads returns the declarations of reads that accept data of a stated age.
func (s Service) StaleReads() []StaleRead { return slices.Clone(s.stale) }

// OnceRules returns the declarations of non-idempotent statements.
func (s Service) OnceRules() []Once { return slices.Clone(s.once) }

// Login returns the account for the servers.
func (s Service) Login() Login { return s.login }
