package membership

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// HeartbeatPrefix is where a HeartbeatDetector registers members. It differs
// from MemberPrefix, so that the two detectors never read each other's records.
const HeartbeatPrefix = "heartbeat-members/"

// heartbeatRecord is the value of a member's key. It is under no lease: a
// record stands until its member withdraws or is removed.
type heartbeatRecord struct {
	Member Member
	// Accused: the member left its peers' probes unanswered. It writes the
	// record anew without the accusation, or is removed.
	Accused bool
	// Refutations counts the accusations that the member refuted lately.
	Refutations int
}

func (r heartbeatRecord) encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return encoded
}

// registeredMember is a record as last seen.
type registeredMember struct {
	record      heartbeatRecord
	modRevision int64
	// seenAt is when this node first saw this revision of the record.
	seenAt time.Time
}

// registeredMembers are all records by the members' names.
type registeredMembers map[string]*registeredMember

// observe takes notice of a record; it reports whether that is news.
func (m registeredMembers) observe(keyValue outside.KeyValue, now time.Time) (bool, error) {
	var record heartbeatRecord
	if err := json.Unmarshal(keyValue.Value, &record); err != nil {
		return false, err
	}
	name := keyValue.Key[len(HeartbeatPrefix):]
	known := m[name]
	if known != nil && known.modRevision >= keyValue.ModRevision {
		return false, nil
	}
	m[name] = &registeredMember{record: record, modRevision: keyValue.ModRevision, seenAt: now}
	return true, nil
}

// remove forgets a record that was absent at a revision.
func (m registeredMembers) remove(name string, revision int64) {
	known := m[name]
	if known != nil && known.modRevision <= revision {
		delete(m, name)
	}
}

// replace takes a reading of all records.
func (m registeredMembers) replace(reading outside.RangeResult, now time.Time) error {
	present := make(map[string]bool, len(reading.KeyValues))
	var failure error
	for _, keyValue := range reading.KeyValues {
		present[keyValue.Key[len(HeartbeatPrefix):]] = true
		if _, err := m.observe(keyValue, now); err != nil {
			failure = err
		}
	}
	for name := range m {
		if !present[name] {
			m.remove(name, reading.Revision)
		}
	}
	return failure
}
