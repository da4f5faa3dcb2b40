package table

import (
	"strconv"

	"go.yaml.in/yaml/v3"
)

const (
	yamlNullTag = "!!null"
	keyRevision = "revision"
	keyRows     = "rows"

	allowedTopLevel = `a mapping with "rows", a list of rows, and perhaps "revision"`
)

// readYAML parses YAML into nodes without resolving aliases, so that a small
// file can't expand to a large table.
func readYAML(data []byte, problems *problemList) (Revision, []record) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		problems.add(Problem{Value: err.Error(), Allowed: "well-formed YAML"})
		return 0, nil
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		problems.add(Problem{Value: "another document", Allowed: allowedTopLevel})
		return 0, nil
	}
	var revision Revision
	var records []record
	content := document.Content[0].Content
	for index := 0; index+1 < len(content); index += 2 {
		key, value := content[index], content[index+1]
		switch key.Value {
		case keyRevision:
			revision = readRevision(value.Value, value.Line, problems)
		case keyRows:
			records = append(records, yamlRecords(value, problems)...)
		default:
			problems.add(Problem{Line: key.Line, Value: key.Value, Allowed: allowedTopLevel})
		}
	}
	return revision, records
}

func readRevision(text string, line int, problems *problemList) Revision {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		problems.add(Problem{Line: line, Column: keyRevision, Value: text, Allowed: "a whole number, 0 or more"})
		return 0
	}
	return Revision(number)
}

func yamlRecords(list *yaml.Node, problems *problemList) []record {
	if list.Kind == yaml.ScalarNode && list.Tag == yamlNullTag {
		return nil
	}
	if list.Kind != yaml.SequenceNode {
		problems.add(Problem{Line: list.Line, Column: keyRows, Value: list.Value, Allowed: "a list of rows"})
		return nil
	}
	records := make([]record, 0, len(list.Content))
	for _, item := range list.Content {
		if item.Kind != yaml.MappingNode {
			problems.add(Problem{Line: item.Line, Value: item.Value, Allowed: "a mapping from columns to values"})
			continue
		}
		records = append(records, yamlRecord(item))
	}
	return records
}

func yamlRecord(item *yaml.Node) record {
	result := record{line: item.Line}
	for index := 0; index+1 < len(item.Content); index += 2 {
		key, value := item.Content[index], item.Content[index+1]
		cell := recordCell{column: key.Value, text: value.Value}
		cell.malformed = value.Kind != yaml.ScalarNode
		if value.Tag == yamlNullTag {
			cell.text = ""
		}
		result.cells = append(result.cells, cell)
	}
	return result
}

func encodeYAML(revision Revision, rows []Row) ([]byte, error) {
	return yaml.Marshal(NewTableDocument(revision, rows))
}
