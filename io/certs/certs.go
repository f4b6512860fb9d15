// Package certs creates the certificates and keys of a deployment, and reloads certificate files when they change.
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

// CheckInterval is the minimum time between two checks whether the files have changed.
const CheckInterval = time.Second

// Logger logs numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Files names the PEM files of one TLS configuration.
type Files struct {
	// Cert holds the certificate, followed by any intermediate certificates. Key holds its private key.
	Cert string
	Key  string
	// CA holds the authorities that sign the peer's certificates. It is empty if the peer presents no certificate.
	CA string
}

func (f Files) paths() []string {
	if f.CA == "" {
		return []string{f.Cert, f.Key}
	}
	return []string{f.Cert, f.Key, f.CA}
}

// fileVersion is the size and modification time of a file, by which a change is detected. It is zero if the file is missing.
type fileVersion struct {
	size     int64
	modified time.Time
}

// Source holds the TLS settings loaded from files. It reloads changed files at the next handshake. While the files do not match
// each other, for example because they are being replaced, the last valid settings stay in use.
type Source struct {
	files Files
	log   Logger
	now   func() time.Time

	mu        sync.Mutex
	config    *tls.Config
	versions  []fileVersion
	checkedAt time.Time
}

// Open loads the files. The source logs reloads to log and takes the time from now.
func Open(files Files, log Logger, now func() time.Time) (*Source, error) {
	s := &Source{files: files, log: log, now: now, checkedAt: now()}
	// Versions are taken before loading, so that the next check detects a change made while the files are read.
	s.versions = files.versions()
	var err error
	s.config, err = files.load()
	return s, err
}

func (f Files) versions() []fileVersion {
	var list []fileVersion
	for _, name := range f.paths() {
		var v fileVersion
		if info, err := os.Stat(name); err == nil {
			v = fileVersion{info.Size(), info.ModTime()}
		}
		list = append(list, v)
	}
	return list
}

func (f Files) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "load certificate %s and its key: %v", f.Cert, err)
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
	// A resumed session would skip the certificate check, even if the peer has removed the authority in the meantime.
	c.SessionTicketsDisabled = true
	return c, nil
}

// Pool reads a PEM file of certificates.
func Pool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.InvalidConfig, "%v", err) // the text names the file
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, result.New(result.InvalidConfig, "file %s contains no certificate in PEM form", file)
	}
	return pool, nil
}

// Config returns the current TLS settings, for either side of a connection, after reloading files that have changed. The
// caller must not modify the result.
func (s *Source) Config() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checkedAt) < CheckInterval {
		return s.config
	}
	s.checkedAt = now
	versions := s.files.versions()
	if sameVersions(versions, s.versions) {
		return s.config
	}
	c, err := s.files.load()
	if err != nil {
		// The versions are not updated, so that the next check loads the files again.
		s.log.Event(event.KeysRefused, zap.String("cert", s.files.Cert), zap.Error(err))
		return s.config
	}
	s.config, s.versions = c, versions
	s.log.Event(event.KeysLoaded, zap.String("cert", s.files.Cert), zap.String("serial", leafSerial(c)))
	return c
}

func sameVersions(a, b []fileVersion) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].modified.Equal(b[i].modified) {
			return false
		}
	}
	return true
}

func leafSerial(c *tls.Config) string {
	if leaf := c.Certificates[0].Leaf; leaf != nil {
		return leaf.SerialNumber.Text(16)
	}
	return ""
}

// Server returns TLS settings for a listener, which use the result of Config in each handshake. protos are the application
// protocols (ALPN) to offer, in order of preference.
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
