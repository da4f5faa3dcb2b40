package planner

import (
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// candidate is one replica that a row lacks.
type candidate struct {
	row int
	// cold: nothing serves the row and requests wait.
	cold    bool
	waiting bool
	// seconds of its load from the fastest source in the cell.
	seconds float64
	urgency float64
}

// loadModels places the replicas that rows lack, most urgent first.
func (w *workspace) loadModels() {
	candidates := w.candidates()
	sort.SliceStable(candidates, func(a, b int) bool {
		return w.policy.order(w, &candidates[a], &candidates[b])
	})
	queued := 0
	for i := range candidates {
		if !w.placeCandidate(&candidates[i], queued) {
			queued++
		}
	}
}

func (w *workspace) candidates() []candidate {
	var candidates []candidate
	for i := range w.rows {
		if w.snapshot.Rows[i].Kind != table.KindModel {
			continue
		}
		made := candidate{row: i}
		demand := &w.rows[i].demand
		made.waiting = demand.Waiting > 0
		made.cold = made.waiting && w.rows[i].ready+w.rows[i].outdatedReady == 0
		count := w.missing(i)
		if count > 0 {
			made.seconds = w.coldSeconds(i)
			made.urgency = w.urgency(i, made.seconds)
		}
		for range count {
			candidates = append(candidates, made)
			made.cold = false
		}
	}
	return candidates
}

// missing is how many replicas of the row may and should be loaded.
func (w *workspace) missing(i int) int {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	missing := work.desired - work.current
	if work.outdated > 0 && work.current+work.outdated >= work.desired {
		// A replacement of an old version: one load at a time.
		missing = min(missing, 1-(work.current-work.ready))
	}
	allowed := row.Max - work.held - w.snapshot.UnknownServers
	return max(0, min(missing, allowed))
}

// urgency weighs the requests that wait against the seconds of the load, so
// that short loads go before long ones. For a row that nobody waits for it is
// the wait that an early load is expected to spare.
func (w *workspace) urgency(i int, seconds float64) float64 {
	row, demand := &w.snapshot.Rows[i], &w.rows[i].demand
	if demand.Waiting == 0 {
		return w.snapshot.Statistics.SessionShare(row.Name, row.Tenant) * seconds
	}
	age := w.snapshot.Now.Sub(demand.OldestWait).Seconds()
	priority := float64(1 + max(row.Priority, demand.HighestPriority))
	urgency := float64(max(1, row.Weight)) * priority * (float64(demand.Waiting) + max(0, age)) / max(0.1, seconds)
	left := demand.EarliestDeadline.Sub(w.snapshot.Now).Seconds()
	if !demand.EarliestDeadline.IsZero() && left > seconds && left < 2*seconds {
		// Only an early load still meets this deadline.
		urgency *= 2
	}
	return urgency
}

// byOldestWait is first come, first served.
func byOldestWait(w *workspace, a, b *candidate) bool {
	if a.cold != b.cold {
		return a.cold
	}
	waitA, waitB := w.rows[a.row].demand.OldestWait, w.rows[b.row].demand.OldestWait
	if waitA.IsZero() != waitB.IsZero() {
		return waitB.IsZero()
	}
	return waitA.Before(waitB)
}

// byUrgency puts rows without any replica first, then the most urgent.
func byUrgency(_ *workspace, a, b *candidate) bool {
	if a.cold != b.cold {
		return a.cold
	}
	if a.waiting != b.waiting {
		return a.waiting
	}
	return a.urgency > b.urgency
}

// placeCandidate loads the replica, or makes room for it, or leaves it queued.
// It reports whether the load is decided.
func (w *workspace) placeCandidate(c *candidate, queued int) bool {
	row, work := &w.snapshot.Rows[c.row], &w.rows[c.row]
	need := row.MemoryBytes + w.adapterNeed(c.row)
	if w.largest > 0 {
		need = max(row.MemoryBytes, min(need, w.largest))
	}
	choice, found := w.choose(c, need)
	if !found {
		return false
	}
	for _, victim := range choice.victims {
		w.evict(choice.server, victim, row.Name)
	}
	target := &w.servers[choice.server]
	fits := target.free >= row.MemoryBytes && len(choice.victims) == 0 && !choice.waits
	target.free -= need
	target.placed = append(target.placed, row.Name)
	readyAt := w.snapshot.Now.Add(seconds(choice.seconds))
	if !fits || (choice.source == outside.SourceRemote && w.remoteStarts <= 0) {
		work.readyAt = earlier(work.readyAt, readyAt.Add(w.queueDelay(queued)))
		if c.cold && choice.source == outside.SourceRemote && w.policy.limitRemote {
			// Rows that are served already don't take the store's place for it.
			w.remoteStarts--
		}
		return false
	}
	if choice.source == outside.SourceRemote {
		w.remoteStarts--
	}
	target.free += need - row.MemoryBytes
	target.reserved += w.adapterTotals[c.row]
	w.load(c.row, choice, readyAt)
	return true
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// queueDelay estimates how long a load waits behind others for the store.
func (w *workspace) queueDelay(queued int) time.Duration {
	if rate := w.snapshot.Store.LoadsPerSecond; rate > 0 {
		return seconds(float64(queued+1) / rate)
	}
	return time.Second
}

func (w *workspace) load(i int, choice placement, readyAt time.Time) {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	slot := w.freeSlot(i)
	reason := work.reason
	switch {
	case work.outdated > 0:
		reason = ReasonVersionChange
	case work.leaving > 0:
		reason = ReasonReplaceLeaving
	}
	w.decide(Decision{
		Action: ActionLoad, Reason: reason, Server: w.snapshot.Servers[choice.server].ID,
		Model: row.Name, Version: row.Version, Slot: slot,
		MemoryBytes: row.MemoryBytes, WeightBytes: row.WeightBytes,
		Source: choice.source, ExpectedReady: readyAt,
	})
	work.slots[slot] = true
	work.held++
	work.current++
	work.readyAt = earlier(work.readyAt, readyAt)
	w.servers[choice.server].loading[choice.source]++
	w.loads = append(w.loads, decidedLoad{row: i, server: choice.server})
}

// freeSlot takes the lowest slot not held; while servers are unknown the
// highest, since what they hold was loaded into the lowest.
func (w *workspace) freeSlot(i int) outside.SlotID {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	if work.slots == nil {
		work.slots = make(map[outside.SlotID]bool, 1)
	}
	for k := range row.Max {
		slot := row.FirstSlot + outside.SlotID(k)
		if w.snapshot.UnknownServers > 0 {
			slot = row.FirstSlot + outside.SlotID(row.Max-1-k)
		}
		if !work.slots[slot] {
			return slot
		}
	}
	return row.FirstSlot + outside.SlotID(row.Max)
}
