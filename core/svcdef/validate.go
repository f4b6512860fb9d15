package svcdef

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// ControlReserve is the number of connections of each server that are reserved for control connections.
const ControlReserve = 4

const (
	// maxNameLength is the maximum length of a name in PostgreSQL, in bytes. It also limits the names of services, because
	// callers specify them as the database name.
	maxNameLength = 63
	// maxTimeout is the maximum timeout of a unit. A year-end reconciliation runs for minutes; a day leaves ample room.
	maxTimeout = 24 * time.Hour
)

var (
	serviceName    = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)
	dataCentreName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// Problem is one violation that validation found in a definition.
type Problem struct {
	path    string
	message string
	warning bool
}

// NewProblem returns a problem with these fields, for codecs.
func NewProblem(path, message string, warning bool) Problem { return Problem{path, message, warning} }

// Path returns the key path of the field, such as servers[0].address.
func (p Problem) Path() string { return p.path }

// Message returns the description of the violation.
func (p Problem) Message() string { return p.message }

// Warning reports whether the definition is accepted despite the problem.
func (p Problem) Warning() bool { return p.warning }

// String returns the problem in the form "path: message", or "path: warning: message" for a warning.
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

// Validate returns every violation in spec, in the order of the fields. Ack may be empty, and the timeout and the maximum
// wait may be zero, for the defaults.
func Validate(spec Spec) []Problem {
	var p problems
	if !serviceName.MatchString(spec.Name) {
		p.add("name", "%q must start with a lower-case letter and have at most %d lower-case letters, digits, hyphens or "+
			"underscores", spec.Name, maxNameLength)
	}
	p.checkText("database", spec.Database)
	p.checkServers(spec.Servers)
	if spec.Ack != "" && spec.Ack != AckQuorum && spec.Ack != AckPrimary {
		p.add("ack", "%q must be %s or %s", spec.Ack, AckQuorum, AckPrimary)
	}
	if spec.Timeout < 0 || spec.Timeout > maxTimeout {
		p.add("timeout", "%s must be more than 0 and at most %s", spec.Timeout, maxTimeout)
	}
	p.checkWholeMillis("timeout", spec.Timeout)
	if spec.MaxWait < 0 || spec.MaxWait > maxTimeout {
		p.add("max_wait", "%s must be more than 0 and at most %s", spec.MaxWait, maxTimeout)
	}
	p.checkWholeMillis("max_wait", spec.MaxWait)
	p.checkCallers(spec.Callers)
	p.checkStaleReads(spec)
	p.checkOnceRules(spec.Once)
	p.checkText("login.user", spec.Login.User)
	if strings.ContainsRune(spec.Login.Password, 0) {
		p.add("login.password", "must not contain a NUL byte")
	}
	if spec.Login.Password == Mask {
		p.add("login.password", "is masked, but no password is stored that could replace the mask")
	}
	return p
}

func (p *problems) checkText(path, s string) {
	switch {
	case s == "":
		p.add(path, "is required")
	case len(s) > maxNameLength:
		p.add(path, "has %d bytes, more than %d", len(s), maxNameLength)
	case strings.ContainsRune(s, 0):
		p.add(path, "must not contain a NUL byte")
	}
}

// checkWholeMillis rejects a duration that is not a whole number of milliseconds, because the operators' API would round it.
func (p *problems) checkWholeMillis(path string, d time.Duration) {
	if d > 0 && d%time.Millisecond != 0 {
		p.add(path, "%s is not a whole number of milliseconds", d)
	}
}

func (p *problems) checkServers(servers []ServerSpec) {
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
			// An address must have only one spelling, because owners and queues are looked up by its text.
			p.add(path+".address", "%q must be written as %q", s.Address, addr.String())
		default:
			if j, ok := seen[addr]; ok {
				p.add(path+".address", "%s is the address of servers[%d] too", s.Address, j)
			} else {
				seen[addr] = i
			}
		}
		if !dataCentreName.MatchString(s.DataCentre) {
			p.add(path+".data_centre", "%q must have 1 to %d letters, digits, dots, hyphens or underscores", s.DataCentre,
				maxNameLength)
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

func (p *problems) checkCallers(callers []CallerSpec) {
	seen := make(map[string]int)
	for i, c := range callers {
		path := fmt.Sprintf("callers[%d]", i)
		p.checkText(path+".user", c.User)
		if j, ok := seen[c.User]; ok {
			p.add(path+".user", "%q is the user of callers[%d] too", c.User, j)
		} else {
			seen[c.User] = i
		}
		if c.Verifier == Mask {
			p.add(path+".verifier", "is masked, but no verifier of this user is stored that could replace the mask")
		} else if _, err := ParseVerifier(c.Verifier); err != nil {
			p.add(path+".verifier", "%s", err)
		}
	}
}

func (p *problems) checkStaleReads(spec Spec) {
	for i, r := range spec.StaleReads {
		path := fmt.Sprintf("stale_reads[%d]", i)
		known := slices.ContainsFunc(spec.Callers, func(c CallerSpec) bool { return c.User == r.User })
		if r.User != "" && !known {
			p.add(path+".user", "%q is not one of the callers", r.User)
		}
		if r.MaxAge <= 0 {
			p.add(path+".max_age", "%s must be more than 0", r.MaxAge)
		}
		p.checkWholeMillis(path+".max_age", r.MaxAge)
	}
}

func (p *problems) checkOnceRules(rules []OnceRuleSpec) {
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
		p.checkWholeMillis(path+".keep", r.Keep)
	}
}

// Mask replaces a secret in output.
const Mask = "********"

// Masked returns s with its secrets replaced by Mask, for output.
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

// Unmasked returns s with its masked secrets replaced by those of the definition stored, so that an operator can send back
// a definition as it was shown. A secret that is not in stored remains masked, which Validate reports.
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
