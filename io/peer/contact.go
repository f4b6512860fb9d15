package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// ConnectToAddr connects to the VM at an address without knowing its id, and returns the id. The address may be shared
// by several VMs. The mesh learns the other members from the VM that answers.
func (m *Mesh) ConnectToAddr(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var tlsConfig *tls.Config
	var tlsState *tls.ConnectionState
	if m.cfg.CurrentTLS != nil {
		tlsConfig = m.cfg.CurrentTLS().Clone()
		// The id is not known before the Hello arrives, so the name in the certificate is compared with it below.
		// InsecureSkipVerify also disables the check of the certificate chain, which verifyChain does instead.
		tlsConfig.InsecureSkipVerify = true
		roots := tlsConfig.RootCAs
		tlsConfig.VerifyConnection = func(s tls.ConnectionState) error {
			tlsState = &s
			return verifyChain(s, roots)
		}
	}
	ws, err := m.dialWebSocket(ctx, address, tlsConfig)
	if err != nil {
		return "", err
	}
	hello, err := m.exchangeHello(ctx, ws, true)
	if err == nil {
		err = verifyCertificateName(tlsState, hello.VM.ID)
	}
	if err != nil {
		ws.CloseNow()
		return "", err
	}
	id := hello.VM.ID
	if m.currentConn(id) != nil {
		ws.CloseNow()
		return id, nil
	}
	c := newConn(m, ws, id, true)
	if !m.addConn(c, hello) {
		c.close(errMeshClosed)
		return "", errMeshClosed
	}
	return id, nil
}

// verifyChain verifies that a VM's certificate is signed by one of the root CAs. It does not check the name.
func verifyChain(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer VM presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates}); err != nil {
		return fmt.Errorf("verify certificate of peer VM: %w", err)
	}
	return nil
}
