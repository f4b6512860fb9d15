// Package config reads the settings file of a VM and reports every error in it with file, line and key path.
package config

import (
	"fmt"
	"os"
	"time"

	"verbenagate/core/result"
	"verbenagate/io/certs"
	"verbenagate/io/logs"
	"verbenagate/io/strict"
)

// Settings holds the settings of one VM. The fields are exported for the YAML decoder.
type Settings struct {
	VM       VM       `yaml:"vm"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	TLS      TLS      `yaml:"tls"`
	Limits   Limits   `yaml:"limits"`
	Timing   Timing   `yaml:"timing"`
	Log      Log      `yaml:"log"`
}

// VM identifies this VM.
type VM struct {
	ID         string `yaml:"id" validate:"required,name"`
	DataCentre string `yaml:"data_centre" validate:"required,name"`
}

// Listen holds the addresses that the VM listens on.
type Listen struct {
	Callers string `yaml:"callers" validate:"required,ipport"`
	Peers   string `yaml:"peers" validate:"required,ipport"`
	// PeersAnnounce is the address that this VM announces to other VMs instead of Peers; "" means Peers.
	PeersAnnounce string `yaml:"peers_announce" validate:"omitempty,ipport"`
	Operators     string `yaml:"operators" validate:"required,ipport"`
	Metrics       string `yaml:"metrics" validate:"omitempty,ipport"`
}

// Platform holds the URL and the request timeout of the platform's services.
type Platform struct {
	URL     string        `yaml:"url" validate:"required,httpip"`
	Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
}

// Peers holds the addresses at which this VM finds other VMs without the platform's list.
type Peers struct {
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
}

// TLS holds the certificate and key files for connections from callers, between VMs and from operators.
type TLS struct {
	Callers   CallerTLS   `yaml:"callers"`
	Peers     PeerTLS     `yaml:"peers"`
	Operators OperatorTLS `yaml:"operators"`
}

// CallerTLS holds the server certificate that callers see.
type CallerTLS struct {
	Cert     string `yaml:"cert" validate:"required_with=Key"`
	Key      string `yaml:"key" validate:"required_with=Cert"`
	Required bool   `yaml:"required"`
}

// PeerTLS holds the certificate of this VM and the authority that signs the certificates of all VMs.
type PeerTLS struct {
	Cert string `yaml:"cert" validate:"required_with=Key CA"`
	Key  string `yaml:"key" validate:"required_with=Cert CA"`
	CA   string `yaml:"ca" validate:"required_with=Cert Key"`
}

// OperatorTLS holds the server certificate that operators see and the authority that signs the operators' certificates.
type OperatorTLS struct {
	Cert string `yaml:"cert" validate:"required_with=Key CA"`
	Key  string `yaml:"key" validate:"required_with=Cert CA"`
	CA   string `yaml:"ca" validate:"required_with=Cert Key"`
}

// Limits bounds the connections and message sizes of callers, and the memory of the process.
type Limits struct {
	Callers     int `yaml:"callers" validate:"gt=0"`
	MessageSize int `yaml:"message_size" validate:"gte=4096,lte=1073741823"`
	// GCPercent is the growth of the heap, in percent of the live heap, that starts a garbage collection.
	GCPercent int `yaml:"gc_percent" validate:"gte=10,lte=400"`
}

// Timing holds intervals and timeouts.
type Timing struct {
	WatchInterval  time.Duration `yaml:"watch_interval" validate:"gt=0"`
	Silence        time.Duration `yaml:"silence" validate:"gt=0,gtfield=WatchInterval"`
	StatusTimeout  time.Duration `yaml:"status_timeout" validate:"gt=0"`
	ControlTimeout time.Duration `yaml:"control_timeout" validate:"gt=0"`
	ConfigPoll     time.Duration `yaml:"config_poll" validate:"gt=0"`
	DrainLimit     time.Duration `yaml:"drain_limit" validate:"gt=0"`
}

// Log holds the level, the format and the switches of the log's layers.
type Log struct {
	Level  string            `yaml:"level" validate:"loglevel"`
	Format string            `yaml:"format" validate:"oneof=json console"`
	Layers map[string]string `yaml:"layers"`
}

// Open returns a log with these settings that writes to standard error.
func (l Log) Open() (*logs.Log, error) {
	log, err := logs.New(os.Stderr, l.Format, l.Level)
	if err != nil {
		return nil, err
	}
	for layer, s := range l.Layers {
		if err := log.SetLayer(layer, logs.Switch(s)); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// Files returns the certificate files for callers; ok is false if none is set.
func (c CallerTLS) Files() (files certs.Files, ok bool) {
	return certs.Files{Cert: c.Cert, Key: c.Key}, c.Cert != ""
}

// Files returns the certificate files for other VMs; ok is false if none is set.
func (p PeerTLS) Files() (files certs.Files, ok bool) {
	return certs.Files{Cert: p.Cert, Key: p.Key, CA: p.CA}, p.Cert != ""
}

// Files returns the certificate files for operators; ok is false if none is set.
func (o OperatorTLS) Files() (files certs.Files, ok bool) {
	return certs.Files{Cert: o.Cert, Key: o.Key, CA: o.CA}, o.Cert != ""
}

// Load reads and checks the settings file at path. The error lists all problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.New(result.InvalidConfig, "%v", err) // err contains the path
	}
	s, problems := Check(path, data)
	if len(problems) > 0 {
		return Settings{}, InvalidError(problems)
	}
	return s, nil
}

// InvalidError returns an error with the code InvalidConfig that lists the problems, one per line.
func InvalidError(problems []strict.Problem) error {
	noun := "problems"
	if len(problems) == 1 {
		noun = "problem"
	}
	return result.New(result.InvalidConfig, "%s", fmt.Sprintf("%d %s:\n%s", len(problems), noun, strict.FormatProblems(problems)))
}
