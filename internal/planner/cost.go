package planner

import (
	"math"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// minimumKeep is the shortest time that an idle replica stays, so that the
	// pause between two requests never unloads it.
	minimumKeep = 5 * time.Second
	// extraKeepAlive is how long a replica beyond a row's first stays. Requests
	// don't wait for it to be loaded again as long as the first serves them.
	extraKeepAlive = time.Minute
	// enoughGaps is how many idle gaps make a learned distribution usable.
	enoughGaps = 3
	// victimHorizon is how far ahead the next use of a victim is looked for.
	victimHorizon = 10 * time.Minute
)

// coldSeconds estimates the row's next cold start from its fastest checkpoint
// in the cell.
func (w *workspace) coldSeconds(i int) float64 {
	return w.loadSeconds(w.snapshot.Rows[i].WeightBytes, w.bestSource(i))
}

// bestSource is the fastest source of the row's checkpoint on any server.
func (w *workspace) bestSource(i int) outside.CheckpointSource {
	if w.best == nil {
		w.findBestSources()
	}
	return w.best[i]
}

func (w *workspace) findBestSources() {
	w.best = make([]outside.CheckpointSource, len(w.rows))
	for i := range w.best {
		w.best[i] = outside.SourceRemote
	}
	for s := range w.snapshot.Servers {
		for _, cached := range w.snapshot.Servers[s].Cached {
			i, known := w.index[cached.Name]
			if known && cached.Version == w.snapshot.Rows[i].Version {
				w.best[i] = min(w.best[i], cached.Source)
			}
		}
	}
}

// sourceAt is where a server would take a row's weights from.
func (w *workspace) sourceAt(server *Server, row *Row) outside.CheckpointSource {
	cached := server.Cached
	at := sort.Search(len(cached), func(k int) bool { return cached[k].Name >= row.Name })
	best := outside.SourceRemote
	for ; at < len(cached) && cached[at].Name == row.Name; at++ {
		if cached[at].Version == row.Version {
			best = min(best, cached[at].Source)
		}
	}
	return best
}

// idleCostPerSecond weighs a second of one idle replica.
func (w *workspace) idleCostPerSecond(i int) float64 {
	share := 1.0
	if w.largest > 0 {
		share = min(1, float64(w.snapshot.Rows[i].MemoryBytes)/float64(w.largest))
	}
	return (1 - w.policy.parameters.ColdStartWeight) * share
}

// coldCost weighs one cold start of the row.
func (w *workspace) coldCost(i int) float64 {
	parameters := &w.policy.parameters
	return parameters.ColdStartWeight * parameters.ColdSecondWorth * w.coldSeconds(i)
}

// keepByCost keeps a replica for as long as the expected cost of its next cold
// start exceeds the expected cost of idling until then, but not beyond the
// longest keep-alive.
func keepByCost(w *workspace, i int, lastNeeded time.Time) time.Duration {
	return min(keepWhileWorth(w, i, lastNeeded), w.policy.parameters.KeepAlive)
}

// keepWhileWorth is the same without a longest keep-alive. Without a learned
// distribution a replica stays until idling has cost as much as one cold start.
func keepWhileWorth(w *workspace, i int, lastNeeded time.Time) time.Duration {
	idleCost, coldCost := w.idleCostPerSecond(i), w.coldCost(i)
	if idleCost == 0 {
		return math.MaxInt64
	}
	breakEven := time.Duration(min(coldCost/idleCost, maxKeepSeconds) * float64(time.Second))
	statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name)
	if statistics == nil || statistics.gapCount() < enoughGaps || lastNeeded.IsZero() {
		return max(minimumKeep, breakEven)
	}
	idle := w.snapshot.Now.Sub(lastNeeded)
	if statistics.worthKeeping(idle.Seconds(), idleCost, coldCost) {
		return max(minimumKeep, idle+time.Second)
	}
	return minimumKeep
}

// maxKeepSeconds bounds a keep-alive to a year.
const maxKeepSeconds = 365 * 24 * 3600

func (r *RowStatistics) gapCount() float64 {
	count := 0.0
	for _, gaps := range r.Gaps {
		count += float64(gaps)
	}
	return count
}

// bucketBounds are the shortest and longest gap of a bucket in seconds.
func bucketBounds(bucket int) (low, high float64) {
	if bucket == 0 {
		return 0, 2
	}
	return math.Ldexp(1, bucket), math.Ldexp(1, bucket+1)
}

// longer returns how many gaps of a bucket are longer than idle seconds.
func (r *RowStatistics) longer(bucket int, idle float64) float64 {
	low, high := bucketBounds(bucket)
	share := (high - max(low, idle)) / (high - low)
	return float64(r.Gaps[bucket]) * max(0, share)
}

// worthKeeping reports whether there is a time to keep the replica, having
// idled already, whose expected cost is below that of unloading it now. One
// more gap without end stands for what was not seen yet.
func (r *RowStatistics) worthKeeping(idle, idleCost, coldCost float64) bool {
	survivors := 1.0
	for bucket := range r.Gaps {
		survivors += r.longer(bucket, idle)
	}
	unloadNow := coldCost * (survivors - 1)
	remaining, idled := survivors, 0.0
	for bucket := range r.Gaps {
		low, high := bucketBounds(bucket)
		if high <= idle {
			continue
		}
		width := high - max(low, idle)
		ended := r.longer(bucket, idle)
		idled += (remaining - ended/2) * width
		remaining -= ended
		if idled*idleCost+coldCost*(remaining-1) < unloadNow {
			return true
		}
	}
	return false
}

// useWithin estimates the probability that the row is used within a horizon,
// having been idle for some time.
func (r *RowStatistics) useWithin(idle, horizon float64) float64 {
	survivors, beyond := 1.0, 1.0
	for bucket := range r.Gaps {
		survivors += r.longer(bucket, idle)
		beyond += r.longer(bucket, idle+horizon)
	}
	return 1 - beyond/survivors
}

// leastRecentlyUsed lets the replica go first whose row was used longest ago.
func leastRecentlyUsed(w *workspace, _ int, replica *Replica, i int) float64 {
	lastUsed := replica.Since
	if statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name); statistics != nil {
		lastUsed = statistics.LastUsed
	}
	return -w.snapshot.Now.Sub(lastUsed).Seconds()
}

// coldStartCost is the expected cold-start time that unloading causes, per
// gigabyte of memory given back.
func coldStartCost(w *workspace, _ int, replica *Replica, i int) float64 {
	row := &w.snapshot.Rows[i]
	idle := w.snapshot.Now.Sub(replica.Since).Seconds()
	probability := 0.0
	statistics := w.snapshot.Statistics.Row(row.Name)
	if statistics != nil {
		idle = max(0, w.snapshot.Now.Sub(statistics.LastUsed).Seconds())
		probability = statistics.useWithin(idle, victimHorizon.Seconds())
	}
	// Recent use speaks for use soon, also without a learned distribution.
	probability = max(probability, 1/(1+idle/victimHorizon.Seconds()))
	if w.foreseen(i) {
		probability = 1
	}
	weight := float64(max(1, row.Weight)) * float64(1+row.Priority)
	gigabytes := max(0.001, float64(replica.memory())/gigabyte)
	return probability * w.coldSeconds(i) * weight / gigabytes
}
