package config

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenagate/io/strict"
)

// SettingDoc documents one setting.
type SettingDoc struct {
	path         string
	defaultValue string
	help         string
}

// Path returns the key path of the setting.
func (s SettingDoc) Path() string { return s.path }

// Default returns the default value as it is written in a settings file, "" if there is none.
func (s SettingDoc) Default() string { return s.defaultValue }

// Help returns the description of the setting.
func (s SettingDoc) Help() string { return s.help }

// settingDocs documents every setting and holds the defaults; docs/settings.md is generated from it.
var settingDocs = []SettingDoc{
	{"vm.id", "", "Name of this VM, unique among all VMs. Required."},
	{"vm.data_centre", "", "Data centre that the VM is in. Required."},
	{"listen.callers", "", "IP:port for callers (PostgreSQL protocol 3). Required."},
	{"listen.peers", "", "IP:port for other VMs. They connect to exactly this address unless listen.peers_announce is set. Required."},
	{"listen.peers_announce", "", "IP:port that this VM announces to other VMs for their connections, if it differs from listen.peers, for example behind address translation or a proxy."},
	{"listen.operators", "", "IP:port for operators (gRPC). Required."},
	{"listen.metrics", "", "IP:port for metrics over HTTP. Without it no metrics are served."},
	{"platform.url", "", "Base URL of the platform's services, with an IP address. Required."},
	{"platform.timeout", "2s", "Timeout of one request to the platform."},
	{"peers.seeds", "", "List of IP:port of other VMs' listen.peers, or of addresses that forward to it. This VM tries them whenever it has no live peer. Without seeds a new VM finds the others only through the platform's list."},
	{"tls.callers.cert", "", "Certificate file (PEM) for callers. Without it TLS is not available to callers."},
	{"tls.callers.key", "", "Private key file (PEM) of tls.callers.cert."},
	{"tls.callers.required", "false", "Refuse callers that do not use TLS."},
	{"tls.peers.cert", "", "Certificate file (PEM) of this VM. Without it VMs exchange messages in plain text."},
	{"tls.peers.key", "", "Private key file (PEM) of tls.peers.cert."},
	{"tls.peers.ca", "", "Certificate file (PEM) of the authorities that sign the certificates of VMs. It holds two authorities while one replaces the other."},
	{"tls.operators.cert", "", "Certificate file (PEM) for operators. Without it operators connect in plain text and need no certificate."},
	{"tls.operators.key", "", "Private key file (PEM) of tls.operators.cert."},
	{"tls.operators.ca", "", "Certificate file (PEM) of the authority that signs the certificates of operators."},
	{"limits.callers", "10000", "Maximum number of open connections of callers on this VM. Fewer are admitted if the process's limit of open files is too low: 1,536 files, or half of that limit if this is less, are reserved for other uses."},
	{"limits.message_size", "16777216", "Maximum size of one message of a caller, in bytes."},
	{"limits.gc_percent", "100", "Growth of the heap, in percent of the live heap, that starts a garbage collection. The process needs about this share of the live heap as additional memory; half the percentage doubles the CPU time of garbage collection."},
	{"timing.watch_interval", "100ms", "Minimum interval between two status requests to a server. A VM that watches many servers asks each of them less often."},
	{"timing.silence", "1s", "Time without a status reply from the primary after which a promotion starts."},
	{"timing.status_timeout", "500ms", "Timeout of one status request."},
	{"timing.control_timeout", "500ms", "Timeout of one fence, promote or follow request."},
	{"timing.config_poll", "1s", "Interval at which this VM polls the store for new configuration."},
	{"timing.drain_limit", "30s", "Maximum duration of a graceful shutdown. Work still in flight after it is reported and ended."},
	{"log.level", "info", "Minimum level of log lines: debug, info, warn or error."},
	{"log.format", "json", "Format of log lines: json or console."},
	{"log.layers", "", "Switch of each log layer by name: default, off or a level."},
}

// SettingDocs returns the documentation of all settings.
func SettingDocs() []SettingDoc { return slices.Clone(settingDocs) }

// Default returns settings that hold the defaults in settingDocs.
func Default() Settings {
	var s Settings
	for _, doc := range settingDocs {
		if doc.defaultValue == "" {
			continue
		}
		v := reflect.ValueOf(&s).Elem()
		for key := range strings.SplitSeq(doc.path, ".") {
			v = fieldByKey(v, key)
		}
		setDefault(v, doc.defaultValue)
	}
	return s
}

func fieldByKey(v reflect.Value, key string) reflect.Value {
	for i := range v.NumField() {
		if strict.FieldKey(v.Type().Field(i)) == key {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

// setDefault stores a default. A text that cannot be parsed leaves the zero value, which TestTableMatchesSettings detects.
func setDefault(v reflect.Value, text string) {
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
