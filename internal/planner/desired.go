package planner

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// NeededReplicas returns how many replicas a number of requests needs at a batch size. A
// batch size of 0 or less means the default of 8.
func NeededReplicas(load, batch int) int {
	if batch <= 0 {
		batch = defaultBatch
	}
	return (load + batch - 1) / batch
}

// setDesired sets the desired number of replicas of every base model.
func (w *workspace) setDesired() {
	batch := w.batch()
	for i := range w.rows {
		if w.snapshot.Rows[i].Kind == table.KindModel {
			w.setDesiredOfRow(i, batch)
		}
	}
	w.scaleUpForAdapters()
	if w.policy.loadAhead {
		w.loadAheadOfSessions()
	}
}

func (w *workspace) setDesiredOfRow(i, batch int) {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	switch {
	case row.Max <= 0:
		work.refused = RefusedNoReplicas
		return
	case w.largestMemory > 0 && row.MemoryBytes > w.largestMemory:
		work.refused = RefusedTooLarge
		return
	}
	needed := NeededReplicas(work.demand.Load(), batch)
	work.raiseDesired(max(row.Min, work.adapterMin), ReasonMinimum)
	if w.policy.pinAll {
		work.raiseDesired(row.Max, ReasonPinned)
	}
	reason := ReasonScaleUp
	if work.current+work.outdated == 0 {
		reason = ReasonWaiting
	}
	work.raiseDesired(w.replicasKeptAlive(i), ReasonNeededAgain)
	work.raiseDesired(needed, reason)
	work.desired = min(work.desired, row.Max)
}

// raiseDesired raises the desired number of replicas to count, if that is higher.
func (r *rowState) raiseDesired(count int, reason Reason) {
	if count > r.desired {
		r.desired = count
		r.reason = reason
	}
}

// replicasKeptAlive returns how many of the present replicas stay because they were needed
// recently. None is loaded for that reason alone.
func (w *workspace) replicasKeptAlive(i int) int {
	held := w.rows[i].current + w.rows[i].outdated
	statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name)
	kept := 0
	for k := range held {
		// The keep-alive starts when k+1 replicas were last needed, or at the last phase
		// change of a current replica if that is later.
		lastNeeded := w.rows[i].newestSince
		if statistics != nil && k < len(statistics.Needed) && statistics.Needed[k].After(lastNeeded) {
			lastNeeded = statistics.Needed[k]
		}
		idle := w.snapshot.Now.Sub(lastNeeded)
		keep := w.policy.keepAlive(w, i, lastNeeded)
		if k > 0 && w.policy.maxExtraKeepAlive > 0 {
			keep = min(keep, w.policy.maxExtraKeepAlive)
		}
		if idle >= keep {
			break
		}
		kept++
	}
	return kept
}

// batch returns the batch size of the cell's first server that reports one.
func (w *workspace) batch() int {
	for i := range w.snapshot.Servers {
		if w.snapshot.Servers[i].MaxBatch > 0 {
			return w.snapshot.Servers[i].MaxBatch
		}
	}
	return defaultBatch
}

func (w *workspace) largestServer() int64 {
	largest := int64(0)
	for i := range w.snapshot.Servers {
		largest = max(largest, w.snapshot.Servers[i].MemoryBytes)
	}
	return largest
}

func unlimitedKeepAlive(*workspace, int, time.Time) time.Duration { return math.MaxInt64 }

func fixedKeepAlive(w *workspace, _ int, _ time.Time) time.Duration {
	return w.policy.parameters.KeepAlive
}
