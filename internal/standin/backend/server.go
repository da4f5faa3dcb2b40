package backend

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// ErrDown means that the server's process is not running: nothing was received.
var ErrDown = errors.New("server is down")

// Server is one back-end server. It is safe for concurrent use.
type Server struct {
	clock  clock.Clock
	config Config
	log    *record.Log

	mutex   sync.Mutex
	random  *rand.Rand
	faults  Faults
	down    bool
	leaving bool
	// generation counts the starts of the server; work of an earlier
	// generation has died.
	generation uint64
	running    int
	queue      []*job
	// present holds all jobs that have no outcome yet.
	present map[*job]struct{}
	// hung holds the runs kept by the hang fault, in order of their start.
	hung      []*job
	runsBegun uint64
	received  uint64
}

// job is one request at the server.
type job struct {
	request    outside.BackEndRequest
	generation uint64
	// sequence orders the jobs by their arrival.
	sequence uint64
	started  bool
	done     func(Outcome)
}

// NewServer returns a running server. What it sees is appended to the log,
// which may be nil.
func NewServer(serverClock clock.Clock, config Config, log *record.Log) *Server {
	config = config.withDefaults()
	server := &Server{
		clock:   serverClock,
		config:  config,
		log:     log,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed^0x6261636b656e64)),
		present: map[*job]struct{}{},
	}
	server.noteProcess(record.KindProcessStarted)
	return server
}

// ID returns the server's identity.
func (s *Server) ID() outside.ServerID { return s.config.Server }

// Serve receives a request. Done is called exactly once, at once for a refusal
// and later otherwise; without the server's lock held. Abandon tells that the
// caller is gone: a request that waits is dropped without a run, one that runs
// goes on.
func (s *Server) Serve(request outside.BackEndRequest, done func(Outcome)) (abandon func(), err error) {
	s.mutex.Lock()
	if s.down {
		s.mutex.Unlock()
		return nil, ErrDown
	}
	s.note(record.KindBackEndReceived, request, "")
	if reason := s.refusalReason(); reason != "" {
		s.note(record.KindBackEndRefused, request, reason)
		outcome := Outcome{Kind: OutcomeRefused, Reason: reason, Load: s.load()}
		s.mutex.Unlock()
		done(outcome)
		return func() {}, nil
	}
	s.received++
	accepted := &job{request: request, generation: s.generation, sequence: s.received, done: done}
	s.present[accepted] = struct{}{}
	s.queue = append(s.queue, accepted)
	s.startWaiting()
	s.mutex.Unlock()
	return func() { s.abandon(accepted) }, nil
}

// refusalReason returns why a new request is refused, or "".
func (s *Server) refusalReason() string {
	switch {
	case s.leaving:
		return ReasonLeaving
	case s.happens(s.faults.RefuseShare):
		return ReasonRefused
	case s.running >= s.config.Concurrency && len(s.queue) >= s.config.QueueLimit:
		return ReasonBusy
	default:
		return ""
	}
}

// startWaiting begins runs while there is room.
func (s *Server) startWaiting() {
	for s.running < s.config.Concurrency && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.start(next)
	}
}

func (s *Server) start(next *job) {
	next.started = true
	s.running++
	s.runsBegun++
	s.note(record.KindBackEndRun, next.request, "")
	if s.happens(s.faults.HangShare) {
		s.hung = append(s.hung, next)
		return
	}
	s.clock.AfterFunc(s.serviceTime(), func() { s.finish(next) })
}

func (s *Server) serviceTime() time.Duration {
	if s.faults.SlowFactor <= 0 {
		return s.config.ServiceTime
	}
	return time.Duration(float64(s.config.ServiceTime) * s.faults.SlowFactor)
}

// finish ends a run with its answer, unless the process died meanwhile.
func (s *Server) finish(finished *job) {
	s.mutex.Lock()
	if finished.generation != s.generation {
		s.mutex.Unlock()
		return
	}
	delete(s.present, finished)
	s.running--
	outcome := answerTo(finished.request, s.load())
	if s.happens(s.faults.LoseAnswerShare) {
		outcome = Outcome{Kind: OutcomeLost}
	}
	s.startWaiting()
	s.mutex.Unlock()
	finished.done(outcome)
}

// abandon drops a job that has not begun to run.
func (s *Server) abandon(dropped *job) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if dropped.started || dropped.generation != s.generation {
		return
	}
	for index, waiting := range s.queue {
		if waiting == dropped {
			s.queue = append(s.queue[:index], s.queue[index+1:]...)
			delete(s.present, dropped)
			return
		}
	}
}

func (s *Server) load() outside.LoadHint {
	return outside.LoadHint{Running: s.running, Queued: len(s.queue), Leaving: s.leaving}
}

func (s *Server) happens(share float64) bool {
	return share > 0 && s.random.Float64() < share
}
