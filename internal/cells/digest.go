package cells

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash in hexadecimal that is equal for equal layouts, regardless of the order of
// their cells, pools and zones.
func (l Layout) Digest() string {
	ordered := slices.Clone(l.Cells)
	slices.SortFunc(ordered, func(a, b Cell) int { return strings.Compare(a.Name, b.Name) })
	for index := range ordered {
		ordered[index].Pools = slices.Sorted(slices.Values(ordered[index].Pools))
		ordered[index].Zones = slices.Sorted(slices.Values(ordered[index].Zones))
	}
	encoded, err := json.Marshal(ordered)
	if err != nil {
		panic(err) // a struct of plain fields can always be encoded
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16)
}
