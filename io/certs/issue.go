package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"verbenagate/core/result"
)

const (
	// clockSkew is how far the clocks of VMs may differ from the clock where the keys are made.
	clockSkew = time.Hour
	// serialBits keeps serial numbers unique without a register of those in use.
	serialBits = 120

	caName = "ca"
)

// Authority signs the certificates of a deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// OpenAuthority reads ca.pem and ca.key in dir, and makes them, valid for the given time, if neither exists.
func OpenAuthority(dir string, now time.Time, valid time.Duration) (a *Authority, made bool, err error) {
	cert, certErr := os.ReadFile(CertFile(dir, caName))
	key, keyErr := os.ReadFile(KeyFile(dir, caName))
	if errors.Is(certErr, fs.ErrNotExist) && errors.Is(keyErr, fs.ErrNotExist) {
		a, err = newAuthority(dir, now, valid)
		return a, true, err
	}
	if err := errors.Join(certErr, keyErr); err != nil {
		return nil, false, result.New(result.InvalidConfig, "authority in %s: %v", dir, err)
	}
	a, err = parseAuthority(cert, key)
	if err != nil {
		return nil, false, result.Wrap(result.InvalidConfig, err, "authority in %s: %v", dir, err)
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
		return nil, err
	}
	if a.key, err = x509.ParseECPrivateKey(k.Bytes); err != nil {
		return nil, err
	}
	if !a.cert.IsCA || !a.key.PublicKey.Equal(a.cert.PublicKey) {
		return nil, errors.New("ca.pem is not the certificate of an authority with the key ca.key")
	}
	return a, nil
}

func newAuthority(dir string, now time.Time, valid time.Duration) (*Authority, error) {
	t := &x509.Certificate{
		Subject: pkix.Name{CommonName: "verbenagate " + now.UTC().Format(time.DateOnly)}, IsCA: true,
		BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid),
	}
	a := &Authority{}
	der, key, err := a.sign(t)
	if err != nil {
		return nil, err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	a.key = key
	return a, write(dir, caName, der, key)
}

// sign makes a key and signs a certificate for it; without a key of its own, the authority's certificate signs itself.
func (a *Authority) sign(t *x509.Certificate) ([]byte, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if t.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return nil, nil, err
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	return der, key, err
}

// VM writes a certificate and a key for a VM to dir. The certificate carries the id, by which other VMs know it, and the
// addresses, by which callers and operators do.
func (a *Authority) VM(dir, id string, ips []net.IP, now time.Time, valid time.Duration) error {
	return a.issue(dir, id, &x509.Certificate{
		Subject: pkix.Name{CommonName: id}, DNSNames: []string{id}, IPAddresses: ips,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, now, valid)
}

// Operator writes a certificate and a key for an operator to dir. It serves as a client certificate only, and has no name
// that would let it pass for a VM.
func (a *Authority) Operator(dir, name string, now time.Time, valid time.Duration) error {
	return a.issue(dir, name, &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}, now, valid)
}

func (a *Authority) issue(dir, name string, t *x509.Certificate, now time.Time, valid time.Duration) error {
	if name == caName || name != filepath.Base(name) || name[0] == '.' {
		return result.New(result.InvalidConfig, "%q cannot be the name of a certificate's file", name)
	}
	t.NotBefore, t.NotAfter = now.Add(-clockSkew), now.Add(valid)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	if t.NotAfter.After(a.cert.NotAfter) {
		t.NotAfter = a.cert.NotAfter
	}
	der, key, err := a.sign(t)
	if err != nil {
		return err
	}
	return write(dir, name, der, key)
}

// CertFile returns the name of a certificate's file in dir.
func CertFile(dir, name string) string { return filepath.Join(dir, name+".pem") }

// KeyFile returns the name of a key's file in dir.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+".key") }

// write replaces both files. A reader in between sees a pair that does not fit and keeps its old one.
func write(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return result.New(result.InvalidConfig, "%v", err)
	}
	err = errors.Join(
		replace(KeyFile(dir, name), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600),
		replace(CertFile(dir, name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644))
	if err != nil {
		return result.New(result.InvalidConfig, "%v", err)
	}
	return nil
}

// replace writes a file whose name never stands for half of the content.
func replace(name string, data []byte, mode os.FileMode) error {
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
