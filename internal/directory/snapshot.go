package directory

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Snapshot is the immutable set of endpoints of one base model or back-end
// pool. A change makes a new snapshot, so two snapshots are equal exactly if
// their pointers are.
type Snapshot struct {
	// Group is the name of the base model or pool.
	Group string
	// Endpoints in order of cell, server and slot.
	Endpoints []Endpoint
	// ReadyAt estimates when the next replica will be ready; zero: not known.
	ReadyAt time.Time
	// Refused is set when no cell can load the model, with a reason.
	Refused string
	// MeasuredAt is when the load figures of the endpoints were received.
	MeasuredAt time.Time
	// Gateways that share the endpoints now; 0: not known.
	Gateways int
}

// Usable reports whether any endpoint takes new work.
func (s *Snapshot) Usable() bool {
	if s == nil {
		return false
	}
	for index := range s.Endpoints {
		if !s.Endpoints[index].Draining {
			return true
		}
	}
	return false
}

// without returns the endpoints that are not on the server and slot.
func without(endpoints []Endpoint, server outside.ServerID, slot outside.SlotID) []Endpoint {
	kept := make([]Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Server == server && endpoint.Slot == slot {
			continue
		}
		kept = append(kept, endpoint)
	}
	return kept
}
