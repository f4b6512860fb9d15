package caller

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"verbenagate/core/result"
	"verbenagate/core/sess"
	"verbenagate/core/work"
)

const (
	codeCancel  = 80877102
	codeSSL     = 80877103
	codeGSS     = 80877104
	majorThree  = 3
	mechanism   = "SCRAM-SHA-256"
	mockRounds  = 4096
	maxRequests = 3 // SSLRequest, GSSENCRequest and the startup message
)

// start carries a connection from its first byte to the first ReadyForQuery. It returns errQuit for a connection that
// only asked for a cancellation.
func (c *conn) start(ctx context.Context) error {
	if err := c.net.SetDeadline(time.Now().Add(c.srv.opts.startupTimeout)); err != nil {
		return err
	}
	params, err := c.startup()
	if err != nil {
		return err
	}
	if err := c.identify(params); err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return err
	}
	c.cut = newCutter(c.srv.parser, sess.NewPreparedStatements(c.srv.opts.maxStatements, c.srv.opts.maxStmtBytes),
		c.srv.opts.maxMessage)
	c.status = work.TxIdle
	c.in.wake = c.wake
	if err := c.srv.reserve(c); err != nil {
		return err
	}
	if c.session, err = c.srv.backend.Open(ctx, c.svc.Name(), c.user); err != nil {
		return forCaller(err)
	}
	if err := c.applySettings(ctx); err != nil {
		return forCaller(err)
	}
	c.mark(false)
	c.srv.register(c)
	return c.welcome(params)
}

// startup answers the requests that may precede the startup message and returns its parameters.
func (c *conn) startup() (map[string]string, error) {
	for range maxRequests {
		body, err := c.in.startup()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case codeSSL:
			if err := c.encrypt(); err != nil {
				return nil, err
			}
		case codeGSS:
			if err := c.write([]byte{'N'}); err != nil {
				return nil, err
			}
		case codeCancel:
			if len(body) > 8 {
				c.srv.cancel(binary.BigEndian.Uint32(body[4:]), bytes.Clone(body[8:]))
			}
			return nil, errQuit
		default:
			if code>>16 != majorThree {
				return nil, result.New(result.ProtocolError, "unsupported protocol version %d.%d", code>>16, code&0xffff)
			}
			if _, ok := c.net.(*tls.Conn); !ok && c.srv.opts.tlsRequired {
				return nil, fault{error: result.New(result.NotPermitted, "this VM admits TLS connections only"), state: "28000"}
			}
			params, err := parameters(body[4:])
			if err != nil {
				return nil, err
			}
			return params, c.negotiate(code&0xffff, params)
		}
	}
	return nil, result.New(result.ProtocolError, "startup message is missing")
}

func (c *conn) encrypt() error {
	if _, ok := c.net.(*tls.Conn); ok || c.srv.opts.tls == nil {
		return c.write([]byte{'N'})
	}
	// Bytes sent before the handshake could have been injected by someone else and must not count as encrypted.
	if c.in.buffered() > 0 {
		return result.New(result.ProtocolError, "unencrypted data after SSLRequest")
	}
	if err := c.write([]byte{'S'}); err != nil {
		return err
	}
	t := tls.Server(c.net, c.srv.opts.tls)
	if err := t.Handshake(); err != nil {
		return err
	}
	c.setNet(t)
	return nil
}

func parameters(b []byte) (map[string]string, error) {
	params := make(map[string]string)
	for {
		key, rest, ok := bytes.Cut(b, []byte{0})
		if !ok {
			return nil, result.New(result.ProtocolError, "startup message is not terminated")
		}
		if len(key) == 0 {
			if len(rest) != 0 {
				return nil, result.New(result.ProtocolError, "startup message has %d bytes after its end", len(rest))
			}
			return params, nil
		}
		value, rest, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			return nil, result.New(result.ProtocolError, "startup parameter %q has no value", key)
		}
		params[string(key)] = string(value)
		b = rest
	}
}

// negotiate tells a caller of a newer minor version, or with protocol options, that version 3.0 is in use.
func (c *conn) negotiate(minor uint32, params map[string]string) error {
	var unknown []string
	for k := range params {
		if strings.HasPrefix(k, "_pq_.") {
			unknown = append(unknown, k)
			delete(params, k)
		}
	}
	if minor == 0 && len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	return c.send(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
}

// identify finds the service and sorts the startup parameters.
func (c *conn) identify(params map[string]string) error {
	c.user = params["user"]
	if c.user == "" {
		return fault{error: result.New(result.AuthFailed, "no user name specified in startup message"), state: "28000"}
	}
	name := params["database"]
	if name == "" {
		name = c.user
	}
	if r := strings.ToLower(params["replication"]); r != "" && r != "false" && r != "off" && r != "no" && r != "0" {
		return result.New(result.Unsupported, "replication connections are not supported")
	}
	if strings.TrimSpace(params["options"]) != "" {
		return result.New(result.Unsupported, "startup parameter \"options\" is not supported; use SET")
	}
	svc, ok := c.srv.backend.Service(name)
	if !ok {
		return result.New(result.UnknownService, "database %q does not exist", name)
	}
	c.svc = svc
	return c.readSettings(params)
}

// readSettings accepts settings that the servers have anyway, and keeps the others for a query that makes them. Such a
// query pins the session to its server connection.
func (c *conn) readSettings(params map[string]string) error {
	var calls []string
	for _, k := range sortedKeys(params) {
		v := params[k]
		switch strings.ToLower(k) {
		case "user", "database", "replication", "options", "application_name":
			continue
		case "extra_float_digits":
			// All values from 1 up mean the shortest exact form, which is the servers' default.
			if n, err := strconv.Atoi(v); err == nil && n >= 1 && n <= 3 {
				continue
			}
		case "client_encoding":
			switch strings.ToLower(strings.Trim(v, "'\"")) {
			case "utf8", "utf-8", "unicode":
				continue
			}
			return result.New(result.Unsupported, "client encoding %q is not supported; use UTF8", v)
		case "datestyle":
			if d := strings.ToLower(strings.ReplaceAll(v, " ", "")); d == "iso" || d == "iso,mdy" {
				continue
			}
		}
		if c.srv.defaultSetting(k, v) {
			continue
		}
		calls = append(calls, fmt.Sprintf("pg_catalog.set_config(%s, %s, false)", literal(k), literal(v)))
	}
	if len(calls) > 0 {
		c.settings = encodeQuery("SELECT " + strings.Join(calls, ", "))
	}
	return nil
}

func sortedKeys(m map[string]string) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// literal quotes a string so that it reads the same whatever standard_conforming_strings is.
func literal(s string) string {
	s = strings.ReplaceAll(s, "'", "''")
	if strings.Contains(s, `\`) {
		return "E'" + strings.ReplaceAll(s, `\`, `\\`) + "'"
	}
	return "'" + s + "'"
}

// authenticate runs SCRAM-SHA-256. A user that the service doesn't admit goes through the same exchange, so that the
// answers don't tell which users exist.
func (c *conn) authenticate() error {
	wrong := result.New(result.AuthFailed, "password authentication failed for user %q", c.user)
	cred := c.srv.mockCredentials(c.user)
	admitted := false
	if u, ok := c.svc.Caller(c.user); ok {
		stored, err := ParseVerifier(u.Verifier())
		if err != nil {
			return err
		}
		cred, admitted = stored, true
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return cred, nil })
	if err != nil {
		return err
	}
	conv := server.NewConversation()
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return err
	}
	body, err := c.password()
	if err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil {
		return malformed(err)
	}
	if first.AuthMechanism != mechanism {
		return result.New(result.ProtocolError, "authentication mechanism %q is not offered", first.AuthMechanism)
	}
	challenge, err := conv.Step(string(first.Data))
	if err != nil {
		return result.Wrap(result.ProtocolError, err, "malformed SCRAM message")
	}
	if err := c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	if body, err = c.password(); err != nil {
		return err
	}
	done, err := conv.Step(string(body))
	if err != nil || !conv.Valid() || !admitted {
		return wrong
	}
	return c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(done)}, &pgproto3.AuthenticationOk{})
}

func (c *conn) password() ([]byte, error) {
	typ, body, err := c.in.message(maxAuth)
	if err != nil {
		return nil, err
	}
	if typ != 'p' {
		return nil, result.New(result.ProtocolError, "expected a password message, got type %q", typ)
	}
	return body, nil
}

func (c *conn) welcome(params map[string]string) error {
	var b []byte
	for _, k := range sortedKeys(c.srv.opts.params) {
		b = encode(b, &pgproto3.ParameterStatus{Name: k, Value: c.srv.opts.params[k]})
	}
	b = encode(b, &pgproto3.ParameterStatus{Name: "session_authorization", Value: c.user})
	b = encode(b, &pgproto3.ParameterStatus{Name: "application_name", Value: params["application_name"]})
	b = encode(b, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret[:]})
	return c.write(c.ready(b))
}

// ParseVerifier reads a verifier in PostgreSQL's form, SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey.
func ParseVerifier(s string) (scram.StoredCredentials, error) {
	var none scram.StoredCredentials
	rest, ok := strings.CutPrefix(s, mechanism+"$")
	head, keys, ok2 := strings.Cut(rest, "$")
	rounds, salt, ok3 := strings.Cut(head, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return none, result.New(result.InvalidConfig, "verifier is not of the form %s$iterations:salt$stored:server", mechanism)
	}
	n, err := strconv.Atoi(rounds)
	if err != nil || n < 1 {
		return none, result.New(result.InvalidConfig, "verifier has %q iterations", rounds)
	}
	c := scram.StoredCredentials{KeyFactors: scram.KeyFactors{Iters: n}}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return none, result.Wrap(result.InvalidConfig, err, "salt of the verifier")
	}
	c.Salt = string(raw)
	if c.StoredKey, err = key(stored); err != nil {
		return none, err
	}
	if c.ServerKey, err = key(server); err != nil {
		return none, err
	}
	return c, nil
}

func key(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return nil, result.New(result.InvalidConfig, "key of the verifier is not %d bytes in base64", sha256.Size)
	}
	return b, nil
}

// mockCredentials returns credentials that no password fits. The salt is the same each time a user name is tried, as
// that of a real user is.
func (s *Server) mockCredentials(user string) scram.StoredCredentials {
	h := hmac.New(sha256.New, s.mockKey[:])
	_, _ = h.Write([]byte(user))
	c := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(h.Sum(nil)[:16]), Iters: mockRounds},
		StoredKey:  make([]byte, sha256.Size), ServerKey: make([]byte, sha256.Size),
	}
	_, _ = rand.Read(c.StoredKey)
	return c
}
