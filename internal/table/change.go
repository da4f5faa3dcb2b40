package table

// ColumnChange is one column of a row that differs between two tables.
type ColumnChange struct {
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// RowChange is the difference of one row between two tables.
type RowChange struct {
	Row     string `json:"row"`
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
	// Columns that differ; for an added row all columns with a value.
	Columns []ColumnChange `json:"columns,omitempty"`
}

// Changes lists the differences between two tables column by column, in order
// of name.
func Changes(before, after []Row) []RowChange {
	old, updated := byName(before), byName(after)
	names := unionOfNames([3]map[string]*Row{old, updated})
	var changes []RowChange
	for _, name := range names {
		if sameRow(old[name], updated[name]) {
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
		was := ""
		if before != nil {
			was = column.get(before)
		}
		if is := column.get(after); was != is {
			change.Columns = append(change.Columns, ColumnChange{Column: column.name, Before: was, After: is})
		}
	}
	return change
}
