package engine

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// DefaultStallTimeout is how long a stream waits for a lost or late piece when
// later ones are there, before it counts as broken.
const DefaultStallTimeout = 2 * time.Second

// DefaultCancelTimeout is how long a cancelled attempt waits for the engine's
// word on it.
const DefaultCancelTimeout = time.Second

// Simulated is outside.EngineService for one simulated client process.
type Simulated struct {
	fleet  *Fleet
	client *simulation.Process
	// StallTimeout and CancelTimeout may be changed before use.
	StallTimeout, CancelTimeout time.Duration
}

var _ outside.EngineService = (*Simulated)(nil)

// Client returns the service as seen from a client process.
func (f *Fleet) Client(client *simulation.Process) *Simulated {
	return &Simulated{fleet: f, client: client, StallTimeout: DefaultStallTimeout, CancelTimeout: DefaultCancelTimeout}
}

// Order implements outside.EngineService. Like a request on a TCP connection
// an order arrives once at most; its reply may be lost.
func (s *Simulated) Order(order outside.Order, timeout time.Duration, done func(outside.OrderResult, error)) {
	host := s.fleet.hosts[order.Server]
	if host == nil {
		s.client.AfterFunc(timeout, func() { done(outside.OrderResult{}, outside.ErrServerUnreachable) })
		return
	}
	arrived := false
	simulation.Call[outside.OrderResult]{
		Network: s.fleet.network, Client: s.client, Server: host.stack, Timeout: timeout,
		Serve: func(answer func(outside.OrderResult)) {
			if arrived {
				return
			}
			arrived = true
			host.Process.Run(func() {
				if !host.Engine.Responding() {
					return
				}
				result := host.Engine.Order(order)
				if !host.Engine.LosesOrderReply() {
					answer(result)
				}
			})
		},
		OnReply:   func(result outside.OrderResult) { done(result, nil) },
		OnTimeout: func() { done(outside.OrderResult{}, outside.ErrServerUnreachable) },
	}.Start()
}

// State implements outside.EngineService.
func (s *Simulated) State(server outside.ServerID, sinceVersion uint64, timeout time.Duration, done func(*outside.EngineState, error)) {
	host := s.fleet.hosts[server]
	if host == nil {
		s.client.AfterFunc(timeout, func() { done(nil, outside.ErrServerUnreachable) })
		return
	}
	simulation.Call[*outside.EngineState]{
		Network: s.fleet.network, Client: s.client, Server: host.stack, Timeout: timeout,
		Serve: func(answer func(*outside.EngineState)) {
			host.Process.Run(func() {
				if host.Engine.Responding() {
					answer(host.Engine.State(sinceVersion))
				}
			})
		},
		OnReply:   func(state *outside.EngineState) { done(state, nil) },
		OnTimeout: func() { done(nil, outside.ErrServerUnreachable) },
	}.Start()
}

// Generate implements outside.EngineService. The attempt is a connection: the
// request arrives once at most, and the stream arrives in order.
func (s *Simulated) Generate(request outside.GenerateRequest, sink outside.GenerateSink) (cancel func()) {
	stream := &clientStream{service: s, request: request, sink: sink, nextIndex: request.ResumeFrom}
	host := s.fleet.hosts[request.Server]
	if host == nil {
		s.client.AfterFunc(simulation.DefaultDelay, func() { stream.fail(result.RanNo, ReasonConnection) })
		return func() {}
	}
	stream.connection = &connection{network: s.fleet.network, client: s.client, host: host, stream: stream}
	stream.armDeadline()
	left := request.Deadline.Sub(s.client.Now())
	s.fleet.network.Deliver(s.client, host.stack, func() {
		arrived := request
		if !request.Deadline.IsZero() {
			// The time left travels, since the clocks of machines differ.
			arrived.Deadline = host.stack.Now().Add(left)
		}
		stream.connection.arrive(arrived)
	})
	return stream.cancel
}
