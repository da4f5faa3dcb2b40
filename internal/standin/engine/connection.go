package engine

import (
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// connectionPhase is the server's view of a connection.
type connectionPhase uint8

const (
	// connectionNew: nothing of it has arrived.
	connectionNew connectionPhase = iota
	connectionOpen
	connectionClosed
)

// frame is one piece of a stream on its way to the client.
type frame struct {
	// sequence numbers the frames of a connection from 0.
	sequence int
	delivery
}

// connection is the server's end of one attempt. It is the engine's sink.
type connection struct {
	network *simulation.Network
	client  *simulation.Process
	host    *Host
	stream  *clientStream

	phase    connectionPhase
	sequence int
	// cancelEngine cancels the attempt at the engine.
	cancelEngine func()
	// cancelled before the engine's process took the request.
	cancelled bool
}

// arrive accepts the connection on the server's machine; a repeated arrival is
// ignored. A dead process's connection is refused, and since this was the
// request's only arrival that counts, it is proved not to have run.
func (c *connection) arrive(request outside.GenerateRequest) {
	if c.phase != connectionNew {
		return
	}
	if c.host.Process.Killed() {
		c.refuse(ReasonConnection)
		return
	}
	c.phase = connectionOpen
	c.host.connections = append(c.host.connections, c)
	c.host.Process.Run(func() { c.serve(request) })
}

// serve hands the request to the engine. A hanging engine never takes it.
func (c *connection) serve(request outside.GenerateRequest) {
	switch {
	case c.phase != connectionOpen:
	case c.cancelled:
		c.refuse(ReasonCancelled)
	case c.host.Engine.Responding():
		c.cancelEngine = c.host.Engine.Generate(request, c)
	}
}

// refuse closes a connection whose request did not run and will not.
func (c *connection) refuse(reason string) {
	c.send(delivery{err: &outside.AttemptError{Attempt: c.stream.request.Attempt, Ran: result.RanNo, Reason: reason}})
	c.close()
}

// Chunk implements outside.GenerateSink.
func (c *connection) Chunk(chunk outside.Chunk) {
	if c.phase != connectionOpen {
		return
	}
	if c.client.Killed() {
		// The client's machine answers the next piece with a reset.
		c.close()
		c.cancelEngine()
		return
	}
	c.send(delivery{chunk: chunk})
}

// End implements outside.GenerateSink.
func (c *connection) End(end outside.GenerateEnd) { c.finish(delivery{end: &end}) }

// Failed implements outside.GenerateSink.
func (c *connection) Failed(err *outside.AttemptError) { c.finish(delivery{err: err}) }

func (c *connection) finish(last delivery) {
	if c.phase != connectionOpen {
		return
	}
	c.send(last)
	c.close()
}

// send puts a frame on the network.
func (c *connection) send(next delivery) {
	sent := frame{sequence: c.sequence, delivery: next}
	c.sequence++
	c.network.Deliver(c.host.stack, c.client, func() { c.stream.receive(sent) })
}

// close ends the server's side.
func (c *connection) close() {
	c.phase = connectionClosed
	open := c.host.connections
	if position := slices.Index(open, c); position >= 0 {
		last := len(open) - 1
		open[position] = open[last]
		open[last] = nil
		c.host.connections = open[:last]
	}
}

// cancelByClient arrives when the client gave up; it may overtake the request.
func (c *connection) cancelByClient() {
	switch {
	case c.phase == connectionNew:
		c.refuse(ReasonCancelled)
	case c.phase == connectionClosed:
	case c.cancelEngine != nil:
		c.host.Process.Run(c.cancelEngine)
	default:
		c.cancelled = true
	}
}

// reset breaks the connection after the engine's process died. The request may
// have run.
func (c *connection) reset() {
	if c.phase != connectionOpen {
		return
	}
	c.phase = connectionClosed
	c.send(delivery{err: &outside.AttemptError{
		Attempt: c.stream.request.Attempt, Ran: result.RanUnknown, Reason: ReasonTruncated,
	}})
}
