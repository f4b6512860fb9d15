package once_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/once"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
)

// parser uses the length of a statement's first word as its fingerprint.
type parser struct{}

func (parser) Parse(text string) ([]stmt.Info, error) {
	var list []stmt.Info
	for part := range strings.SplitSeq(text, ";") {
		f := uint64(len(strings.Fields(part)[0]))
		list = append(list, stmt.NewInfo(stmt.Write, stmt.EffectNone, f, nil, ""))
	}
	return list, nil
}

const (
	insertPayment     = "INSERT INTO payment (member, amount, note) VALUES ($1, $2, 'due') RETURNING id"
	insertFingerprint = uint64(6)
)

func declare(text string, key ...int) (*once.Rules, error) {
	s := svcdef.New(svcdef.Spec{Once: []svcdef.OnceRuleSpec{{Statement: text, Key: key, Keep: time.Hour}}})
	return once.New(s.OnceRules(), parser{})
}

func key(g *WithT, r *once.Rules, values ...string) string {
	var list [][]byte
	for _, v := range values {
		list = append(list, []byte(v))
	}
	k, err := r.Key(insertFingerprint, list)
	g.Expect(err).NotTo(HaveOccurred())
	return k.Key
}

// Guards against different requests that get the same key, and a repeated request that gets a different key.
func TestKey(t *testing.T) {
	g := NewWithT(t)
	r, err := declare(insertPayment, 1, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key(g, r, "7", "10")).To(Equal(key(g, r, "7", "10")))
	g.Expect(key(g, r, "7", "10")).NotTo(Equal(key(g, r, "71", "0")), "the boundaries between values count")
	null, err := r.Key(insertFingerprint, [][]byte{nil, []byte("10")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(null.Key).NotTo(Equal(key(g, r, "", "10")))
	g.Expect(null.Keep).To(Equal(time.Hour))
	byAmount, err := declare(insertPayment, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(key(g, byAmount, "7", "10")).To(Equal(key(g, byAmount, "8", "10")), "only declared parameters count")
	_, err = r.Key(insertFingerprint, [][]byte{[]byte("7")})
	g.Expect(result.CodeOf(err)).To(Equal(result.Unsupported))
	g.Expect(r.Declared(5)).To(BeFalse())
}

// Guards against a repeated simple query that is not recognised, and a different query that is mistaken for a repetition.
func TestKeyOfText(t *testing.T) {
	g := NewWithT(t)
	r, err := declare(insertPayment, 1, 2)
	g.Expect(err).NotTo(HaveOccurred())
	for text, same := range map[string]string{
		"insert into payment(member,amount,note)\nvalues (7, -10.5e3, 'due') returning id;": "7|-10.5e3",
		"INSERT INTO payment (member, amount, note) VALUES ('O''N', 1, 'due') RETURNING id": "O'N|1",
		"INSERT INTO payment (member, amount, note) VALUES (true, 1, 'due') RETURNING id":   "true|1",
	} {
		k, err := r.KeyOfText(insertFingerprint, text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(k.Key).To(Equal(key(g, r, strings.Split(same, "|")...)), text)
	}
	for _, text := range []string{
		"INSERT INTO payment (member, amount, note) VALUES (7, 10, 'fee') RETURNING id",
		"INSERT INTO payment (member, amount, note) VALUES (7, 10, 'due') RETURNING id, member",
		"INSERT INTO payment (member, amount, note) VALUES (7, 10+1, 'due') RETURNING id",
		"INSERT INTO payment (member, amount, note) VALUES (E'7', 10, 'due') RETURNING id",
		"INSERT INTO payment (member, amount, note) VALUES ($$7$$, 10, 'due') RETURNING id",
		"INSERT INTO payment (member, amount, note) VALUES (7, 10, 'due",
		"INSERT INTO payment (member, amount, note) VALUES (7, 10 /* ' */, 'due') RETURNING id",
	} {
		_, err := r.KeyOfText(insertFingerprint, text)
		g.Expect(result.CodeOf(err)).To(Equal(result.Unsupported), text)
	}
}

// Guards against declarations from which no request key can be derived: without a key parameter, with a key parameter that
// does not occur, and with two statements.
func TestInvalidRules(t *testing.T) {
	g := NewWithT(t)
	for _, err := range []error{
		errorOf(declare(insertPayment)), errorOf(declare(insertPayment, 3)), errorOf(declare("SELECT 1; SELECT 2", 1)),
	} {
		g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	}
}

func errorOf(_ *once.Rules, err error) error { return err }

// Guards against a key range that misses a rule's records or includes those of another rule.
func TestExpiry(t *testing.T) {
	g := NewWithT(t)
	r, err := declare(insertPayment, 1)
	g.Expect(err).NotTo(HaveOccurred())
	e := r.Expiries()
	g.Expect(e).To(HaveLen(1))
	k := key(g, r, "7")
	g.Expect(k > e[0].From() && k < e[0].To()).To(BeTrue())
	g.Expect("0000000000000007:x" < e[0].To()).To(BeFalse())
	g.Expect(e[0].CreatedBefore(time.Unix(7200, 0))).To(Equal(int64(3600_000)))
}

func Example() {
	s := svcdef.New(svcdef.Spec{Once: []svcdef.OnceRuleSpec{{Statement: insertPayment, Key: []int{1, 2}, Keep: time.Hour}}})
	r, err := once.New(s.OnceRules(), parser{})
	if err != nil {
		fmt.Println(err)
		return
	}
	a, _ := r.Key(insertFingerprint, [][]byte{[]byte("7"), []byte("10")})
	b, _ := r.KeyOfText(insertFingerprint, "INSERT INTO payment (member, amount, note) VALUES (7, 10, 'due') RETURNING id")
	fmt.Println(a == b)
	// Output: true
}
