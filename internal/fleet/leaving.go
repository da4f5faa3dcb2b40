package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// noticeRetention is how long the notice of an incarnation that is no longer registered is
// kept: its record may reappear unchanged when an unavailable store returns.
const noticeRetention = 10 * time.Minute

// leavingNotices are the notices of servers that are leaving, by server ID. An incarnation
// never withdraws its notice: only another incarnation under the same ID can be used again.
type leavingNotices map[string]leavingNotice

type leavingNotice struct {
	born       int64
	receivedAt time.Time
}

// add stores the notice of an incarnation, and drops old ones. It reports whether the notice is
// new.
func (l leavingNotices) add(incarnation Incarnation, records map[string]*Server) bool {
	incarnation = incarnation.WithPlausibleBirth()
	if record := records[incarnation.ID]; record != nil && bornLater(record.Born, incarnation.Born) {
		// A late notice: another incarnation has started since.
		return false
	}
	before, known := l[incarnation.ID]
	if known && !bornLater(incarnation.Born, before.born) {
		return false
	}
	now := time.Now()
	maps.DeleteFunc(l, func(id string, notice leavingNotice) bool {
		return records[id] == nil && now.Sub(notice.receivedAt) > noticeRetention
	})
	l[incarnation.ID] = leavingNotice{born: incarnation.Born, receivedAt: now}
	return true
}

// observeRecord compares a record with the notice for its ID. A birth that the notice lacks is
// taken from the record; the notice is dropped if the record is of a later incarnation.
func (l leavingNotices) observeRecord(record *Server) {
	notice, leaves := l[record.ID]
	switch {
	case !leaves:
	case bornLater(record.Born, notice.born):
		delete(l, record.ID)
	case notice.born == 0:
		// The notice came without the time of birth.
		notice.born = plausibleBirth(record.Born)
		l[record.ID] = notice
	}
}

// has reports whether an incarnation is leaving.
func (l leavingNotices) has(incarnation Incarnation) bool {
	notice, leaves := l[incarnation.ID]
	return leaves && !bornLater(incarnation.Born, notice.born)
}

// unrecorded returns the leaving incarnations whose records say that they are ready, in order
// of ID.
func (l leavingNotices) unrecorded(records map[string]*Server) []Incarnation {
	var incarnations []Incarnation
	for id, notice := range l {
		if record := records[id]; record != nil && !record.Draining {
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
