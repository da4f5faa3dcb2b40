package table_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/table"
)

var _ table.View = (*table.Snapshot)(nil)

var _ = Describe("Snapshot", func() {
	It("leads to any other snapshot by the delta between them, and is not modified", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			before := drawRows(t, "before")
			from, to := table.NewSnapshot(3, before), table.NewSnapshot(5, drawRows(t, "after"))
			reached, err := from.Apply(table.Diff(from, to))
			if err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(reached.Rows()) != fmt.Sprint(to.Rows()) || reached.Revision() != 5 {
				t.Fatalf("rows are %v, expected %v", reached.Rows(), to.Rows())
			}
			for _, row := range to.Rows() {
				if found, exists := reached.Row(row.Name); !exists || found != row {
					t.Fatalf("row %s: %v", row.Name, found)
				}
			}
			if fmt.Sprint(from.Rows()) != fmt.Sprint(before) {
				t.Fatalf("the old snapshot was modified")
			}
			if _, exists := reached.Row("absent"); exists {
				t.Fatalf("found an absent row")
			}
		})
	})

	DescribeTable("rejects a delta whose revisions do not match", func(from, to table.Revision) {
		_, err := table.NewSnapshot(3, nil).Apply(table.Delta{From: from, To: to})
		var mismatch *table.DeltaMismatchError
		Expect(err).To(BeAssignableToTypeOf(mismatch))
	},
		Entry("older", table.Revision(2), table.Revision(4)),
		Entry("newer", table.Revision(4), table.Revision(5)),
		Entry("downwards", table.Revision(3), table.Revision(2)),
		Entry("to the same revision", table.Revision(3), table.Revision(3)),
	)
})

var _ = Describe("Merge", func() {
	It("returns the edit that only one side made or that both made equally", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			base, edited := drawRows(t, "base"), drawRows(t, "edited")
			for _, sides := range [][2][]table.Row{{base, edited}, {edited, base}, {edited, edited}} {
				merged, conflicts := table.Merge(base, sides[0], sides[1])
				if len(conflicts) > 0 || fmt.Sprint(merged) != fmt.Sprint(edited) {
					t.Fatalf("merged %v with %v", merged, conflicts)
				}
			}
		})
	})

	It("gives the same rows and conflicts when the sides are swapped", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			base, mine, theirs := drawRows(t, "base"), drawRows(t, "mine"), drawRows(t, "theirs")
			merged, conflicts := table.Merge(base, mine, theirs)
			swapped, swappedConflicts := table.Merge(base, theirs, mine)
			if fmt.Sprint(merged) != fmt.Sprint(swapped) || len(conflicts) != len(swappedConflicts) {
				t.Fatalf("%v %v, swapped %v %v", merged, conflicts, swapped, swappedConflicts)
			}
			for index, conflict := range conflicts {
				conflict.Mine, conflict.Theirs = conflict.Theirs, conflict.Mine
				if conflict != swappedConflicts[index] {
					t.Fatalf("%v, swapped %v", conflict, swappedConflicts[index])
				}
			}
		})
	})

	It("merges changes of different columns of one row", func() {
		base, mine, theirs := model("m"), model("m"), model("m")
		mine.Priority, theirs.Weight = 9, 99
		merged, conflicts := table.Merge([]table.Row{base}, []table.Row{mine}, []table.Row{theirs, model("n")})
		Expect(conflicts).To(BeEmpty())
		Expect(merged).To(HaveLen(2))
		Expect(merged[0].Priority).To(Equal(9))
		Expect(merged[0].Weight).To(Equal(99))
	})

	DescribeTable("reports the values of both sides of a conflict",
		func(base, mine, theirs []table.Row, expected table.Conflict) {
			merged, conflicts := table.Merge(base, mine, theirs)
			Expect(merged).To(BeNil())
			Expect(conflicts).To(ConsistOf(expected))
		},
		Entry("column", rowsOf(5), rowsOf(6), rowsOf(7),
			table.Conflict{Row: "m", Column: "priority", Base: "5", Mine: "6", Theirs: "7"}),
		Entry("removed and changed", rowsOf(5), nil, rowsOf(7),
			table.Conflict{Row: "m", Column: table.RowPresence, Base: "present", Mine: "removed", Theirs: "changed"}),
		Entry("both added", nil, rowsOf(6), rowsOf(7),
			table.Conflict{Row: "m", Column: "priority", Base: "absent", Mine: "6", Theirs: "7"}),
	)
})

var _ = Describe("Changes", func() {
	It("lists added, removed and changed rows by column", func() {
		changes := table.Changes([]table.Row{model("gone"), rowsOf(5)[0]}, []table.Row{rowsOf(6)[0], model("new")})
		Expect(changes).To(HaveLen(3))
		Expect(changes[0]).To(Equal(table.RowChange{Row: "gone", Removed: true}))
		Expect(changes[1].Columns).To(ConsistOf(table.ColumnChange{Column: "priority", Before: "5", After: "6"}))
		Expect(changes[2].Added).To(BeTrue())
	})
})

func rowsOf(priority int) []table.Row {
	row := model("m")
	row.Priority = priority
	return []table.Row{row}
}

func BenchmarkSnapshotApplyOneRow(b *testing.B) {
	rows := make([]table.Row, 2400)
	for index := range rows {
		rows[index] = model(fmt.Sprintf("model-%04d", index))
	}
	snapshot := table.NewSnapshot(1, rows)
	changed := rows[1200]
	changed.Priority = 9
	delta := table.Delta{From: 1, To: 2, Changed: []table.Row{changed}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := snapshot.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}
