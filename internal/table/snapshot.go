package table

import (
	"fmt"
	"slices"
	"strings"
)

// Snapshot is the table at one revision. It never changes, so it may be shared
// between goroutines and nodes; it implements View.
type Snapshot struct {
	revision Revision
	// rows in order of name.
	rows []Row
	// index of each name in rows; shared by snapshots with the same names.
	index map[string]int
}

// DeltaMismatchError says that a delta starts at another revision.
type DeltaMismatchError struct {
	Have, From, To Revision
}

// Error names the revisions.
func (e *DeltaMismatchError) Error() string {
	return fmt.Sprintf("a delta from revision %d to %d can't be applied to revision %d", e.From, e.To, e.Have)
}

// NewSnapshot returns the snapshot of a revision. The names must be unique, as
// Validate checks. The rows are copied.
func NewSnapshot(revision Revision, rows []Row) *Snapshot {
	sorted := slices.Clone(rows)
	SortRows(sorted)
	return &Snapshot{revision: revision, rows: sorted, index: indexRows(sorted)}
}

// SortRows puts rows in order of name.
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

// Row returns the row of that name.
func (s *Snapshot) Row(name string) (Row, bool) {
	position, known := s.index[name]
	if !known {
		return Row{}, false
	}
	return s.rows[position], true
}

// Rows returns all rows in order of name. The slice must not be changed.
func (s *Snapshot) Rows() []Row { return s.rows }

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() Revision { return s.revision }

// Apply returns the snapshot after the delta. The delta must start at this
// snapshot's revision and go up.
func (s *Snapshot) Apply(delta Delta) (*Snapshot, error) {
	if delta.From != s.revision || delta.To <= delta.From {
		return nil, &DeltaMismatchError{Have: s.revision, From: delta.From, To: delta.To}
	}
	if s.keepsNames(delta) {
		return s.replaceRows(delta), nil
	}
	return s.rebuild(delta), nil
}

func (s *Snapshot) keepsNames(delta Delta) bool {
	for _, name := range delta.Removed {
		if _, known := s.index[name]; known {
			return false
		}
	}
	for index := range delta.Changed {
		if _, known := s.index[delta.Changed[index].Name]; !known {
			return false
		}
	}
	return true
}

// replaceRows shares the index, which does not change.
func (s *Snapshot) replaceRows(delta Delta) *Snapshot {
	rows := slices.Clone(s.rows)
	for _, row := range delta.Changed {
		rows[s.index[row.Name]] = row
	}
	return &Snapshot{revision: delta.To, rows: rows, index: s.index}
}

func (s *Snapshot) rebuild(delta Delta) *Snapshot {
	dropped := make(map[string]bool, len(delta.Removed)+len(delta.Changed))
	for _, name := range delta.Removed {
		dropped[name] = true
	}
	for index := range delta.Changed {
		dropped[delta.Changed[index].Name] = true
	}
	rows := make([]Row, 0, len(s.rows)+len(delta.Changed))
	for index := range s.rows {
		if !dropped[s.rows[index].Name] {
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
		before, known := from.Row(to.rows[index].Name)
		if !known || before != to.rows[index] {
			delta.Changed = append(delta.Changed, to.rows[index])
		}
	}
	for index := range from.rows {
		name := from.rows[index].Name
		if _, known := to.index[name]; !known {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}
