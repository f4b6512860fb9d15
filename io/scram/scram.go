// Package scram computes SCRAM-SHA-256 verifiers from passwords.
package scram

import (
	"crypto/rand"

	"github.com/xdg-go/scram"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

const (
	// iterations is the count that PostgreSQL uses by default, and the least that clients accept.
	iterations = 4096
	// saltSize is the size of the salt that PostgreSQL uses, in bytes.
	saltSize = 16
)

// Verifier returns a verifier of password with a random salt, in PostgreSQL's form.
func Verifier(password string) (string, error) {
	salt := make([]byte, saltSize)
	_, _ = rand.Read(salt) // never fails; see crypto/rand
	return Derive(password, salt, iterations)
}

// Derive returns the verifier of password with the given salt and iteration count.
func Derive(password string, salt []byte, iterations int) (string, error) {
	if password == "" {
		return "", result.New(result.InvalidConfig, "password is empty")
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		// The cause is left out, since it may quote the password.
		return "", result.New(result.InvalidConfig, "password holds characters that SASLprep does not allow")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", result.Wrap(result.InvalidConfig, err, "derive keys")
	}
	return svcdef.NewVerifier(iterations, salt, c.StoredKey, c.ServerKey).String(), nil
}

// Matches reports whether verifier was made from password.
func Matches(verifier, password string) bool {
	v, err := svcdef.ParseVerifier(verifier)
	if err != nil {
		return false
	}
	again, err := Derive(password, v.Salt(), v.Iterations())
	return err == nil && again == verifier
}
