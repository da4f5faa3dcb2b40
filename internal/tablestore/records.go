package tablestore

import (
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// Keys in the key-value service.
const (
	headKey        = "table/head"
	logPrefix      = "table/log/"
	snapshotPrefix = "table/snapshot/"
	historyPrefix  = "table/history/"
)

// How much is kept in the key-value service.
const (
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 64
	// snapshotsKept is the number of snapshots kept.
	snapshotsKept = 2
	// logKept is the number of revisions whose deltas are kept. It covers all
	// revisions after the oldest snapshot kept.
	logKept = 256
	// historyKept is the number of revisions whose history is kept.
	historyKept = 512
	// maxHeadDeltaBytes is the largest encoded delta repeated in the head.
	maxHeadDeltaBytes = 64 << 10
)

func logKey(revision table.Revision) string { return fmt.Sprintf("%s%012d", logPrefix, revision) }

func snapshotKey(revision table.Revision) string {
	return fmt.Sprintf("%s%012d", snapshotPrefix, revision)
}

func historyKey(revision table.Revision) string {
	return fmt.Sprintf("%s%012d", historyPrefix, revision)
}

// LogEntry is one accepted edit.
type LogEntry struct {
	Revision table.Revision
	// Token is unique to the proposal that became the revision.
	Token   string
	Author  string
	Comment string
	Time    time.Time
	Delta   table.Delta
}

// HistoryRecord tells of one accepted edit without its rows.
type HistoryRecord struct {
	Revision table.Revision
	Author   string
	Comment  string
	Time     time.Time
	// Changed and Removed are the names of rows, in order.
	Changed []string
	Removed []string
}

func (e LogEntry) history() HistoryRecord {
	record := HistoryRecord{
		Revision: e.Revision, Author: e.Author, Comment: e.Comment, Time: e.Time, Removed: e.Delta.Removed,
	}
	for index := range e.Delta.Changed {
		record.Changed = append(record.Changed, e.Delta.Changed[index].Name)
	}
	return record
}

// headRecord names the newest revision. It repeats the newest entry, so that
// who watches the head needs to read nothing else.
type headRecord struct {
	Entry LogEntry
	// DeltaOmitted: the delta is too large to be repeated here.
	DeltaOmitted bool
}

// snapshotRecord is the whole table at one revision.
type snapshotRecord struct {
	Revision table.Revision
	Rows     []table.Row
}
