package cells

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// ServerCell returns the cell that an engine belongs to: of the cells that match its region, pool
// and zone, the one with the highest rendezvous score. An empty region, pool list or zone list of a
// cell matches all. It returns false for a machine that is not an engine or that no cell matches.
func (l Layout) ServerCell(machine outside.Machine) (string, bool) {
	if !machine.Engine {
		return "", false
	}
	server := xxhash.Sum64String(string(machine.Server))
	best, found := candidate{}, false
	for index := range l.Cells {
		cell := &l.Cells[index]
		if !cell.matches(machine) {
			continue
		}
		next := candidate{name: cell.Name, score: score(cell.Name, server)}
		if !found || next.before(best) {
			best, found = next, true
		}
	}
	return best.name, found
}

func (c *Cell) matches(machine outside.Machine) bool {
	return (c.Region == "" || c.Region == machine.Region) &&
		(len(c.Pools) == 0 || slices.Contains(c.Pools, machine.Pool)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, machine.Zone))
}

// candidate is a cell with its rendezvous score for one key.
type candidate struct {
	name  string
	score uint64
}

// before orders candidates by descending score, then by name.
func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}

// score returns the rendezvous score of a cell for a key, given the key's hash.
func score(cell string, key uint64) uint64 {
	return mix(xxhash.Sum64String(cell) ^ mix(key))
}

// mix spreads a change of any bit over all bits (the finalizer of MurmurHash3).
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
