package tablestore

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/table"
)

// replica is a node's copy of the table: the newest snapshot and the latest
// entries that led to it. Its revision never decreases, unless acceptOlder is
// set.
type replica struct {
	mutex    sync.RWMutex
	snapshot *table.Snapshot
	// recent are entries without gaps; the last one led to the snapshot.
	recent []LogEntry
	// limit is the maximum length of recent.
	limit int
	// acceptOlder is Options.AcceptOlder.
	acceptOlder bool
	// loaded is true once the table was read, even if it was empty.
	loaded bool
}

func newReplica(limit int) *replica {
	return &replica{snapshot: table.NewSnapshot(0, nil), limit: limit}
}

func (r *replica) current() *table.Snapshot {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.snapshot
}

func (r *replica) isLoaded() bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.loaded
}

func (r *replica) setLoaded() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded = true
}

// apply applies the entries that follow the present revision and returns
// them. Entries must be in order; those already applied and those after a gap
// are skipped.
func (r *replica) apply(entries []LogEntry) (applied []LogEntry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, entry := range entries {
		if entry.Revision != entry.Delta.To || entry.Revision != r.snapshot.Revision()+1 {
			continue
		}
		next, err := r.snapshot.Apply(entry.Delta)
		if err != nil {
			continue
		}
		r.snapshot = next
		r.appendRecentLocked(entry)
		applied = append(applied, entry)
	}
	r.loaded = r.loaded || len(applied) > 0
	return applied
}

func (r *replica) appendRecentLocked(entry LogEntry) {
	if len(r.recent) >= r.limit {
		kept := r.recent[len(r.recent)-r.limit+1:]
		r.recent = append(make([]LogEntry, 0, 2*r.limit), kept...)
	}
	r.recent = append(r.recent, entry)
}

// install replaces the table by a newer snapshot. It reports whether it did.
func (r *replica) install(revision table.Revision, rows []table.Row) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision <= r.snapshot.Revision() && !r.acceptOlder {
		return false
	}
	r.snapshot = table.NewSnapshot(revision, rows)
	r.recent = nil
	r.loaded = true
	return true
}

// since returns the entries after a revision, and whether all of them are still
// kept. The slice must not be modified.
func (r *replica) since(revision table.Revision) ([]LogEntry, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	missing := int(r.snapshot.Revision() - revision)
	if missing <= 0 {
		return nil, true
	}
	if missing > len(r.recent) {
		return nil, false
	}
	return r.recent[len(r.recent)-missing : len(r.recent) : len(r.recent)], true
}
