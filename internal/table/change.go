package table

// ColumnChange is one column of a row that differs between two tables.
type ColumnChange struct {
	// Column is the name of the column.
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// RowChange is the difference of one row between two tables.
type RowChange struct {
	// Row is the name of the row.
	Row     string `json:"row"`
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
	// Columns that differ; for an added row all columns with a value.
	Columns []ColumnChange `json:"columns,omitempty"`
}

// Changes returns the differences between two tables column by column, in order
// of the rows' names.
func Changes(before, after []Row) []RowChange {
	old, updated := byName(before), byName(after)
	names := unionOfNames([3]map[string]*Row{old, updated})
	var changes []RowChange
	for _, name := range names {
		if equalRows(old[name], updated[name]) {
			continue
		}
		changes = append(changes, changeOf(name, old[name], updated[name]))
	}
	return changes
}

func changeOf(name string, before, after *Row) RowChange {
	change := RowChange{Row: name, Added: before == nil, Removed: after == nil}
	if after == nil {
		return change
	}
	for _, column := range columns {
		beforeText := ""
		if before != nil {
			beforeText = column.get(before)
		}
		if afterText := column.get(after); beforeText != afterText {
			change.Columns = append(change.Columns, ColumnChange{Column: column.name, Before: beforeText, After: afterText})
		}
	}
	return change
}
