package admin

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// ALPNProtocol is the ALPN protocol that the TLS configuration passed to Listen must offer.
const ALPNProtocol = "h2"

type options struct{ tls *tls.Config }

// Option changes a default of Listen or Dial.
type Option func(*options)

// WithTLS encrypts the connections with cfg. By default, and if cfg is nil, they are not encrypted.
func WithTLS(cfg *tls.Config) Option { return func(o *options) { o.tls = cfg } }

func (o options) credentials() credentials.TransportCredentials {
	if o.tls == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(o.tls)
}
