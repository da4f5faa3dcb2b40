package table

import (
	"fmt"
	"strings"
)

// Limits of the input.
const (
	// MaxInputBytes is the largest file or body accepted.
	MaxInputBytes = 8 << 20
	// MaxRows is the largest number of rows in a table.
	MaxRows = 20_000
)

// Format is a serialization format of the table.
type Format string

// The formats.
const (
	FormatYAML Format = "yaml"
	FormatCSV  Format = "csv"
	FormatJSON Format = "json"
)

// ContentType returns the media type of the format.
func (f Format) ContentType() string {
	switch f {
	case FormatCSV:
		return "text/csv"
	case FormatJSON:
		return "application/json"
	default:
		return "application/yaml"
	}
}

// FormatOfContentType returns the format of a Content-Type header's value, and
// false if there is none for it.
func FormatOfContentType(contentType string) (Format, bool) {
	mediaType, _, _ := strings.Cut(contentType, ";")
	switch strings.ToLower(strings.TrimSpace(mediaType)) {
	case "text/csv":
		return FormatCSV, true
	case "application/json":
		return FormatJSON, true
	case "application/yaml", "application/x-yaml", "text/yaml":
		return FormatYAML, true
	}
	return "", false
}

// FormatOfFile returns the format of a file by the extension of its name, and
// false if there is none for it.
func FormatOfFile(path string) (Format, bool) {
	lower := strings.ToLower(path)
	switch {
	case strings.HasSuffix(lower, ".csv"):
		return FormatCSV, true
	case strings.HasSuffix(lower, ".json"):
		return FormatJSON, true
	case strings.HasSuffix(lower, ".yaml"), strings.HasSuffix(lower, ".yml"):
		return FormatYAML, true
	}
	return "", false
}

// Decode parses a table and returns the problems found while parsing, at most
// MaxProblems. If there are any, the rows are incomplete and must not be
// applied. The rows are not checked with Validate.
func Decode(format Format, data []byte) (Document, []Problem) {
	var problems problemList
	if len(data) > MaxInputBytes {
		problems.add(Problem{
			Value:   fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxInputBytes),
		})
		return Document{}, problems.problems
	}
	var revision Revision
	var records []record
	switch format {
	case FormatYAML:
		revision, records = readYAML(data, &problems)
	case FormatCSV:
		records = readCSV(data, &problems)
	case FormatJSON:
		revision, records = readJSON(data, &problems)
	default:
		problems.add(Problem{Value: string(format), Allowed: "yaml, csv or json"})
	}
	if len(records) > MaxRows {
		problems.add(Problem{
			Value:   fmt.Sprintf("%d rows", len(records)),
			Allowed: fmt.Sprintf("at most %d rows", MaxRows),
		})
		return Document{}, problems.problems
	}
	document := Document{Revision: revision, Rows: decodeRecords(records, &problems), lines: linesOf(records)}
	return document, problems.problems
}

// linesOf returns the line in the file of each row by name; for a repeated name
// that of the last row.
func linesOf(records []record) map[string]int {
	lines := make(map[string]int, len(records))
	for _, record := range records {
		lines[record.name()] = record.line
	}
	return lines
}

// DecodeValid parses a table, checks it with Validate and returns the problems
// of both, at most MaxProblems. Problems of Validate are left out for columns
// that could not be parsed.
func DecodeValid(format Format, data []byte, constraints Constraints) (Document, []Problem) {
	document, problems := Decode(format, data)
	list := problemList{problems: problems}
	unreadable := make(map[[2]string]bool, len(problems))
	for _, problem := range problems {
		unreadable[[2]string{problem.Row, problem.Column}] = true
	}
	for _, problem := range Validate(document.Rows, constraints) {
		if !unreadable[[2]string{problem.Row, problem.Column}] {
			problem.Line = document.lines[problem.Row]
			list.add(problem)
		}
	}
	return document, list.problems
}

// Encode serializes a table. CSV can't represent the revision and omits it.
func Encode(format Format, revision Revision, rows []Row) ([]byte, error) {
	switch format {
	case FormatYAML:
		return encodeYAML(revision, rows)
	case FormatCSV:
		return encodeCSV(rows)
	case FormatJSON:
		return encodeJSON(revision, rows)
	}
	return nil, fmt.Errorf("unknown table format %q", format)
}
