package mirror

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// driftReadInterval is the minimum time between two reads of the whole state because of differing
// digests, so that a difference which reading does not remove costs few calls.
const driftReadInterval = 30 * time.Second

// Digest is emptyDigest plus the sum of the hashes of a set of records, whatever their order. Zero
// means that there is nothing to compare.
type Digest uint64

// emptyDigest is the digest of an empty set.
const emptyDigest Digest = 1

func (d *Digest) add(record ServerRecord) { *d += Digest(record.hash()) }

// remove removes a record that is in the set.
func (d *Digest) remove(record ServerRecord) { *d -= Digest(record.hash()) }

// hash covers all fields that equal compares, except Born, SoftwareVersion, Undecoded and Held.
func (r ServerRecord) hash() uint64 {
	var encoded []byte
	for _, value := range []string{r.ID, r.Pool, r.Address, r.Zone} {
		encoded = appendText(encoded, value)
	}
	draining := uint64(0)
	if r.Draining {
		draining = 1
	}
	for _, value := range []uint64{uint64(r.Slots), draining, uint64(r.Created)} {
		encoded = binary.AppendUvarint(encoded, value)
	}
	encoded = appendModels(encoded, r.Models)
	hash := fnv.New64a()
	_, _ = hash.Write(encoded) // Writing to a hash never fails.
	return hash.Sum64()
}

// appendText appends a text with its length, so that no other sequence of texts is encoded alike.
func appendText(encoded []byte, text string) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(text)))
	return append(encoded, text...)
}

// appendModels appends the models with their adapters.
func appendModels(encoded []byte, models []ModelRecord) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(models)))
	for _, model := range models {
		encoded = appendText(encoded, model.Name)
		encoded = binary.AppendUvarint(encoded, uint64(len(model.Adapters)))
		for _, adapter := range model.Adapters {
			encoded = appendText(encoded, adapter)
		}
	}
	return encoded
}

// currentDigest is the digest of the records that the store held at revision; zero if they are not
// known exactly. It must be called with the lock held.
func (m *Mirror) currentDigest() Digest {
	if m.revision == 0 || m.partial || m.revision < m.state.baseRevision {
		return 0
	}
	return m.state.digest
}

// compareDigest makes this node read the whole state again if another node has other records for
// the same revision. It can't be determined which of the two is wrong, so both read again. It must
// be called with the lock held.
func (m *Mirror) compareDigest(other Digest, revision int64, node string, now time.Time) {
	own := m.currentDigest()
	if other == 0 || own == 0 || other == own || revision != m.revision {
		return
	}
	m.drifted = m.driftReadAt.IsZero() || now.Sub(m.driftReadAt) >= driftReadInterval
	m.config.Logger.Warn().Str("node", node).Int64("revision", revision).Uint64("digest", uint64(own)).
		Uint64("digest_there", uint64(other)).Int("servers", len(m.state.servers)).Bool("reads_again", m.drifted).
		Msg("servers known differ between nodes")
}
