package planner

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// NeededReplicas is how many replicas a load of requests needs at a batch size.
func NeededReplicas(load, batch int) int {
	if batch <= 0 {
		batch = defaultBatch
	}
	return (load + batch - 1) / batch
}

// decideDesired sets every base model's desired number of replicas.
func (w *workspace) decideDesired() {
	batch := w.batch()
	for i := range w.rows {
		if w.snapshot.Rows[i].Kind == table.KindModel {
			w.decideRow(i, batch)
		}
	}
	w.wantRoomForAdapters()
	if w.policy.foresee {
		w.foreseeOpenings()
	}
}

func (w *workspace) decideRow(i, batch int) {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	switch {
	case row.Max <= 0:
		work.refused = RefusedNoReplicas
		return
	case w.largest > 0 && row.MemoryBytes > w.largest:
		work.refused = RefusedTooLarge
		return
	}
	needed := NeededReplicas(work.demand.Load(), batch)
	work.want(max(row.Min, work.adapterMin), ReasonMinimum)
	if w.policy.pinAll {
		work.want(row.Max, ReasonPinned)
	}
	reason := ReasonScaleUp
	if work.current+work.outdated == 0 {
		reason = ReasonWaiting
	}
	work.want(w.keptReplicas(i), ReasonNeededAgain)
	work.want(needed, reason)
	work.desired = min(work.desired, row.Max)
}

// want raises the desired number.
func (r *rowWork) want(count int, reason Reason) {
	if count > r.desired {
		r.desired = count
		r.reason = reason
	}
}

// keptReplicas is how many replicas stay because they were needed lately. They
// are never loaded for that reason alone.
func (w *workspace) keptReplicas(i int) int {
	held := w.rows[i].current + w.rows[i].outdated
	statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name)
	kept := 0
	for k := range held {
		// Without earlier use a replica's own age counts.
		lastNeeded := w.rows[i].newestSince
		if statistics != nil && k < len(statistics.Needed) && statistics.Needed[k].After(lastNeeded) {
			lastNeeded = statistics.Needed[k]
		}
		idle := w.snapshot.Now.Sub(lastNeeded)
		keep := w.policy.keepAlive(w, i, lastNeeded)
		if k > 0 && w.policy.keepExtra > 0 {
			keep = min(keep, w.policy.keepExtra)
		}
		if idle >= keep {
			break
		}
		kept++
	}
	return kept
}

// batch is the usual batch size of the cell's servers.
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

func keepForever(*workspace, int, time.Time) time.Duration { return math.MaxInt64 }

func keepFixed(w *workspace, _ int, _ time.Time) time.Duration { return w.policy.parameters.KeepAlive }
