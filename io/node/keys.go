package node

import (
	"crypto/tls"
	"time"

	"verbenagate/io/certs"
)

// openTLSFiles loads the certificate files, and returns nil if ok is false because the settings name none.
func (n *Node) openTLSFiles(files certs.Files, ok bool) (*certs.Source, error) {
	if !ok {
		return nil, nil
	}
	return certs.Open(files, n.log, time.Now)
}

// clientTLS returns a function that gives the current TLS settings for connections to other VMs, or nil without TLS.
func clientTLS(source *certs.Source) func() *tls.Config {
	if source == nil {
		return nil
	}
	return source.Config
}

// serverTLS returns TLS settings for a listener, which follow changes of the files, or nil without TLS.
func serverTLS(source *certs.Source, protos ...string) *tls.Config {
	if source == nil {
		return nil
	}
	return source.Server(protos...)
}
