package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// MarkLeaving records that a server takes no new work any more, whatever the
// owner of its cell says. A server id is never used again, so there is no way
// back.
func (d *Directory) MarkLeaving(server outside.ServerID) {
	d.mutex.Lock()
	changed := d.markLeaving([]outside.ServerID{server})
	d.mutex.Unlock()
	d.notify(changed)
}

// ApplyListing takes a machine listing in: engines listed as leaving, and
// engines listed before and now gone, take no new work.
func (d *Directory) ApplyListing(listing outside.MachineListing) {
	d.mutex.Lock()
	changed := d.markLeaving(d.leavingIn(listing))
	d.forgetLeaving()
	d.mutex.Unlock()
	d.notify(changed)
}

// leavingIn returns the engines that leave or have left, in order.
func (d *Directory) leavingIn(listing outside.MachineListing) []outside.ServerID {
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

// markLeaving marks servers and returns the models whose snapshot changed.
func (d *Directory) markLeaving(servers []outside.ServerID) []string {
	now := d.config.Clock.Now()
	fresh := map[outside.ServerID]bool{}
	for _, server := range servers {
		if _, known := d.leaving[server]; !known {
			fresh[server] = true
		}
		d.leaving[server] = now
	}
	if len(fresh) == 0 {
		return nil
	}
	var changed []string
	for _, name := range slices.Sorted(maps.Keys(d.models)) {
		known := d.models[name]
		if holdsAny(known.snapshot, fresh) {
			d.rebuild(name, known)
			changed = append(changed, name)
		}
	}
	return changed
}

func holdsAny(snapshot *Snapshot, servers map[outside.ServerID]bool) bool {
	return slices.ContainsFunc(snapshot.Endpoints, func(endpoint Endpoint) bool { return servers[endpoint.Server] })
}

// forgetLeaving bounds the memory of servers that are long gone.
func (d *Directory) forgetLeaving() {
	limit := d.config.Clock.Now().Add(-leavingMemory)
	maps.DeleteFunc(d.leaving, func(server outside.ServerID, marked time.Time) bool {
		return marked.Before(limit) && !d.listed[server]
	})
}
