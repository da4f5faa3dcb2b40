package bounds

import (
	"cmp"
	"slices"
)

// Load is one load of a base model or an adapter that first requests wait for.
type Load struct {
	// Release is the earliest start of the load: the first request that needs it.
	Release float64
	// Bytes is the number of bytes that the load fetches.
	Bytes float64
	// Remote means that no machine has the checkpoint cached, so that the weight
	// store must deliver it once.
	Remote bool
	// Seconds is the minimum duration of the load, without contention and from
	// its fastest source. Tail is the part of it after the last byte arrived.
	Seconds, Tail float64
	// Adapter marks the load of an adapter. Exempted requests are assigned to
	// loads of adapters and of base models separately.
	Adapter bool
}

// FirstRequest is a request whose wait counts as a cold start.
type FirstRequest struct {
	// At is the arrival.
	At float64
	// Loads are the indices of the loads that the request needs: at most one of
	// a base model and one of an adapter.
	Loads []int
}

// Store is the weight store's capacity.
type Store struct {
	// LoadsPerSecond and Burst are the rate limit on starts of loads.
	LoadsPerSecond, Burst float64
	// FullSpeedLoads is how many concurrent loads run at full speed.
	FullSpeedLoads int
	// BytesPerSecond is the throughput of one load at full speed.
	BytesPerSecond float64
}

// precision is that of the binary search, in seconds. The result is rounded
// down, so that it stays a lower bound.
const precision = 0.01

// Reactive returns a lower bound, in seconds, on the quantile of the first
// requests' waits. It holds for all schedules that start no load before its
// Release.
func Reactive(requests []FirstRequest, loads []Load, store Store, quantile float64) float64 {
	uncontended := make([]float64, len(requests))
	for i, request := range requests {
		uncontended[i] = uncontendedWait(request, loads)
	}
	low := Quantile(uncontended, quantile)
	problem := &storeProblem{
		requests: requests, loads: loads, store: store,
		exempt: Exempt(len(requests), quantile),
	}
	problem.collect()
	if problem.feasible(low) {
		return low
	}
	high := max(2*low, 1)
	for !problem.feasible(high) {
		low, high = high, 2*high
	}
	for high-low > precision {
		middle := (low + high) / 2
		if problem.feasible(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// uncontendedWait returns the minimum wait of a request whose loads don't compete
// with others for the store.
func uncontendedWait(request FirstRequest, loads []Load) float64 {
	wait := 0.0
	for _, index := range request.Loads {
		wait = max(wait, loads[index].Release+loads[index].Seconds-request.At)
	}
	return wait
}

// storeProblem is the question whether the weight store can serve all requests,
// except for the exempted ones, within a given wait.
type storeProblem struct {
	requests []FirstRequest
	loads    []Load
	store    Store
	exempt   int
	// remoteLoads are the indices of the remote loads that requests need.
	// requestTimes holds, for each load, the sorted arrivals of those requests.
	remoteLoads  []int
	requestTimes [][]float64
}

// collect fills in remoteLoads and requestTimes.
func (s *storeProblem) collect() {
	s.requestTimes = make([][]float64, len(s.loads))
	for _, request := range s.requests {
		for _, index := range request.Loads {
			if s.loads[index].Remote {
				s.requestTimes[index] = append(s.requestTimes[index], request.At)
			}
		}
	}
	for index := range s.requestTimes {
		slices.Sort(s.requestTimes[index])
		if len(s.requestTimes[index]) > 0 {
			s.remoteLoads = append(s.remoteLoads, index)
		}
	}
}

// job is a remote load under an assumed maximum wait.
type job struct {
	load *Load
	// due is when its bytes must have arrived for the first request that needs
	// it.
	due          float64
	requestTimes []float64
}

// feasible reports whether in every interval the store has the capacity for the
// loads that must be done in it, if each request that is not exempted waits at
// most wait seconds.
func (s *storeProblem) feasible(wait float64) bool {
	jobs := make([]job, 0, len(s.remoteLoads))
	for _, index := range s.remoteLoads {
		load := &s.loads[index]
		jobs = append(jobs, job{load: load, due: s.requestTimes[index][0] + wait - load.Tail, requestTimes: s.requestTimes[index]})
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

// intervalFits reports whether the store has the capacity for the interval from
// a release to the last job's due time.
func (s *storeProblem) intervalFits(jobs []job, from, wait float64) bool {
	to := jobs[len(jobs)-1].due
	capacity := s.store.BytesPerSecond * float64(s.store.FullSpeedLoads) * max(0, to-from)
	var models, adapters exemptionChoice
	totalBytes, starts := 0.0, 0.0
	for i := range jobs {
		bytes := s.mandatoryBytes(&jobs[i], from)
		if bytes <= 0 {
			continue
		}
		totalBytes += bytes
		jobStarts := 0.0
		if jobs[i].load.Release >= from {
			jobStarts = 1
		}
		starts += jobStarts
		cost := jobs[i].requestsDue(to, wait)
		if jobs[i].load.Adapter {
			adapters.add(cost, bytes, jobStarts)
		} else {
			models.add(cost, bytes, jobStarts)
		}
	}
	exemptBytes := models.maxBytes(s.exempt) + adapters.maxBytes(s.exempt)
	if totalBytes-exemptBytes > capacity*(1+1e-9) {
		return false
	}
	exemptStarts := models.maxStarts(s.exempt) + adapters.maxStarts(s.exempt)
	return starts-exemptStarts <= s.store.Burst+s.store.LoadsPerSecond*max(0, to-from)+1e-6
}

// mandatoryBytes returns how many of the job's bytes must be transferred after a
// time, even if the job ran at full speed from its release until then.
func (s *storeProblem) mandatoryBytes(j *job, from float64) float64 {
	before := max(0, from-j.load.Release)
	return j.load.Bytes - s.store.BytesPerSecond*before
}

// requestsDue returns how many requests must be exempted so that the job need
// not be done in an interval that ends at to.
func (j *job) requestsDue(to, wait float64) int {
	due := 0
	for _, at := range j.requestTimes {
		if at+wait-j.load.Tail > to {
			break
		}
		due++
	}
	return due
}

// exemptionChoice selects the jobs of an interval that need not be done in it
// thanks to exempted requests.
type exemptionChoice struct {
	jobs []exemptableJob
}

// exemptableJob is a job that takes cost exemptions to remove from an interval,
// which removes its bytes and starts.
type exemptableJob struct {
	cost          int
	bytes, starts float64
}

func (s *exemptionChoice) add(cost int, bytes, starts float64) {
	s.jobs = append(s.jobs, exemptableJob{cost: cost, bytes: bytes, starts: starts})
}

// maxBytes returns the largest number of bytes that exempt exemptions remove.
func (s *exemptionChoice) maxBytes(exempt int) float64 {
	return knapsack(s.jobs, exempt, func(j exemptableJob) float64 { return j.bytes })
}

// maxStarts returns the largest number of starts that exempt exemptions remove.
func (s *exemptionChoice) maxStarts(exempt int) float64 {
	return knapsack(s.jobs, exempt, func(j exemptableJob) float64 { return j.starts })
}

// knapsack returns the largest total value of jobs whose total cost is within the
// budget.
func knapsack(jobs []exemptableJob, budget int, value func(exemptableJob) float64) float64 {
	best := make([]float64, budget+1)
	for _, job := range jobs {
		for remaining := budget; remaining >= job.cost; remaining-- {
			best[remaining] = max(best[remaining], best[remaining-job.cost]+value(job))
		}
	}
	return best[budget]
}
