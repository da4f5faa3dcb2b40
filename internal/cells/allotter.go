package cells

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// maxRememberedModels bounds the ranks that an Allotter keeps; beyond it they
// are computed anew.
const maxRememberedModels = 1 << 14

// CachedLayout answers the questions to a Layout from what it computed before, so
// that planning and reporting need not hash every cell for every row. It gives
// the same answers as the Layout. Safe for concurrent use.
type CachedLayout struct {
	layout Layout
	hashes []uint64

	mutex sync.RWMutex
	// ranked holds the first cells of a model, as many as were asked for.
	ranked map[string][]string
	// matching holds the indices of the cells that a location matches.
	matching map[location][]int
}

// location is what a cell is matched by.
type location struct{ region, pool, zone string }

// NewCachedLayout returns an allotter of a layout, which must not change.
func NewCachedLayout(layout Layout) *CachedLayout {
	a := &CachedLayout{layout: layout, ranked: map[string][]string{}, matching: map[location][]int{}}
	for i := range layout.Cells {
		a.hashes = append(a.hashes, xxhash.Sum64String(layout.Cells[i].Name))
	}
	return a
}

// Allotment returns a cell's part of a row's replicas; the zero part if the row
// gives the cell none.
func (a *CachedLayout) Allotment(cell string, row table.Row) Allotment {
	none := Allotment{Cell: cell}
	if len(a.layout.Cells) == 0 {
		return none
	}
	parts := divide(max(row.MaxReplicas, 0), len(a.layout.Cells))
	index := slices.Index(a.cellsOf(baseOf(row), len(parts)), cell)
	if index < 0 {
		return none
	}
	before := 0
	for _, part := range parts[:index] {
		before += part
	}
	return Allotment{
		Cell:        cell,
		MinReplicas: min(max(row.MinReplicas-before, 0), parts[index]),
		MaxReplicas: parts[index],
		FirstSlot:   outside.SlotID(before),
	}
}

// CellsOf returns the cells that may hold replicas of a row: those that
// Layout.Allotments names, in the same order. The slice must not be changed.
func (a *CachedLayout) CellsOf(row table.Row) []string {
	if len(a.layout.Cells) == 0 {
		return nil
	}
	return a.cellsOf(baseOf(row), len(divide(max(row.MaxReplicas, 0), len(a.layout.Cells))))
}

// cellsOf returns the first cells of a base model.
func (a *CachedLayout) cellsOf(model string, count int) []string {
	a.mutex.RLock()
	known := a.ranked[model]
	a.mutex.RUnlock()
	if len(known) >= count {
		return known[:count:count]
	}
	ranked := a.layout.rank(model, count)
	names := make([]string, count)
	for index := range names {
		names[index] = ranked[index].name
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.ranked) >= maxRememberedModels {
		clear(a.ranked)
	}
	a.ranked[model] = names
	return names
}

// ServerCell returns the cell that an engine belongs to, as Layout.ServerCell
// does.
func (a *CachedLayout) ServerCell(machine outside.Machine) (string, bool) {
	if !machine.Engine {
		return "", false
	}
	key := mix(xxhash.Sum64String(string(machine.Server)))
	best, found := candidate{}, false
	for _, index := range a.matchingCells(&machine) {
		next := candidate{name: a.layout.Cells[index].Name, score: mix(a.hashes[index] ^ key)}
		if !found || next.before(best) {
			best, found = next, true
		}
	}
	return best.name, found
}

func (a *CachedLayout) matchingCells(machine *outside.Machine) []int {
	at := location{region: machine.Region, pool: machine.Pool, zone: machine.Zone}
	a.mutex.RLock()
	indices, known := a.matching[at]
	a.mutex.RUnlock()
	if known {
		return indices
	}
	for index := range a.layout.Cells {
		if a.layout.Cells[index].matches(*machine) {
			indices = append(indices, index)
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.matching) >= maxRememberedModels {
		clear(a.matching)
	}
	a.matching[at] = indices
	return indices
}
