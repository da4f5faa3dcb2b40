package forward

import "bytes"

// heldEvent is an event that was neither passed on nor dropped yet.
type heldEvent struct {
	event streamEvent
	block []byte
}

// hold keeps an event until a later one is accepted.
func (g *streamSegment) hold(event streamEvent, block []byte) error {
	if g.heldBytes += len(block); g.heldBytes > maxEventBytes {
		return errEventTooLong
	}
	if event.isComment {
		last := &g.held[len(g.held)-1]
		last.block = append(last.block, block...)
		return nil
	}
	g.held = append(g.held, heldEvent{event, bytes.Clone(block)})
	return nil
}

// mustHold reports whether only the next event shows that this one is a part of the stream: the first
// without an ID, the first without data, which may be a part of an event that foreign data divides, one whose ID
// has another form than the caller's, and the stream's first if its ID is no decimal number.
func (g *streamSegment) mustHold(event streamEvent) bool {
	switch {
	case !g.stream.streaming || event.fault != nil:
		return false
	case event.isComment:
		return len(g.held) > 0
	case event.id != "":
		isPart := !event.hasData && !g.stream.hasDataless
		isOdd := g.differsFromCallersForm(event) || g.opensWithOtherForm(event) && !g.history.decimals.optional()
		return (isPart || isOdd) && len(g.held) == 0
	}
	known := g.stream.passed || g.stream.last != "" || g.history.ids.required || g.history.ids.optional()
	return !known && len(g.held) == 0
}

// holdsEventWithoutID reports whether an event without an ID is held. No server can continue a stream behind it.
func (g *streamSegment) holdsEventWithoutID() bool {
	return len(g.held) > 0 && g.held[0].event.id == ""
}

// acceptHeld appends the held events that are to be passed on, unless one of them breaks the stream: the
// stream is broken before the first of them then.
func (g *streamSegment) acceptHeld(accepted []byte) ([]byte, error) {
	if err := g.checkHeld(); err != nil {
		g.held = nil
		return accepted, err
	}
	stream, segment, length := *g.stream, *g, len(accepted)
	for _, held := range g.held {
		pass, err := g.accept(held.event)
		if err != nil {
			*g.stream, *g = stream, segment
			g.held, g.lacksIDs = nil, stream.last == "" && err == error(errNoEventID)
			if g.opening == formOther && err == error(errEventIDForm) {
				g.opening = 0 // the first ID may be the foreign one
			}
			return accepted[:length], err
		}
		if pass {
			accepted = append(accepted, held.block...)
		}
	}
	g.held, g.heldBytes = g.held[:0], 0
	return accepted, nil
}

// checkHeld reports a held event that the next one, or the end, shows to be foreign.
func (g *streamSegment) checkHeld() error {
	switch {
	case len(g.held) == 0:
		return nil
	case g.isHeldFormForeign():
		return errEventIDForm
	}
	return g.checkHeldOpening()
}
