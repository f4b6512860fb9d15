package svcdef

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// verifierScheme is the first part of a verifier in PostgreSQL's form: SCRAM-SHA-256$iterations:salt$stored key:server key.
const verifierScheme = "SCRAM-SHA-256"

const (
	// minIterations is the minimum of RFC 7677 for SCRAM-SHA-256; clients reject fewer iterations.
	minIterations = 4096
	// maxIterations limits the key derivation of a client that logs in to about a second of one core.
	maxIterations = 10_000_000
	// keySize is the size of the stored key and the server key in bytes, that of a SHA-256 digest.
	keySize = 32
)

// Verifier is a parsed SCRAM-SHA-256 verifier.
type Verifier struct {
	iterations int
	salt       []byte
	storedKey  []byte
	serverKey  []byte
}

// NewVerifier returns a verifier with copies of its arguments. It does not validate them.
func NewVerifier(iterations int, salt, storedKey, serverKey []byte) Verifier {
	return Verifier{iterations, slices.Clone(salt), slices.Clone(storedKey), slices.Clone(serverKey)}
}

// Iterations returns the iteration count of the key derivation.
func (v Verifier) Iterations() int { return v.iterations }

// Salt returns the salt.
func (v Verifier) Salt() []byte { return slices.Clone(v.salt) }

// StoredKey returns the key with which the server verifies a client's proof.
func (v Verifier) StoredKey() []byte { return slices.Clone(v.storedKey) }

// ServerKey returns the key with which the server signs its last message.
func (v Verifier) ServerKey() []byte { return slices.Clone(v.serverKey) }

// String returns the verifier in PostgreSQL's form.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", verifierScheme, v.iterations, b64(v.salt), b64(v.storedKey), b64(v.serverKey))
}

// ParseVerifier parses a verifier in the form that String returns. The error does not contain s, which is a secret.
func ParseVerifier(s string) (Verifier, error) {
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != verifierScheme {
		return Verifier{}, errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$storedkey:serverkey")
	}
	count, salt, ok1 := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok1 || !ok2 {
		return Verifier{}, errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$storedkey:serverkey")
	}
	n, err := strconv.Atoi(count)
	if err != nil || n < minIterations || n > maxIterations {
		return Verifier{}, fmt.Errorf("iteration count of the verifier is not a number from %d to %d", minIterations, maxIterations)
	}
	v := Verifier{iterations: n}
	if v.salt, err = base64.StdEncoding.DecodeString(salt); err != nil || len(v.salt) == 0 {
		return Verifier{}, errors.New("salt of the verifier is empty or not valid base64")
	}
	if v.storedKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(v.storedKey) != keySize {
		return Verifier{}, fmt.Errorf("stored key of the verifier is not the base64 encoding of %d bytes", keySize)
	}
	if v.serverKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(v.serverKey) != keySize {
		return Verifier{}, fmt.Errorf("server key of the verifier is not the base64 encoding of %d bytes", keySize)
	}
	return v, nil
}
