package cells

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// maxCachedEntries bounds the models, and the locations, whose cells a CachedLayout keeps. When there
// are more it drops all of them and computes them again.
const maxCachedEntries = 1 << 14

// CachedLayout caches the results of a Layout's methods, so that planning and reporting need not
// hash every cell for every row. It returns the same results as the Layout, and is safe for
// concurrent use.
type CachedLayout struct {
	layout Layout
	hashes []uint64

	mutex sync.RWMutex
	// ranked holds the first cells of each model, as many as were requested.
	ranked map[string][]string
	// matching holds the indices of the cells that match a location.
	matching map[location][]int
}

// location holds the properties of a machine by which it is matched to cells.
type location struct{ region, pool, zone string }

// NewCachedLayout returns a CachedLayout of a layout, which must not change afterwards.
func NewCachedLayout(layout Layout) *CachedLayout {
	c := &CachedLayout{layout: layout, ranked: map[string][]string{}, matching: map[location][]int{}}
	for i := range layout.Cells {
		c.hashes = append(c.hashes, xxhash.Sum64String(layout.Cells[i].Name))
	}
	return c
}

// Allotment returns a cell's share of a row's replicas, without replicas if the row assigns none to
// the cell.
func (c *CachedLayout) Allotment(cell string, row table.Row) Allotment {
	none := Allotment{Cell: cell}
	if len(c.layout.Cells) == 0 {
		return none
	}
	parts := divide(max(row.MaxReplicas, 0), len(c.layout.Cells))
	index := slices.Index(c.cellsOf(baseOf(row), len(parts)), cell)
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

// CellsOf returns the cells that may hold replicas of a row: those of Layout.Allotments, in the
// same order. The slice must not be modified.
func (c *CachedLayout) CellsOf(row table.Row) []string {
	if len(c.layout.Cells) == 0 {
		return nil
	}
	return c.cellsOf(baseOf(row), len(divide(max(row.MaxReplicas, 0), len(c.layout.Cells))))
}

// cellsOf returns the first count cells for a base model.
func (c *CachedLayout) cellsOf(model string, count int) []string {
	c.mutex.RLock()
	cached := c.ranked[model]
	c.mutex.RUnlock()
	if len(cached) >= count {
		return cached[:count:count]
	}
	ranked := c.layout.rank(model, count)
	names := make([]string, count)
	for index := range names {
		names[index] = ranked[index].name
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.ranked) >= maxCachedEntries {
		clear(c.ranked)
	}
	c.ranked[model] = names
	return names
}

// ServerCell returns the cell that an engine belongs to, as Layout.ServerCell does.
func (c *CachedLayout) ServerCell(machine outside.Machine) (string, bool) {
	if !machine.Engine {
		return "", false
	}
	key := mix(xxhash.Sum64String(string(machine.Server)))
	best, found := candidate{}, false
	for _, index := range c.matchingCells(&machine) {
		next := candidate{name: c.layout.Cells[index].Name, score: mix(c.hashes[index] ^ key)}
		if !found || next.before(best) {
			best, found = next, true
		}
	}
	return best.name, found
}

func (c *CachedLayout) matchingCells(machine *outside.Machine) []int {
	at := location{region: machine.Region, pool: machine.Pool, zone: machine.Zone}
	c.mutex.RLock()
	indices, cached := c.matching[at]
	c.mutex.RUnlock()
	if cached {
		return indices
	}
	for index := range c.layout.Cells {
		if c.layout.Cells[index].matches(*machine) {
			indices = append(indices, index)
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.matching) >= maxCachedEntries {
		clear(c.matching)
	}
	c.matching[at] = indices
	return indices
}
