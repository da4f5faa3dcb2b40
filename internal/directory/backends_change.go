package directory

import (
	"maps"
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// changedPools returns the names of the pools whose servers differ, in order.
func changedPools(before, after map[string]*Snapshot) []string {
	var changed []string
	for _, pool := range slices.Sorted(maps.Keys(after)) {
		known := before[pool]
		if known == nil || !slices.EqualFunc(known.Endpoints, after[pool].Endpoints, sameServer) {
			changed = append(changed, pool)
		}
	}
	return changed
}

func sameServer(a, b Endpoint) bool {
	return a.Server == b.Server && a.Zone == b.Zone && a.Draining == b.Draining
}

// withDraining returns a copy of the snapshot with the server draining; nil if
// that changes nothing.
func withDraining(snapshot *Snapshot, server outside.ServerID) *Snapshot {
	index := slices.IndexFunc(snapshot.Endpoints, func(endpoint Endpoint) bool {
		return endpoint.Server == server && !endpoint.Draining
	})
	if index < 0 {
		return nil
	}
	marked := *snapshot
	marked.Endpoints = slices.Clone(snapshot.Endpoints)
	marked.Endpoints[index].Draining = true
	return &marked
}
