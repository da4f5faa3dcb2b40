package table

import "strings"

// RowDocument is the written form of a row in YAML and JSON; CSV has the same
// columns. Sizes and durations are text with a unit.
type RowDocument struct {
	Name        string `json:"name" yaml:"name"`
	Kind        string `json:"kind" yaml:"kind"`
	Base        string `json:"base,omitempty" yaml:"base,omitempty"`
	Version     string `json:"version" yaml:"version"`
	Weights     string `json:"weights" yaml:"weights"`
	Tenant      string `json:"tenant" yaml:"tenant"`
	Priority    int    `json:"priority" yaml:"priority"`
	Weight      int    `json:"weight" yaml:"weight"`
	MinReplicas int    `json:"min_replicas" yaml:"min_replicas"`
	MaxReplicas int    `json:"max_replicas" yaml:"max_replicas"`
	Memory      string `json:"memory" yaml:"memory"`
	TimeLimit   string `json:"time_limit" yaml:"time_limit"`
	Repeatable  bool   `json:"repeatable" yaml:"repeatable"`
}

// TableDocument is the written form of a table in YAML and JSON.
type TableDocument struct {
	// Revision the rows were read at; 0 if not known.
	Revision Revision      `json:"revision,omitempty" yaml:"revision,omitempty"`
	Rows     []RowDocument `json:"rows" yaml:"rows"`
}

// Document is a table as read from a file.
type Document struct {
	// Revision the file says it was read at; 0 if it says nothing.
	Revision Revision
	Rows     []Row
	// lines of the rows in the file, by name.
	lines map[string]int
}

// NewRowDocument returns the written form of a row.
func NewRowDocument(row Row) RowDocument {
	return RowDocument{
		Name: row.Name, Kind: string(row.Kind), Base: row.Base, Version: row.Version,
		Weights: FormatSize(row.WeightBytes), Tenant: row.Tenant,
		Priority: row.Priority, Weight: row.Weight,
		MinReplicas: row.MinReplicas, MaxReplicas: row.MaxReplicas,
		Memory: FormatSize(row.MemoryBytes), TimeLimit: FormatDuration(row.TimeLimit),
		Repeatable: row.Repeatable,
	}
}

// NewTableDocument returns the written form of a table.
func NewTableDocument(revision Revision, rows []Row) TableDocument {
	document := TableDocument{Revision: revision, Rows: make([]RowDocument, len(rows))}
	for index, row := range rows {
		document.Rows[index] = NewRowDocument(row)
	}
	return document
}

// record is one row as read from a file, not yet understood.
type record struct {
	line  int
	cells []recordCell
}

// recordCell is the text of one column of a record.
type recordCell struct {
	column string
	text   string
	// malformed cells hold something other than one value.
	malformed bool
}

// decodeRecords turns records into rows. A row with a problem is returned as
// far as it could be read, so that the checks of whole tables see it too.
func decodeRecords(records []record, problems *problemList) []Row {
	rows := make([]Row, 0, len(records))
	for _, record := range records {
		rows = append(rows, decodeRecord(record, problems))
	}
	return rows
}

func decodeRecord(record record, problems *problemList) Row {
	row := Row{Priority: DefaultPriority, Weight: DefaultWeight}
	name := record.name()
	seen := make([]bool, len(columns))
	for _, cell := range record.cells {
		problem := Problem{Row: name, Line: record.line, Column: shorten(cell.column), Value: cell.text}
		position, known := columnIndex[cell.column]
		switch {
		case !known:
			problem.Allowed = "the columns " + strings.Join(ColumnNames(), ", ")
			problems.add(problem)
		case seen[position]:
			problem.Allowed = "each column once a row"
			problems.add(problem)
		default:
			seen[position] = true
			decodeCell(&row, columns[position], cell, problem, problems)
		}
	}
	addMissingColumns(record, name, seen, problems)
	return row
}

func decodeCell(row *Row, column column, cell recordCell, problem Problem, problems *problemList) {
	text := strings.TrimSpace(cell.text)
	if text == "" && !cell.malformed && column.optional {
		return
	}
	if cell.malformed || text == "" || column.set(row, text) != nil {
		problem.Allowed = column.allowed
		problems.add(problem)
	}
}

func addMissingColumns(record record, name string, seen []bool, problems *problemList) {
	for position, column := range columns {
		if seen[position] || column.optional {
			continue
		}
		problems.add(Problem{
			Row: name, Line: record.line, Column: column.name,
			Allowed: "a required column: " + column.allowed,
		})
	}
}

func (r record) name() string {
	for _, cell := range r.cells {
		if cell.column == ColumnName {
			return strings.TrimSpace(cell.text)
		}
	}
	return ""
}
