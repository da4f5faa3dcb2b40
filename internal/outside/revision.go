package outside

// A service that is restored from a backup issues the same revisions again. The upper bits of
// a revision therefore hold the era, which counts the restores as far as the client can detect
// them. Revisions thus increase across restores, and revisions of different eras are never
// equal. In era 0, before any restore, a revision equals the service's own.

// revisionBits is the number of low bits that hold the service's own revision: enough for
// 1,000 writes per second for 34 years. Revisions of eras up to 8,191 fit into 53 bits, the
// integers that JSON numbers represent exactly.
const revisionBits = 40

// RevisionOf combines an era and the service's own revision. Zero, which denotes a key that
// does not exist, stays zero.
func RevisionOf(era, own int64) int64 {
	if own == 0 {
		return 0
	}
	return era<<revisionBits | own
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> revisionBits }

// OwnRevision returns the part of a revision that is the service's own.
func OwnRevision(revision int64) int64 { return revision & (1<<revisionBits - 1) }
