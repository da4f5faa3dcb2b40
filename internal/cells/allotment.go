package cells

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// ReplicasPerCell is how many replicas of one row a cell takes before the next
// cell takes a part. Only when all cells have taken as many do they take more.
const ReplicasPerCell = 8

// CellsOf returns all cells in the order in which they take replicas of a base
// model: the first takes the first slots. Adding a cell to the layout changes
// the first cell of about one model in as many as there are cells.
func (l Layout) CellsOf(model string) []string {
	ranked := l.rank(model, len(l.Cells))
	names := make([]string, len(ranked))
	for index, cell := range ranked {
		names[index] = cell.name
	}
	return names
}

// Allotments divides a row's replicas over the cells. The parts of the limits
// add up to the row's, and the slots are disjoint. An adapter is divided as its
// base is, so that no cell may load more replicas of an adapter than of its
// base. A disabled row is given to one cell, with no replica.
//
// Each call hashes every cell; callers on the path of a request keep the result.
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

// baseOf returns the name of the model that decides a row's cells.
func baseOf(row table.Row) string {
	if row.Kind == table.KindAdapter {
		return row.Base
	}
	return row.Name
}

// divide splits a number of replicas over at most as many cells. No part
// shrinks when the number grows, which keeps adapters within their bases.
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

// rank returns the first cells for a model.
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
