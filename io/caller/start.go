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
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	protocolMajor     = 3
	saslMechanism     = "SCRAM-SHA-256"
	mockIterations    = 4096
	maxStartupPackets = 3 // SSLRequest, GSSENCRequest and the startup message
)

// startSession handles a connection from its first byte to the first ReadyForQuery. It returns errQuit for a connection
// that only carried a cancel request.
func (c *conn) startSession(ctx context.Context) error {
	if err := c.net.SetDeadline(time.Now().Add(c.srv.opts.startupTimeout)); err != nil {
		return err
	}
	params, err := c.readStartupMessage()
	if err != nil {
		return err
	}
	if err := c.readIdentity(params); err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		return err
	}
	c.builder = newUnitBuilder(c.srv.parser, sess.NewPreparedStatements(c.srv.opts.maxStatements, c.srv.opts.maxStmtBytes),
		c.srv.opts.maxMessage)
	c.status = work.TxIdle
	c.in.onTimeout = c.onReadTimeout
	if err := c.srv.reserve(c); err != nil {
		return err
	}
	if c.session, err = c.srv.backend.Open(ctx, c.svc.Name(), c.user); err != nil {
		return asCallerError(err)
	}
	if err := c.applySettings(ctx); err != nil {
		return asCallerError(err)
	}
	c.publishState(false)
	c.srv.register(c)
	return c.completeStartup(params)
}

// readStartupMessage answers the requests that may precede the startup message and returns the message's parameters.
func (c *conn) readStartupMessage() (map[string]string, error) {
	for range maxStartupPackets {
		body, err := c.in.readStartupPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case sslRequestCode:
			if err := c.startTLS(); err != nil {
				return nil, err
			}
		case gssEncRequestCode:
			if err := c.write([]byte{'N'}); err != nil {
				return nil, err
			}
		case cancelRequestCode:
			if len(body) > 8 {
				c.srv.cancelOrForward(binary.BigEndian.Uint32(body[4:]), bytes.Clone(body[8:]))
			}
			return nil, errQuit
		default:
			if code>>16 != protocolMajor {
				return nil, result.New(result.ProtocolError, "unsupported protocol version %d.%d", code>>16, code&0xffff)
			}
			if _, ok := c.net.(*tls.Conn); !ok && c.srv.opts.tlsRequired {
				return nil, sqlStateError{error: result.New(result.NotPermitted, "this VM admits TLS connections only"), sqlState: "28000"}
			}
			params, err := parseParameters(body[4:])
			if err != nil {
				return nil, err
			}
			return params, c.negotiateVersion(code&0xffff, params)
		}
	}
	return nil, result.New(result.ProtocolError, "startup message is missing")
}

func (c *conn) startTLS() error {
	if _, ok := c.net.(*tls.Conn); ok || c.srv.opts.tls == nil {
		return c.write([]byte{'N'})
	}
	// An attacker on the network can inject bytes before the handshake. They must not count as encrypted.
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

func parseParameters(b []byte) (map[string]string, error) {
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

// negotiateVersion tells a caller that asks for a newer minor version or for protocol options that version 3.0 without
// options is in use. It removes the options from params.
func (c *conn) negotiateVersion(minor uint32, params map[string]string) error {
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

// readIdentity reads the user and the service from the startup parameters and refuses parameters that are not supported.
func (c *conn) readIdentity(params map[string]string) error {
	c.user = params["user"]
	if c.user == "" {
		return sqlStateError{error: result.New(result.AuthFailed, "no user name specified in startup message"), sqlState: "28000"}
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
	return c.collectSettings(params)
}

// collectSettings builds settingsQuery from the startup parameters whose values differ from the servers' defaults. Such
// a query pins the session to its server connection.
func (c *conn) collectSettings(params map[string]string) error {
	var calls []string
	for _, k := range sortedKeys(params) {
		v := params[k]
		switch strings.ToLower(k) {
		case "user", "database", "replication", "options", "application_name":
			continue
		case "extra_float_digits":
			// All values from 1 up select the shortest exact representation, which is the servers' default.
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
		if c.srv.isDefaultSetting(k, v) {
			continue
		}
		calls = append(calls, fmt.Sprintf("pg_catalog.set_config(%s, %s, false)", quoteLiteral(k), quoteLiteral(v)))
	}
	if len(calls) > 0 {
		c.settingsQuery = encodeQuery("SELECT " + strings.Join(calls, ", "))
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

// quoteLiteral returns s as an SQL literal that means the same whether standard_conforming_strings is on or off.
func quoteLiteral(s string) string {
	s = strings.ReplaceAll(s, "'", "''")
	if strings.Contains(s, `\`) {
		return "E'" + strings.ReplaceAll(s, `\`, `\\`) + "'"
	}
	return "'" + s + "'"
}

// authenticate runs SCRAM-SHA-256. An unknown user goes through the same exchange, so that the answers don't reveal which
// users exist.
func (c *conn) authenticate() error {
	refusal := result.New(result.AuthFailed, "password authentication failed for user %q", c.user)
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
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}}); err != nil {
		return err
	}
	body, err := c.readPasswordMessage()
	if err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil {
		return malformedError(err)
	}
	if first.AuthMechanism != saslMechanism {
		return result.New(result.ProtocolError, "authentication mechanism %q is not offered", first.AuthMechanism)
	}
	challenge, err := conv.Step(string(first.Data))
	if err != nil {
		return result.Wrap(result.ProtocolError, err, "malformed SCRAM message")
	}
	if err := c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	if body, err = c.readPasswordMessage(); err != nil {
		return err
	}
	done, err := conv.Step(string(body))
	if err != nil || !conv.Valid() || !admitted {
		return refusal
	}
	return c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(done)}, &pgproto3.AuthenticationOk{})
}

func (c *conn) readPasswordMessage() ([]byte, error) {
	typ, body, err := c.in.readMessage(maxAuthMessage)
	if err != nil {
		return nil, err
	}
	if typ != 'p' {
		return nil, result.New(result.ProtocolError, "expected a password message, got type %q", typ)
	}
	return body, nil
}

func (c *conn) completeStartup(params map[string]string) error {
	var b []byte
	for _, k := range sortedKeys(c.srv.opts.params) {
		b = encode(b, &pgproto3.ParameterStatus{Name: k, Value: c.srv.opts.params[k]})
	}
	b = encode(b, &pgproto3.ParameterStatus{Name: "session_authorization", Value: c.user})
	b = encode(b, &pgproto3.ParameterStatus{Name: "application_name", Value: params["application_name"]})
	b = encode(b, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret[:]})
	return c.write(c.ready(b))
}

// ParseVerifier parses a verifier in PostgreSQL's form, SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey.
func ParseVerifier(s string) (scram.StoredCredentials, error) {
	var zero scram.StoredCredentials
	rest, ok := strings.CutPrefix(s, saslMechanism+"$")
	head, keys, ok2 := strings.Cut(rest, "$")
	rounds, salt, ok3 := strings.Cut(head, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return zero, result.New(result.InvalidConfig, "verifier is not of the form %s$iterations:salt$stored:server", saslMechanism)
	}
	n, err := strconv.Atoi(rounds)
	if err != nil || n < 1 {
		return zero, result.New(result.InvalidConfig, "verifier has an invalid iteration count %q", rounds)
	}
	c := scram.StoredCredentials{KeyFactors: scram.KeyFactors{Iters: n}}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return zero, result.Wrap(result.InvalidConfig, err, "salt of the verifier is not valid base64")
	}
	c.Salt = string(raw)
	if c.StoredKey, err = decodeKey(stored); err != nil {
		return zero, err
	}
	if c.ServerKey, err = decodeKey(server); err != nil {
		return zero, err
	}
	return c, nil
}

func decodeKey(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return nil, result.New(result.InvalidConfig, "key of the verifier is not the base64 form of %d bytes", sha256.Size)
	}
	return b, nil
}

// mockCredentials returns credentials that no password matches. Like that of a real user, the salt is the same for each
// attempt with the same user name.
func (s *Server) mockCredentials(user string) scram.StoredCredentials {
	h := hmac.New(sha256.New, s.mockKey[:])
	_, _ = h.Write([]byte(user))
	c := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(h.Sum(nil)[:16]), Iters: mockIterations},
		StoredKey:  make([]byte, sha256.Size), ServerKey: make([]byte, sha256.Size),
	}
	_, _ = rand.Read(c.StoredKey)
	return c
}
