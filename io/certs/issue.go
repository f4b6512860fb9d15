package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"verbenagate/core/result"
)

const (
	// clockSkew is how far the clock of a VM may be behind the clock of the machine that issues its certificate.
	clockSkew = time.Hour
	// serialBits is the size of a random serial number, large enough to be unique without a record of those in use.
	serialBits = 120

	caName = "ca"
)

// Authority signs the certificates of a deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// OpenAuthority reads ca.pem and ca.key in dir. If neither exists, it creates them with the given validity and reports created.
func OpenAuthority(dir string, now time.Time, valid time.Duration) (a *Authority, created bool, err error) {
	cert, certErr := os.ReadFile(CertFile(dir, caName))
	key, keyErr := os.ReadFile(KeyFile(dir, caName))
	if errors.Is(certErr, fs.ErrNotExist) && errors.Is(keyErr, fs.ErrNotExist) {
		a, err = newAuthority(dir, now, valid)
		return a, true, err
	}
	if err := errors.Join(certErr, keyErr); err != nil {
		return nil, false, result.New(result.InvalidConfig, "open certificate authority in %s: %v", dir, err)
	}
	a, err = parseAuthority(cert, key)
	if err != nil {
		return nil, false, result.Wrap(result.InvalidConfig, err, "open certificate authority in %s: %v", dir, err)
	}
	return a, false, nil
}

func parseAuthority(cert, key []byte) (*Authority, error) {
	c, _ := pem.Decode(cert)
	k, _ := pem.Decode(key)
	if c == nil || k == nil {
		return nil, errors.New("ca.pem or ca.key is not in PEM form")
	}
	a := &Authority{}
	var err error
	if a.cert, err = x509.ParseCertificate(c.Bytes); err != nil {
		return nil, fmt.Errorf("parse ca.pem: %w", err)
	}
	if a.key, err = x509.ParseECPrivateKey(k.Bytes); err != nil {
		return nil, fmt.Errorf("parse ca.key: %w", err)
	}
	if !a.cert.IsCA || !a.key.PublicKey.Equal(a.cert.PublicKey) {
		return nil, errors.New("ca.pem is not an authority's certificate or does not match ca.key")
	}
	return a, nil
}

func newAuthority(dir string, now time.Time, valid time.Duration) (*Authority, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "verbenagate " + now.UTC().Format(time.DateOnly)}, IsCA: true,
		BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid),
	}
	a := &Authority{}
	der, key, err := a.signWithNewKey(template)
	if err != nil {
		return nil, err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	a.key = key
	return a, writePair(dir, caName, der, key)
}

// signWithNewKey generates a key and returns it with a signed certificate for it. The certificate is self-signed if the
// authority has no certificate yet.
func (a *Authority) signWithNewKey(template *x509.Certificate) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return nil, nil, err
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	return der, key, err
}

// VM writes a certificate and a key for a VM to dir. The certificate names the id, which other VMs verify, and the IP addresses,
// which callers and operators verify.
func (a *Authority) VM(dir, id string, ips []net.IP, now time.Time, valid time.Duration) error {
	return a.issue(dir, id, &x509.Certificate{
		Subject: pkix.Name{CommonName: id}, DNSNames: []string{id}, IPAddresses: ips,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, now, valid)
}

// Operator writes a certificate and a key for an operator to dir. The certificate is for clients only, and has no DNS name, so
// that it is not accepted as that of a VM.
func (a *Authority) Operator(dir, name string, now time.Time, valid time.Duration) error {
	return a.issue(dir, name, &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}, now, valid)
}

func (a *Authority) issue(dir, name string, template *x509.Certificate, now time.Time, valid time.Duration) error {
	if name == caName || name != filepath.Base(name) || name[0] == '.' {
		return result.New(result.InvalidConfig, "%q is not allowed as the name of a certificate file", name)
	}
	template.NotBefore, template.NotAfter = now.Add(-clockSkew), now.Add(valid)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	if template.NotAfter.After(a.cert.NotAfter) {
		template.NotAfter = a.cert.NotAfter
	}
	der, key, err := a.signWithNewKey(template)
	if err != nil {
		return err
	}
	return writePair(dir, name, der, key)
}

// CertFile returns the path of the certificate file for name in dir.
func CertFile(dir, name string) string { return filepath.Join(dir, name+".pem") }

// KeyFile returns the path of the key file for name in dir.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+".key") }

// writePair replaces the key file and then the certificate file. A Source that loads the files in between finds a mismatch and
// keeps its previous settings.
func writePair(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return result.New(result.InvalidConfig, "create directory for certificates: %v", err)
	}
	err = errors.Join(
		replaceFile(KeyFile(dir, name), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600),
		replaceFile(CertFile(dir, name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644))
	if err != nil {
		return result.New(result.InvalidConfig, "write key and certificate: %v", err)
	}
	return nil
}

// replaceFile replaces a file atomically, so that readers never see a partly written file.
func replaceFile(name string, data []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(mode), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}
