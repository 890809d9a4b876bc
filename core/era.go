package core

// Era counts how often the platform's store has gone back to an earlier copy of
// itself. Its revisions start again from those of the copy, so that one names
// another change in each era. 0 is the era of a store that does not tell.
type Era uint64

// eraShift is the number of bits of a revision below its era. They have room for
// the revisions of 9,000 years at 1,000 changes a second.
const eraShift = 48

// maxEra is the latest era that a revision has room for.
const maxEra Era = 1<<(64-eraShift) - 1

// NewRevision returns the revision with the number that the store gave it in an
// era. Revisions of a later era are greater than all of an earlier one.
func NewRevision(era Era, number uint64) uint64 {
	return uint64(min(era, maxEra))<<eraShift | number&(1<<eraShift-1)
}

// EraOfRevision returns the era in which the store gave a revision.
func EraOfRevision(revision uint64) Era { return Era(revision >> eraShift) }

// RevisionNumber returns the number that the store gave a revision.
func RevisionNumber(revision uint64) uint64 { return revision & (1<<eraShift - 1) }
