package table

import (
	"fmt"
	"slices"
	"strings"
)

// Snapshot is the table at one revision. It is immutable, so it may be shared by
// goroutines and by nodes in one process. It implements View.
type Snapshot struct {
	revision Revision
	// rows in order of name.
	rows []Row
	// index maps a name to its position in rows; snapshots with the same names
	// share it.
	index map[string]int
}

// DeltaMismatchError is the error for a delta that does not start at the
// snapshot's revision or does not lead to a higher one.
type DeltaMismatchError struct {
	// Have is the snapshot's revision, From and To are the delta's.
	Have, From, To Revision
}

// Error implements error.
func (e *DeltaMismatchError) Error() string {
	return fmt.Sprintf("a delta from revision %d to %d can't be applied to revision %d", e.From, e.To, e.Have)
}

// NewSnapshot returns the snapshot of a revision with a copy of the rows. Their
// names must be unique, as Validate checks.
func NewSnapshot(revision Revision, rows []Row) *Snapshot {
	sorted := slices.Clone(rows)
	SortRows(sorted)
	return &Snapshot{revision: revision, rows: sorted, index: indexRows(sorted)}
}

// SortRows sorts rows by name.
func SortRows(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
}

func indexRows(rows []Row) map[string]int {
	index := make(map[string]int, len(rows))
	for position := range rows {
		index[rows[position].Name] = position
	}
	return index
}

// Row returns the row with the name, and whether there is one.
func (s *Snapshot) Row(name string) (Row, bool) {
	position, found := s.index[name]
	if !found {
		return Row{}, false
	}
	return s.rows[position], true
}

// Rows returns all rows in order of name. The slice must not be modified.
func (s *Snapshot) Rows() []Row { return s.rows }

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() Revision { return s.revision }

// Apply returns the snapshot after the delta. The delta must start at this
// snapshot's revision and lead to a higher one, else Apply returns a
// DeltaMismatchError.
func (s *Snapshot) Apply(delta Delta) (*Snapshot, error) {
	if delta.From != s.revision || delta.To <= delta.From {
		return nil, &DeltaMismatchError{Have: s.revision, From: delta.From, To: delta.To}
	}
	if s.keepsNames(delta) {
		return s.replaceRows(delta), nil
	}
	return s.rebuild(delta), nil
}

// keepsNames reports whether the delta neither adds nor removes a row.
func (s *Snapshot) keepsNames(delta Delta) bool {
	for _, name := range delta.Removed {
		if _, found := s.index[name]; found {
			return false
		}
	}
	for index := range delta.Changed {
		if _, found := s.index[delta.Changed[index].Name]; !found {
			return false
		}
	}
	return true
}

// replaceRows applies a delta that keeps the names, so that the new snapshot can
// share the index.
func (s *Snapshot) replaceRows(delta Delta) *Snapshot {
	rows := slices.Clone(s.rows)
	for _, row := range delta.Changed {
		rows[s.index[row.Name]] = row
	}
	return &Snapshot{revision: delta.To, rows: rows, index: s.index}
}

// rebuild applies a delta that adds or removes rows.
func (s *Snapshot) rebuild(delta Delta) *Snapshot {
	excluded := make(map[string]bool, len(delta.Removed)+len(delta.Changed))
	for _, name := range delta.Removed {
		excluded[name] = true
	}
	for index := range delta.Changed {
		excluded[delta.Changed[index].Name] = true
	}
	rows := make([]Row, 0, len(s.rows)+len(delta.Changed))
	for index := range s.rows {
		if !excluded[s.rows[index].Name] {
			rows = append(rows, s.rows[index])
		}
	}
	rows = append(rows, delta.Changed...)
	SortRows(rows)
	return &Snapshot{revision: delta.To, rows: rows, index: indexRows(rows)}
}

// Diff returns the delta that leads from one snapshot to another.
func Diff(from, to *Snapshot) Delta {
	delta := Delta{From: from.revision, To: to.revision}
	for index := range to.rows {
		before, found := from.Row(to.rows[index].Name)
		if !found || before != to.rows[index] {
			delta.Changed = append(delta.Changed, to.rows[index])
		}
	}
	for index := range from.rows {
		name := from.rows[index].Name
		if _, found := to.index[name]; !found {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}
