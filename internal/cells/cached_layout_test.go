package cells_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/cells"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

var _ = Describe("Allotter", func() {
	It("returns the shares of the layout, also when a row changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			layout := layoutOf(rapid.IntRange(0, 12).Draw(t, "cells"))
			allotter := cells.NewCachedLayout(layout)
			for range 3 {
				row := drawRow(t)
				row.Name = "m"
				if rapid.Bool().Draw(t, "adapter") {
					row.Kind, row.Base, row.Name = table.KindAdapter, "m", "a"
				}
				expected := map[string]cells.Allotment{}
				names := []string{}
				for _, part := range layout.Allotments(row) {
					expected[part.Cell] = part
					names = append(names, part.Cell)
				}
				if got := allotter.CellsOf(row); fmt.Sprint(got) != fmt.Sprint(names) {
					t.Fatalf("got cells %v, expected %v", got, names)
				}
				for _, cell := range layout.Cells {
					part, given := expected[cell.Name]
					if !given {
						part = cells.Allotment{Cell: cell.Name}
					}
					if got := allotter.Allotment(cell.Name, row); got != part {
						t.Fatalf("got %+v, expected %+v", got, part)
					}
				}
			}
		})
	})

	It("returns the cell of a server that the layout returns", func() {
		layout := cells.Layout{}
		for index := range 30 {
			layout.Cells = append(layout.Cells, cells.Cell{
				Name: fmt.Sprintf("cell-%d", index), Pools: []string{"p"}, Zones: []string{fmt.Sprintf("z%d", index%3)},
			})
		}
		allotter := cells.NewCachedLayout(layout)
		for index := range 500 {
			machine := outside.Machine{
				Server: outside.ServerID(fmt.Sprintf("s%d", index)), Pool: "p",
				Zone: fmt.Sprintf("z%d", index%4), Engine: index%7 != 0,
			}
			expected, known := layout.ServerCell(machine)
			got, found := allotter.ServerCell(machine)
			Expect(found).To(Equal(known))
			Expect(got).To(Equal(expected))
		}
	})
})

func BenchmarkCachedLayout(b *testing.B) {
	for _, count := range []int{2, 833} {
		allotter := cells.NewCachedLayout(layoutOf(count))
		b.Run(fmt.Sprintf("%d cells", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				allotter.Allotment("cell-1", table.Row{Name: "m", MaxReplicas: 6})
			}
		})
	}
}
