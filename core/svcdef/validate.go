package svcdef

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// ControlReserve is how many connections of each server are kept for control connections.
const ControlReserve = 4

const (
	// maxName is the greatest length of a name in PostgreSQL; callers give the service's name as the database name.
	maxName = 63
	// maxTimeout bounds the time of a unit. A year-end reconciliation runs for minutes; a day leaves ample room.
	maxTimeout = 24 * time.Hour
)

var (
	serviceName = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)
	plainName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// Problem is one violation of the rules for definitions.
type Problem struct {
	path    string
	message string
	warning bool
}

// NewProblem returns a problem, for codecs.
func NewProblem(path, message string, warning bool) Problem { return Problem{path, message, warning} }

// Path returns the key path of the field, such as servers[0].address.
func (p Problem) Path() string { return p.path }

// Message returns what is wrong.
func (p Problem) Message() string { return p.message }

// Warning reports whether the definition is accepted all the same.
func (p Problem) Warning() bool { return p.warning }

// String formats the problem as path: message.
func (p Problem) String() string {
	if p.warning {
		return p.path + ": warning: " + p.message
	}
	return p.path + ": " + p.message
}

// Errors returns the problems that are not warnings.
func Errors(problems []Problem) []Problem {
	return slices.DeleteFunc(slices.Clone(problems), Problem.Warning)
}

type problems []Problem

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, Problem{path: path, message: fmt.Sprintf(format, args...)})
}

// Validate returns every violation in spec, in the order of the fields. An empty ack and a zero timeout stand for the
// defaults.
func Validate(spec Spec) []Problem {
	var p problems
	if !serviceName.MatchString(spec.Name) {
		p.add("name", "%q must start with a lower-case letter and have at most %d lower-case letters, digits, hyphens or "+
			"underscores", spec.Name, maxName)
	}
	p.text("database", spec.Database)
	p.servers(spec.Servers)
	if spec.Ack != "" && spec.Ack != AckQuorum && spec.Ack != AckPrimary {
		p.add("ack", "%q must be %s or %s", spec.Ack, AckQuorum, AckPrimary)
	}
	if spec.Timeout < 0 || spec.Timeout > maxTimeout {
		p.add("timeout", "%s must be more than 0 and at most %s", spec.Timeout, maxTimeout)
	}
	p.millis("timeout", spec.Timeout)
	if spec.MaxWait < 0 || spec.MaxWait > maxTimeout {
		p.add("max_wait", "%s must be more than 0 and at most %s", spec.MaxWait, maxTimeout)
	}
	p.millis("max_wait", spec.MaxWait)
	p.callers(spec.Callers)
	p.stale(spec)
	p.once(spec.Once)
	p.text("login.user", spec.Login.User)
	if strings.ContainsRune(spec.Login.Password, 0) {
		p.add("login.password", "must not contain a NUL byte")
	}
	if spec.Login.Password == Mask {
		p.add("login.password", "is masked, and there is no stored password that it could stand for")
	}
	return p
}

func (p *problems) text(path, s string) {
	switch {
	case s == "":
		p.add(path, "is required")
	case len(s) > maxName:
		p.add(path, "has %d bytes, more than %d", len(s), maxName)
	case strings.ContainsRune(s, 0):
		p.add(path, "must not contain a NUL byte")
	}
}

// millis refuses a duration that the operators' service, which counts in milliseconds, would change.
func (p *problems) millis(path string, d time.Duration) {
	if d > 0 && d%time.Millisecond != 0 {
		p.add(path, "%s is not a whole number of milliseconds", d)
	}
}

func (p *problems) servers(servers []ServerSpec) {
	if len(servers) == 0 {
		p.add("servers", "at least one server is required")
	} else if len(servers)%2 == 0 {
		*p = append(*p, Problem{path: "servers", warning: true, message: fmt.Sprintf(
			"%d servers need a majority of %d, as %d do; an odd number is recommended",
			len(servers), len(servers)/2+1, len(servers)+1)})
	}
	seen := make(map[netip.AddrPort]int)
	for i, s := range servers {
		path := fmt.Sprintf("servers[%d]", i)
		addr, err := netip.ParseAddrPort(s.Address)
		switch {
		case err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified():
			p.add(path+".address", "%q must be IP:port; names are not resolved", s.Address)
		case addr.String() != s.Address:
			// One server must have one spelling, since owners and queues are looked up by the text of the address.
			p.add(path+".address", "%q must be written as %q", s.Address, addr.String())
		default:
			if j, ok := seen[addr]; ok {
				p.add(path+".address", "%s is the address of servers[%d] too", s.Address, j)
			} else {
				seen[addr] = i
			}
		}
		if !plainName.MatchString(s.DataCentre) {
			p.add(path+".data_centre", "%q must have 1 to %d letters, digits, dots, hyphens or underscores", s.DataCentre,
				maxName)
		}
		if s.Slots < 1 {
			p.add(path+".slots", "%d must be at least 1", s.Slots)
		}
		if s.Connections <= ControlReserve {
			p.add(path+".connections", "%d must be more than the %d kept for control connections", s.Connections,
				ControlReserve)
		} else if s.Connections < s.Slots+ControlReserve {
			p.add(path+".connections", "%d must be at least %d: one for each slot and %d for control connections",
				s.Connections, s.Slots+ControlReserve, ControlReserve)
		}
	}
}

func (p *problems) callers(callers []CallerSpec) {
	seen := make(map[string]int)
	for i, c := range callers {
		path := fmt.Sprintf("callers[%d]", i)
		p.text(path+".user", c.User)
		if j, ok := seen[c.User]; ok {
			p.add(path+".user", "%q is the user of callers[%d] too", c.User, j)
		} else {
			seen[c.User] = i
		}
		if c.Verifier == Mask {
			p.add(path+".verifier", "is masked, and there is no stored verifier that it could stand for")
		} else if _, err := ParseVerifier(c.Verifier); err != nil {
			p.add(path+".verifier", "%s", err)
		}
	}
}

func (p *problems) stale(spec Spec) {
	for i, r := range spec.Stale {
		path := fmt.Sprintf("stale_reads[%d]", i)
		known := slices.ContainsFunc(spec.Callers, func(c CallerSpec) bool { return c.User == r.User })
		if r.User != "" && !known {
			p.add(path+".user", "%q is not one of the callers", r.User)
		}
		if r.MaxAge <= 0 {
			p.add(path+".max_age", "%s must be more than 0", r.MaxAge)
		}
		p.millis(path+".max_age", r.MaxAge)
	}
}

func (p *problems) once(rules []OnceSpec) {
	seen := make(map[string]int)
	for i, r := range rules {
		path := fmt.Sprintf("once[%d]", i)
		if strings.TrimSpace(r.Statement) == "" {
			p.add(path+".statement", "is required")
		} else if j, ok := seen[r.Statement]; ok {
			p.add(path+".statement", "is the statement of once[%d] too", j)
		} else {
			seen[r.Statement] = i
		}
		if len(r.Key) == 0 {
			p.add(path+".key", "at least one parameter is required")
		}
		for j, k := range r.Key {
			if k < 1 {
				p.add(fmt.Sprintf("%s.key[%d]", path, j), "%d must be at least 1", k)
			} else if slices.Contains(r.Key[:j], k) {
				p.add(fmt.Sprintf("%s.key[%d]", path, j), "parameter %d is listed more than once", k)
			}
		}
		if r.Keep <= 0 {
			p.add(path+".keep", "%s must be more than 0", r.Keep)
		}
		p.millis(path+".keep", r.Keep)
	}
}

// Mask stands for a secret in output.
const Mask = "********"

// Masked returns spec with its secrets replaced, for output.
func (s Spec) Masked() Spec {
	s.Callers = slices.Clone(s.Callers)
	for i := range s.Callers {
		if s.Callers[i].Verifier != "" {
			s.Callers[i].Verifier = Mask
		}
	}
	if s.Login.Password != "" {
		s.Login.Password = Mask
	}
	return s
}

// Unmasked returns s with its masked secrets replaced by those of stored, so that an operator can send back a definition
// as it was shown. A secret that stored lacks stays masked, which Validate refuses.
func (s Spec) Unmasked(stored Spec) Spec {
	s.Callers = slices.Clone(s.Callers)
	for i, c := range s.Callers {
		if c.Verifier != Mask {
			continue
		}
		for _, old := range stored.Callers {
			if old.User == c.User {
				s.Callers[i].Verifier = old.Verifier
			}
		}
	}
	if s.Login.Password == Mask && stored.Login.Password != "" {
		s.Login.Password = stored.Login.Password
	}
	return s
}
