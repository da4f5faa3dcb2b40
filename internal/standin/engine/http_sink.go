package engine

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// httpSink keeps what the engine sends until the connection's goroutine takes
// it, so that the engine never waits for a client.
type httpSink struct {
	// ready holds a token when there is something to take.
	ready chan struct{}

	mutex   sync.Mutex
	pending []delivery
	dropped bool
}

func newHTTPSink() *httpSink { return &httpSink{ready: make(chan struct{}, 1)} }

// Chunk implements outside.GenerateSink.
func (s *httpSink) Chunk(chunk outside.Chunk) { s.add(delivery{chunk: chunk}) }

// End implements outside.GenerateSink.
func (s *httpSink) End(end outside.GenerateEnd) { s.add(delivery{end: &end}) }

// Failed implements outside.GenerateSink.
func (s *httpSink) Failed(err *outside.AttemptError) { s.add(delivery{err: err}) }

// Dropped implements Dropper.
func (s *httpSink) Dropped() {
	s.mutex.Lock()
	s.dropped = true
	s.mutex.Unlock()
	s.wake()
}

func (s *httpSink) add(next delivery) {
	s.mutex.Lock()
	s.pending = append(s.pending, next)
	s.mutex.Unlock()
	s.wake()
}

func (s *httpSink) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// take returns all that was sent since the last call, and whether the engine
// has died.
func (s *httpSink) take() (deliveries []delivery, dropped bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	deliveries = s.pending
	s.pending = nil
	return deliveries, s.dropped
}
