// Package certs makes the keys of a deployment, and loads certificate files again when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/result"
)

// CheckInterval is the least time between two looks at the files.
const CheckInterval = time.Second

// Logger takes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Files names the files of one use of TLS, all in PEM form.
type Files struct {
	// Cert is the certificate, followed by intermediate ones if there are any, and Key its key.
	Cert string
	Key  string
	// CA holds the authorities that sign the other side's certificates; empty if the other side shows none.
	CA string
}

func (f Files) all() []string {
	if f.CA == "" {
		return []string{f.Cert, f.Key}
	}
	return []string{f.Cert, f.Key, f.CA}
}

// stamp tells one content of a file from another.
type stamp struct {
	size     int64
	modified time.Time
}

// Source holds the TLS settings that the files describe. Files that change are loaded at the next handshake, and files
// that do not fit together, for example while they are being replaced, leave the last good ones in use.
type Source struct {
	files Files
	log   Logger
	now   func() time.Time

	mu      sync.Mutex
	config  *tls.Config
	stamps  []stamp
	checked time.Time
}

// Open loads the files.
func Open(files Files, log Logger, now func() time.Time) (*Source, error) {
	s := &Source{files: files, log: log, now: now, checked: now()}
	// The stamps come first: a change while the files are read is then found by the next check.
	s.stamps = files.stamps()
	var err error
	s.config, err = files.load()
	return s, err
}

func (f Files) stamps() []stamp {
	var list []stamp
	for _, name := range f.all() {
		var v stamp
		if info, err := os.Stat(name); err == nil {
			v = stamp{info.Size(), info.ModTime()}
		}
		list = append(list, v)
	}
	return list
}

func (f Files) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "load certificate %s: %v", f.Cert, err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if f.CA == "" {
		return c, nil
	}
	pool, err := Pool(f.CA)
	if err != nil {
		return nil, err
	}
	c.RootCAs, c.ClientCAs, c.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	c.MinVersion = tls.VersionTLS13
	// A resumed session would not show its certificate again to a side that has removed the authority in the meantime.
	c.SessionTicketsDisabled = true
	return c, nil
}

// Pool reads a file of certificates.
func Pool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.InvalidConfig, "%v", err) // the text names the file
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, result.New(result.InvalidConfig, "file %s holds no certificate in PEM form", file)
	}
	return pool, nil
}

// Config returns the TLS settings in force for either side of a connection. The caller must not change them.
func (s *Source) Config() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < CheckInterval {
		return s.config
	}
	s.checked = now
	stamps := s.files.stamps()
	if equal(stamps, s.stamps) {
		return s.config
	}
	c, err := s.files.load()
	if err != nil {
		// The stamps stay as they were, so that the files are tried again at the next check.
		s.log.Event(event.KeysRefused, zap.String("cert", s.files.Cert), zap.Error(err))
		return s.config
	}
	s.config, s.stamps = c, stamps
	s.log.Event(event.KeysLoaded, zap.String("cert", s.files.Cert), zap.String("serial", serial(c)))
	return c
}

func equal(a, b []stamp) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].modified.Equal(b[i].modified) {
			return false
		}
	}
	return true
}

func serial(c *tls.Config) string {
	if leaf := c.Certificates[0].Leaf; leaf != nil {
		return leaf.SerialNumber.Text(16)
	}
	return ""
}

// Server returns settings for a listener that apply Config to each handshake. Protos are the application protocols to
// offer, in order of preference.
func (s *Source) Server(protos ...string) *tls.Config {
	outer := s.Config().Clone()
	outer.NextProtos = protos
	outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := s.Config()
		if len(protos) > 0 {
			c = c.Clone()
			c.NextProtos = protos
		}
		return c, nil
	}
	return outer
}
