package spread

const (
	// RetainedRevisions is how many of the newest revisions stay in the table's log. It exceeds maxLogRevisions, so that the
	// log still holds any revision that a VM compares or writes back, and it exceeds the 1,000 revisions that operators see.
	RetainedRevisions = 1024
	// RevisionsPerFold is how many revisions one transaction moves from the log into the base, the configuration as of an older
	// revision: 32 revisions of 6.1 KB are 195 KB.
	RevisionsPerFold = 32
	// maxFoldTransactions bounds the transactions that one change causes. A log of 1.13 million revisions, a year of 3,100
	// changes a day, is folded within six days, because every 32 changes move 2,048 revisions.
	maxFoldTransactions = 64
)

// FoldTransactions returns how many transactions of RevisionsPerFold revisions a VM may carry out after it accepted the
// revision accepted, when the base ends with the revision through. It is 0 after most changes, and ChecksFold spares most of
// them reading the base.
func FoldTransactions(accepted, through uint64) int {
	if accepted < through+RetainedRevisions {
		return 0
	}
	return int(min((accepted-through-RetainedRevisions)/RevisionsPerFold, maxFoldTransactions))
}

// ChecksFold reports whether the VM that accepted a revision must read the base and check whether to fold the log. The next VM
// to do so also folds what a VM that died has left.
func ChecksFold(accepted uint64) bool {
	return accepted > RetainedRevisions && accepted%RevisionsPerFold == 0
}
