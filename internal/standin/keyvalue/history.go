package keyvalue

import (
	"sort"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// revisionEvents are the changes of one revision.
type revisionEvents struct {
	revision int64
	events   []outside.WatchEvent
}

// history keeps the changes of recent revisions for watches that start in the
// past.
type history struct {
	limit int
	// compacted is the newest revision whose changes are no longer kept.
	compacted int64
	revisions []revisionEvents
}

func (h *history) add(added revisionEvents) {
	h.revisions = append(h.revisions, added)
	if excess := len(h.revisions) - h.limit; excess > 0 {
		h.compactTo(h.revisions[excess-1].revision)
	}
}

// after returns the kept changes of later revisions.
func (h *history) after(revision int64) []revisionEvents {
	return h.revisions[h.firstAfter(revision):]
}

func (h *history) firstAfter(revision int64) int {
	return sort.Search(len(h.revisions), func(i int) bool { return h.revisions[i].revision > revision })
}

func (h *history) compactTo(revision int64) {
	if revision <= h.compacted {
		return
	}
	h.compacted = revision
	kept := h.firstAfter(revision)
	clear(h.revisions[:kept])
	h.revisions = h.revisions[kept:]
}

// Compact forgets the changes up to and including the revision. A watch from
// an earlier revision ends with outside.ErrCompacted.
func (s *Store) Compact(revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.compactTo(min(revision, s.revision))
}

// Compacted returns the newest revision whose changes are no longer kept.
func (s *Store) Compacted() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.compacted
}
