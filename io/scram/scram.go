// Package scram computes SCRAM-SHA-256 verifiers from passwords.
package scram

import (
	"crypto/rand"

	"github.com/xdg-go/scram"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

const (
	// iterations is the default iteration count of PostgreSQL and the minimum that clients accept.
	iterations = 4096
	// saltSize is the size in bytes of the salts that PostgreSQL generates.
	saltSize = 16
)

// Verifier returns a verifier of password with a random salt, in the format of PostgreSQL.
func Verifier(password string) (string, error) {
	salt := make([]byte, saltSize)
	_, _ = rand.Read(salt) // never fails; see crypto/rand
	return Derive(password, salt, iterations)
}

// Derive returns the verifier of password with the given salt and iteration count, in the format of PostgreSQL.
func Derive(password string, salt []byte, iterations int) (string, error) {
	if password == "" {
		return "", result.New(result.InvalidConfig, "password is empty")
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		// The cause is not wrapped, because it may quote the password.
		return "", result.New(result.InvalidConfig, "password contains characters that SASLprep does not allow")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", result.Wrap(result.InvalidConfig, err, "derive SCRAM keys from the password")
	}
	return svcdef.NewVerifier(iterations, salt, c.StoredKey, c.ServerKey).String(), nil
}

// Matches reports whether verifier was derived from password. It returns false for an invalid verifier.
func Matches(verifier, password string) bool {
	v, err := svcdef.ParseVerifier(verifier)
	if err != nil {
		return false
	}
	derived, err := Derive(password, v.Salt(), v.Iterations())
	return err == nil && derived == verifier
}
