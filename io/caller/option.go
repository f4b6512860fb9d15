package caller

import (
	"crypto/tls"
	"maps"
	"time"

	"verbenagate/core/sess"
	"verbenagate/io/metric"
)

const (
	defaultMaxCallers     = 25_000
	defaultMaxStarting    = 256
	defaultMaxMessage     = 16 << 20 // bytes
	defaultStartupTimeout = 10 * time.Second
	defaultWriteTimeout   = 30 * time.Second

	// maxStartup is PostgreSQL's limit on a startup packet, in bytes.
	maxStartup = 10_000
	// maxAuth bounds an authentication message, in bytes; SCRAM messages have a few hundred.
	maxAuth = 4096
	// maxHeld is how much of an answer is held back before the first byte goes to the caller.
	maxHeld = 256 << 10
)

type options struct {
	tls            *tls.Config
	tlsRequired    bool
	log            Logger
	metrics        *metric.Set
	maxCallers     int
	maxStarting    int
	maxMessage     int
	maxStatements  int
	maxStmtBytes   int
	startupTimeout time.Duration
	writeTimeout   time.Duration
	params         map[string]string
}

// Option changes a default of New.
type Option func(*options)

// WithTLS lets callers encrypt their connections.
func WithTLS(cfg *tls.Config) Option { return func(o *options) { o.tls = cfg } }

// WithTLSRequired refuses callers that do not encrypt their connections.
func WithTLSRequired(required bool) Option { return func(o *options) { o.tlsRequired = required } }

// WithLogger sets where log events go.
func WithLogger(l Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets where refused connections are counted.
func WithMetrics(set *metric.Set) Option { return func(o *options) { o.metrics = set } }

// WithMaxCallers bounds the open sessions; the default is 25,000.
func WithMaxCallers(n int) Option { return func(o *options) { o.maxCallers = n } }

// WithMaxStarting bounds the connections that are not yet sessions, or were refused and not yet closed; the default is
// 256. Together with the bound of WithMaxCallers it limits the open files.
func WithMaxStarting(n int) Option { return func(o *options) { o.maxStarting = n } }

// WithMaxMessage bounds a message, and the messages up to a Sync together, in bytes; the default is 16 MiB.
func WithMaxMessage(n int) Option { return func(o *options) { o.maxMessage = n } }

// WithMaxStatements bounds the prepared statements of a session, by number and by the bytes of their texts.
func WithMaxStatements(n, bytes int) Option {
	return func(o *options) { o.maxStatements, o.maxStmtBytes = n, bytes }
}

// WithTimeouts bounds the time that a caller has to log in, and the time that a write to a caller may take.
func WithTimeouts(startup, write time.Duration) Option {
	return func(o *options) { o.startupTimeout, o.writeTimeout = startup, write }
}

// WithParameters sets parameters that callers learn at the start; they must be those of the servers.
func WithParameters(params map[string]string) Option {
	return func(o *options) { maps.Copy(o.params, params) }
}

func defaults() options {
	return options{
		log:            noLogger{},
		maxCallers:     defaultMaxCallers,
		maxStarting:    defaultMaxStarting,
		maxMessage:     defaultMaxMessage,
		maxStatements:  sess.DefaultMaxStatements,
		maxStmtBytes:   sess.DefaultMaxStatementBytes,
		startupTimeout: defaultStartupTimeout,
		writeTimeout:   defaultWriteTimeout,
		params: map[string]string{
			"server_version":                "17.0",
			"server_encoding":               "UTF8",
			"client_encoding":               "UTF8",
			"DateStyle":                     "ISO, MDY",
			"IntervalStyle":                 "postgres",
			"TimeZone":                      "UTC",
			"integer_datetimes":             "on",
			"standard_conforming_strings":   "on",
			"is_superuser":                  "off",
			"in_hot_standby":                "off",
			"default_transaction_read_only": "off",
		},
	}
}
