package emulator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
)

// callBook keeps the callers' open calls and measures their ends.
type callBook struct {
	world *World
	open  map[string]*call
	next  uint64
	// Ended is called with each call's end, if set.
	Ended func(ended EndedCall)
}

// EndedCall is what a caller measured.
type EndedCall struct {
	Request gateway.Request
	SentAt  time.Time
	EndedAt time.Time
	// FirstAt is when the first piece of the answer came; zero: none did.
	FirstAt time.Time
	Served  bool
	Cold    bool
	Refusal result.Refusal
	// Lost: the node died with the call.
	Lost bool
}

// call is one request on its way; it implements gateway.Responder on the
// node's side of the connection.
type call struct {
	book     *callBook
	node     *SimulatedNode
	identity string
	request  gateway.Request
	sentAt   time.Time
	firstAt  time.Time
	text     strings.Builder
	chunks   int
	broken   bool
	ended    bool
	onEnd    func(EndedCall)
}

func newCallBook(world *World) *callBook {
	return &callBook{world: world, open: map[string]*call{}}
}

// send brings a request to a node; onEnd may be nil.
func (b *callBook) send(target *SimulatedNode, request gateway.Request, limit time.Duration, onEnd func(EndedCall)) {
	b.next++
	request.ID = b.lastID()
	now := b.world.Loop.Now()
	request.Deadline = now.Add(limit)
	c := &call{book: b, node: target, identity: target.identity(), request: request, sentAt: now, onEnd: onEnd}
	b.open[request.ID] = c
	key := request.Key
	if request.Repeatable {
		key = ""
	}
	b.world.Checker.Sent(checker.Call{
		RequestID: request.ID, Node: c.identity, Key: key, SentAt: now, Deadline: request.Deadline,
	})
	b.world.Network.Deliver(b.world.processes.callers, target.Process, c.arrive)
}

// lastID is the identity of the call that was sent last.
func (b *callBook) lastID() string { return fmt.Sprintf("request-%06d", b.next) }

// arrive submits the request in the node's process. Deadlines are absolute once
// accepted, so the node's possibly drifting clock counts the limit from here.
func (c *call) arrive() {
	if c.ended {
		return
	}
	now := c.node.Process.Now()
	request := c.request
	request.Accepted = now
	request.Deadline = now.Add(c.request.Deadline.Sub(c.sentAt) - c.book.world.Options.Deployment.ClientDelay)
	c.node.Node.Gateway.Submit(request, c)
}

// Chunk implements gateway.Responder.
func (c *call) Chunk(chunk outside.Chunk) {
	if chunk.Index != c.chunks {
		c.broken = true
	}
	if c.firstAt.IsZero() {
		c.firstAt = c.book.world.Loop.Now()
	}
	c.chunks++
	c.text.WriteString(chunk.Text)
}

// Finish implements gateway.Responder.
func (c *call) Finish(answer gateway.Answer) {
	matches := c.matches(answer)
	c.deliver(checker.CallOutcome{Served: true, Matches: matches}, answer.Cold)
}

// Refuse implements gateway.Responder.
func (c *call) Refuse(refusal result.Refusal) {
	c.deliver(checker.CallOutcome{Refusal: refusal}, false)
}

// deliver brings the end to the caller.
func (c *call) deliver(final checker.CallOutcome, cold bool) {
	c.book.world.Network.Deliver(c.node.Process, c.book.world.processes.callers, func() { c.end(final, cold) })
}

func (c *call) end(final checker.CallOutcome, cold bool) {
	world := c.book.world
	final.At = world.Loop.Now()
	world.Checker.Ended(c.request.ID, final)
	world.trace.addText(c.request.ID)
	world.trace.addNumber(uint64(final.Refusal.Code))
	if c.ended {
		return
	}
	c.ended = true
	delete(c.book.open, c.request.ID)
	ended := EndedCall{
		Request: c.request, SentAt: c.sentAt, EndedAt: final.At, FirstAt: c.firstAt,
		Served: final.Served, Cold: cold, Refusal: final.Refusal, Lost: final.LostWithNode,
	}
	if c.onEnd != nil {
		c.onEnd(ended)
	}
	if c.book.Ended != nil {
		c.book.Ended(ended)
	}
}

// matches compares the answer with what the stand-in must say to this body.
func (c *call) matches(answer gateway.Answer) bool {
	if c.request.Pool != "" {
		return bytes.Equal(answer.Response.Body, backend.ExpectedBody(c.request.Body))
	}
	return !c.broken && c.text.String() == engine.ExpectedText(c.request.Path, c.request.Body)
}

// nodeDied breaks the connections of a dead node.
func (b *callBook) nodeDied(n *SimulatedNode) {
	var lost []*call
	for _, c := range b.open {
		if c.identity == n.identity() {
			lost = append(lost, c)
		}
	}
	slices.SortFunc(lost, func(a, b *call) int { return strings.Compare(a.request.ID, b.request.ID) })
	for _, c := range lost {
		b.world.Loop.AfterFunc(b.world.Options.Deployment.ClientDelay, func() {
			if !c.ended {
				c.end(checker.CallOutcome{LostWithNode: true}, false)
			}
		})
	}
}
