package tablestore

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/table"
)

// replica is a node's copy of the table: the newest snapshot, and the entries
// that led to it. Its revision never goes down.
type replica struct {
	mutex    sync.RWMutex
	snapshot *table.Snapshot
	// recent entries, without gaps, the last one being the snapshot's.
	recent []LogEntry
	limit  int
	// acceptOlder as in Options.
	acceptOlder bool
	// loaded: the table was read at least once, be it empty.
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

// advance applies the entries that follow the present revision and returns
// them. Entries must be in order; old ones are skipped and those after a gap
// are left out.
func (r *replica) advance(entries []LogEntry) (applied []LogEntry) {
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
		r.rememberLocked(entry)
		applied = append(applied, entry)
	}
	r.loaded = r.loaded || len(applied) > 0
	return applied
}

func (r *replica) rememberLocked(entry LogEntry) {
	if len(r.recent) >= r.limit {
		kept := r.recent[len(r.recent)-r.limit+1:]
		r.recent = append(make([]LogEntry, 0, 2*r.limit), kept...)
	}
	r.recent = append(r.recent, entry)
}

// install replaces the table by a newer snapshot.
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

// since returns the entries after a revision, and whether all are known. The
// slice must not be changed.
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
