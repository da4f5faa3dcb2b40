package membership

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// HeartbeatPrefix is the key prefix of the records of a HeartbeatDetector. It
// differs from MemberPrefix, so that the two detectors never read each other's
// records.
const HeartbeatPrefix = "heartbeat-members/"

// heartbeatRecord is the value of a member's key, encoded as JSON. It is attached
// to no lease: a record exists until its member withdraws or is removed.
type heartbeatRecord struct {
	Member Member
	// Accused marks a member that left its peers' probes unanswered. The member
	// refutes this by writing the record without the mark; otherwise it is
	// removed.
	Accused bool
	// Refutations counts the accusations that the member refuted recently; see
	// refutationWindow.
	Refutations int
}

func (r heartbeatRecord) encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return encoded
}

// registeredMember is the newest observed record of a member.
type registeredMember struct {
	record      heartbeatRecord
	modRevision int64
	// seenAt is when this node first observed this revision of the record.
	seenAt time.Time
}

// registeredMembers holds the records by member name.
type registeredMembers map[string]*registeredMember

// observe stores a record and reports whether it is newer than the stored one. It
// returns an error if the record can't be decoded.
func (m registeredMembers) observe(keyValue outside.KeyValue, now time.Time) (bool, error) {
	var record heartbeatRecord
	if err := json.Unmarshal(keyValue.Value, &record); err != nil {
		return false, err
	}
	name := keyValue.Key[len(HeartbeatPrefix):]
	entry := m[name]
	if entry != nil && entry.modRevision >= keyValue.ModRevision {
		return false, nil
	}
	m[name] = &registeredMember{record: record, modRevision: keyValue.ModRevision, seenAt: now}
	return true, nil
}

// remove deletes a record that did not exist at the revision, unless a newer one
// is stored.
func (m registeredMembers) remove(name string, revision int64) {
	entry := m[name]
	if entry != nil && entry.modRevision <= revision {
		delete(m, name)
	}
}

// replace applies a snapshot of all records. It returns the last decoding error;
// the other records are applied even so.
func (m registeredMembers) replace(snapshot outside.RangeResult, now time.Time) error {
	present := make(map[string]bool, len(snapshot.KeyValues))
	var failure error
	for _, keyValue := range snapshot.KeyValues {
		present[keyValue.Key[len(HeartbeatPrefix):]] = true
		if _, err := m.observe(keyValue, now); err != nil {
			failure = err
		}
	}
	for name := range m {
		if !present[name] {
			m.remove(name, snapshot.Revision)
		}
	}
	return failure
}
