package group

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/port"
	"verbenagate/core/result"
)

// reserveTries bounds the attempts of one reservation when other VMs reserve at the same time.
const reserveTries = 8

// termRecord is the table service's record of a group. Attempt identifies the writer, so that it recognises its own
// write after a lost answer. PrimaryTerm is the term of Primary; LastTerm is higher when terms are held in reserve.
type termRecord struct {
	LastTerm    uint64 `cbor:"1,keyasint"`
	Primary     string `cbor:"2,keyasint,omitempty"`
	Attempt     string `cbor:"3,keyasint,omitempty"`
	PrimaryTerm uint64 `cbor:"4,keyasint,omitempty"`
}

// TermKey returns the key of the record of a group's terms.
func TermKey(service string) string { return "group/" + service }

// reserveTerm takes a term number above floor that no other VM has or will get. The attempt must be new.
//
// Only its uniqueness matters for safety, so the number may be used long after it was reserved, also while the store is
// down.
func reserveTerm(ctx context.Context, table port.KeyValueStore, service string, floor uint64, attempt string) (uint64, error) {
	rec, err := reserveIn(ctx, table, service, floor, attempt)
	return rec.LastTerm, err
}

// reserveIn is reserveTerm, and returns the record with the reservation.
func reserveIn(ctx context.Context, table port.KeyValueStore, service string, floor uint64, attempt string) (termRecord, error) {
	return changeTerm(ctx, table, service, attempt, func(t *termRecord) bool {
		t.LastTerm = max(t.LastTerm, floor) + 1
		return true
	})
}

// recordPrimary notes the primary of a term, unless that of a newer term is noted, for operators and for VMs that start;
// nothing depends on it for safety. The attempt must be new.
//
// It does not look at the last term: the other watchers hold higher ones in reserve almost always.
func recordPrimary(ctx context.Context, table port.KeyValueStore, service, address string, term uint64, attempt string) error {
	_, err := changeTerm(ctx, table, service, attempt, func(t *termRecord) bool {
		if t.PrimaryTerm >= term {
			return false
		}
		t.LastTerm, t.Primary, t.PrimaryTerm = max(t.LastTerm, term), address, term
		return true
	})
	return err
}

// changeTerm applies change to the record unless change returns false, and returns the record afterwards. An error means
// that the change may or may not have taken effect, except with the code result.NoTerm: then it has not, or a number was
// skipped.
func changeTerm(
	ctx context.Context, table port.KeyValueStore, service, attempt string, change func(*termRecord) bool,
) (termRecord, error) {
	for range reserveTries {
		rec, t, err := readTerm(ctx, table, service)
		if err != nil {
			return termRecord{}, err
		}
		if !change(&t) {
			return t, nil
		}
		t.Attempt = attempt
		value, err := cbor.Marshal(t)
		if err != nil {
			return termRecord{}, result.Wrap(result.Internal, err, "encoding the term record of service %q", service)
		}
		err = table.Commit(ctx, []port.VersionCheck{{Key: rec.Key, Version: rec.Version}}, []port.Write{{Key: rec.Key, Value: value}})
		if err == nil {
			return t, nil
		}
		if result.CodeOf(err) == result.RevisionConflict {
			continue
		}
		// The write may have taken effect although its answer was lost.
		if _, now, readErr := readTerm(ctx, table, service); readErr == nil && now == t {
			return t, nil
		}
		return termRecord{}, err
	}
	return termRecord{}, result.New(result.NoTerm, "service %q: other VMs changed the term record %d times", service,
		reserveTries)
}

func readTerm(ctx context.Context, table port.KeyValueStore, service string) (port.Record, termRecord, error) {
	rec, err := table.Get(ctx, TermKey(service))
	if err != nil {
		return port.Record{}, termRecord{}, err
	}
	rec.Key = TermKey(service)
	var t termRecord
	if rec.Version == 0 {
		return rec, t, nil
	}
	if err := cbor.Unmarshal(rec.Value, &t); err != nil {
		return port.Record{}, termRecord{}, result.Wrap(result.Internal, err, "decoding the term record of service %q", service)
	}
	return rec, t, nil
}

func attemptID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return hex.EncodeToString(b)
}
