package cells_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/cells"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestCells(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cells")
}

// layoutOf returns a layout of cells that match all machines.
func layoutOf(count int) cells.Layout {
	var layout cells.Layout
	for index := range count {
		layout.Cells = append(layout.Cells, cells.Cell{Name: fmt.Sprintf("cell-%d", index)})
	}
	return layout
}

func drawRow(t *rapid.T) table.Row {
	maximum := rapid.IntRange(0, 100).Draw(t, "max")
	return table.Row{
		Name: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "name"), Kind: table.KindModel,
		MaxReplicas: maximum, MinReplicas: rapid.IntRange(0, maximum).Draw(t, "min"),
	}
}

var _ = Describe("Allotments", func() {
	It("add up to the row's limits in disjoint slots of different cells", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			layout := layoutOf(rapid.IntRange(1, 12).Draw(t, "cells"))
			row := drawRow(t)
			var minimum, maximum int
			seen := map[string]bool{}
			for _, part := range layout.Allotments(row) {
				if seen[part.Cell] || part.MinReplicas > part.MaxReplicas || int(part.FirstSlot) != maximum {
					t.Fatalf("invalid share %+v after %d slots", part, maximum)
				}
				seen[part.Cell] = true
				minimum += part.MinReplicas
				maximum += part.MaxReplicas
			}
			if minimum != row.MinReplicas || maximum != row.MaxReplicas || len(seen) == 0 {
				t.Fatalf("shares add up to %d..%d in %d cells", minimum, maximum, len(seen))
			}
		})
	})

	It("keep adapters within their bases, cell by cell", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			layout := layoutOf(rapid.IntRange(1, 12).Draw(t, "cells"))
			base := drawRow(t)
			tuned := table.Row{
				Name: "adapter", Kind: table.KindAdapter, Base: base.Name,
				MaxReplicas: rapid.IntRange(0, base.MaxReplicas).Draw(t, "adapter max"),
			}
			allowed := map[string]int{}
			for _, part := range layout.Allotments(base) {
				allowed[part.Cell] = part.MaxReplicas
			}
			for _, part := range layout.Allotments(tuned) {
				if limit, known := allowed[part.Cell]; !known || part.MaxReplicas > limit {
					t.Fatalf("%+v exceeds the base's %v", part, allowed)
				}
			}
		})
	})

	It("assign everything to the only cell and nothing without cells", func() {
		row := table.Row{Name: "m", MinReplicas: 2, MaxReplicas: 30}
		Expect(layoutOf(1).Allotments(row)).To(Equal([]cells.Allotment{{Cell: "cell-0", MinReplicas: 2, MaxReplicas: 30}}))
		Expect(layoutOf(0).Allotments(row)).To(BeEmpty())
	})

	It("do not depend on the order of the cells", func() {
		layout, reversed := layoutOf(5), layoutOf(5)
		slices.Reverse(reversed.Cells)
		row := table.Row{Name: "m", MaxReplicas: 30}
		Expect(reversed.Allotments(row)).To(Equal(layout.Allotments(row)))
		Expect(layout.CellsOf("m")).To(HaveLen(5))
		Expect(layout.CellsOf("m")[0]).To(Equal(layout.Allotments(row)[0].Cell))
	})

	It("move only to the new cell, and in proportion, when a cell is added", func() {
		const count, keys = 9, 5000
		before, after := layoutOf(count), layoutOf(count+1)
		movedModels, movedServers := 0, 0
		for index := range keys {
			name := fmt.Sprintf("key-%d", index)
			movedModels += moved(before.CellsOf(name)[0], after.CellsOf(name)[0])
			machine := outside.Machine{Server: outside.ServerID(name), Engine: true}
			oldCell, _ := before.ServerCell(machine)
			newCell, _ := after.ServerCell(machine)
			movedServers += moved(oldCell, newCell)
		}
		Expect(movedModels).To(BeNumerically("~", keys/(count+1), 100))
		Expect(movedServers).To(BeNumerically("~", keys/(count+1), 100))
	})
})

// moved counts a key whose cell changed, which must have become the new cell.
func moved(before, after string) int {
	if before == after {
		return 0
	}
	Expect(after).To(Equal("cell-9"))
	return 1
}

var _ = DescribeTable("ServerCell matches region, pool, zone and kind",
	func(change func(*outside.Machine), expected string, found bool) {
		layout := cells.Layout{Cells: []cells.Cell{
			{Name: "north", Region: "attica", Pools: []string{"glossa"}, Zones: []string{"marousi", "acharnes"}},
			{Name: "south", Region: "attica", Pools: []string{"glossa"}, Zones: []string{"piraeus", "koropi"}},
		}}
		machine := outside.Machine{Server: "s1", Region: "attica", Pool: "glossa", Zone: "marousi", Engine: true}
		change(&machine)
		cell, known := layout.ServerCell(machine)
		Expect(known).To(Equal(found))
		Expect(cell).To(Equal(expected))
	},
	Entry("first", func(*outside.Machine) {}, "north", true),
	Entry("second", func(m *outside.Machine) { m.Zone = "koropi" }, "south", true),
	Entry("another region", func(m *outside.Machine) { m.Region = "crete" }, "", false),
	Entry("another pool", func(m *outside.Machine) { m.Pool = "eggrafi" }, "", false),
	Entry("another zone", func(m *outside.Machine) { m.Zone = "patra" }, "", false),
	Entry("no engine", func(m *outside.Machine) { m.Engine = false }, "", false),
)

var _ = Describe("Digest", func() {
	It("depends on the content of the layout, not on its order", func() {
		one := cells.Layout{Cells: []cells.Cell{{Name: "a", Zones: []string{"x", "y"}}, {Name: "b"}}}
		two := cells.Layout{Cells: []cells.Cell{{Name: "b"}, {Name: "a", Zones: []string{"y", "x"}}}}
		Expect(one.Digest()).To(Equal(two.Digest()))
		two.Cells[0].Region = "attica"
		Expect(one.Digest()).NotTo(Equal(two.Digest()))
		Expect(one.Cells[0].Zones).To(Equal([]string{"x", "y"}))
	})
})

func BenchmarkAllotments(b *testing.B) {
	for _, count := range []int{1, 2, 833} {
		layout := layoutOf(count)
		b.Run(fmt.Sprintf("%d cells", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				layout.Allotments(table.Row{Name: "m", MaxReplicas: 6})
			}
		})
	}
}
