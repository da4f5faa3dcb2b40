package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// coalescePeriod is how long rows that are to be reported at once are collected into one report.
const coalescePeriod = time.Millisecond

// ReportDemand schedules a report of a row's demand within coalescePeriod. It is called when a
// request waits for the row and no endpoint can serve it, or when the row's traffic begins. The
// caller may hold its own lock: the DemandSource is read later.
func (d *Directory) ReportDemand(row string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pendingRows[row] = true
	if d.flushScheduled {
		return
	}
	d.flushScheduled = true
	d.config.Clock.AfterFunc(coalescePeriod, d.flush)
}

// flush reports the pending rows.
func (d *Directory) flush() {
	d.mutex.Lock()
	d.flushScheduled = false
	rows := slices.Sorted(maps.Keys(d.pendingRows))
	clear(d.pendingRows)
	source := d.source
	d.mutex.Unlock()
	if source == nil {
		return
	}
	now := d.config.Clock.Now()
	var demands []Demand
	for _, row := range rows {
		if demand, found := source.DemandOf(row, now); found {
			demands = append(demands, demand)
		}
	}
	d.report(demands)
}

// Tick reports the rows with waiting requests once each RepeatPeriod, and all rows with traffic
// once each ReportPeriod. It must be called at least once each RepeatPeriod.
func (d *Directory) Tick(now time.Time) {
	d.mutex.Lock()
	source := d.source
	all := !now.Before(d.nextReport)
	due := all || !now.Before(d.nextRepeat)
	if all {
		d.nextReport = now.Add(d.config.ReportPeriod)
	}
	if due {
		d.nextRepeat = now.Add(d.config.RepeatPeriod)
	}
	d.mutex.Unlock()
	if !due || source == nil {
		return
	}
	d.report(source.Demands(now, all))
}

// report sends the demands to the owners of the cells that may hold replicas of the models.
func (d *Directory) report(demands []Demand) {
	byCell := map[string][]Demand{}
	for _, demand := range demands {
		for _, cell := range d.config.Cells(d.baseOf(demand.Row)) {
			byCell[cell] = append(byCell[cell], demand)
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(byCell)) {
		d.sendReport(cell, byCell[cell])
	}
}

// baseOf returns the base model of an adapter, or the row itself if it is no adapter.
func (d *Directory) baseOf(row string) string {
	entry, found := d.config.Table.Row(row)
	if found && entry.Kind == table.KindAdapter {
		return entry.Base
	}
	return row
}

// sendReport sends a report to the owner of the cell.
func (d *Directory) sendReport(cell string, demands []Demand) {
	owner, found := d.config.Ownership.OwnerOf(cell)
	if !found || owner.Vacant {
		d.config.Logger.Debug().Str("cell", cell).Str("reason", "no_owner").Msg("demand not reported")
		return
	}
	d.mutex.Lock()
	d.sequence++
	report := DemandReport{
		Cell:        cell,
		Gateway:     d.config.Gateway,
		PeerAddress: d.config.PeerAddress,
		Sequence:    d.sequence,
		Demands:     demands,
		Known:       d.cachedRowsLocked(cell, owner.Epoch, demands),
	}
	d.mutex.Unlock()
	d.config.Transport.Call(owner.Member.PeerAddress, report, d.config.CallTimeout, func(message peer.Message, err error) {
		d.handleReply(cell, message, err)
	})
}

// cachedRowsLocked returns the digests of the demanded models' rows that the cell's owner sent in
// the epoch. The lock must be held.
func (d *Directory) cachedRowsLocked(cell string, epoch uint64, demands []Demand) []CachedRow {
	var rows []CachedRow
	for _, demand := range demands {
		name := d.baseOf(demand.Row)
		entry := d.models[name]
		if entry == nil {
			continue
		}
		reported := entry.cells[cell]
		if reported == nil || reported.epoch != epoch || reported.row.Digest == 0 {
			continue
		}
		rows = append(rows, CachedRow{Model: name, Digest: reported.row.Digest})
	}
	return rows
}

// handleReply applies the reply to a report. An error needs no action, because demand is
// reported again while requests wait.
func (d *Directory) handleReply(cell string, message peer.Message, err error) {
	if err != nil {
		d.config.Logger.Debug().Str("cell", cell).Err(err).Msg("demand report unanswered")
		return
	}
	if update, ok := message.(EndpointUpdate); ok {
		d.Apply(update)
	}
}
