package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// Contact connects to the VM that answers at an address, whose id need not be known, and returns the id. The address may
// lead to one of several VMs. The other members become known through that VM.
func (m *Mesh) Contact(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var secure *tls.Config
	var state *tls.ConnectionState
	if m.cfg.CurrentTLS != nil {
		secure = m.cfg.CurrentTLS().Clone()
		// The name in the certificate is compared with the id in the Hello below. The chain is verified here in the way that
		// InsecureSkipVerify leaves out.
		secure.InsecureSkipVerify = true
		roots := secure.RootCAs
		secure.VerifyConnection = func(s tls.ConnectionState) error {
			state = &s
			return verifyChain(s, roots)
		}
	}
	ws, err := m.upgrade(ctx, address, secure)
	if err != nil {
		return "", err
	}
	hello, err := m.greet(ctx, ws, true)
	if err == nil {
		err = checkName(state, hello.VM.ID)
	}
	if err != nil {
		ws.CloseNow()
		return "", err
	}
	id := hello.VM.ID
	if m.current(id) != nil {
		ws.CloseNow()
		return id, nil
	}
	c := newConn(m, ws, id, true)
	if !m.join(c, hello) {
		c.close(errClosed)
		return "", errClosed
	}
	return id, nil
}

// verifyChain checks the certificate of a VM against the authorities, whatever its name.
func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the VM shows no certificate")
	}
	rest := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		rest.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: rest}); err != nil {
		return fmt.Errorf("the VM's certificate: %w", err)
	}
	return nil
}
