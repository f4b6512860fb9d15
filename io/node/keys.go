package node

import (
	"crypto/tls"
	"time"

	"verbenagate/io/certs"
)

// openKeys loads the files, and returns nil if the settings name none.
func (n *Node) openKeys(files certs.Files, ok bool) (*certs.Source, error) {
	if !ok {
		return nil, nil
	}
	return certs.Open(files, n.log, time.Now)
}

// current returns the source of TLS settings for connections to other VMs, nil for none.
func current(keys *certs.Source) func() *tls.Config {
	if keys == nil {
		return nil
	}
	return keys.Config
}

// listener returns TLS settings that follow the files, nil for none.
func listener(keys *certs.Source, protos ...string) *tls.Config {
	if keys == nil {
		return nil
	}
	return keys.Server(protos...)
}
