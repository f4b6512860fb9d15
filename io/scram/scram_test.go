package scram_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/scram"
)

func ExampleMatches() {
	v, err := scram.Verifier("gate-7")
	fmt.Println(err, scram.Matches(v, "gate-7"), scram.Matches(v, "gate-8"))
	// Output: <nil> true false
}

// Guards against deriving other keys than a client does. Proof and signature come from the example conversation of RFC 7677,
// section 3 (user "user", password "pencil").
func TestDeriveAgainstRFC(t *testing.T) {
	g := NewWithT(t)
	const (
		nonce       = "rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"
		authMessage = "n=user,r=rOprNGfwEbeRWgbNEkqO,r=" + nonce + ",s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096,c=biws,r=" + nonce
		proof       = "dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="
		signature   = "6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="
	)
	b64 := func(s string) []byte {
		b, err := base64.StdEncoding.DecodeString(s)
		g.Expect(err).NotTo(HaveOccurred())
		return b
	}
	sign := func(key []byte) []byte {
		m := hmac.New(sha256.New, key)
		m.Write([]byte(authMessage))
		return m.Sum(nil)
	}
	text, err := scram.Derive("pencil", b64("W22ZaJ0SNY7soEsUEjb6gQ=="), 4096)
	g.Expect(err).NotTo(HaveOccurred())
	v, err := svcdef.ParseVerifier(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sign(v.ServerKey())).To(Equal(b64(signature)))
	clientKey := make([]byte, sha256.Size)
	subtle.XORBytes(clientKey, b64(proof), sign(v.StoredKey()))
	stored := sha256.Sum256(clientKey)
	g.Expect(v.StoredKey()).To(Equal(stored[:]))
}

// Guards against a verifier that svcdef.ParseVerifier refuses, and against an error that quotes the password.
func TestVerifierIsValid(t *testing.T) {
	g := NewWithT(t)
	v, err := scram.Verifier("Beet 4 Gärtner")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = svcdef.ParseVerifier(v)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = scram.Verifier("")
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	_, err = scram.Verifier("hidden\u0007word")
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	g.Expect(err.Error()).NotTo(ContainSubstring("hidden"))
}
