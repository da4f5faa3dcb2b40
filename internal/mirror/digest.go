package mirror

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// driftPause is the shortest time between two reads of everything because of a
// difference in digests, so that a difference that a read does not mend costs
// little: an estimate, not measured.
const driftPause = 30 * time.Second

// Digest is noRecords and a sum of hashes over a set of records, whatever their
// order. Zero says that there is nothing to compare.
type Digest uint64

// noRecords is the digest of an empty set.
const noRecords Digest = 1

func (d *Digest) add(record ServerRecord) { *d += Digest(record.hash()) }

// remove takes a record out that is part of the set.
func (d *Digest) remove(record ServerRecord) { *d -= Digest(record.hash()) }

// hash depends on all that equal compares but the birth.
func (r ServerRecord) hash() uint64 {
	var encoded []byte
	text := func(value string) {
		encoded = binary.AppendUvarint(encoded, uint64(len(value)))
		encoded = append(encoded, value...)
	}
	for _, value := range []string{r.ID, r.Pool, r.Address, r.Zone} {
		text(value)
	}
	draining := uint64(0)
	if r.Draining {
		draining = 1
	}
	for _, value := range []uint64{uint64(r.Slots), draining, uint64(r.Created), uint64(len(r.Models))} {
		encoded = binary.AppendUvarint(encoded, value)
	}
	for _, model := range r.Models {
		text(model.Name)
		encoded = binary.AppendUvarint(encoded, uint64(len(model.Adapters)))
		for _, adapter := range model.Adapters {
			text(adapter)
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write(encoded) // A hash takes everything.
	return hash.Sum64()
}

// digestNow is the digest of what the store held at the revision up to which
// everything is known; zero if that is not known exactly. It must be called with
// the lock held.
func (m *Mirror) digestNow() Digest {
	if m.revision == 0 || m.partial || m.revision < m.known.since {
		return 0
	}
	return m.known.digest
}

// compare reads everything again if another node knows other records for the same
// revision. Which of the two is wrong can't be seen, so both do. It must be called
// with the lock held.
func (m *Mirror) compare(other Digest, revision int64, node string, now time.Time) {
	own := m.digestNow()
	if other == 0 || own == 0 || other == own || revision != m.revision {
		return
	}
	m.drifted = m.driftAt.IsZero() || now.Sub(m.driftAt) >= driftPause
	m.config.Logger.Warn().Str("node", node).Int64("revision", revision).Uint64("digest", uint64(own)).
		Uint64("digest_there", uint64(other)).Int("servers", len(m.known.servers)).Bool("reads_again", m.drifted).
		Msg("servers known differ between nodes")
}
