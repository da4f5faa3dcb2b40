package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// leavingKept is how long a life that is not listed any more is remembered: its record may
// come back, as it was, when a store that was away returns.
const leavingKept = 10 * time.Minute

// leavingLives are the lives of servers that told that they leave, by ID. A life that leaves
// never takes it back: only another life under the same ID is of use again.
type leavingLives map[string]leavingLife

type leavingLife struct {
	born   int64
	toldAt time.Time
}

// add notes a life, and forgets those that ended long ago. It reports whether that was new.
func (l leavingLives) add(life Incarnation, records map[string]*Server) bool {
	if record := records[life.ID]; record != nil && later(record.Born, life.Born) {
		// The word came late: another life has begun since.
		return false
	}
	before, known := l[life.ID]
	if known && !later(life.Born, before.born) {
		return false
	}
	now := time.Now()
	maps.DeleteFunc(l, func(id string, ended leavingLife) bool {
		return records[id] == nil && now.Sub(ended.toldAt) > leavingKept
	})
	l[life.ID] = leavingLife{born: life.Born, toldAt: now}
	return true
}

// record takes over the life of which a record tells: the one that leaves, or a later one.
func (l leavingLives) record(record *Server) {
	known, leaves := l[record.ID]
	switch {
	case !leaves:
	case later(record.Born, known.born):
		delete(l, record.ID)
	case known.born == 0:
		// Whoever told of the server before did not know its birth.
		known.born = record.Born
		l[record.ID] = known
	}
}

// has reports whether a life leaves.
func (l leavingLives) has(life Incarnation) bool {
	known, leaves := l[life.ID]
	return leaves && !later(life.Born, known.born)
}

// unrecorded are the lives whose records say that they are ready, in order of ID.
func (l leavingLives) unrecorded(records map[string]*Server) []Incarnation {
	var lives []Incarnation
	for id, known := range l {
		if record := records[id]; record != nil && !record.Draining {
			lives = append(lives, Incarnation{ID: id, Born: known.born})
		}
	}
	slices.SortFunc(lives, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return lives
}

// later reports whether a birth is known to be after another one.
func later(born, than int64) bool { return born != 0 && than != 0 && born > than }
