package bounds

import (
	"cmp"
	"math"
	"slices"
)

// Request is one request that a schedule must serve.
type Request struct {
	At float64
	// Window is how long its start may be delayed for want of a model.
	Window float64
	// Seconds from its start to its end.
	Seconds float64
}

// ModelWorkload is what a base model, with its adapters, must serve.
type ModelWorkload struct {
	// Accelerators that one replica occupies.
	Accelerators float64
	// FirstLoad and NextLoad are the least seconds of the first load and of a
	// later one.
	FirstLoad, NextLoad float64
	// AlwaysLoaded: the table's minimum keeps a replica loaded.
	AlwaysLoaded bool
	Requests     []Request
}

// Idle returns a lower bound in accelerator seconds on the time in which
// accelerators hold or receive a model and serve no request, between two times,
// over all schedules that know all arrivals, start every request within its
// window and serve it in its seconds. Exempt requests may start at any time.
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
	for _, spared := range exemptions[:min(exempt, len(exemptions))] {
		total -= spared
	}
	return max(0, total)
}

func modelIdle(model *ModelWorkload, from, to float64) float64 {
	services := slices.Clone(model.Requests)
	slices.SortStableFunc(services, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	if model.AlwaysLoaded {
		return alwaysUpIdle(services, from, to)
	}
	sessions := sessionSolver{services: services, load: model.NextLoad, least: make([]float64, len(services)+1)}
	for i := range sessions.least {
		sessions.least[i] = -1
	}
	if len(services) == 0 {
		return 0
	}
	first := min(model.FirstLoad, max(0, sessions.latestStart(0)-from))
	return sessions.solve(0) - model.NextLoad + first
}

// alwaysUpIdle is the time not covered by any request, each taken as long as it
// could be.
func alwaysUpIdle(services []Request, from, to float64) float64 {
	idle, busyUntil := 0.0, from
	for _, service := range services {
		if service.At > busyUntil {
			idle += min(service.At, to) - busyUntil
		}
		busyUntil = min(to, max(busyUntil, service.At+service.Window+service.Seconds))
	}
	return max(0, idle+to-busyUntil)
}

// sessionSolver finds the cheapest division of a model's requests into sessions
// in which a replica stays loaded.
type sessionSolver struct {
	services []Request
	load     float64
	// least cost of serving the requests from an index on; -1: not known yet.
	least []float64
}

// latestStart is the latest time at which a session that begins with a request
// can have its model up.
func (s *sessionSolver) latestStart(first int) float64 {
	start := math.Inf(1)
	for _, service := range s.services[first:] {
		if service.At > start {
			break
		}
		start = min(start, service.At+service.Window)
	}
	return start
}

// solve fills in the least costs from the back, so that it needs no recursion.
func (s *sessionSolver) solve(first int) float64 {
	s.least[len(s.services)] = 0
	for index := len(s.services) - 1; index >= first; index-- {
		s.least[index] = s.session(index)
	}
	return s.least[first]
}

// session is the least cost when a session begins with a request: it may end in
// any gap between its requests.
func (s *sessionSolver) session(first int) float64 {
	start := s.latestStart(first)
	best, idle, busyUntil := math.Inf(1), 0.0, start
	for index := first; index < len(s.services); index++ {
		service := s.services[index]
		if gap := service.At - busyUntil; gap > 0 {
			best = min(best, s.load+idle+s.least[index])
			idle += gap
			// A later session costs one load at most, so that neither this gap
			// nor all idling up to here can pay beyond that.
			if gap >= s.load || s.load+idle >= best {
				return best
			}
		}
		busyUntil = max(busyUntil, max(start, service.At)+service.Seconds)
	}
	return min(best, s.load+idle)
}
