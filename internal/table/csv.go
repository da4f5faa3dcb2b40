package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"strings"
)

// byteOrderMark is the prefix with which spreadsheets write UTF-8 files.
var byteOrderMark = []byte("\xef\xbb\xbf")

// readCSV reads a header and one row per record. It detects the delimiter from
// the header, since spreadsheets in some locales write semicolons or tabs.
func readCSV(data []byte, problems *problemList) []record {
	data = bytes.TrimPrefix(data, byteOrderMark)
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = delimiterOf(data)
	reader.FieldsPerRecord = -1
	header, err := reader.Read()
	if err != nil {
		problems.add(Problem{Line: 1, Value: err.Error(), Allowed: "a header with the columns"})
		return nil
	}
	names := headerNames(header)
	var records []record
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return records
		}
		if err != nil {
			problems.add(Problem{Line: errorLine(err), Value: err.Error(), Allowed: "well-formed CSV"})
			if len(problems.problems) >= MaxProblems {
				return records
			}
			continue
		}
		line, _ := reader.FieldPos(0)
		if isBlank(fields) {
			continue
		}
		records = append(records, csvRecord(line, names, fields, problems))
		if len(records) > MaxRows {
			return records
		}
	}
}

func delimiterOf(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	for _, delimiter := range []rune{';', '\t'} {
		if bytes.ContainsRune(header, delimiter) && !bytes.ContainsRune(header, ',') {
			return delimiter
		}
	}
	return ','
}

func headerNames(header []string) []string {
	names := make([]string, len(header))
	for index, name := range header {
		names[index] = strings.ToLower(strings.TrimSpace(name))
	}
	return names
}

func errorLine(err error) int {
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		return parseError.Line
	}
	return 0
}

func isBlank(fields []string) bool {
	for _, field := range fields {
		if strings.TrimSpace(field) != "" {
			return false
		}
	}
	return true
}

func csvRecord(line int, names, fields []string, problems *problemList) record {
	result := record{line: line}
	for index, field := range fields {
		if index < len(names) {
			result.cells = append(result.cells, recordCell{column: names[index], text: field})
			continue
		}
		if strings.TrimSpace(field) != "" {
			problems.add(Problem{Line: line, Value: field, Allowed: "no more fields than the header has"})
		}
	}
	return result
}

func encodeCSV(rows []Row) ([]byte, error) {
	var buffer bytes.Buffer
	writer := csv.NewWriter(&buffer)
	if err := writer.Write(ColumnNames()); err != nil {
		return nil, err
	}
	fields := make([]string, len(columns))
	for index := range rows {
		for position, column := range columns {
			fields[position] = column.get(&rows[index])
		}
		if err := writer.Write(fields); err != nil {
			return nil, err
		}
	}
	writer.Flush()
	return buffer.Bytes(), writer.Error()
}
