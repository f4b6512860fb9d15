package edge_test

import (
	"strings"
	"testing"
	"time"

	"verbenagate/core/lead"
	"verbenagate/io/elect"
	"verbenagate/io/entry"
	"verbenagate/io/metric"
)

// Guards against a VM that refuses all callers for the time of a lease after its start, although the store came back from a copy long before.
func TestStartLongAfterRestore(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	s.startVM("a")
	s.startVM("b")
	s.store.Backup()
	s.store.Restore()
	s.waitFor("a mark of the era in the store", func() bool {
		value, ok := s.store.Value(elect.LeadTable, "era")
		return ok && strings.Contains(string(value), `"era":1,`)
	})
	time.Sleep(lead.LeaseDuration + 500*time.Millisecond)
	s.startVM("c")
	time.Sleep(2 * metric.ReportInterval)
	if n := s.counter("c", metric.Prefix+entry.StoreWaits); n != 0 {
		t.Errorf("a VM that was started %s after the return of the store waited %d times for leases of the time before", lead.LeaseDuration, n)
	}
	s.open("c1", "c", "pay", "key", "")
	if got := s.send("c1", "w WRITE x one"); got != "DONE ledger-0.signed, I\n" {
		t.Errorf("the write at the VM that was started was answered with %s", got)
	}
}
