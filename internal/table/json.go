package table

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

// jsonTable is a table in JSON whose cells are not yet parsed.
type jsonTable struct {
	Revision int64     `json:"revision"`
	Rows     []jsonRow `json:"rows"`
}

// jsonRow holds the members of an object in order, including repeated ones.
type jsonRow []recordCell

// UnmarshalJSON implements json.Unmarshaler.
func (r *jsonRow) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	start, err := decoder.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return errors.New("a row must be an object")
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return err
		}
		*r = append(*r, jsonCell(name.(string), value))
	}
	return nil
}

func readJSON(data []byte, problems *problemList) (Revision, []record) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var document jsonTable
	if err := decoder.Decode(&document); err != nil {
		problems.add(Problem{Value: err.Error(), Allowed: "well-formed JSON: " + allowedTopLevel})
		return 0, nil
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		problems.add(Problem{Value: "more after the table", Allowed: "one JSON value"})
	}
	records := make([]record, len(document.Rows))
	for index, row := range document.Rows {
		records[index] = record{cells: row}
	}
	return readRevision(strconv.FormatInt(document.Revision, 10), 0, problems), records
}

func jsonCell(name string, value json.RawMessage) recordCell {
	text := strings.TrimSpace(string(value))
	cell := recordCell{column: name, text: text}
	switch {
	case text == "" || text == "null":
		cell.text = ""
	case text[0] == '"':
		cell.malformed = json.Unmarshal(value, &cell.text) != nil
	case text[0] == '{' || text[0] == '[':
		cell.malformed = true
	}
	return cell
}

func encodeJSON(revision Revision, rows []Row) ([]byte, error) {
	text, err := json.MarshalIndent(NewTableDocument(revision, rows), "", "  ")
	if err != nil {
		return nil, err
	}
	return append(text, '\n'), nil
}
