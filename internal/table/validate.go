package table

import (
	"fmt"
	"regexp"
	"time"
)

// Limits of the columns.
const (
	MaxNameLength    = 100
	MaxVersionLength = 64
	MaxPriority      = 9
	MinWeight        = 1
	MaxWeight        = 1000
	MaxReplicaLimit  = 10_000
	MinTimeLimit     = 100 * time.Millisecond
	MaxTimeLimit     = time.Hour
	// MaxSizeBytes is the largest size of weights or memory, 1 PiB.
	MaxSizeBytes = int64(1) << 50
)

const (
	allowedKind = "model or adapter"
	namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]*$`
)

var nameExpression = regexp.MustCompile(namePattern)

// Constraints are the rules that depend on the deployment. Zero values are not
// checked.
type Constraints struct {
	// Tenants are the names of the tenants that rows may belong to.
	Tenants []string
	// FleetMemoryBytes is the accelerator memory of all engines together, in
	// bytes.
	FleetMemoryBytes int64
	// ServerMemoryBytes is the accelerator memory of the largest engine, in
	// bytes.
	ServerMemoryBytes int64
}

// Validate checks a whole table and returns its problems in order of the rows,
// at most MaxProblems.
func Validate(rows []Row, constraints Constraints) []Problem {
	validator := newValidator(rows, constraints)
	for index := range rows {
		validator.checkRow(&rows[index])
		if validator.rows[rows[index].Name] != &rows[index] {
			validator.reject(&rows[index], ColumnName, "each name once")
		}
	}
	validator.checkFleet(rows)
	return validator.list.problems
}

// validator holds the state shared by the checks of one table.
type validator struct {
	list        problemList
	constraints Constraints
	tenants     map[string]bool
	// rows by name; the first one of a repeated name.
	rows map[string]*Row
}

func newValidator(rows []Row, constraints Constraints) *validator {
	result := &validator{
		constraints: constraints,
		tenants:     make(map[string]bool, len(constraints.Tenants)),
		rows:        make(map[string]*Row, len(rows)),
	}
	for _, tenant := range constraints.Tenants {
		result.tenants[tenant] = true
	}
	for index := range rows {
		if _, found := result.rows[rows[index].Name]; !found {
			result.rows[rows[index].Name] = &rows[index]
		}
	}
	return result
}

func (v *validator) reject(row *Row, columnName, allowed string) {
	value := columns[columnIndex[columnName]].get(row)
	v.list.add(Problem{Row: row.Name, Column: columnName, Value: value, Allowed: allowed})
}

func (v *validator) require(holds bool, row *Row, columnName, format string, arguments ...any) {
	if !holds {
		v.reject(row, columnName, fmt.Sprintf(format, arguments...))
	}
}

func (v *validator) checkRow(row *Row) {
	v.require(isName(row.Name, MaxNameLength), row, ColumnName,
		"letters, digits, '.', '_' and '-', starting with a letter or digit, at most %d", MaxNameLength)
	v.require(isName(row.Version, MaxVersionLength), row, ColumnVersion,
		"letters, digits, '.', '_' and '-', starting with a letter or digit, at most %d", MaxVersionLength)
	v.checkKind(row)
	v.checkTenant(row)
	v.checkSizes(row)
	v.checkNumbers(row)
}

func isName(text string, maximum int) bool {
	return len(text) <= maximum && nameExpression.MatchString(text)
}

func (v *validator) checkKind(row *Row) {
	switch row.Kind {
	case KindModel:
		v.require(row.Base == "", row, ColumnBase, "nothing: only adapters have a base")
	case KindAdapter:
		v.checkBase(row)
	default:
		v.reject(row, ColumnKind, allowedKind)
	}
}

func (v *validator) checkBase(row *Row) {
	if row.Base == "" {
		v.reject(row, ColumnBase, "the name of the adapter's base model")
		return
	}
	base, found := v.rows[row.Base]
	if !found {
		v.reject(row, ColumnBase, "the name of a model in the table")
		return
	}
	if base.Kind != KindModel {
		v.reject(row, ColumnBase, "a row of kind model, not an adapter")
		return
	}
	v.require(row.MinReplicas <= base.MaxReplicas, row, ColumnMinReplicas,
		"at most the base's max_replicas, %d", base.MaxReplicas)
	v.require(row.MaxReplicas <= base.MaxReplicas, row, ColumnMaxReplicas,
		"at most the base's max_replicas, %d", base.MaxReplicas)
}

func (v *validator) checkTenant(row *Row) {
	v.require(isName(row.Tenant, MaxNameLength), row, ColumnTenant, "the name of a tenant")
	if len(v.tenants) > 0 && row.Tenant != "" {
		v.require(v.tenants[row.Tenant], row, ColumnTenant, "a tenant of the settings")
	}
}

func (v *validator) checkSizes(row *Row) {
	v.require(row.WeightBytes > 0 && row.WeightBytes <= MaxSizeBytes, row, ColumnWeights,
		"more than 0 and at most %s", FormatSize(MaxSizeBytes))
	switch {
	case row.MemoryBytes <= 0 || row.MemoryBytes > MaxSizeBytes:
		v.reject(row, ColumnMemory, "more than 0 and at most "+FormatSize(MaxSizeBytes))
	case row.MemoryBytes < row.WeightBytes:
		v.reject(row, ColumnMemory, "at least the weights, "+FormatSize(row.WeightBytes))
	case v.constraints.ServerMemoryBytes > 0 && row.MemoryBytes > v.constraints.ServerMemoryBytes:
		v.reject(row, ColumnMemory, "at most one server's memory, "+FormatSize(v.constraints.ServerMemoryBytes))
	}
}

func (v *validator) checkNumbers(row *Row) {
	v.require(row.Priority >= 0 && row.Priority <= MaxPriority, row, ColumnPriority, "0 to %d", MaxPriority)
	v.require(row.Weight >= MinWeight && row.Weight <= MaxWeight, row, ColumnWeight, "%d to %d", MinWeight, MaxWeight)
	v.require(row.MaxReplicas >= 0 && row.MaxReplicas <= MaxReplicaLimit, row, ColumnMaxReplicas, "0 to %d", MaxReplicaLimit)
	v.require(row.MinReplicas >= 0 && row.MinReplicas <= row.MaxReplicas, row, ColumnMinReplicas,
		"0 to max_replicas, %d", row.MaxReplicas)
	v.require(row.TimeLimit >= MinTimeLimit && row.TimeLimit <= MaxTimeLimit, row, ColumnTimeLimit,
		"%s to %s", FormatDuration(MinTimeLimit), FormatDuration(MaxTimeLimit))
}

// checkFleet rejects a table whose minimum replicas need more memory than all
// engines have together.
func (v *validator) checkFleet(rows []Row) {
	capacity := v.constraints.FleetMemoryBytes
	if capacity <= 0 {
		return
	}
	needed := MinimumMemory(rows)
	if needed > capacity {
		v.list.add(Problem{
			Column: ColumnMinReplicas, Value: FormatSize(needed) + " for all minima",
			Allowed: "at most the engines' memory, " + FormatSize(capacity),
		})
	}
}

// MinimumMemory returns the memory in bytes that the minimum replicas of all
// rows need together. A base model counts as often as it or any of its adapters
// must be loaded, whichever is more.
func MinimumMemory(rows []Row) int64 {
	minima := make(map[string]int, len(rows))
	for _, row := range rows {
		name := row.Name
		if row.Kind == KindAdapter {
			name = row.Base
		}
		minima[name] = max(minima[name], row.MinReplicas)
	}
	var total int64
	for _, row := range rows {
		replicas := row.MinReplicas
		if row.Kind == KindModel {
			replicas = minima[row.Name]
		}
		total = addSaturating(total, row.MemoryBytes, int64(replicas))
	}
	return total
}

// addSaturating returns total + size*count, at most 1 << 62, so that it does
// not overflow.
func addSaturating(total, size, count int64) int64 {
	const limit = int64(1) << 62
	if size <= 0 || count <= 0 {
		return total
	}
	if size > (limit-total)/count {
		return limit
	}
	return total + size*count
}
