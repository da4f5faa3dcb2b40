package planner

import (
	"math"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/placevalue"
)

const (
	// minKeepAlive is the shortest time that an idle replica is kept, so that a pause
	// between two requests never unloads it.
	minKeepAlive = 5 * time.Second
	// extraKeepAlive is how long an idle replica beyond a row's first is kept. Requests
	// need not wait until it is loaded again, since the first replica serves them.
	extraKeepAlive = time.Minute
	// minGaps is how many idle gaps must be recorded before their distribution is used.
	minGaps = 3
	// victimHorizon is the time within which a victim's next use counts as a cold start.
	victimHorizon = 10 * time.Minute
)

// coldStartSeconds estimates the duration of the row's next cold start, loaded from its
// fastest checkpoint in the cell.
func (w *workspace) coldStartSeconds(i int) float64 {
	return w.loadSeconds(w.snapshot.Rows[i].WeightBytes, w.fastestSource(i))
}

// fastestSource returns the fastest source of the row's checkpoint on any server.
func (w *workspace) fastestSource(i int) outside.CheckpointSource {
	if w.fastestSources == nil {
		w.findFastestSources()
	}
	return w.fastestSources[i]
}

func (w *workspace) findFastestSources() {
	w.fastestSources = make([]outside.CheckpointSource, len(w.rows))
	for i := range w.fastestSources {
		w.fastestSources[i] = outside.SourceRemote
	}
	for s := range w.snapshot.Servers {
		for _, cached := range w.snapshot.Servers[s].Cached {
			i, known := w.index[cached.Name]
			if known && cached.Version == w.snapshot.Rows[i].Version {
				w.fastestSources[i] = min(w.fastestSources[i], cached.Source)
			}
		}
	}
}

// sourceAt returns where a server would read a row's weights from.
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

// idleCostPerSecond returns the cost of keeping one idle replica for a second: its share of
// the largest server, weighted against cold starts.
func (w *workspace) idleCostPerSecond(i int) float64 {
	share := 1.0
	if w.largestMemory > 0 {
		share = min(1, float64(w.snapshot.Rows[i].MemoryBytes)/float64(w.largestMemory))
	}
	return (1 - w.policy.parameters.ColdStartWeight) * share
}

// weightedColdStart returns the cost of one cold start of the row, in the unit of
// idleCostPerSecond.
func (w *workspace) weightedColdStart(i int) float64 {
	parameters := &w.policy.parameters
	return parameters.ColdStartWeight * parameters.ColdSecondWorth * w.coldStartSeconds(i)
}

// boundedKeepAliveByCost keeps a replica as long as the expected cost of its next cold start
// exceeds the expected cost of idling until then, but not longer than Parameters.KeepAlive.
func boundedKeepAliveByCost(w *workspace, i int, lastNeeded time.Time) time.Duration {
	return min(keepAliveByCost(w, i, lastNeeded), w.policy.parameters.KeepAlive)
}

// keepAliveByCost is boundedKeepAliveByCost without the bound. With fewer than minGaps
// recorded gaps, a replica is kept until idling has cost as much as one cold start.
func keepAliveByCost(w *workspace, i int, lastNeeded time.Time) time.Duration {
	idleCost, coldCost := w.idleCostPerSecond(i), w.weightedColdStart(i)
	if idleCost == 0 {
		return math.MaxInt64
	}
	breakEven := time.Duration(min(coldCost/idleCost, maxKeepAliveSeconds) * float64(time.Second))
	statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name)
	if statistics == nil || statistics.gapCount() < minGaps || lastNeeded.IsZero() {
		return max(minKeepAlive, breakEven)
	}
	idle := w.snapshot.Now.Sub(lastNeeded)
	if statistics.worthKeeping(idle.Seconds(), idleCost, coldCost) {
		return max(minKeepAlive, idle+time.Second)
	}
	return minKeepAlive
}

// maxKeepAliveSeconds is one year.
const maxKeepAliveSeconds = 365 * 24 * 3600

func (r *RowStatistics) gapCount() float64 {
	count := 0.0
	for _, gaps := range r.Gaps {
		count += float64(gaps)
	}
	return count
}

// bucketBounds returns the shortest and the longest gap of a bucket in seconds.
func bucketBounds(bucket int) (low, high float64) {
	if bucket == 0 {
		return 0, 2
	}
	return math.Ldexp(1, bucket), math.Ldexp(1, bucket+1)
}

// gapsLongerThan estimates how many gaps of a bucket are longer than idle seconds.
func (r *RowStatistics) gapsLongerThan(bucket int, idle float64) float64 {
	low, high := bucketBounds(bucket)
	share := (high - max(low, idle)) / (high - low)
	return float64(r.Gaps[bucket]) * max(0, share)
}

// worthKeeping reports whether a replica that has been idle for some seconds can be kept for
// a time at a lower expected cost than that of unloading it now. One gap without an end is
// added to the recorded ones, for gaps longer than any observed.
func (r *RowStatistics) worthKeeping(idle, idleCost, coldCost float64) bool {
	survivors := 1.0
	for bucket := range r.Gaps {
		survivors += r.gapsLongerThan(bucket, idle)
	}
	unloadNow := coldCost * (survivors - 1)
	remaining, idled := survivors, 0.0
	for bucket := range r.Gaps {
		low, high := bucketBounds(bucket)
		if high <= idle {
			continue
		}
		width := high - max(low, idle)
		ended := r.gapsLongerThan(bucket, idle)
		idled += (remaining - ended/2) * width
		remaining -= ended
		if idled*idleCost+coldCost*(remaining-1) < unloadNow {
			return true
		}
	}
	return false
}

// useProbability estimates the probability that the row is used within the horizon, given
// how long it has been idle. Both are in seconds.
func (r *RowStatistics) useProbability(idle, horizon float64) float64 {
	survivors, survivorsAtHorizon := 1.0, 1.0
	for bucket := range r.Gaps {
		survivors += r.gapsLongerThan(bucket, idle)
		survivorsAtHorizon += r.gapsLongerThan(bucket, idle+horizon)
	}
	return 1 - survivorsAtHorizon/survivors
}

// leastRecentlyUsed is the victim cost that evicts the replica of the least recently used
// row first.
func leastRecentlyUsed(w *workspace, _ int, replica *Replica, i int) float64 {
	lastUsed := replica.Since
	if statistics := w.snapshot.Statistics.Row(w.snapshot.Rows[i].Name); statistics != nil {
		lastUsed = statistics.LastUsed
	}
	return -w.snapshot.Now.Sub(lastUsed).Seconds()
}

// coldStartCost is the victim cost in expected seconds of cold starts, weighted by the row's
// weight and priority, per gigabyte of freed memory.
func coldStartCost(w *workspace, _ int, replica *Replica, i int) float64 {
	row := &w.snapshot.Rows[i]
	idle := w.snapshot.Now.Sub(replica.Since).Seconds()
	probability := 0.0
	statistics := w.snapshot.Statistics.Row(row.Name)
	if statistics != nil {
		idle = max(0, w.snapshot.Now.Sub(statistics.LastUsed).Seconds())
		probability = statistics.useProbability(idle, victimHorizon.Seconds())
	}
	// Recent use makes further use likely, also without recorded gaps.
	probability = max(probability, placevalue.RecentUse(idle, victimHorizon.Seconds()))
	if w.isExpected(i) {
		probability = 1
	}
	weight := float64(max(1, row.Weight)) * float64(1+row.Priority)
	gigabytes := max(0.001, float64(replica.memory())/gigabyte)
	return probability * w.coldStartSeconds(i) * weight / gigabytes
}
