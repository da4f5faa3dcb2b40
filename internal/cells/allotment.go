package cells

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// ReplicasPerCell is how many replicas of a row are assigned to one cell before the next cell is
// used. Only when all cells have as many do they get more.
const ReplicasPerCell = 8

// CellsOf returns all cells in the order in which they are assigned replicas of a base model: the
// first gets the first slots. Adding one cell to a layout of n-1 changes the first cell of about
// one model in n.
func (l Layout) CellsOf(model string) []string {
	ranked := l.rank(model, len(l.Cells))
	names := make([]string, len(ranked))
	for index, cell := range ranked {
		names[index] = cell.name
	}
	return names
}

// Allotments divides a row's replicas over the cells. The shares of the limits add up to the row's,
// and the slots are disjoint. An adapter is divided as its base is, so that no cell may load more
// replicas of an adapter than of its base. A disabled row is assigned to one cell, with no replica.
//
// Each call hashes every cell; callers on the path of a request cache the result.
func (l Layout) Allotments(row table.Row) []Allotment {
	if len(l.Cells) == 0 {
		return nil
	}
	parts := divide(max(row.MaxReplicas, 0), len(l.Cells))
	allotments := make([]Allotment, len(parts))
	firstSlot, minimum := 0, max(row.MinReplicas, 0)
	for index, cell := range l.rank(baseOf(row), len(parts)) {
		allotments[index] = Allotment{
			Cell:        cell.name,
			MinReplicas: min(minimum, parts[index]),
			MaxReplicas: parts[index],
			FirstSlot:   outside.SlotID(firstSlot),
		}
		firstSlot += parts[index]
		minimum -= allotments[index].MinReplicas
	}
	return allotments
}

// baseOf returns the name of the model that determines a row's cells.
func baseOf(row table.Row) string {
	if row.Kind == table.KindAdapter {
		return row.Base
	}
	return row.Name
}

// divide splits a number of replicas over at most the given number of cells. No share shrinks when
// the number of replicas grows, which keeps adapters within the shares of their bases.
func divide(replicas, cells int) []int {
	if replicas > cells*ReplicasPerCell {
		return divideEvenly(replicas, cells)
	}
	needed := max(1, (replicas+ReplicasPerCell-1)/ReplicasPerCell)
	parts := make([]int, needed)
	for index := range parts {
		parts[index] = min(replicas, ReplicasPerCell)
		replicas -= parts[index]
	}
	return parts
}

func divideEvenly(replicas, cells int) []int {
	parts := make([]int, cells)
	for index := range parts {
		parts[index] = replicas / cells
		if index < replicas%cells {
			parts[index]++
		}
	}
	return parts
}

// rank returns the first count cells for a model, by rendezvous score.
func (l Layout) rank(model string, count int) []candidate {
	key := xxhash.Sum64String(model)
	ranked := make([]candidate, len(l.Cells))
	for index := range l.Cells {
		ranked[index] = candidate{name: l.Cells[index].Name, score: score(l.Cells[index].Name, key)}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		if b.before(a) {
			return 1
		}
		return 0
	})
	return ranked[:count]
}
