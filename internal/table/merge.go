package table

import "sort"

// RowPresence stands for the column in a conflict about a whole row, which one
// side removed and the other changed.
const RowPresence = "(row)"

// Values of a conflict about a whole row.
const (
	presenceAbsent  = "absent"
	presenceRemoved = "removed"
	presencePresent = "present"
	presenceChanged = "changed"
)

// Conflict is a value that two edits of the same table changed differently.
type Conflict struct {
	// Row is the name of the row.
	Row string `json:"row"`
	// Column is the name of the column, or RowPresence.
	Column string `json:"column"`
	// Base is the value before both edits.
	Base   string `json:"base"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// Merge merges two edits of the base row by row and column by column. It
// returns either the merged rows, in order of name, or the conflicts. The
// merged rows are not checked with Validate.
func Merge(base, mine, theirs []Row) ([]Row, []Conflict) {
	sides := [3]map[string]*Row{byName(base), byName(mine), byName(theirs)}
	var merged []Row
	var conflicts []Conflict
	for _, name := range unionOfNames(sides) {
		row, rowConflicts := mergeRow(name, sides[0][name], sides[1][name], sides[2][name])
		conflicts = append(conflicts, rowConflicts...)
		if row != nil {
			merged = append(merged, *row)
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return merged, nil
}

func byName(rows []Row) map[string]*Row {
	index := make(map[string]*Row, len(rows))
	for position := range rows {
		index[rows[position].Name] = &rows[position]
	}
	return index
}

func unionOfNames(sides [3]map[string]*Row) []string {
	seen := map[string]bool{}
	var names []string
	for _, side := range sides {
		for name := range side {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

// mergeRow returns the merged row; nil if the merged table lacks it or there
// are conflicts.
func mergeRow(name string, base, mine, theirs *Row) (*Row, []Conflict) {
	switch {
	case equalRows(mine, theirs), equalRows(base, theirs):
		return mine, nil
	case equalRows(base, mine):
		return theirs, nil
	case mine == nil || theirs == nil:
		return nil, []Conflict{{
			Row: name, Column: RowPresence, Base: presencePresent,
			Mine: presenceOf(mine), Theirs: presenceOf(theirs),
		}}
	case base == nil:
		return mergeAddedRow(name, mine, theirs)
	}
	return mergeColumns(name, base, mine, theirs)
}

func equalRows(a, b *Row) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func presenceOf(row *Row) string {
	if row == nil {
		return presenceRemoved
	}
	return presenceChanged
}

// mergeAddedRow returns the conflicts of a row that both sides added with
// different values.
func mergeAddedRow(name string, mine, theirs *Row) (*Row, []Conflict) {
	var conflicts []Conflict
	for _, column := range columns {
		if column.get(mine) != column.get(theirs) {
			conflicts = append(conflicts, Conflict{
				Row: name, Column: column.name, Base: presenceAbsent,
				Mine: column.get(mine), Theirs: column.get(theirs),
			})
		}
	}
	return nil, conflicts
}

func mergeColumns(name string, base, mine, theirs *Row) (*Row, []Conflict) {
	merged := *mine
	var conflicts []Conflict
	for _, column := range columns {
		baseText, mineText, theirsText := column.get(base), column.get(mine), column.get(theirs)
		switch {
		case mineText == theirsText || baseText == theirsText:
		case baseText == mineText:
			copyColumn(&merged, theirs, column)
		default:
			conflicts = append(conflicts, Conflict{Row: name, Column: column.name, Base: baseText, Mine: mineText, Theirs: theirsText})
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return &merged, nil
}

// copyColumn copies a column by way of its text. The error can be ignored
// because each column parses the text that it formats, as the codec tests check.
func copyColumn(to, from *Row, column column) {
	_ = column.set(to, column.get(from))
}
