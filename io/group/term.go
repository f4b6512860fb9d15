package group

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/port"
	"verbenagate/core/result"
)

// maxTermRecordAttempts bounds how often one update of the term record is tried when other VMs update it at the same time.
const maxTermRecordAttempts = 8

// termRecord is the group's record in the table service. Attempt identifies the last write, so that a writer whose answer was
// lost recognises its own write. PrimaryTerm is the term of Primary. LastTerm is the highest term reserved or recorded; it
// exceeds PrimaryTerm while terms are held in reserve.
type termRecord struct {
	LastTerm    uint64 `cbor:"1,keyasint"`
	Primary     string `cbor:"2,keyasint,omitempty"`
	Attempt     string `cbor:"3,keyasint,omitempty"`
	PrimaryTerm uint64 `cbor:"4,keyasint,omitempty"`
}

// TermKey returns the key of a service's term record in the table service.
func TermKey(service string) string { return "group/" + service }

// reserveTerm returns a term above floor that no other VM has reserved or will reserve. The attempt id must be new.
//
// Safety depends only on the uniqueness of the term, so it may be used long after it was reserved, also while the store is
// down.
func reserveTerm(ctx context.Context, table port.KeyValueStore, service string, floor uint64, attempt string) (uint64, error) {
	rec, err := reserveTermInRecord(ctx, table, service, floor, attempt)
	return rec.LastTerm, err
}

// reserveTermInRecord reserves a term like reserveTerm and returns the updated record. The reserved term is its LastTerm.
func reserveTermInRecord(
	ctx context.Context, table port.KeyValueStore, service string, floor uint64, attempt string,
) (termRecord, error) {
	return updateTermRecord(ctx, table, service, attempt, func(t *termRecord) bool {
		t.LastTerm = max(t.LastTerm, floor) + 1
		return true
	})
}

// recordPrimary writes the primary of a term into the record unless the record names the primary of the same or a newer term.
// Operators and VMs that start read it; safety does not depend on it. The attempt id must be new.
//
// It does not compare with LastTerm, because the other watchers almost always hold higher terms in reserve.
func recordPrimary(ctx context.Context, table port.KeyValueStore, service, address string, term uint64, attempt string) error {
	_, err := updateTermRecord(ctx, table, service, attempt, func(t *termRecord) bool {
		if t.PrimaryTerm >= term {
			return false
		}
		t.LastTerm, t.Primary, t.PrimaryTerm = max(t.LastTerm, term), address, term
		return true
	})
	return err
}

// updateTermRecord applies change to the record and writes it, unless change returns false. It returns the record afterwards.
// After an error the change may or may not have taken effect. With the code result.NoTerm it has not, or a term was skipped.
func updateTermRecord(
	ctx context.Context, table port.KeyValueStore, service, attempt string, change func(*termRecord) bool,
) (termRecord, error) {
	for range maxTermRecordAttempts {
		rec, t, err := readTermRecord(ctx, table, service)
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
		if _, current, readErr := readTermRecord(ctx, table, service); readErr == nil && current == t {
			return t, nil
		}
		return termRecord{}, err
	}
	return termRecord{}, result.New(result.NoTerm,
		"service %q: updating the term record failed %d times because other VMs changed it", service, maxTermRecordAttempts)
}

func readTermRecord(ctx context.Context, table port.KeyValueStore, service string) (port.Record, termRecord, error) {
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

func newAttemptID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return hex.EncodeToString(b)
}
