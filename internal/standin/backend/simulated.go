package backend

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// Host is a server and the process it runs in.
type Host struct {
	Server  *Server
	Process *simulation.Process
}

// reachable reports whether anything listens at the host's address.
func (h Host) reachable() bool { return !h.Process.Killed() && !h.Server.Down() }

// Lookup finds the host of a server as it is now.
type Lookup func(server outside.ServerID) (Host, bool)

// connectionRefusedDelay is how long a client waits to learn that nothing
// listens at an address.
const connectionRefusedDelay = 2 * simulation.DefaultDelay

// Simulated is the outside.BackEndService of one client process over a
// simulated network. A call stands for one request on a connection: the network
// may lose or delay it, but never delivers it twice.
type Simulated struct {
	network *simulation.Network
	client  *simulation.Process
	lookup  Lookup
}

// NewSimulated returns the service as seen by the client process.
func NewSimulated(network *simulation.Network, client *simulation.Process, lookup Lookup) *Simulated {
	return &Simulated{network: network, client: client, lookup: lookup}
}

// exchange is one call in progress.
type exchange struct {
	service *Simulated
	host    Host
	request outside.BackEndRequest
	done    func(outside.BackEndResponse, error)

	delivered bool
	finished  bool
	timer     clock.Timer
	abandon   func()
}

// Call implements outside.BackEndService.
func (s *Simulated) Call(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
	call := &exchange{service: s, request: request, done: done}
	remaining := request.Deadline.Sub(s.client.Now())
	if remaining <= 0 {
		s.client.AfterFunc(0, func() { call.fail(result.RanNo, "timeout", outside.LoadHint{}) })
		return
	}
	host, known := s.lookup(request.Server)
	if !known || !host.reachable() {
		s.client.AfterFunc(min(remaining, connectionRefusedDelay), call.refuseConnection)
		return
	}
	call.host = host
	call.start(remaining)
}

func (e *exchange) start(remaining time.Duration) {
	e.timer = e.service.client.AfterFunc(remaining, e.timeOut)
	e.service.network.Deliver(e.service.client, e.host.Process, e.deliver)
}

// deliver runs in the server's process.
func (e *exchange) deliver() {
	if e.delivered {
		return
	}
	e.delivered = true
	abandon, err := e.host.Server.Serve(e.request, func(outcome Outcome) {
		e.service.network.Deliver(e.host.Process, e.service.client, func() { e.receive(outcome) })
	})
	if err != nil {
		e.service.network.Deliver(e.host.Process, e.service.client, e.refuseConnection)
		return
	}
	e.abandon = abandon
}

// receive runs in the client's process.
func (e *exchange) receive(outcome Outcome) {
	switch outcome.Kind {
	case OutcomeAnswered:
		e.finish(outcome.Response, nil)
	case OutcomeRefused:
		e.fail(result.RanNo, outcome.Reason, outcome.Load)
	default:
		e.fail(result.RanUnknown, "connection", outcome.Load)
	}
}

func (e *exchange) refuseConnection() {
	e.fail(result.RanNo, "connection", outside.LoadHint{})
}

// timeOut ends the call at its deadline. Whether the request arrived is not
// known to the client.
func (e *exchange) timeOut() {
	if e.finished {
		return
	}
	e.fail(result.RanUnknown, "timeout", outside.LoadHint{})
	e.service.network.Deliver(e.service.client, e.host.Process, e.disconnect)
}

// disconnect tells the server that the client closed the connection. If that
// overtakes the request, the request is not served.
func (e *exchange) disconnect() {
	e.delivered = true
	if e.abandon != nil {
		e.abandon()
	}
}

func (e *exchange) fail(ran result.Ran, reason string, load outside.LoadHint) {
	e.finish(outside.BackEndResponse{}, &outside.AttemptError{
		Attempt: e.request.Attempt, Ran: ran, Reason: reason, Load: load,
	})
}

func (e *exchange) finish(response outside.BackEndResponse, err error) {
	if e.finished {
		return
	}
	e.finished = true
	if e.timer != nil {
		e.timer.Stop()
	}
	e.done(response, err)
}
