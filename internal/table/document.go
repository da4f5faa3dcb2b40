package table

import "strings"

// RowDocument is the serialized form of a row in YAML and JSON; CSV has the
// same columns. Sizes and durations are text with a unit.
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

// TableDocument is the serialized form of a table in YAML and JSON.
type TableDocument struct {
	// Revision at which the rows were read; 0 if unknown.
	Revision Revision      `json:"revision,omitempty" yaml:"revision,omitempty"`
	Rows     []RowDocument `json:"rows" yaml:"rows"`
}

// Document is a table parsed from a file.
type Document struct {
	// Revision stated in the file; 0 if it states none.
	Revision Revision
	Rows     []Row
	// lines are the line numbers of the rows in the file, by name.
	lines map[string]int
}

// NewRowDocument returns the serialized form of a row.
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

// NewTableDocument returns the serialized form of a table.
func NewTableDocument(revision Revision, rows []Row) TableDocument {
	document := TableDocument{Revision: revision, Rows: make([]RowDocument, len(rows))}
	for index, row := range rows {
		document.Rows[index] = NewRowDocument(row)
	}
	return document
}

// record is one row of a file whose cells are not yet parsed.
type record struct {
	// line in the file, from 1; 0 if unknown.
	line  int
	cells []recordCell
}

// recordCell is the text of one column of a record.
type recordCell struct {
	column string
	text   string
	// malformed is true if the cell is not a single value, such as a list.
	malformed bool
}

// decodeRecords parses records into rows. A row with problems is returned with
// the columns that could be parsed, so that Validate can check these as well.
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
		problem := Problem{Row: name, Line: record.line, Column: truncate(cell.column), Value: cell.text}
		position, found := columnIndex[cell.column]
		switch {
		case !found:
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
