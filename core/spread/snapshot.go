package spread

// Snapshot is the whole configuration as of one revision. Its body is opaque to this package.
type Snapshot struct {
	number uint64
	body   []byte
	log    []Revision
}

// NewSnapshot returns the snapshot of the configuration as of a revision.
func NewSnapshot(number uint64, body []byte) Snapshot { return Snapshot{number: number, body: body} }

// With returns s with the last revisions up to its number, given in ascending order. A VM that starts from s needs them to
// restore a store that returned to an older state. A log that has a gap or ends with another number is left out.
func (s Snapshot) With(log []Revision) Snapshot {
	for i, r := range log {
		if r.number+uint64(len(log)-1-i) != s.number {
			return s
		}
	}
	s.log = log[max(0, len(log)-maxLogRevisions):]
	return s
}

// Number returns the number of the last revision in the snapshot.
func (s Snapshot) Number() uint64 { return s.number }

// Body returns the encoded configuration. The caller must not change it.
func (s Snapshot) Body() []byte { return s.body }
