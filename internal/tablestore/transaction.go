package tablestore

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// buildTransaction returns the transaction that makes the entry the newest
// revision, provided that the head still has the given mod revision. It also
// deletes records beyond the limits of what is kept.
func buildTransaction(entry LogEntry, next *table.Snapshot, headModRevision int64) (outside.Transaction, error) {
	encodedEntry, err := encodeRecord(entry)
	if err != nil {
		return outside.Transaction{}, err
	}
	head := headRecord{Entry: entry}
	if len(encodedEntry) > maxHeadDeltaBytes {
		head.DeltaOmitted = true
		head.Entry.Delta = table.Delta{}
	}
	builder := &transactionBuilder{}
	builder.put(headKey, head)
	builder.operations = append(builder.operations, outside.Operation{Key: logKey(entry.Revision), Value: encodedEntry})
	builder.put(historyKey(entry.Revision), entry.history())
	builder.deleteExpired(logKey, entry.Revision-maxLogEntries)
	builder.deleteExpired(historyKey, entry.Revision-maxHistoryRecords)
	if entry.Revision%snapshotInterval == 0 {
		builder.put(snapshotKey(entry.Revision), snapshotRecord{Revision: entry.Revision, Rows: next.Rows()})
		builder.deleteExpired(snapshotKey, entry.Revision-maxSnapshots*snapshotInterval)
	}
	return outside.Transaction{
		Compares:   []outside.Compare{{Key: headKey, ModRevision: headModRevision}},
		Operations: builder.operations,
	}, builder.err
}

type transactionBuilder struct {
	operations []outside.Operation
	err        error
}

func (b *transactionBuilder) put(key string, record any) {
	value, err := encodeRecord(record)
	if err != nil {
		b.err = err
		return
	}
	b.operations = append(b.operations, outside.Operation{Key: key, Value: value})
}

// deleteExpired adds the deletion of a revision's record; there is none for
// revisions before the first.
func (b *transactionBuilder) deleteExpired(keyOf func(table.Revision) string, revision table.Revision) {
	if revision > 0 {
		b.operations = append(b.operations, outside.Operation{Kind: outside.OperationDelete, Key: keyOf(revision)})
	}
}
