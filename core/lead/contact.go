package lead

import (
	"maps"
	"slices"
	"time"

	"verbenagate/core/owner"
)

const (
	// contactSilence is how long no VM of another data centre answers until this VM counts as cut off from them.
	contactSilence = 700 * time.Millisecond
	// contactFailures is how many VMs must have failed to answer, so that the end of one of them is no cut.
	contactFailures = 2
	// contactsPerCentre is how many VMs of each other data centre are asked in turn.
	contactsPerCentre = 2
)

// Contacts returns the VMs of other data centres that the VM self asks in turn for an answer. Each VM has its own, so that
// the calls spread over all.
func Contacts(live []Member, self, dataCentre string) []Member {
	byCentre := make(map[string]map[string]Member)
	for _, m := range live {
		if m.dataCentre == dataCentre || m.address == "" {
			continue
		}
		if byCentre[m.dataCentre] == nil {
			byCentre[m.dataCentre] = make(map[string]Member)
		}
		byCentre[m.dataCentre][m.name] = m
	}
	var contacts []Member
	for rank := range contactsPerCentre {
		for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
			names := owner.Top(self, slices.Sorted(maps.Keys(byCentre[dc])), contactsPerCentre)
			if rank < len(names) {
				contacts = append(contacts, byCentre[dc][names[rank]])
			}
		}
	}
	return contacts
}

// Contact judges from the answers of VMs in other data centres whether this VM is cut off from all of them. It answers the cut of
// a data centre, in which each VM would otherwise find out by failed statements, and a balancer that goes on to send callers
// to the data centre until its last VM has found out. It is not safe for concurrent use.
type Contact struct {
	failed map[string]bool // VMs that gave no answer since the last answer of any
	since  time.Time       // of the first call that failed since then
}

// Answered notes an answer.
func (c *Contact) Answered() { c.failed, c.since = nil, time.Time{} }

// Failed notes that a VM gave no answer to a call sent at asked.
func (c *Contact) Failed(vm string, asked time.Time) {
	if c.failed == nil {
		c.failed, c.since = make(map[string]bool), asked
	}
	c.failed[vm] = true
}

// Lost reports whether the VM counts as cut off.
func (c *Contact) Lost(now time.Time) bool {
	return len(c.failed) >= contactFailures && now.Sub(c.since) >= contactSilence
}
