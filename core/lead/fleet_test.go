package lead

import (
	"testing"
	"time"
)

// Guards against a VM that is sent the whole list of VMs after each renewal, and against one that does not learn of a change.
func TestFleetHash(t *testing.T) {
	member := func(name, dc, address string, epoch uint64, until time.Duration, suspected ...string) Member {
		return NewMember(name, epoch, until, suspected).WithLocation(dc, address)
	}
	base := []Member{member("a", "dc", "1", 1, 10*time.Second), member("b", "dc", "2", 1, 10*time.Second)}
	hash := FleetOf(base, 0).Hash()
	renewed := []Member{member("a", "dc", "1", 2, 20*time.Second), member("b", "dc", "2", 3, 30*time.Second)}
	if FleetOf(renewed, 5*time.Second).Hash() != hash {
		t.Error("renewals change the hash")
	}
	for name, f := range map[string]Fleet{
		"expired":   FleetOf(base, 11*time.Second),
		"moved":     FleetOf([]Member{member("a", "dc2", "1", 1, 10*time.Second), base[1]}, 0),
		"address":   FleetOf([]Member{member("a", "dc", "3", 1, 10*time.Second), base[1]}, 0),
		"suspicion": FleetOf([]Member{member("a", "dc", "1", 1, 10*time.Second, "s"), base[1]}, 0),
		"joined":    FleetOf(append([]Member{member("c", "dc", "3", 1, 10*time.Second)}, base...), 0),
		"holders":   NewFleet(FleetOf(base, 0).Live(), 3),
	} {
		if f.Hash() == hash {
			t.Errorf("%s: the hash does not change", name)
		}
	}
}
