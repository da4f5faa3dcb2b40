package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// handleUpdate applies an update that an owner sends without a report.
func (d *Directory) handleUpdate(_ string, message peer.Message, reply func(peer.Message, error)) {
	if update, ok := message.(EndpointUpdate); ok {
		d.Apply(update)
	}
	reply(nil, nil)
}

// Apply applies an update. Updates of an epoch older than the cell's latest are ignored, and
// within an epoch, rows that are not of a later sequence than the cached one of their model.
func (d *Directory) Apply(update EndpointUpdate) {
	d.mutex.Lock()
	changed := d.applyLocked(update)
	d.mutex.Unlock()
	d.notify(changed)
}

// applyLocked applies an update and returns the models that changed. The lock must be held.
func (d *Directory) applyLocked(update EndpointUpdate) []string {
	if update.Epoch < d.epochs[update.Cell] {
		return nil
	}
	d.epochs[update.Cell] = update.Epoch
	var changed []string
	for _, row := range update.Rows {
		if d.applyRow(update, row) {
			changed = append(changed, row.Model)
		}
	}
	return changed
}

// applyRow replaces the cell's endpoints of one model and reports whether the row is newer than
// the cached one. The lock must be held.
func (d *Directory) applyRow(update EndpointUpdate, row RowEndpoints) bool {
	entry := d.models[row.Model]
	if entry == nil {
		entry = &modelEndpoints{cells: map[string]*cellEndpoints{}}
		d.models[row.Model] = entry
	}
	reported := entry.cells[update.Cell]
	if reported == nil {
		reported = &cellEndpoints{}
		entry.cells[update.Cell] = reported
	} else if !isNewer(update, reported) {
		return false
	}
	reported.epoch = update.Epoch
	reported.sequence = update.Sequence
	reported.receivedAt = d.config.Clock.Now()
	reported.row = row
	if update.Revision < d.config.Table.Revision() {
		// The owner may refuse the row only because its older table doesn't have it yet. Without
		// a digest, the next report makes the owner send the row again.
		reported.row.Refused = ""
		reported.row.Digest = 0
	}
	d.rebuildSnapshot(row.Model, entry)
	return true
}

// isNewer reports whether the update is newer than what the cell reported before.
func isNewer(update EndpointUpdate, reported *cellEndpoints) bool {
	if update.Epoch != reported.epoch {
		return update.Epoch > reported.epoch
	}
	return update.Sequence > reported.sequence
}

// rebuildSnapshot merges the endpoints that the cells reported for a model into a new snapshot.
// The lock must be held.
func (d *Directory) rebuildSnapshot(name string, entry *modelEndpoints) {
	snapshot := &Snapshot{Group: name}
	refusals := 0
	for _, cell := range slices.Sorted(maps.Keys(entry.cells)) {
		reported := entry.cells[cell]
		snapshot.Endpoints = d.appendEndpoints(snapshot.Endpoints, reported.row.Endpoints)
		snapshot.ReadyAt = earliest(snapshot.ReadyAt, reported.row.ReadyAt)
		snapshot.Gateways = max(snapshot.Gateways, reported.row.Gateways)
		if reported.receivedAt.After(snapshot.MeasuredAt) {
			snapshot.MeasuredAt = reported.receivedAt
		}
		if reported.row.Refused != "" {
			refusals++
			snapshot.Refused = reported.row.Refused
		}
	}
	if refusals < max(len(entry.cells), len(d.config.Cells(name))) {
		snapshot.Refused = ""
	}
	slices.SortStableFunc(snapshot.Endpoints, compareEndpoints)
	entry.snapshot = snapshot
}

// appendEndpoints appends endpoints to merged. Those on leaving servers become draining.
func (d *Directory) appendEndpoints(merged, added []Endpoint) []Endpoint {
	for _, endpoint := range added {
		if _, leaving := d.leaving[endpoint.Server]; leaving {
			endpoint.Draining = true
		}
		merged = append(merged, endpoint)
	}
	return merged
}

// compareEndpoints orders endpoints by server and slot.
func compareEndpoints(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Slot, b.Slot))
}

// earliest returns the earlier of two times. A zero time is unknown and doesn't count.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Invalidate removes an endpoint that refused a request because the model is not loaded there.
// A newer update of the cell's owner may add it again. The digests of the model's rows are reset,
// so that the owners send them again after the next report.
func (d *Directory) Invalidate(name string, server outside.ServerID, slot outside.SlotID) {
	d.mutex.Lock()
	entry := d.models[name]
	if entry != nil {
		for _, reported := range entry.cells {
			reported.row.Endpoints = withoutEndpoint(reported.row.Endpoints, server, slot)
			reported.row.Digest = 0
		}
		d.rebuildSnapshot(name, entry)
	}
	d.mutex.Unlock()
	if entry != nil {
		d.notify([]string{name})
	}
}
