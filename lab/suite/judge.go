package suite

import (
	"slices"
	"strings"
)

// unexplained returns the failures of a run of listed tests that no entry covers. A test above a listed subtest fails with it;
// its own checks decide in the run without the listed tests.
func unexplained(r *results, list []Entry) []testKey {
	var keys []testKey
	for _, k := range r.bad() {
		covered := slices.ContainsFunc(list, func(e Entry) bool { return e.covers(k.pkg, k.test) || e.fails(r, k) })
		if !covered {
			keys = append(keys, k)
		}
	}
	return keys
}

// fails reports whether the entry's test is a subtest of k that failed or did not finish.
func (e Entry) fails(r *results, k testKey) bool {
	rec := r.records[testKey{e.pkg, e.test}]
	return e.pkg == k.pkg && k.test != "" && strings.HasPrefix(e.test, k.test+"/") && rec != nil && rec.bad()
}

// unmatched returns the entries whose test does not exist. A package whose process ended before its tests did, or that was
// not built, tells nothing about them.
func unmatched(r *results, list []Entry) []Entry {
	ended := map[string]bool{}
	for _, k := range r.order {
		if k.test != "" && r.records[k].outcome == running {
			ended[k.pkg] = true
		}
	}
	var missing []Entry
	for _, e := range list {
		if r.records[testKey{e.pkg, e.test}] == nil && !ended[e.pkg] {
			missing = append(missing, e)
		}
	}
	return missing
}
