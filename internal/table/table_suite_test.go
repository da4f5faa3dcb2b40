package table_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/table"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table")
}

// model returns a valid model row.
func model(name string) table.Row {
	return table.Row{
		Name: name, Kind: table.KindModel, Version: "1", WeightBytes: 16 << 30, Tenant: "attica",
		Priority: 5, Weight: 10, MaxReplicas: 4, MemoryBytes: 40 << 30,
		TimeLimit: 30 * time.Second, Repeatable: true,
	}
}

// adapter returns a valid adapter row.
func adapter(name, base string) table.Row {
	row := model(name)
	row.Kind = table.KindAdapter
	row.Base = base
	row.WeightBytes = 200_000_000
	row.MemoryBytes = 400_000_000
	return row
}

// drawRows generates a valid table of up to six models, each with up to one
// adapter.
func drawRows(t *rapid.T, label string) []table.Row {
	count := rapid.IntRange(0, 6).Draw(t, label+" models")
	var rows []table.Row
	for index := range count {
		base := model(fmt.Sprintf("model-%d", index))
		base.Priority = rapid.IntRange(0, 9).Draw(t, "priority")
		base.Weight = rapid.IntRange(1, 1000).Draw(t, "weight")
		base.WeightBytes = rapid.Int64Range(1, 1<<40).Draw(t, "weights")
		base.MemoryBytes = base.WeightBytes + rapid.Int64Range(0, 1<<40).Draw(t, "cache")
		base.MaxReplicas = rapid.IntRange(0, 9).Draw(t, "max")
		base.MinReplicas = rapid.IntRange(0, base.MaxReplicas).Draw(t, "min")
		base.TimeLimit = time.Duration(rapid.Int64Range(int64(table.MinTimeLimit), int64(table.MaxTimeLimit)).Draw(t, "limit"))
		base.Repeatable = rapid.Bool().Draw(t, "repeatable")
		rows = append(rows, base)
		if rapid.Bool().Draw(t, "with adapter") {
			tuned := adapter(fmt.Sprintf("tuned-%d", index), base.Name)
			tuned.MaxReplicas = base.MaxReplicas
			rows = append(rows, tuned)
		}
	}
	table.SortRows(rows)
	return rows
}
