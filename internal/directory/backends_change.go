package directory

import (
	"maps"
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// changedPools returns the sorted names of the pools whose endpoints differ.
func changedPools(before, after map[string]*Snapshot) []string {
	var changed []string
	for _, pool := range slices.Sorted(maps.Keys(after)) {
		previous := before[pool]
		if previous == nil || !slices.EqualFunc(previous.Endpoints, after[pool].Endpoints, sameEndpoint) {
			changed = append(changed, pool)
		}
	}
	return changed
}

// sameEndpoint compares the fields that can differ between listings; the others are constant.
func sameEndpoint(a, b Endpoint) bool {
	return a.Server == b.Server && a.Zone == b.Zone && a.Draining == b.Draining
}

// withDraining returns a copy of the snapshot in which the server is draining; nil if it is
// draining already or not in the snapshot.
func withDraining(snapshot *Snapshot, server outside.ServerID) *Snapshot {
	index := slices.IndexFunc(snapshot.Endpoints, func(endpoint Endpoint) bool {
		return endpoint.Server == server && !endpoint.Draining
	})
	if index < 0 {
		return nil
	}
	updated := *snapshot
	updated.Endpoints = slices.Clone(snapshot.Endpoints)
	updated.Endpoints[index].Draining = true
	return &updated
}
