package admin

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Proto is the application protocol that TLS settings for Listen must offer.
const Proto = "h2"

type options struct{ tls *tls.Config }

// Option changes a default of Listen or Dial.
type Option func(*options)

// WithTLS encrypts the connections; nil leaves them in plain text, which is the default.
func WithTLS(cfg *tls.Config) Option { return func(o *options) { o.tls = cfg } }

func (o options) credentials() credentials.TransportCredentials {
	if o.tls == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(o.tls)
}
