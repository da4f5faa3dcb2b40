package forward

import (
	"bytes"
	"slices"
)

// heldEvent is an event, or comments, that were neither passed on nor dropped yet.
type heldEvent struct {
	event streamEvent
	block []byte
}

// hold keeps an event until a later one is accepted.
func (g *streamSegment) hold(event streamEvent, block []byte) error {
	if g.heldBytes += len(block); g.heldBytes > maxEventBytes {
		return errEventTooLong
	}
	if event.isComment && len(g.held) > 0 {
		last := &g.held[len(g.held)-1]
		last.block = append(last.block, block...)
		return nil
	}
	g.held = append(g.held, heldEvent{event, bytes.Clone(block)})
	return nil
}

// mustHold reports whether only the next event shows that this one is a part of the stream: the first without data,
// which may be a part of an event that foreign data divides, and one whose ID has another form than the caller's. A
// comment before the stream's first event waits for it, so that another server's head can be sent instead.
func (g *streamSegment) mustHold(event streamEvent) bool {
	switch {
	case !g.stream.streaming || event.fault != nil:
		return false
	case event.isComment:
		return len(g.held) > 0 || g.stream.hasNoEvent()
	case event.id == "" || g.holdsEvent():
		return false
	}
	return !event.hasData && !g.stream.hasDataless || g.differsFromCallersForm(event)
}

// holdsEvent reports whether an event is held, rather than comments only.
func (g *streamSegment) holdsEvent() bool {
	return slices.ContainsFunc(g.held, func(held heldEvent) bool { return !held.event.isComment })
}

// acceptHeld appends the held events that are to be passed on, unless one of them breaks the stream: the
// stream is broken before the first of them then.
func (g *streamSegment) acceptHeld(accepted []byte) ([]byte, error) {
	if g.isHeldFormForeign() {
		g.held, g.heldBytes = nil, 0
		return accepted, errEventIDForm
	}
	stream, segment, length := *g.stream, *g, len(accepted)
	for _, held := range g.held {
		pass, err := g.accept(held.event)
		if err != nil {
			*g.stream, *g = stream, segment
			g.held, g.heldBytes = nil, 0
			return accepted[:length], err
		}
		if pass {
			accepted = append(accepted, held.block...)
		}
	}
	g.held, g.heldBytes = g.held[:0], 0
	return accepted, nil
}
