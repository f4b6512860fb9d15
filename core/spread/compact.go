package spread

const (
	// Retained is how many of the last revisions stay in the table's log. It exceeds logSize, so that any revision that a VM
	// compares or writes back is still there, and the 1,000 revisions that operators see.
	Retained = 1024
	// FoldSize is how many revisions one transaction moves from the log into the base: 32 of 6.1 KB are 195 KB.
	FoldSize = 32
	// maxFolds bounds what one change causes. A log of 1.13 million revisions, a year of 3,100 changes a day, is folded
	// within six days, because each 32 changes move 2,048.
	maxFolds = 64
)

// Folds returns how many transactions of FoldSize revisions the VM that accepted a revision may carry out when the base
// ends with the revision through. It is 0 for most changes, so that most do not even read the base; see FoldsAfter.
func Folds(accepted, through uint64) int {
	if accepted < through+Retained {
		return 0
	}
	return int(min((accepted-through-Retained)/FoldSize, maxFolds))
}

// FoldsAfter reports whether the VM that accepted a revision looks whether the log is to be folded. What a VM that died
// left undone, the next one does.
func FoldsAfter(accepted uint64) bool { return accepted > Retained && accepted%FoldSize == 0 }
