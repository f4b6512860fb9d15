package node

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/parse"
)

// Guards against recording a request under the parameters of a portal other than the executed one. A request with several Bind
// messages holds only the parameters of the first.
func TestKeyOfSeveralBinds(t *testing.T) {
	g := gomega.NewWithT(t)
	const sql = "INSERT INTO payment(ref) VALUES ($1)"
	p := parse.New()
	r := newIdempotencyKeys(svcdef.New(svcdef.Spec{Once: []svcdef.OnceRuleSpec{{Statement: sql, Key: []int{1}, Keep: time.Hour}}}), p)
	infos, err := p.Parse(sql)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var frames []byte
	add := func(m pgproto3.FrontendMessage) { frames, _ = m.Encode(frames) }
	key := func() (*work.OnceKey, error) {
		return r.Key(caller.NewRequest(work.Unit{Frames: frames}, infos, [][]byte{[]byte("k1")}, nil))
	}
	add(&pgproto3.Parse{Query: sql})
	add(&pgproto3.Bind{Parameters: [][]byte{[]byte("k1")}})
	got, err := key()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).NotTo(gomega.BeNil())
	add(&pgproto3.Bind{DestinationPortal: "p", Parameters: [][]byte{[]byte("k2")}})
	add(&pgproto3.Execute{Portal: "p"})
	_, err = key()
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Unsupported))
}

// Guards against accepting a definition with a declared statement that is not recognised at run time, so that payments run
// without protection against repetition, and against one that declares a write as a stale read.
func TestCheckStatements(t *testing.T) {
	g := gomega.NewWithT(t)
	spec := svcdef.Spec{
		Once: []svcdef.OnceRuleSpec{
			{Statement: "INSERT INTO payment(ref) VALUES ($1)", Key: []int{1}, Keep: time.Hour},
			{Statement: "INSERT INTO payment(ref) VALUES ($1)", Key: []int{2}, Keep: time.Hour},
			{Statement: "INSERT INTO", Key: []int{1}, Keep: time.Hour},
			{Statement: "SELECT pay($1)", Key: []int{1}, Keep: time.Hour},
			{Statement: "CALL pay($1)", Key: []int{1}, Keep: time.Hour},
			{Statement: "WITH w AS (DELETE FROM due WHERE id = $1 RETURNING id) SELECT id FROM w", Key: []int{1}, Keep: time.Hour},
		},
		StaleReads: []svcdef.StaleReadSpec{
			{Statement: "SELECT n FROM tick", MaxAge: time.Second},
			{Statement: "UPDATE tick SET n = 1", MaxAge: time.Second},
			{Table: "tick", MaxAge: time.Second},
		},
	}
	var paths []string
	for _, p := range checkStatements(svcdef.New(spec), parse.New()) {
		paths = append(paths, p.Path())
	}
	g.Expect(paths).To(gomega.Equal([]string{
		"once[1].statement", "once[2].statement", "once[3].statement", "once[4].statement", "stale_reads[1].statement",
	}))
}
