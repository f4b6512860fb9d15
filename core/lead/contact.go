package lead

import (
	"maps"
	"slices"
	"time"

	"verbenagate/core/owner"
)

const (
	// isolationTimeout is how long no VM of another data centre must have answered before this VM counts as cut off from them.
	isolationTimeout = 700 * time.Millisecond
	// minUnreachableVMs is how many different VMs must have failed to answer, so that a single VM that ends does not count as a
	// partition.
	minUnreachableVMs = 2
	// contactsPerDataCentre is how many VMs of each other data centre this VM calls in turn.
	contactsPerDataCentre = 2
)

// Contacts returns the VMs of other data centres that the VM self calls in turn to check that it can reach them. Each VM gets a
// selection of its own, which spreads the calls over all VMs.
func Contacts(live []Member, self, dataCentre string) []Member {
	byDataCentre := make(map[string]map[string]Member)
	for _, m := range live {
		if m.dataCentre == dataCentre || m.address == "" {
			continue
		}
		if byDataCentre[m.dataCentre] == nil {
			byDataCentre[m.dataCentre] = make(map[string]Member)
		}
		byDataCentre[m.dataCentre][m.name] = m
	}
	var contacts []Member
	for rank := range contactsPerDataCentre {
		for _, dc := range slices.Sorted(maps.Keys(byDataCentre)) {
			names := owner.Top(self, slices.Sorted(maps.Keys(byDataCentre[dc])), contactsPerDataCentre)
			if rank < len(names) {
				contacts = append(contacts, byDataCentre[dc][names[rank]])
			}
		}
	}
	return contacts
}

// IsolationDetector detects from the answers of VMs in other data centres whether this VM is cut off from all of them. It
// handles a partition that isolates a data centre. Without it, each VM would find out only from failed statements, and a load
// balancer would keep sending callers to the data centre until its last VM has found out. It is not safe for concurrent use.
type IsolationDetector struct {
	unanswered   map[string]bool // VMs that failed to answer since the last answer of any VM
	firstFailure time.Time       // when the first of these unanswered calls was sent
}

// RecordAnswer records that a VM answered.
func (c *IsolationDetector) RecordAnswer() { c.unanswered, c.firstFailure = nil, time.Time{} }

// RecordFailure records that vm did not answer a call sent at sent.
func (c *IsolationDetector) RecordFailure(vm string, sent time.Time) {
	if c.unanswered == nil {
		c.unanswered, c.firstFailure = make(map[string]bool), sent
	}
	c.unanswered[vm] = true
}

// CutOff reports whether this VM counts as cut off at now.
func (c *IsolationDetector) CutOff(now time.Time) bool {
	return len(c.unanswered) >= minUnreachableVMs && now.Sub(c.firstFailure) >= isolationTimeout
}

// Reachability judges from the answers of VMs in other data centres which of these data centres this VM can reach. Without it,
// each VM would have to find out with callers' statements, server by server, that a data centre is cut off. It is not safe for
// concurrent use.
type Reachability struct {
	all          IsolationDetector
	byDataCentre map[string]*IsolationDetector
}

// RecordAnswer records that a VM of the data centre answered.
func (r *Reachability) RecordAnswer(dataCentre string) {
	r.all.RecordAnswer()
	delete(r.byDataCentre, dataCentre)
}

// RecordFailure records that vm, of the data centre, did not answer a call sent at sent.
func (r *Reachability) RecordFailure(dataCentre, vm string, sent time.Time) {
	r.all.RecordFailure(vm, sent)
	if r.byDataCentre == nil {
		r.byDataCentre = make(map[string]*IsolationDetector)
	}
	if r.byDataCentre[dataCentre] == nil {
		r.byDataCentre[dataCentre] = &IsolationDetector{}
	}
	r.byDataCentre[dataCentre].RecordFailure(vm, sent)
}

// CutOff reports whether this VM counts as cut off from all other data centres at now.
func (r *Reachability) CutOff(now time.Time) bool { return r.all.CutOff(now) }

// Unreachable returns the data centres that count as unreachable at now, in ascending order.
func (r *Reachability) Unreachable(now time.Time) []string {
	var all []string
	for dc, d := range r.byDataCentre {
		if d.CutOff(now) {
			all = append(all, dc)
		}
	}
	slices.Sort(all)
	return all
}

// Unanswered returns the data centres of which a VM has not answered since the last answer from there, in ascending order.
func (r *Reachability) Unanswered() []string { return slices.Sorted(maps.Keys(r.byDataCentre)) }
