package applier

import (
	"fmt"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// newDigestedRow returns a row with eight endpoints.
func newDigestedRow() *directory.RowEndpoints {
	row := &directory.RowEndpoints{Model: "m", Gateways: 840}
	for i := range 8 {
		row.Endpoints = append(row.Endpoints, directory.Endpoint{
			Server: outside.ServerID(fmt.Sprintf("server-%05d", i)), Version: "1", Slot: outside.SlotID(i),
			MaxBatch: 32, Adapters: []string{"a", "b"},
		})
	}
	return row
}

// TestDigestOf checks that the digest changes with each field that gateways act on, and that it
// does not depend on the load.
func TestDigestOf(t *testing.T) {
	changes := map[string]func(*directory.RowEndpoints){
		"nothing":     func(*directory.RowEndpoints) {},
		"server":      func(r *directory.RowEndpoints) { r.Endpoints[0].Server = "server-x" },
		"version":     func(r *directory.RowEndpoints) { r.Endpoints[1].Version = "2" },
		"slot":        func(r *directory.RowEndpoints) { r.Endpoints[2].Slot = 9 },
		"batch":       func(r *directory.RowEndpoints) { r.Endpoints[3].MaxBatch = 16 },
		"draining":    func(r *directory.RowEndpoints) { r.Endpoints[4].Draining = true },
		"adapters":    func(r *directory.RowEndpoints) { r.Endpoints[5].Adapters = []string{"ab"} },
		"removed":     func(r *directory.RowEndpoints) { r.Endpoints = r.Endpoints[:7] },
		"ready":       func(r *directory.RowEndpoints) { r.ReadyAt = time.Unix(1, 0) },
		"refused":     func(r *directory.RowEndpoints) { r.Refused = "reason" },
		"half of all": func(r *directory.RowEndpoints) { r.Gateways = 400 },
	}
	seen := map[uint64]string{}
	for name, change := range changes {
		row := newDigestedRow()
		change(row)
		digest := digestOf(row)
		if sameAs, found := seen[digest]; found {
			t.Errorf("%s and %s have the same digest", name, sameAs)
		}
		seen[digest] = name
	}
	loaded := newDigestedRow()
	loaded.Endpoints[0].Running, loaded.Endpoints[0].Queued = 5, 7
	loaded.Gateways++
	if digestOf(loaded) != digestOf(newDigestedRow()) {
		t.Error("the digest depends on the load")
	}
}

// BenchmarkDigestOf measures the digest of one cell's endpoints of an active row.
func BenchmarkDigestOf(b *testing.B) {
	row := newDigestedRow()
	b.ReportAllocs()
	for b.Loop() {
		digestOf(row)
	}
}
