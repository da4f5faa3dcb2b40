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

// Limits of the data kept in the key-value service.
const (
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 64
	// maxSnapshots is the number of snapshots kept.
	maxSnapshots = 2
	// maxLogEntries is the number of revisions whose deltas are kept. It covers
	// all revisions after the oldest snapshot kept.
	maxLogEntries = 256
	// maxHistoryRecords is the number of revisions whose history record is kept.
	maxHistoryRecords = 512
	// maxHeadDeltaBytes is the largest encoded log entry whose delta is
	// repeated in the head.
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

// HistoryRecord describes one accepted edit without the contents of its rows.
type HistoryRecord struct {
	Revision table.Revision
	Author   string
	Comment  string
	Time     time.Time
	// Changed and Removed are names of rows, in order.
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

// headRecord identifies the newest revision. It repeats the newest log entry,
// so that watchers of the head need no further read.
type headRecord struct {
	Entry LogEntry
	// DeltaOmitted is true if the encoded entry exceeds maxHeadDeltaBytes; its
	// delta is then only in the log.
	DeltaOmitted bool
}

// snapshotRecord is the whole table at one revision.
type snapshotRecord struct {
	Revision table.Revision
	Rows     []table.Row
}
