package catlog_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/spread"
	"verbenagate/core/svcdef"
	"verbenagate/io/revlog"
)

// foldedLog returns a deployment whose table has revisions folded into the base, and their catalogues: the newest and the
// one that was in force before the folded revisions.
func foldedLog(t *testing.T) (d *deployment, newest, early svcdef.Catalog) {
	d = newDeployment(t, "a", "late")
	d.keepers["a"].Close() // has nothing in force
	const n = spread.RetainedRevisions + 2*spread.RevisionsPerFold
	var revs []svcdef.Revision
	for i := range uint64(n) {
		spec := svcdef.Spec{Name: fmt.Sprint("service-", i%50), Database: fmt.Sprint("database-", i)}
		r := svcdef.NewDefinition(spec, "ann", time.UnixMilli(int64(i))).WithNumber(i+1, fmt.Sprint("attempt-", i))
		revs = append(revs, r)
		var err error
		newest, err = newest.Apply(r)
		d.g.Expect(err).NotTo(gomega.HaveOccurred())
		if i == 9 {
			early = newest
		}
	}
	d.g.Expect(revlog.WriteBack(t.Context(), d.store, revs)).To(gomega.Succeed())
	d.g.Expect(revlog.Fold(t.Context(), d.store, n)).To(gomega.Succeed())
	through, err := revlog.Through(t.Context(), d.store)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	d.g.Expect(through).To(gomega.BeEquivalentTo(2 * spread.RevisionsPerFold))
	return d, newest, early
}

// Guards against a VM that serves nobody because revisions are no longer in the log: without a snapshot, with one that is
// damaged or older than the base, and with one that differs from the table.
func TestStartFromBase(t *testing.T) {
	d, newest, early := foldedLog(t)
	old, err := revlog.EncodeSnapshot(early)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	var forked svcdef.Catalog
	for i := range uint64(20) {
		r := svcdef.NewDefinition(svcdef.Spec{Name: fmt.Sprint("other-", i)}, "eve", time.UnixMilli(0)).WithNumber(i+1, "fork")
		forked, err = forked.Apply(r)
		d.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	other, err := revlog.EncodeSnapshot(forked)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	for name, objects := range map[string]port.ObjectStore{
		"missing": noObjects{}, "damaged": object(old[:len(old)-1]), "older": object(old), "forked": object(other),
	} {
		d.objects, d.live = objects, names{name}
		k := d.start(name)
		d.await(name, newest.Revision())
		d.g.Expect(k.Catalog().Spec().Services).To(gomega.Equal(newest.Spec().Services), name)
		history := k.History(context.Background(), "")
		d.g.Expect(history).To(gomega.HaveLen(1000), name)
		d.g.Expect(history[999].Number()).To(gomega.Equal(newest.Revision()), name)
		k.Close()
	}
}

// Guards against a change that is refused or reverts others on a VM that lacks revisions which are no longer in the log, and
// against a log that changes through a VM leave to grow.
func TestChangeFoldsLog(t *testing.T) {
	d, newest, _ := foldedLog(t)
	d.objects, d.live = noObjects{}, names{"late"}
	k := d.start("late")
	d.await("late", newest.Revision())
	for i := range uint64(spread.RevisionsPerFold) {
		spec := svcdef.Spec{
			Name: "service-0", Database: fmt.Sprint("changed-", i), Login: svcdef.LoginSpec{User: "proxy", Password: "secret"},
			Servers: []svcdef.ServerSpec{{Address: "10.0.0.1:5432", DataCentre: "east", Slots: 3, Connections: 35}},
		}
		_, err := k.Change(t.Context(), newest.Revision()+i, svcdef.NewDefinition(spec, "ben", time.Now()))
		d.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	d.g.Eventually(func() (uint64, error) { return revlog.Through(t.Context(), d.store) }, soon).Should(
		gomega.BeEquivalentTo(3 * spread.RevisionsPerFold))
	read, err := revlog.Read(t.Context(), d.store)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	d.g.Expect(read.Spec()).To(gomega.Equal(k.Catalog().Spec()))
}
