package keyvalue

import (
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Kind is a kind of operation, for counting.
type Kind uint8

// The kinds of operation.
const (
	KindTransact Kind = iota
	KindRange
	KindGrantLease
	KindKeepAlive
	KindRevokeLease
	KindWatch

	kindCount
)

var kindNames = [kindCount]string{"transact", "range", "grant_lease", "keep_alive", "revoke_lease", "watch"}

// String returns the kind's word.
func (k Kind) String() string { return kindNames[k] }

func (k Kind) writes() bool { return k != KindRange && k != KindWatch }

// Counters count what a store was asked and what came of it.
type Counters struct {
	// Operations asked, by kind, the refused included.
	Operations [kindCount]uint64
	// Refused operations, by kind.
	Refused [kindCount]uint64
	// RepliesLost, WatchGaps and LeasesExpired count events.
	RepliesLost   uint64
	WatchGaps     uint64
	LeasesExpired uint64
	// WatchMessages sent, progress messages included.
	WatchMessages uint64
}

// Total returns the number of operations asked.
func (c Counters) Total() uint64 {
	total := uint64(0)
	for _, count := range c.Operations {
		total += count
	}
	return total
}

// Counters returns the counts so far.
func (s *Store) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counters
}

// Cause says what made a change.
type Cause string

// The causes of a change.
const (
	CauseTransaction Cause = "transaction"
	CauseRevoke      Cause = "revoke"
	CauseExpiry      Cause = "expiry"
)

// Record is one committed change of recorded keys, for checkers.
type Record struct {
	Revision int64
	// Time by the store's clock.
	Time   time.Time
	Cause  Cause
	Events []outside.WatchEvent
}

// Records returns the records of later revisions. The slice must not be
// changed.
func (s *Store) Records(afterRevision int64) []Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i := range s.records {
		if s.records[i].Revision > afterRevision {
			return s.records[i:len(s.records):len(s.records)]
		}
	}
	return nil
}

func (s *Store) record(cause Cause, events []outside.WatchEvent) {
	var recorded []outside.WatchEvent
	for _, event := range events {
		if s.isRecorded(event.KeyValue.Key) {
			recorded = append(recorded, event)
		}
	}
	if len(recorded) == 0 {
		return
	}
	s.records = append(s.records, Record{Revision: s.revision, Time: s.clock.Now(), Cause: cause, Events: recorded})
}

func (s *Store) isRecorded(key string) bool {
	for _, prefix := range s.options.RecordPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
