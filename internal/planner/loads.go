package planner

import (
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// candidate is one missing replica of a row.
type candidate struct {
	row int
	// cold is set if requests wait and no replica of the row is ready.
	cold    bool
	waiting bool
	// seconds is the duration of its load from the fastest source in the cell.
	seconds float64
	urgency float64
}

// loadModels places the missing replicas in the policy's order.
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
		replica := candidate{row: i}
		demand := &w.rows[i].demand
		replica.waiting = demand.Waiting > 0
		replica.cold = replica.waiting && w.rows[i].ready+w.rows[i].outdatedReady == 0
		count := w.missingReplicas(i)
		if count > 0 {
			replica.seconds = w.coldStartSeconds(i)
			replica.urgency = w.urgency(i, replica.seconds)
		}
		for range count {
			candidates = append(candidates, replica)
			replica.cold = false
		}
	}
	return candidates
}

// missingReplicas returns how many more replicas of the row should be loaded within its
// maximum.
func (w *workspace) missingReplicas(i int) int {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	missing := work.desired - work.current
	if work.outdated > 0 && work.current+work.outdated >= work.desired {
		// A replacement of an old version: one load at a time.
		missing = min(missing, 1-(work.current-work.ready))
	}
	allowed := row.Max - work.held - w.snapshot.UnknownServers
	return max(0, min(missing, allowed))
}

// urgency relates the waiting requests to the duration of the load, so that short loads go
// before long ones. For a row without waiting requests it is the expected wait in seconds
// that an early load avoids.
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

// byOldestWait puts cold rows first, then orders by arrival of the first waiting request.
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

// byUrgency puts cold rows first, then rows with waiting requests, then the most urgent.
func byUrgency(_ *workspace, a, b *candidate) bool {
	if a.cold != b.cold {
		return a.cold
	}
	if a.waiting != b.waiting {
		return a.waiting
	}
	return a.urgency > b.urgency
}

// placeCandidate loads the replica, evicts others for it, or leaves it queued. It reports
// whether the load is decided.
func (w *workspace) placeCandidate(c *candidate, queued int) bool {
	row, work := &w.snapshot.Rows[c.row], &w.rows[c.row]
	need := row.MemoryBytes + w.waitingAdapterMemory(c.row)
	if w.largestMemory > 0 {
		need = max(row.MemoryBytes, min(need, w.largestMemory))
	}
	choice, found := w.chooseServer(c, need)
	if !found {
		return false
	}
	for _, victim := range choice.victims {
		w.evict(choice.server, victim, row.Name)
	}
	target := &w.servers[choice.server]
	startsNow := target.free >= row.MemoryBytes && len(choice.victims) == 0 && !choice.waitsForUnload
	target.free -= need
	target.placed = append(target.placed, row.Name)
	readyAt := w.snapshot.Now.Add(seconds(choice.seconds))
	if !startsNow || (choice.source == outside.SourceRemote && w.remoteStarts <= 0) {
		work.readyAt = earlier(work.readyAt, readyAt.Add(w.queueDelay(queued)))
		if c.cold && choice.source == outside.SourceRemote && w.policy.limitRemote {
			// The start is reserved for this row, so that rows with a ready replica don't
			// use it first.
			w.remoteStarts--
		}
		return false
	}
	if choice.source == outside.SourceRemote {
		w.remoteStarts--
	}
	target.free += need - row.MemoryBytes
	target.reserved += w.adapterMemory[c.row]
	w.load(c.row, choice, readyAt)
	return true
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// queueDelay estimates how long a load waits for the store behind queued others.
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

// freeSlot returns the lowest slot that is not held. While the state of servers is unknown
// it returns the highest, since replicas on those servers were loaded into the lowest.
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
