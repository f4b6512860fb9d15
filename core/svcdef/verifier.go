package svcdef

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// verifierScheme starts a verifier in PostgreSQL's form: SCRAM-SHA-256$iterations:salt$stored key:server key.
const verifierScheme = "SCRAM-SHA-256"

const (
	// minIterations is the least number that RFC 7677 allows for SCRAM-SHA-256; clients refuse fewer.
	minIterations = 4096
	// maxIterations bounds the work of a client that logs in, at about a second of one core.
	maxIterations = 10_000_000
	// keySize is the size of the keys, that of a SHA-256 digest.
	keySize = 32
)

// Verifier is a parsed SCRAM-SHA-256 verifier.
type Verifier struct {
	iterations int
	salt       []byte
	storedKey  []byte
	serverKey  []byte
}

// NewVerifier returns the verifier with these parts.
func NewVerifier(iterations int, salt, storedKey, serverKey []byte) Verifier {
	return Verifier{iterations, slices.Clone(salt), slices.Clone(storedKey), slices.Clone(serverKey)}
}

// Iterations returns the iteration count of the key derivation.
func (v Verifier) Iterations() int { return v.iterations }

// Salt returns the salt.
func (v Verifier) Salt() []byte { return slices.Clone(v.salt) }

// StoredKey returns the key that checks a client's proof.
func (v Verifier) StoredKey() []byte { return slices.Clone(v.storedKey) }

// ServerKey returns the key that signs the server's last message.
func (v Verifier) ServerKey() []byte { return slices.Clone(v.serverKey) }

// String returns the verifier in PostgreSQL's form.
func (v Verifier) String() string {
	b64 := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", verifierScheme, v.iterations, b64(v.salt), b64(v.storedKey), b64(v.serverKey))
}

// ParseVerifier reads the form that String writes. The error does not repeat the text, which is a secret.
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
		return Verifier{}, fmt.Errorf("iteration count of the verifier is not from %d to %d", minIterations, maxIterations)
	}
	v := Verifier{iterations: n}
	if v.salt, err = base64.StdEncoding.DecodeString(salt); err != nil || len(v.salt) == 0 {
		return Verifier{}, errors.New("salt of the verifier is not valid base64")
	}
	if v.storedKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(v.storedKey) != keySize {
		return Verifier{}, fmt.Errorf("stored key of the verifier is not %d bytes in base64", keySize)
	}
	if v.serverKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(v.serverKey) != keySize {
		return Verifier{}, fmt.Errorf("server key of the verifier is not %d bytes in base64", keySize)
	}
	return v, nil
}
