package api

import (
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// maxRecentSnapshots is the number of recent tables kept in memory, from which the changes
// that an edit conflicts with are computed.
const maxRecentSnapshots = 8

// StoredTable implements TableStore on a node's tablestore.Store. It converts whole tables
// to changes of rows, isolates tenants, and reports the changes of both sides of a conflict.
type StoredTable struct {
	store *tablestore.Store

	mutex sync.Mutex
	// recent holds the newest tables in order of revision.
	recent []*table.Snapshot
}

// NewStoredTable returns a TableStore on the store. It must be called before the store is
// started.
func NewStoredTable(store *tablestore.Store) *StoredTable {
	stored := &StoredTable{store: store}
	store.Subscribe(stored.remember)
	return stored
}

// Snapshot implements TableStore.
func (s *StoredTable) Snapshot() *table.Snapshot { return s.store.Snapshot() }

// remember adds a table to the recent ones. Tables may arrive in any order.
func (s *StoredTable) remember(snapshot *table.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	position, known := slices.BinarySearchFunc(s.recent, snapshot.Revision(), compareRevision)
	if known {
		return
	}
	s.recent = slices.Insert(s.recent, position, snapshot)
	if len(s.recent) > maxRecentSnapshots {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
}

func compareRevision(snapshot *table.Snapshot, revision table.Revision) int {
	return int(snapshot.Revision() - revision)
}

// snapshotAt returns the table at a revision, if it is still in memory.
func (s *StoredTable) snapshotAt(revision table.Revision) (*table.Snapshot, bool) {
	if revision == 0 {
		return table.NewSnapshot(0, nil), true
	}
	if current := s.store.Snapshot(); current.Revision() == revision {
		return current, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	position, known := slices.BinarySearchFunc(s.recent, revision, compareRevision)
	if !known {
		return nil, false
	}
	return s.recent[position], true
}

// Propose implements TableStore. It ignores the timeout: the store has its own.
func (s *StoredTable) Propose(edit TableEdit, _ time.Duration, done func(table.Revision, error)) {
	if base, known := s.snapshotAt(edit.Base); known {
		s.proposeOn(base, edit, done)
		return
	}
	// An edit without changes makes the store read the newest table: the operator may
	// have read that revision from another node.
	s.store.Propose(tablestore.Edit{Base: edit.Base}, func(outcome tablestore.Outcome) {
		base, known := s.snapshotAt(edit.Base)
		switch {
		case outcome.Code != result.OK:
			done(0, s.errorOf(outcome, edit, nil))
		case !known:
			done(0, &TableConflictError{Current: s.store.Revision()})
		default:
			s.proposeOn(base, edit, done)
		}
	})
}

func (s *StoredTable) proposeOn(base *table.Snapshot, edit TableEdit, done func(table.Revision, error)) {
	foreign, found := foreignRow(base, edit)
	if found {
		refusal := result.Refuse(result.Forbidden, "the row name %q is in use by another tenant; nothing was changed", foreign)
		s.store.Clock.AfterFunc(0, func() { done(0, refusal) })
		return
	}
	if problem, found := repeatedName(edit.Rows); found {
		s.store.Clock.AfterFunc(0, func() { done(0, &table.InvalidError{Problems: []table.Problem{problem}}) })
		return
	}
	before := table.NewSnapshot(edit.Base, rowsOf(base.Rows(), edit.Tenant))
	delta := table.Diff(before, table.NewSnapshot(edit.Base+1, edit.Rows))
	proposal := tablestore.Edit{Base: edit.Base, Changed: delta.Changed, Removed: delta.Removed, Author: edit.Author}
	s.store.Propose(proposal, func(outcome tablestore.Outcome) {
		if outcome.Code == result.OK {
			done(outcome.Revision, nil)
			return
		}
		done(0, s.errorOf(outcome, edit, before.Rows()))
	})
}

// foreignRow returns the name of a row in the edit that belongs to another tenant.
func foreignRow(base *table.Snapshot, edit TableEdit) (string, bool) {
	if edit.Tenant == "" {
		return "", false
	}
	for _, row := range edit.Rows {
		if present, known := base.Row(row.Name); known && present.Tenant != edit.Tenant {
			return row.Name, true
		}
	}
	return "", false
}

// repeatedName reports a name that occurs more than once; a set of changed rows can't
// express that.
func repeatedName(rows []table.Row) (table.Problem, bool) {
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		if seen[row.Name] {
			return table.Problem{Row: row.Name, Column: table.ColumnName, Value: row.Name, Allowed: "each name once"}, true
		}
		seen[row.Name] = true
	}
	return table.Problem{}, false
}

// rowsOf returns a tenant's rows, or all rows for an empty tenant.
func rowsOf(rows []table.Row, tenant string) []table.Row {
	if tenant == "" {
		return rows
	}
	var own []table.Row
	for _, row := range rows {
		if row.Tenant == tenant {
			own = append(own, row)
		}
	}
	return own
}

// errorOf converts an outcome of the store to an error listed at TableStore.Propose.
func (s *StoredTable) errorOf(outcome tablestore.Outcome, edit TableEdit, base []table.Row) error {
	switch outcome.Code {
	case result.RevisionConflict:
		return s.conflict(outcome.Revision, edit, base)
	case result.InvalidTable:
		return &table.InvalidError{Problems: outcome.Problems}
	case result.StoreUnavailable:
		return outside.ErrNotApplied
	case result.WriteAmbiguous:
		return outside.ErrAmbiguous
	default:
		return result.Refuse(outcome.Code, "the table store failed")
	}
}

// conflict returns the error for an edit whose base is not the current revision, with the
// changes of both sides if both tables are still in memory.
func (s *StoredTable) conflict(current table.Revision, edit TableEdit, base []table.Row) error {
	conflict := &TableConflictError{Current: current}
	theirs, known := s.snapshotAt(current)
	if base == nil || !known {
		return conflict
	}
	rows := rowsOf(theirs.Rows(), edit.Tenant)
	_, conflict.Conflicts = table.Merge(base, edit.Rows, rows)
	conflict.Mine = table.Changes(base, edit.Rows)
	conflict.Theirs = table.Changes(base, rows)
	return conflict
}

// History implements TableStore. A change lists its columns only while the tables before and
// after it are in memory; otherwise it has just the row's name. It ignores the timeout: the
// store has its own.
func (s *StoredTable) History(tenant string, limit int, _ time.Duration, done func([]HistoryEntry, error)) {
	s.store.History(0, func(records []tablestore.HistoryRecord, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		entries := []HistoryEntry{}
		for _, record := range records {
			entry := s.entryOf(record, tenant)
			if len(entry.Changes) > 0 && len(entries) < limit {
				entries = append(entries, entry)
			}
		}
		done(entries, nil)
	})
}

// firstRevision is the first revision of a table; it can only add rows.
const firstRevision = 1

func (s *StoredTable) entryOf(record tablestore.HistoryRecord, tenant string) HistoryEntry {
	entry := HistoryEntry{Revision: record.Revision, Author: record.Author, Time: record.Time}
	before, knowsBefore := s.snapshotAt(record.Revision - 1)
	after, knowsAfter := s.snapshotAt(record.Revision)
	if knowsBefore && knowsAfter {
		entry.Changes = table.Changes(rowsOf(before.Rows(), tenant), rowsOf(after.Rows(), tenant))
		return entry
	}
	for _, name := range record.Changed {
		if s.belongsTo(name, tenant) {
			entry.Changes = append(entry.Changes, table.RowChange{Row: name, Added: record.Revision == firstRevision})
		}
	}
	for _, name := range record.Removed {
		if s.belongsTo(name, tenant) {
			entry.Changes = append(entry.Changes, table.RowChange{Row: name, Removed: true})
		}
	}
	return entry
}

// belongsTo reports whether a row belongs to the tenant in the newest table. The tenant of a
// removed row is no longer known, so only administrators see it.
func (s *StoredTable) belongsTo(name, tenant string) bool {
	row, known := s.store.Row(name)
	return tenant == "" || (known && row.Tenant == tenant)
}

// NewRevisionStatus returns whether a revision is in force, given the revision of each node.
// A node that did not answer counts as using no table.
func NewRevisionStatus(revision table.Revision, nodes []tablestore.NodeRevision) RevisionStatus {
	status := RevisionStatus{Revision: revision, InForce: len(nodes) > 0, Members: []MemberStatus{}}
	for _, node := range nodes {
		nodeRevision := node.Revision
		if !node.Answered {
			nodeRevision = 0
		}
		status.InForce = status.InForce && node.Answered && nodeRevision >= revision
		status.Members = append(status.Members, MemberStatus{
			Name: node.Member.Name, Zone: node.Member.Zone, Address: node.Member.CallerAddress,
			Draining: node.Member.Draining, Revision: nodeRevision,
		})
	}
	return status
}
