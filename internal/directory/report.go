package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// coalescing is how long wanted rows are gathered into one report.
const coalescing = time.Millisecond

// ReportDemand reports a row's demand at once: a request waits for it and no endpoint
// can serve it, or its traffic has just begun. It may be called under the
// caller's lock; the demand is read later from the DemandSource.
func (d *Directory) ReportDemand(row string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wanted[row] = true
	if d.flushArmed {
		return
	}
	d.flushArmed = true
	d.config.Clock.AfterFunc(coalescing, d.flush)
}

// flush reports the wanted rows.
func (d *Directory) flush() {
	d.mutex.Lock()
	d.flushArmed = false
	rows := slices.Sorted(maps.Keys(d.wanted))
	clear(d.wanted)
	source := d.source
	d.mutex.Unlock()
	if source == nil {
		return
	}
	now := d.config.Clock.Now()
	var demands []Demand
	for _, row := range rows {
		if demand, known := source.DemandOf(row, now); known {
			demands = append(demands, demand)
		}
	}
	d.report(demands)
}

// Tick reports, each repeat period, the rows with waiting requests and, each
// report period, all rows with traffic. It is called at least every repeat
// period.
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

// report sends each cell's owner the demands that concern it.
func (d *Directory) report(demands []Demand) {
	byCell := map[string][]Demand{}
	for _, demand := range demands {
		for _, cell := range d.config.Cells(d.baseOf(demand.Row)) {
			byCell[cell] = append(byCell[cell], demand)
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(byCell)) {
		d.send(cell, byCell[cell])
	}
}

func (d *Directory) baseOf(row string) string {
	known, found := d.config.Table.Row(row)
	if found && known.Kind == table.KindAdapter {
		return known.Base
	}
	return row
}

func (d *Directory) send(cell string, demands []Demand) {
	owner, known := d.config.Ownership.OwnerOf(cell)
	if !known || owner.Vacant {
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
		Known:       d.knownLocked(cell, owner.Epoch, demands),
	}
	d.mutex.Unlock()
	d.config.Transport.Call(owner.Member.PeerAddress, report, d.config.CallTimeout, func(message peer.Message, err error) {
		d.receive(cell, message, err)
	})
}

// knownLocked lists the digests of what this cell's owner has told about the
// models asked for.
func (d *Directory) knownLocked(cell string, epoch uint64, demands []Demand) []CachedRow {
	var rows []CachedRow
	for _, demand := range demands {
		name := d.baseOf(demand.Row)
		known := d.models[name]
		if known == nil {
			continue
		}
		part := known.cells[cell]
		if part == nil || part.epoch != epoch || part.row.Digest == 0 {
			continue
		}
		rows = append(rows, CachedRow{Model: name, Digest: part.row.Digest})
	}
	return rows
}

// receive takes the reply to a report. A lost reply needs no action: demand is
// reported again while requests wait.
func (d *Directory) receive(cell string, message peer.Message, err error) {
	if err != nil {
		d.config.Logger.Debug().Str("cell", cell).Err(err).Msg("demand report unanswered")
		return
	}
	if update, ok := message.(EndpointUpdate); ok {
		d.Apply(update)
	}
}
