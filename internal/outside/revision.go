package outside

// A service that is restored from a backup gives out revisions again. So the upper bits of a
// revision count the restores, as far as the binding can tell them: the era. Revisions then
// rise for as long as the service is used, and those of different eras are never equal.
// Without restores, a revision is the service's own.

// revisionBits hold the service's own revision: enough for 1,000 writes a second for 34 years.
// Eras up to 8,191 stay exact in numbers of 53 bits, as JSON has them.
const revisionBits = 40

// RevisionOf returns the revision for the service's own revision in an era. Zero, which stands
// for a key that does not exist, stays zero.
func RevisionOf(era, own int64) int64 {
	if own == 0 {
		return 0
	}
	return era<<revisionBits | own
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> revisionBits }

// OwnRevision returns the service's own revision.
func OwnRevision(revision int64) int64 { return revision & (1<<revisionBits - 1) }
