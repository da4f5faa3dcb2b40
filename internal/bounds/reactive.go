package bounds

import (
	"cmp"
	"slices"
)

// Load is one load that first requests wait for: of a base model or of an
// adapter.
type Load struct {
	// Release is when the load may begin: the first call that needs it.
	Release float64
	// Bytes fetched.
	Bytes float64
	// Remote: no machine has the checkpoint cached, so that the weight store
	// must deliver it once.
	Remote bool
	// Seconds that the load takes at least, alone and from its best source,
	// and Tail of them that follow after the last byte.
	Seconds, Tail float64
	// Adapter loads are counted apart from base models' when requests are
	// exempted.
	Adapter bool
}

// FirstRequest is a request whose wait counts.
type FirstRequest struct {
	At float64
	// Loads are indices of what it needs: at most one base model's load and
	// one adapter's.
	Loads []int
}

// Store is the weight store's capacity.
type Store struct {
	LoadsPerSecond, Burst float64
	FullSpeedLoads        int
	// BytesPerSecond of one load at full speed.
	BytesPerSecond float64
}

// precision of the search in seconds; the result is rounded down.
const precision = 0.01

// Reactive returns a lower bound in seconds on the quantile of the waits of the
// first requests, over all schedules that begin no load before its release.
func Reactive(requests []FirstRequest, loads []Load, store Store, quantile float64) float64 {
	alone := make([]float64, len(requests))
	for i, request := range requests {
		alone[i] = aloneWait(request, loads)
	}
	low := Quantile(alone, quantile)
	instance := &storeInstance{
		requests: requests, loads: loads, store: store,
		exempt: Exempt(len(requests), quantile),
	}
	instance.collect()
	if instance.feasible(low) {
		return low
	}
	high := max(2*low, 1)
	for !instance.feasible(high) {
		low, high = high, 2*high
	}
	for high-low > precision {
		middle := (low + high) / 2
		if instance.feasible(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// aloneWait is the least wait of a request when its loads compete with none.
func aloneWait(request FirstRequest, loads []Load) float64 {
	wait := 0.0
	for _, index := range request.Loads {
		wait = max(wait, loads[index].Release+loads[index].Seconds-request.At)
	}
	return wait
}

// storeInstance asks whether the store could keep all but the exempted requests
// within a wait.
type storeInstance struct {
	requests []FirstRequest
	loads    []Load
	store    Store
	exempt   int
	// users are the times of the requests that need each remote load, sorted.
	remote []int
	users  [][]float64
}

func (s *storeInstance) collect() {
	s.users = make([][]float64, len(s.loads))
	for _, request := range s.requests {
		for _, index := range request.Loads {
			if s.loads[index].Remote {
				s.users[index] = append(s.users[index], request.At)
			}
		}
	}
	for index := range s.users {
		slices.Sort(s.users[index])
		if len(s.users[index]) > 0 {
			s.remote = append(s.remote, index)
		}
	}
}

// job is a remote load under an assumed largest wait.
type job struct {
	load *Load
	// due is when its bytes must have arrived for its first user.
	due   float64
	users []float64
}

// feasible reports whether no interval of time has more work than the store
// can do in it, when every request that is not exempted waits at most wait.
func (s *storeInstance) feasible(wait float64) bool {
	jobs := make([]job, 0, len(s.remote))
	for _, index := range s.remote {
		load := &s.loads[index]
		jobs = append(jobs, job{load: load, due: s.users[index][0] + wait - load.Tail, users: s.users[index]})
	}
	slices.SortFunc(jobs, func(a, b job) int { return cmp.Compare(a.due, b.due) })
	for _, first := range jobs {
		for count := range jobs {
			if !s.intervalFits(jobs[:count+1], first.load.Release, wait) {
				return false
			}
		}
	}
	return true
}

// intervalFits checks the interval from a release to the last job's due time.
func (s *storeInstance) intervalFits(jobs []job, from, wait float64) bool {
	to := jobs[len(jobs)-1].due
	capacity := s.store.BytesPerSecond * float64(s.store.FullSpeedLoads) * max(0, to-from)
	var models, adapters spared
	work, starts := 0.0, 0.0
	for i := range jobs {
		inside := s.mandatory(&jobs[i], from)
		if inside <= 0 {
			continue
		}
		work += inside
		whole := 0.0
		if jobs[i].load.Release >= from {
			whole = 1
		}
		starts += whole
		cost := jobs[i].usersDue(to, wait)
		if jobs[i].load.Adapter {
			adapters.offer(cost, inside, whole)
		} else {
			models.offer(cost, inside, whole)
		}
	}
	spareBytes := models.best(s.exempt) + adapters.best(s.exempt)
	if work-spareBytes > capacity*(1+1e-9) {
		return false
	}
	spareStarts := models.starts(s.exempt) + adapters.starts(s.exempt)
	return starts-spareStarts <= s.store.Burst+s.store.LoadsPerSecond*max(0, to-from)+1e-6
}

// mandatory is how many of the job's bytes must be moved after a time, even if
// it ran at full speed before.
func (s *storeInstance) mandatory(j *job, from float64) float64 {
	before := max(0, from-j.load.Release)
	return j.load.Bytes - s.store.BytesPerSecond*before
}

// usersDue is how many requests must be exempted to take the job out of an
// interval that ends at a time.
func (j *job) usersDue(to, wait float64) int {
	due := 0
	for _, at := range j.users {
		if at+wait-j.load.Tail > to {
			break
		}
		due++
	}
	return due
}

// spared chooses which jobs the exempted requests take out of an interval.
type spared struct {
	jobs []sparedJob
}

type sparedJob struct {
	cost          int
	bytes, starts float64
}

func (s *spared) offer(cost int, bytes, starts float64) {
	s.jobs = append(s.jobs, sparedJob{cost: cost, bytes: bytes, starts: starts})
}

// best is the largest number of bytes that a number of exemptions spares.
func (s *spared) best(exempt int) float64 {
	return knapsack(s.jobs, exempt, func(j sparedJob) float64 { return j.bytes })
}

func (s *spared) starts(exempt int) float64 {
	return knapsack(s.jobs, exempt, func(j sparedJob) float64 { return j.starts })
}

// knapsack is the largest total value of jobs whose costs stay within a budget.
func knapsack(jobs []sparedJob, budget int, value func(sparedJob) float64) float64 {
	best := make([]float64, budget+1)
	for _, job := range jobs {
		for left := budget; left >= job.cost; left-- {
			best[left] = max(best[left], best[left-job.cost]+value(job))
		}
	}
	return best[budget]
}
