package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// MarkLeaving records that a server accepts no new requests any more, whatever the owner of its
// cell reports. The mark is final, because server ids are not reused.
func (d *Directory) MarkLeaving(server outside.ServerID) {
	d.mutex.Lock()
	changed := d.markLeaving([]outside.ServerID{server})
	d.mutex.Unlock()
	d.notify(changed)
}

// ApplyListing marks engines as leaving that the machine listing has as leaving, or that were in
// the previous listing and are not in this one.
func (d *Directory) ApplyListing(listing outside.MachineListing) {
	d.mutex.Lock()
	changed := d.markLeaving(d.leavingEngines(listing))
	d.pruneLeaving()
	d.mutex.Unlock()
	d.notify(changed)
}

// leavingEngines returns the sorted ids of the engines that are leaving or no longer listed, and
// records which are listed.
func (d *Directory) leavingEngines(listing outside.MachineListing) []outside.ServerID {
	listed := make(map[outside.ServerID]bool, len(listing.Machines))
	var leaving []outside.ServerID
	for _, machine := range listing.Machines {
		if !machine.Engine {
			continue
		}
		listed[machine.Server] = true
		if machine.Phase == outside.MachineLeaving {
			leaving = append(leaving, machine.Server)
		}
	}
	for server := range d.listed {
		if !listed[server] {
			leaving = append(leaving, server)
		}
	}
	d.listed = listed
	slices.Sort(leaving)
	return leaving
}

// markLeaving marks servers as leaving and returns the models whose snapshot changed. The lock
// must be held.
func (d *Directory) markLeaving(servers []outside.ServerID) []string {
	now := d.config.Clock.Now()
	added := map[outside.ServerID]bool{}
	for _, server := range servers {
		if _, marked := d.leaving[server]; !marked {
			added[server] = true
		}
		d.leaving[server] = now
	}
	if len(added) == 0 {
		return nil
	}
	var changed []string
	for _, name := range slices.Sorted(maps.Keys(d.models)) {
		entry := d.models[name]
		if hasEndpointOn(entry.snapshot, added) {
			d.rebuildSnapshot(name, entry)
			changed = append(changed, name)
		}
	}
	return changed
}

// hasEndpointOn reports whether the snapshot has an endpoint on any of the servers.
func hasEndpointOn(snapshot *Snapshot, servers map[outside.ServerID]bool) bool {
	return slices.ContainsFunc(snapshot.Endpoints, func(endpoint Endpoint) bool { return servers[endpoint.Server] })
}

// pruneLeaving removes the marks of servers that are not listed any more after
// leavingRetention, to bound their number. The lock must be held.
func (d *Directory) pruneLeaving() {
	cutoff := d.config.Clock.Now().Add(-leavingRetention)
	maps.DeleteFunc(d.leaving, func(server outside.ServerID, markedAt time.Time) bool {
		return markedAt.Before(cutoff) && !d.listed[server]
	})
}
