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

	// maxStartupPacket is PostgreSQL's limit on the length of a startup packet, in bytes.
	maxStartupPacket = 10_000
	// maxAuthMessage is the maximum length of an authentication message, in bytes. SCRAM messages have a few hundred.
	maxAuthMessage = 4096
	// maxBufferedAnswer is how many bytes of an answer are buffered before the first byte is written to the caller.
	maxBufferedAnswer = 256 << 10
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

// WithTLS offers TLS to callers. Without it, connections are not encrypted.
func WithTLS(cfg *tls.Config) Option { return func(o *options) { o.tls = cfg } }

// WithTLSRequired refuses callers that do not encrypt their connections.
func WithTLSRequired(required bool) Option { return func(o *options) { o.tlsRequired = required } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets the metrics in which refused connections are counted.
func WithMetrics(set *metric.Set) Option { return func(o *options) { o.metrics = set } }

// WithMaxCallers limits the number of open sessions; the default is 25,000.
func WithMaxCallers(n int) Option { return func(o *options) { o.maxCallers = n } }

// WithMaxStarting limits the number of connections that are not yet sessions, or were refused and are not yet closed; the
// default is 256. Together, this limit and that of WithMaxCallers limit the number of open files.
func WithMaxStarting(n int) Option { return func(o *options) { o.maxStarting = n } }

// WithMaxMessage limits the size of a message, and the total size of the messages up to a Sync, in bytes; the default is
// 16 MiB.
func WithMaxMessage(n int) Option { return func(o *options) { o.maxMessage = n } }

// WithMaxStatements limits the prepared statements of a session: their number and the total bytes of their texts.
func WithMaxStatements(n, bytes int) Option {
	return func(o *options) { o.maxStatements, o.maxStmtBytes = n, bytes }
}

// WithTimeouts sets the time limits for a caller's login and for a single write to a caller.
func WithTimeouts(startup, write time.Duration) Option {
	return func(o *options) { o.startupTimeout, o.writeTimeout = startup, write }
}

// WithParameters sets parameters that are reported to callers at the start of a session. Their values must be the
// servers' values.
func WithParameters(params map[string]string) Option {
	return func(o *options) { maps.Copy(o.params, params) }
}

func defaultOptions() options {
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
