package bounds

import (
	"cmp"
	"math"
	"slices"
)

// Request is one request that a schedule must serve.
type Request struct {
	// At is the arrival.
	At float64
	// Window is how long the start may be delayed while the model is not loaded.
	Window float64
	// Seconds is the time from the start to the end.
	Seconds float64
}

// ModelWorkload is the requests to a base model and its adapters, and the cost
// of loading it.
type ModelWorkload struct {
	// Accelerators is the number that one replica occupies.
	Accelerators float64
	// FirstLoad and NextLoad are the minimum durations of the first load and of
	// each later one.
	FirstLoad, NextLoad float64
	// AlwaysLoaded means that the table's minimum of replicas keeps one loaded.
	AlwaysLoaded bool
	Requests     []Request
}

// Idle returns a lower bound, in accelerator seconds, on the time between from
// and to in which accelerators hold or load a model and serve no request. The
// bound holds for all schedules, also those that know all arrivals in advance,
// that start each request within its Window and serve it in its Seconds. Up to
// exempt requests may start at any time.
func Idle(models []ModelWorkload, from, to float64, exempt int) float64 {
	total := 0.0
	var exemptions []float64
	for i := range models {
		model := &models[i]
		total += model.Accelerators * modelIdle(model, from, to)
		if !model.AlwaysLoaded {
			for range min(exempt, len(model.Requests)) {
				exemptions = append(exemptions, model.Accelerators*max(model.FirstLoad, model.NextLoad))
			}
		}
	}
	slices.SortFunc(exemptions, func(a, b float64) int { return cmp.Compare(b, a) })
	for _, saved := range exemptions[:min(exempt, len(exemptions))] {
		total -= saved
	}
	return max(0, total)
}

// modelIdle returns the bound for one model, in seconds of one replica, without
// exempted requests.
func modelIdle(model *ModelWorkload, from, to float64) float64 {
	requests := slices.Clone(model.Requests)
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	if model.AlwaysLoaded {
		return alwaysLoadedIdle(requests, from, to)
	}
	solver := sessionSolver{requests: requests, loadSeconds: model.NextLoad, minCosts: make([]float64, len(requests)+1)}
	for i := range solver.minCosts {
		solver.minCosts[i] = -1
	}
	if len(requests) == 0 {
		return 0
	}
	first := min(model.FirstLoad, max(0, solver.latestStart(0)-from))
	return solver.solve(0) - model.NextLoad + first
}

// alwaysLoadedIdle returns the time that no request can cover, where each may
// occupy the replica from its arrival until its latest possible end.
func alwaysLoadedIdle(requests []Request, from, to float64) float64 {
	idle, busyUntil := 0.0, from
	for _, request := range requests {
		if request.At > busyUntil {
			idle += min(request.At, to) - busyUntil
		}
		busyUntil = min(to, max(busyUntil, request.At+request.Window+request.Seconds))
	}
	return max(0, idle+to-busyUntil)
}

// sessionSolver finds the partition of a model's requests into sessions with the
// least cost. In a session a replica stays loaded.
type sessionSolver struct {
	requests    []Request
	loadSeconds float64
	// minCosts holds the least costs of serving the requests from each index on;
	// -1 means not yet computed.
	minCosts []float64
}

// latestStart returns the latest time by which a session that begins with the
// request at index first must have its model loaded.
func (s *sessionSolver) latestStart(first int) float64 {
	start := math.Inf(1)
	for _, request := range s.requests[first:] {
		if request.At > start {
			break
		}
		start = min(start, request.At+request.Window)
	}
	return start
}

// solve returns the least cost of serving the requests from index first on. It
// fills minCosts from the end, which avoids recursion.
func (s *sessionSolver) solve(first int) float64 {
	s.minCosts[len(s.requests)] = 0
	for index := len(s.requests) - 1; index >= first; index-- {
		s.minCosts[index] = s.minSessionCost(index)
	}
	return s.minCosts[first]
}

// minSessionCost returns the least cost of serving the requests from index first
// on when a session begins with that request. The session may end in any gap
// between requests.
func (s *sessionSolver) minSessionCost(first int) float64 {
	start := s.latestStart(first)
	best, idle, busyUntil := math.Inf(1), 0.0, start
	for index := first; index < len(s.requests); index++ {
		request := s.requests[index]
		if gap := request.At - busyUntil; gap > 0 {
			best = min(best, s.loadSeconds+idle+s.minCosts[index])
			idle += gap
			// Ending the session here costs at most one load more, so a gap as
			// long as a load is never worth bridging. Nor can a longer session be
			// cheaper once its cost has reached the best one found.
			if gap >= s.loadSeconds || s.loadSeconds+idle >= best {
				return best
			}
		}
		busyUntil = max(busyUntil, max(start, request.At)+request.Seconds)
	}
	return min(best, s.loadSeconds+idle)
}
