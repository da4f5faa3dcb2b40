package table

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Names of the columns, the same in YAML, CSV and JSON.
const (
	ColumnName        = "name"
	ColumnKind        = "kind"
	ColumnBase        = "base"
	ColumnVersion     = "version"
	ColumnWeights     = "weights"
	ColumnTenant      = "tenant"
	ColumnPriority    = "priority"
	ColumnWeight      = "weight"
	ColumnMinReplicas = "min_replicas"
	ColumnMaxReplicas = "max_replicas"
	ColumnMemory      = "memory"
	ColumnTimeLimit   = "time_limit"
	ColumnRepeatable  = "repeatable"
)

// Defaults of optional columns.
const (
	DefaultPriority = 5
	DefaultWeight   = 1
)

// Descriptions of allowed values, as shown to operators in Problem.Allowed.
const (
	allowedSize       = `a size such as "14GiB", "400MB" or "4096"`
	allowedDuration   = `a duration such as "30s" or "2m"`
	allowedInteger    = "a whole number"
	allowedRepeatable = "true or false"
)

var errBoolean = errors.New("not a boolean")

// column converts one column of a row to and from text.
type column struct {
	name string
	// optional columns may be missing or empty.
	optional bool
	// allowed describes the allowed values.
	allowed string
	get     func(row *Row) string
	set     func(row *Row, text string) error
}

// columns are all columns in the order in which they are written.
var columns = []column{
	textColumn(ColumnName, false, func(row *Row) *string { return &row.Name }),
	{
		name: ColumnKind, allowed: allowedKind,
		get: func(row *Row) string { return string(row.Kind) },
		set: func(row *Row, text string) error { row.Kind = Kind(text); return nil },
	},
	textColumn(ColumnBase, true, func(row *Row) *string { return &row.Base }),
	textColumn(ColumnVersion, false, func(row *Row) *string { return &row.Version }),
	sizeColumn(ColumnWeights, func(row *Row) *int64 { return &row.WeightBytes }),
	textColumn(ColumnTenant, false, func(row *Row) *string { return &row.Tenant }),
	integerColumn(ColumnPriority, true, func(row *Row) *int { return &row.Priority }),
	integerColumn(ColumnWeight, true, func(row *Row) *int { return &row.Weight }),
	integerColumn(ColumnMinReplicas, true, func(row *Row) *int { return &row.MinReplicas }),
	integerColumn(ColumnMaxReplicas, false, func(row *Row) *int { return &row.MaxReplicas }),
	sizeColumn(ColumnMemory, func(row *Row) *int64 { return &row.MemoryBytes }),
	{
		name: ColumnTimeLimit, allowed: allowedDuration,
		get: func(row *Row) string { return FormatDuration(row.TimeLimit) },
		set: func(row *Row, text string) (err error) {
			row.TimeLimit, err = time.ParseDuration(text)
			return err
		},
	},
	{
		name: ColumnRepeatable, allowed: allowedRepeatable,
		get: func(row *Row) string { return strconv.FormatBool(row.Repeatable) },
		set: func(row *Row, text string) (err error) {
			row.Repeatable, err = parseBoolean(text)
			return err
		},
	},
}

// columnIndex maps the name of a column to its index in columns.
var columnIndex = indexColumns()

func indexColumns() map[string]int {
	index := make(map[string]int, len(columns))
	for position, column := range columns {
		index[column.name] = position
	}
	return index
}

// ColumnNames returns the names of all columns in the order in which they are
// written.
func ColumnNames() []string {
	names := make([]string, len(columns))
	for position, column := range columns {
		names[position] = column.name
	}
	return names
}

func textColumn(name string, optional bool, field func(*Row) *string) column {
	return column{
		name: name, optional: optional, allowed: "text",
		get: func(row *Row) string { return *field(row) },
		set: func(row *Row, text string) error { *field(row) = text; return nil },
	}
}

func integerColumn(name string, optional bool, field func(*Row) *int) column {
	return column{
		name: name, optional: optional, allowed: allowedInteger,
		get: func(row *Row) string { return strconv.Itoa(*field(row)) },
		set: func(row *Row, text string) (err error) {
			*field(row), err = strconv.Atoi(text)
			return err
		},
	}
}

func sizeColumn(name string, field func(*Row) *int64) column {
	return column{
		name: name, allowed: allowedSize,
		get: func(row *Row) string { return FormatSize(*field(row)) },
		set: func(row *Row, text string) (err error) {
			*field(row), err = ParseSize(text)
			return err
		},
	}
}

// parseBoolean parses a boolean, also in the forms that spreadsheets write,
// regardless of case.
func parseBoolean(text string) (bool, error) {
	switch strings.ToLower(text) {
	case "true", "yes", "1":
		return true, nil
	case "false", "no", "0":
		return false, nil
	}
	return false, errBoolean
}
