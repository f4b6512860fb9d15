package suite

import (
	"slices"
	"strings"
)

// unexpectedFailures returns the failures in a run of the listed tests that no entry covers. The parent of a listed subtest fails
// together with it and is not returned: its own checks run with the unlisted tests.
func unexpectedFailures(r *results, list []Entry) []testKey {
	var keys []testKey
	for _, k := range r.failures() {
		expected := slices.ContainsFunc(list, func(e Entry) bool { return e.covers(k.pkg, k.test) || e.isFailedSubtestOf(r, k) })
		if !expected {
			keys = append(keys, k)
		}
	}
	return keys
}

// isFailedSubtestOf reports whether the entry's test is a subtest of k that failed or did not finish.
func (e Entry) isFailedSubtestOf(r *results, k testKey) bool {
	rec := r.records[testKey{e.pkg, e.test}]
	return e.pkg == k.pkg && k.test != "" && strings.HasPrefix(e.test, k.test+"/") && rec != nil && rec.failedOrUnfinished()
}

// entriesWithoutTest returns the entries whose test does not exist. It leaves out the entries of a package whose process ended before
// all its tests did, because their tests may only not have been reached.
func entriesWithoutTest(r *results, list []Entry) []Entry {
	unfinishedPackages := map[string]bool{}
	for _, k := range r.order {
		if k.test != "" && r.records[k].outcome == running {
			unfinishedPackages[k.pkg] = true
		}
	}
	var missing []Entry
	for _, e := range list {
		if r.records[testKey{e.pkg, e.test}] == nil && !unfinishedPackages[e.pkg] {
			missing = append(missing, e)
		}
	}
	return missing
}
