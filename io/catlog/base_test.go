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

// foldedLog returns a deployment in whose table 2*spread.RevisionsPerFold revisions have been folded into the base. It also
// returns the newest catalogue and the old one of revision 10.
func foldedLog(t *testing.T) (d *deployment, newest, old svcdef.Catalog) {
	d = newDeployment(t, "a", "late")
	d.keepers["a"].Close() // VM "a" never gets a configuration
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
			old = newest
		}
	}
	d.g.Expect(revlog.WriteBack(t.Context(), d.store, revs)).To(gomega.Succeed())
	d.g.Expect(revlog.Fold(t.Context(), d.store, n)).To(gomega.Succeed())
	lastFolded, err := revlog.LastFolded(t.Context(), d.store)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	d.g.Expect(lastFolded).To(gomega.BeEquivalentTo(2 * spread.RevisionsPerFold))
	return d, newest, old
}

// Guards against a starting VM that stays without configuration, and so serves nobody, because the first revisions are no
// longer in the log. The snapshot is missing, damaged, older than the base, or has different revisions from the table.
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
		"missing": noObjects{}, "damaged": singleObject(old[:len(old)-1]), "older": singleObject(old),
		"forked": singleObject(other),
	} {
		d.objects, d.live = objects, liveVMs{name}
		k := d.start(name)
		d.awaitRevision(name, newest.Revision())
		d.g.Expect(k.Catalog().Spec().Services).To(gomega.Equal(newest.Spec().Services), name)
		history := k.History(context.Background(), "")
		d.g.Expect(history).To(gomega.HaveLen(1000), name)
		d.g.Expect(history[999].Number()).To(gomega.Equal(newest.Revision()), name)
		k.Close()
	}
}

// Guards against changes that are refused or revert other changes because the VM that accepts them lacked revisions that are no
// longer in the log. Also guards against a log that grows because changes through a VM do not fold it.
func TestChangeFoldsLog(t *testing.T) {
	d, newest, _ := foldedLog(t)
	d.objects, d.live = noObjects{}, liveVMs{"late"}
	k := d.start("late")
	d.awaitRevision("late", newest.Revision())
	for i := range uint64(spread.RevisionsPerFold) {
		spec := svcdef.Spec{
			Name: "service-0", Database: fmt.Sprint("changed-", i), Login: svcdef.LoginSpec{User: "proxy", Password: "secret"},
			Servers: []svcdef.ServerSpec{{Address: "10.0.0.1:5432", DataCentre: "east", Slots: 3, Connections: 35}},
		}
		_, err := k.Change(t.Context(), newest.Revision()+i, svcdef.NewDefinition(spec, "ben", time.Now()))
		d.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	d.g.Eventually(func() (uint64, error) { return revlog.LastFolded(t.Context(), d.store) }, waitTimeout).Should(
		gomega.BeEquivalentTo(3 * spread.RevisionsPerFold))
	read, err := revlog.ReadCatalog(t.Context(), d.store)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	d.g.Expect(read.Spec()).To(gomega.Equal(k.Catalog().Spec()))
}
