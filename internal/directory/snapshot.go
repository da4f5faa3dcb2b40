package directory

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Snapshot is the set of endpoints of one base model or back-end pool. It is immutable: a change
// makes a new snapshot, so that a change can be detected by comparing pointers.
type Snapshot struct {
	// Group is the name of the base model or pool.
	Group string
	// Endpoints of a model are ordered by server and slot, those of a pool as in the machine
	// listing.
	Endpoints []Endpoint
	// ReadyAt is the estimated time at which the next replica is ready; zero if not known.
	ReadyAt time.Time
	// Refused is the reason why no cell can load the model; empty if some can.
	Refused string
	// MeasuredAt is when the latest load figures were received; zero if there are none.
	MeasuredAt time.Time
	// Gateways is the number of gateways that share the endpoints now; 0 if not known.
	Gateways int
}

// Usable reports whether any endpoint accepts new requests. A nil snapshot has none.
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

// withoutEndpoint returns a copy of the endpoints without those on the server and slot.
func withoutEndpoint(endpoints []Endpoint, server outside.ServerID, slot outside.SlotID) []Endpoint {
	kept := make([]Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Server == server && endpoint.Slot == slot {
			continue
		}
		kept = append(kept, endpoint)
	}
	return kept
}
