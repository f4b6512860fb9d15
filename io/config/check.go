package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"verbenagate/io/logs"
	"verbenagate/io/strict"
)

// namePattern allows only names that can be used in keys of the store, in metric labels and in log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// rule checks the text of one value. The message describes a violation and follows the quoted value.
type rule struct {
	accepts func(text string) bool
	message string
}

var rules = map[string]rule{
	"name": {
		namePattern.MatchString,
		"must start with a letter or digit and have at most 63 letters, digits, dots, hyphens or underscores",
	},
	"ipport":   {isIPPort, "must be IP:port, such as 10.0.0.1:5432 or [::1]:5432; names are not resolved"},
	"httpip":   {isHTTPWithIP, "must be an http or https URL with an IP address, such as http://10.0.0.9:8080"},
	"loglevel": {func(s string) bool { return slices.Contains(logs.LevelNames(), s) }, "must be one of " + levelNames()},
}

func levelNames() string { return strings.Join(logs.LevelNames(), ", ") }

// isIPPort accepts port 0, with which the system picks a free port.
func isIPPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isHTTPWithIP(s string) bool {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(strict.FieldKey)
	for name, r := range rules {
		// RegisterValidation fails only for an empty or reserved tag. TestTableMatchesSettings would detect that.
		_ = v.RegisterValidation(name, func(fl validator.FieldLevel) bool { return r.accepts(fl.Field().String()) })
	}
	return v
})

// Check decodes the settings in data, fills in the defaults and returns them with all problems, sorted by line. The
// problems contain file as the file name.
func Check(file string, data []byte) (Settings, []strict.Problem) {
	s := Default()
	doc := strict.Decode(file, data, &s)
	if doc.ParseFailed() {
		return s, doc.Problems()
	}
	var violations validator.ValidationErrors
	if err := structValidator().Struct(s); errors.As(err, &violations) {
		for _, e := range violations {
			// A problem was already added for a value that could not be decoded.
			if path := keyPath(e); !doc.HasProblem(path) {
				doc.Add(path, violationMessage(e))
			}
		}
	}
	for _, layer := range slices.Sorted(maps.Keys(s.Log.Layers)) {
		if err := logs.CheckSwitch(layer, logs.Switch(s.Log.Layers[layer])); err != nil {
			doc.Add("log.layers."+layer, err.Error())
		}
	}
	checkAddresses(doc, s.Listen)
	checkSeeds(doc, s.Peers.Seeds)
	checkFiles(doc, s.TLS)
	if s.TLS.Callers.Required && s.TLS.Callers.Cert == "" {
		doc.Add("tls.callers.required", "needs tls.callers.cert and tls.callers.key")
	}
	return s, doc.Problems()
}

// keyPath returns the key path of the value that violates a rule. The namespace starts with the name of the struct.
func keyPath(e validator.FieldError) string {
	_, path, _ := strings.Cut(e.Namespace(), ".")
	return path
}

func violationMessage(e validator.FieldError) string {
	if r, ok := rules[e.Tag()]; ok {
		return fmt.Sprintf("%q %s", e.Value(), r.message)
	}
	siblingPath := func(field string) string {
		path := keyPath(e)
		parent := path[:strings.LastIndex(path, ".")]
		return parent + "." + keyOf(field)
	}
	switch e.Tag() {
	case "required":
		return "is required"
	case "required_with":
		var siblings []string
		for _, f := range strings.Fields(e.Param()) {
			siblings = append(siblings, siblingPath(f))
		}
		return "is required together with " + strings.Join(siblings, " and ")
	case "gt":
		return fmt.Sprintf("%v must be more than %s", e.Value(), e.Param())
	case "gtfield":
		return fmt.Sprintf("%v must be more than %s", e.Value(), siblingPath(e.Param()))
	case "gte":
		return fmt.Sprintf("%v must be at least %s", e.Value(), e.Param())
	case "lte":
		return fmt.Sprintf("%v must be at most %s", e.Value(), e.Param())
	case "oneof":
		return fmt.Sprintf("%q must be one of %s", e.Value(), strings.ReplaceAll(e.Param(), " ", ", "))
	}
	return "violates the rule " + e.Tag()
}

// keyOf returns the key of a struct field that is named in the parameter of a rule.
func keyOf(field string) string {
	for _, t := range []reflect.Type{reflect.TypeFor[Timing](), reflect.TypeFor[PeerTLS](), reflect.TypeFor[CallerTLS]()} {
		if f, ok := t.FieldByName(field); ok {
			return strict.FieldKey(f)
		}
	}
	return field
}

// checkAddresses reports two listeners on the same address, and an address for other VMs that they cannot connect to.
func checkAddresses(doc *strict.Doc, l Listen) {
	pathByAddress := make(map[netip.AddrPort]string)
	for _, v := range []struct{ path, address string }{
		{"listen.callers", l.Callers},
		{"listen.peers", l.Peers},
		{"listen.operators", l.Operators},
		{"listen.metrics", l.Metrics},
	} {
		addr, err := netip.ParseAddrPort(v.address)
		if err != nil {
			continue
		}
		if v.path == "listen.peers" && l.PeersAnnounce == "" && addr.Addr().IsUnspecified() {
			doc.Add(v.path, "must be an address that other VMs can connect to, not "+addr.Addr().String())
		}
		if first, ok := pathByAddress[addr]; ok && addr.Port() != 0 {
			doc.Add(v.path, "has the same address as "+first)
		}
		pathByAddress[addr] = v.path
	}
	checkAnnounced(doc, l, pathByAddress)
}

// checkAnnounced reports an announced address that other VMs cannot connect to, or that belongs to the listener of callers,
// operators or metrics.
func checkAnnounced(doc *strict.Doc, l Listen, pathByAddress map[netip.AddrPort]string) {
	const path = "listen.peers_announce"
	addr, err := netip.ParseAddrPort(l.PeersAnnounce)
	if err != nil {
		return // not set, or already reported as not an IP:port
	}
	if addr.Addr().IsUnspecified() {
		doc.Add(path, "must be an address that other VMs can connect to, not "+addr.Addr().String())
	}
	if addr.Port() == 0 {
		doc.Add(path, "must have a port other than 0")
	}
	if other := pathByAddress[addr]; other != "" && other != "listen.peers" && addr.Port() != 0 {
		doc.Add(path, "has the same address as "+other)
	}
}

// checkSeeds reports seeds that cannot be connected to and duplicates.
func checkSeeds(doc *strict.Doc, seeds []string) {
	indexByAddress := make(map[netip.AddrPort]int)
	for i, s := range seeds {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			continue
		}
		path := fmt.Sprintf("peers.seeds[%d]", i)
		if addr.Addr().IsUnspecified() || addr.Port() == 0 {
			doc.Add(path, "must be an address that can be connected to, not "+s)
		}
		if first, ok := indexByAddress[addr]; ok {
			doc.Add(path, fmt.Sprintf("is the same as peers.seeds[%d]", first))
			continue
		}
		indexByAddress[addr] = i
	}
}

// checkFiles reports files that cannot be opened. Their content is checked when the VM starts.
func checkFiles(doc *strict.Doc, t TLS) {
	for _, v := range []struct{ path, name string }{
		{"tls.callers.cert", t.Callers.Cert},
		{"tls.callers.key", t.Callers.Key},
		{"tls.peers.cert", t.Peers.Cert},
		{"tls.peers.key", t.Peers.Key},
		{"tls.peers.ca", t.Peers.CA},
		{"tls.operators.cert", t.Operators.Cert},
		{"tls.operators.key", t.Operators.Key},
		{"tls.operators.ca", t.Operators.CA},
	} {
		if v.name == "" {
			continue
		}
		f, err := os.Open(v.name)
		if err != nil {
			doc.Add(v.path, err.Error())
			continue
		}
		_ = f.Close() // opened for reading only
	}
}
