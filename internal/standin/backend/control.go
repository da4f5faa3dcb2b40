package backend

import (
	"cmp"
	"slices"

	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// SetFaults replaces the faults. Without a HangShare, the runs that hang are
// finished after a service time.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if faults.HangShare > 0 {
		return
	}
	for _, held := range s.hung {
		s.clock.AfterFunc(s.serviceTime(), func() { s.finish(held) })
	}
	s.hung = nil
}

// SetLeaving makes the server refuse new requests, or accept them again.
func (s *Server) SetLeaving(leaving bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = leaving
}

// Kill ends the server's process: every connection breaks, what waited never
// runs, and what ran never answers.
func (s *Server) Kill() {
	s.mutex.Lock()
	if s.down {
		s.mutex.Unlock()
		return
	}
	s.noteProcess(record.KindProcessDied)
	broken := s.presentInOrder()
	s.generation++
	s.down = true
	s.running = 0
	s.queue = nil
	s.hung = nil
	clear(s.present)
	s.mutex.Unlock()
	for _, job := range broken {
		job.done(Outcome{Kind: OutcomeLost})
	}
}

// Restart starts a killed server with nothing in progress and no faults.
func (s *Server) Restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		s.noteProcess(record.KindProcessStarted)
	}
	s.down = false
	s.leaving = false
	s.faults = Faults{}
}

// Down reports whether the server's process is not running.
func (s *Server) Down() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// Status returns what the server tells of itself.
func (s *Server) Status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Status{
		Server:  s.config.Server,
		Down:    s.down,
		Leaving: s.leaving,
		Running: s.running,
		Queued:  len(s.queue),
		Faults:  s.faults,
		Runs:    s.runsBegun,
	}
}

// presentInOrder returns the jobs without an outcome by their arrival.
func (s *Server) presentInOrder() []*job {
	jobs := make([]*job, 0, len(s.present))
	for present := range s.present {
		jobs = append(jobs, present)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	return jobs
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}
