package config

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenagate/io/strict"
)

// Setting documents one setting.
type Setting struct {
	path  string
	value string
	help  string
}

// Path returns the key path of the setting.
func (s Setting) Path() string { return s.path }

// Value returns the default value, "" if there is none.
func (s Setting) Value() string { return s.value }

// Help returns what the setting does.
func (s Setting) Help() string { return s.help }

// table documents every setting and holds the defaults; docs/settings.md is generated from it.
var table = []Setting{
	{"vm.id", "", "Name of this VM, unique among all VMs. Required."},
	{"vm.data_centre", "", "Data centre that the VM is in. Required."},
	{"listen.callers", "", "IP:port for callers (PostgreSQL protocol 3). Required."},
	{"listen.peers", "", "IP:port for other VMs, which connect to exactly this address unless listen.peers_announce is set. Required."},
	{"listen.peers_announce", "", "IP:port that other VMs are told and connect to, if it differs from listen.peers, as behind address translation or a proxy."},
	{"listen.operators", "", "IP:port for operators (gRPC). Required."},
	{"listen.metrics", "", "IP:port for metrics over HTTP. Without it no metrics are served."},
	{"platform.url", "", "Base URL of the platform's services, with an IP address. Required."},
	{"platform.timeout", "2s", "Time limit of one request to the platform."},
	{"peers.seeds", "", "List of IP:port of other VMs' listen.peers, or of addresses that lead to them, tried whenever this VM has no live peer. Without it a new VM finds the others only through the platform's list."},
	{"tls.callers.cert", "", "Certificate file (PEM) for callers. Without it callers get no TLS."},
	{"tls.callers.key", "", "Key file (PEM) of tls.callers.cert."},
	{"tls.callers.required", "false", "Refuse callers that do not use TLS."},
	{"tls.peers.cert", "", "Certificate file (PEM) of this VM. Without it VMs exchange messages in plain text."},
	{"tls.peers.key", "", "Key file (PEM) of tls.peers.cert."},
	{"tls.peers.ca", "", "Certificate file (PEM) of the authorities that sign the certificates of VMs; two of them while they are exchanged."},
	{"tls.operators.cert", "", "Certificate file (PEM) for operators. Without it operators' calls are plain text and need no certificate."},
	{"tls.operators.key", "", "Key file (PEM) of tls.operators.cert."},
	{"tls.operators.ca", "", "Certificate file (PEM) of the authority that signs the certificates of operators."},
	{"limits.callers", "10000", "Most open connections of callers on this VM. Fewer are admitted if the process's limit of open files is too low for them and 1,536 other files, or twice as many as the callers if that is less."},
	{"limits.message_size", "16777216", "Greatest size of one message of a caller, in bytes."},
	{"limits.gc_percent", "100", "Growth of the heap, in percent of what is live, that starts a garbage collection. The process takes about this share of the live heap on top of it; half the percentage doubles the CPU time of collections."},
	{"timing.watch_interval", "100ms", "Shortest interval at which servers are asked for their status; a VM that watches many asks each less often."},
	{"timing.silence", "1s", "Time without a status from the primary before a promotion starts."},
	{"timing.status_timeout", "500ms", "Time limit of one status request."},
	{"timing.control_timeout", "500ms", "Time limit of one fence, promote or follow request."},
	{"timing.config_poll", "1s", "Interval at which the store is asked for new configuration."},
	{"timing.drain_limit", "30s", "Time limit of a graceful stop; work still running then is reported and ended."},
	{"log.level", "info", "Least level of log lines: debug, info, warn or error."},
	{"log.format", "json", "Format of log lines: json or console."},
	{"log.layers", "", "Switch of each layer by name: default, off or a level."},
}

// Table returns the documentation of all settings.
func Table() []Setting { return slices.Clone(table) }

// Default returns the settings with the values of the table.
func Default() Settings {
	var s Settings
	for _, row := range table {
		if row.value == "" {
			continue
		}
		v := reflect.ValueOf(&s).Elem()
		for key := range strings.SplitSeq(row.path, ".") {
			v = byKey(v, key)
		}
		set(v, row.value)
	}
	return s
}

func byKey(v reflect.Value, key string) reflect.Value {
	for i := range v.NumField() {
		if strict.Key(v.Type().Field(i)) == key {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

// set stores a default. A text that does not parse would leave the zero value, which TestTableMatchesSettings refuses.
func set(v reflect.Value, text string) {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		d, _ := time.ParseDuration(text)
		v.SetInt(int64(d))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		b, _ := strconv.ParseBool(text)
		v.SetBool(b)
	case reflect.Int:
		n, _ := strconv.Atoi(text)
		v.SetInt(int64(n))
	}
}
