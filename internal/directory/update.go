package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

func (d *Directory) handleUpdate(_ string, message peer.Message, reply func(peer.Message, error)) {
	if update, ok := message.(EndpointUpdate); ok {
		d.Apply(update)
	}
	reply(nil, nil)
}

// Apply takes an update in. Per cell the newest epoch wins, and within an
// epoch, per model, the newest sequence; anything else is ignored.
func (d *Directory) Apply(update EndpointUpdate) {
	d.mutex.Lock()
	changed := d.applyLocked(update)
	d.mutex.Unlock()
	d.notify(changed)
}

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

func (d *Directory) applyRow(update EndpointUpdate, row RowEndpoints) bool {
	known := d.models[row.Model]
	if known == nil {
		known = &model{cells: map[string]*cellPart{}}
		d.models[row.Model] = known
	}
	part := known.cells[update.Cell]
	if part == nil {
		part = &cellPart{}
		known.cells[update.Cell] = part
	} else if !newer(update, part) {
		return false
	}
	part.epoch = update.Epoch
	part.sequence = update.Sequence
	part.receivedAt = d.config.Clock.Now()
	part.row = row
	if update.Revision < d.config.Table.Revision() {
		// The owner may refuse a row only because it does not know it yet.
		part.row.Refused = ""
		part.row.Digest = 0
	}
	d.rebuild(row.Model, known)
	return true
}

func newer(update EndpointUpdate, part *cellPart) bool {
	if update.Epoch != part.epoch {
		return update.Epoch > part.epoch
	}
	return update.Sequence > part.sequence
}

// rebuild merges the cells' parts of a model into a new snapshot.
func (d *Directory) rebuild(name string, known *model) {
	snapshot := &Snapshot{Group: name}
	refusals := 0
	for _, cell := range slices.Sorted(maps.Keys(known.cells)) {
		part := known.cells[cell]
		snapshot.Endpoints = d.appendEndpoints(snapshot.Endpoints, part.row.Endpoints)
		snapshot.ReadyAt = earliest(snapshot.ReadyAt, part.row.ReadyAt)
		snapshot.Gateways = max(snapshot.Gateways, part.row.Gateways)
		if part.receivedAt.After(snapshot.MeasuredAt) {
			snapshot.MeasuredAt = part.receivedAt
		}
		if part.row.Refused != "" {
			refusals++
			snapshot.Refused = part.row.Refused
		}
	}
	if refusals < max(len(known.cells), len(d.config.Cells(name))) {
		snapshot.Refused = ""
	}
	slices.SortStableFunc(snapshot.Endpoints, compareEndpoints)
	known.snapshot = snapshot
}

func (d *Directory) appendEndpoints(merged, part []Endpoint) []Endpoint {
	for _, endpoint := range part {
		if _, leaving := d.leaving[endpoint.Server]; leaving {
			endpoint.Draining = true
		}
		merged = append(merged, endpoint)
	}
	return merged
}

func compareEndpoints(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Slot, b.Slot))
}

// earliest returns the earlier of two times; a zero time is not known.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Invalidate removes an endpoint that refused a request as not loaded, until the
// cell's owner says something newer.
func (d *Directory) Invalidate(name string, server outside.ServerID, slot outside.SlotID) {
	d.mutex.Lock()
	known := d.models[name]
	if known != nil {
		for _, part := range known.cells {
			part.row.Endpoints = without(part.row.Endpoints, server, slot)
			part.row.Digest = 0
		}
		d.rebuild(name, known)
	}
	d.mutex.Unlock()
	if known != nil {
		d.notify([]string{name})
	}
}
