package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// noticeRetention is how long the notice of an incarnation that is no longer registered is
// kept: its record may reappear unchanged when an unavailable store returns.
const noticeRetention = 10 * time.Minute

// supersededTTL exceeds the time for which another node, or a late response, may repeat a notice
// without a birth after it has ended.
const supersededTTL = time.Minute

// leavingNotices are the notices of servers that are leaving, by server ID. An incarnation
// never withdraws its notice: only another incarnation under the same ID can be used again.
type leavingNotices map[string]leavingNotice

type leavingNotice struct {
	born       int64
	receivedAt time.Time
	// address and created are those of the record at the time of the notice; zero if unknown.
	address string
	created int64
	// recreated: the record has been created since the notice, by the same incarnation after an
	// outage of the store or by another one.
	recreated bool
	// endedAt is set once another incarnation is known to use the ID, or must be assumed to.
	endedAt time.Time
}

// add stores the notice of an incarnation, and drops old ones. It reports whether the notice is
// new.
func (l leavingNotices) add(incarnation Incarnation, records map[string]*Server) bool {
	incarnation = incarnation.WithPlausibleBirth()
	record := records[incarnation.ID]
	if record != nil && bornLater(record.Born, incarnation.Born) {
		// A late notice: another incarnation has started since.
		return false
	}
	now := time.Now()
	before, known := l[incarnation.ID]
	if known && !before.replaceableBy(incarnation, now) {
		return false
	}
	maps.DeleteFunc(l, func(id string, notice leavingNotice) bool {
		return records[id] == nil && now.Sub(notice.receivedAt) > noticeRetention
	})
	notice := leavingNotice{born: incarnation.Born, receivedAt: now, recreated: record == nil}
	if record != nil {
		notice.address, notice.created = record.Address, record.Created
	}
	l[incarnation.ID] = notice
	return true
}

// replaceableBy reports whether a notice of the incarnation is a new one.
func (n leavingNotice) replaceableBy(incarnation Incarnation, now time.Time) bool {
	if n.ended() {
		return incarnation.Born != 0 || now.Sub(n.endedAt) > supersededTTL
	}
	return bornLater(incarnation.Born, n.born)
}

func (n leavingNotice) ended() bool { return !n.endedAt.IsZero() }

// observeRecord compares a record with the notice for its ID. What the notice lacks is taken from
// the record; the notice ends if the record is of another incarnation.
func (l leavingNotices) observeRecord(record *Server) {
	notice, leaves := l[record.ID]
	if !leaves || notice.ended() {
		return
	}
	if bornLater(record.Born, notice.born) {
		delete(l, record.ID)
		return
	}
	l[record.ID] = notice.observe(record)
}

// observe returns the notice after a record that has no known later birth.
func (n leavingNotice) observe(record *Server) leavingNotice {
	born := plausibleBirth(record.Born)
	if born == 0 || n.born == 0 {
		n.compareRecord(record)
	}
	if n.ended() {
		return n
	}
	// The notice came without the time of birth.
	n.born = cmp.Or(n.born, born)
	n.address, n.created = cmp.Or(n.address, record.Address), cmp.Or(n.created, record.Created)
	return n
}

// compareRecord ends the notice if a record without a comparable birth is at another address. One
// that was created again may be of the same incarnation: records expire in outages of the store.
func (n *leavingNotice) compareRecord(record *Server) {
	if n.address != "" && n.address != record.Address {
		n.endedAt = time.Now()
		return
	}
	n.recreated = n.recreated || n.created != 0 && n.created != record.Created
	if n.recreated && time.Since(n.receivedAt) > noticeRetention {
		n.endedAt = time.Now()
	}
}

// expire ends the notices that hold no longer, and returns the IDs of their servers.
func (l leavingNotices) expire(records map[string]*Server) []string {
	var ids []string
	for id, notice := range l {
		record := records[id]
		if record == nil || notice.ended() {
			continue
		}
		if l.observeRecord(record); l[id].ended() {
			ids = append(ids, id)
		}
	}
	maps.DeleteFunc(l, func(_ string, notice leavingNotice) bool {
		return notice.ended() && time.Since(notice.endedAt) > supersededTTL
	})
	return ids
}

// has reports whether an incarnation is leaving.
func (l leavingNotices) has(incarnation Incarnation) bool {
	notice, leaves := l[incarnation.ID]
	return leaves && !notice.ended() && !bornLater(incarnation.Born, notice.born)
}

// unrecorded returns the leaving incarnations whose records say that they are ready, in order
// of ID.
func (l leavingNotices) unrecorded(records map[string]*Server) []Incarnation {
	var incarnations []Incarnation
	for id, notice := range l {
		if record := records[id]; record != nil && !record.Draining && !notice.ended() {
			incarnations = append(incarnations, Incarnation{ID: id, Born: notice.born})
		}
	}
	slices.SortFunc(incarnations, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return incarnations
}

// bornLater reports whether a birth is known to be later than another one.
func bornLater(born, than int64) bool {
	return than != 0 && born > than && plausibleBirth(born) != 0
}
