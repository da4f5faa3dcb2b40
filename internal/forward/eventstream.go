package forward

import (
	"bytes"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// minSteps is the number of equal differences between the IDs of consecutive events from which a larger
// one, where a stream was continued, shows that events are missing.
const minSteps = 8

// eventStream joins the events of several attempts into the one stream that a caller receives.
type eventStream struct {
	// streaming: the route is one of streams, all events of which have rising IDs, of the format.
	streaming bool
	format    fleet.EventFormat
	// last is the ID of the last event that the caller has; empty if it has none.
	last string
	// passed: an event was passed on. endsWithoutID: one without an ID was passed on after the last ID, so
	// that no server can continue the stream behind it, which happens on other routes only.
	passed, endsWithoutID bool
	// first is the ID of the first event that was passed on, chain the digest of all events, and
	// lastDigest that of the last one.
	first             string
	chain, lastDigest uint64
	// step is the difference between the IDs of consecutive events, steps the number of times that it
	// was seen; irregular: it differs.
	step      uint64
	steps     int
	irregular bool
	// samePrefix is the number of events of this attempt since the one with another prefix before its decimal
	// number. Another server may use another prefix.
	samePrefix int
	// hasDataless: an event without data was passed on.
	hasDataless bool
	// withinEvent: an attempt broke within an event, so that events are still to come.
	withinEvent bool
}

// newEventStream returns the stream of a request, of which its caller may have a part. Where a route's
// streams can't be resumed, servers begin them at the start, whatever the caller has. A caller's ID that
// no event of the route can have is left to the servers.
func newEventStream(request *Request, route *fleet.Route) eventStream {
	stream := eventStream{streaming: route.Kind == fleet.KindStream, format: route.Events}
	mayBeEventID := !stream.streaming || !route.Events.DecimalIDs || isDecimal(request.ResumeAfter)
	if route.Repeatable() && mayBeEventID {
		stream.last = request.ResumeAfter
	}
	return stream
}

// resumable reports whether another server can continue the stream, or begin it again where the caller
// has no event.
func (s *eventStream) resumable() bool {
	return !s.endsWithoutID && (s.last != "" || !s.passed)
}

// segmentState is how far the events of an attempt are known to follow those before.
type segmentState int

const (
	// segmentJoining: the attempt continues a stream, and has sent no event yet.
	segmentJoining segmentState = iota + 1
	// segmentRepeating: it sends events that the caller has.
	segmentRepeating
	// segmentFollowing: its events follow those that the caller has.
	segmentFollowing
)

// streamSegment is the part of a stream that one attempt sends.
type streamSegment struct {
	stream *eventStream
	state  segmentState
	// chain is the digest of the repeated events; fromStart: they are all events that were passed on.
	chain     uint64
	fromStart bool
	// previous is the ID of the last repeated event.
	previous string
	// formConfirmed: the server sent an ID of the form of the last one, which may be of the caller alone.
	formConfirmed bool
	// hasIDs: an event with an ID was passed on.
	hasIDs bool
	// held are comments before the stream's first event, and events that the next one shows to be a part of the
	// stream or foreign, heldBytes long with the comments behind them.
	held      []heldEvent
	heldBytes int
	// events is the number of events that the server sent, without comments.
	events int
}

// newSegment begins the events of an attempt that was asked to continue after the last event.
func (s *eventStream) newSegment() *streamSegment {
	s.samePrefix = 0
	segment := &streamSegment{stream: s, state: segmentFollowing}
	if s.last != "" {
		segment.state = segmentJoining
	}
	return segment
}

// acceptAll appends the events that are to be passed on, up to one that breaks the stream. A byte order
// mark stays only before the stream's first event.
func (g *streamSegment) acceptAll(blocks [][]byte, begun bool) ([]byte, error) {
	var accepted []byte
	for _, block := range blocks {
		event, err := parseEvent(block, g.stream.format)
		if err != nil {
			return accepted, err
		}
		if !event.isComment {
			g.events++
		}
		if begun || len(accepted)+len(g.held) > 0 {
			block = bytes.TrimPrefix(block, byteOrderMark)
		}
		if g.mustHold(event) {
			err = g.hold(event, block)
		} else {
			g.held = append(g.held, heldEvent{event, block})
			accepted, err = g.acceptHeld(accepted)
		}
		if err != nil {
			return accepted, err
		}
	}
	return accepted, nil
}

// accept reports whether an event is to be passed on. Its error breaks the stream before the event.
func (g *streamSegment) accept(event streamEvent) (bool, error) {
	if err := g.check(event); err != nil {
		return false, err
	}
	if event.isComment || !event.hasContent && !g.stream.streaming {
		return g.state == segmentFollowing, nil
	}
	g.formConfirmed = g.formConfirmed || hasSameForm(event.id, g.stream.last)
	switch g.state {
	case segmentJoining:
		return g.join(event)
	case segmentRepeating:
		return false, g.repeat(event)
	default:
		return true, g.follow(event)
	}
}

// check reports an event that no run of the stream has made.
func (g *streamSegment) check(event streamEvent) error {
	s := g.stream
	switch {
	case !s.streaming:
		return nil
	case event.fault != nil:
		return event.fault
	case event.isComment:
		return nil
	case event.id == "":
		return errNoEventID
	case s.format.DecimalIDs && !isDecimal(event.id), g.isFormKnown() && !hasSameForm(event.id, s.last), g.followsForeignOpening(event):
		return errEventIDForm
	}
	return nil
}

// join decides what the first event of a continuation is.
func (g *streamSegment) join(event streamEvent) (bool, error) {
	if event.id == "" {
		if g.stream.passed {
			return false, errNotContinued
		}
		g.state = segmentFollowing
		return true, g.follow(event)
	}
	order, _ := compareEventIDs(event.id, g.stream.last)
	if order <= 0 {
		g.state = segmentRepeating
		g.fromStart = event.id == g.stream.first
		return false, g.repeat(event)
	}
	if g.stream.lacksEventsBefore(event.id) {
		return false, errNotContinued
	}
	g.state = segmentFollowing
	return true, g.follow(event)
}

// repeat checks an event that the caller has against what was passed on.
func (g *streamSegment) repeat(event streamEvent) error {
	g.chain = addDigest(g.chain, event.digest)
	if event.id == "" {
		return nil
	}
	if g.previous != "" && !mayFollow(event.id, g.previous) {
		return errEventOrder
	}
	g.previous = event.id
	order, _ := compareEventIDs(event.id, g.stream.last)
	switch {
	case order < 0:
		return nil
	case order > 0, g.stream.passed && event.digest != g.stream.lastDigest, g.fromStart && g.chain != g.stream.chain:
		return errNotContinued
	}
	g.state = segmentFollowing
	return nil
}

// follow records an event that is passed on.
func (g *streamSegment) follow(event streamEvent) error {
	s := g.stream
	if event.id != "" && s.last != "" && !mayFollow(event.id, s.last) {
		return errEventOrder
	}
	s.withinEvent = false
	s.chain, s.lastDigest = addDigest(s.chain, event.digest), event.digest
	s.endsWithoutID = event.id == ""
	s.hasDataless = s.hasDataless || !event.hasData
	if event.id != "" {
		g.hasIDs = true
		s.recordForm(event.id)
		if s.passed {
			s.recordStep(eventStep(s.last, event.id))
		} else {
			s.first = event.id
		}
		s.last = event.id
	}
	s.passed = true
	return nil
}

// end appends the held events at the end of a complete response, and checks this end.
func (g *streamSegment) end(accepted []byte) ([]byte, error) {
	if g.lacksEvents() {
		return accepted, errNoEvents
	}
	accepted, err := g.acceptHeld(accepted)
	if err != nil {
		return accepted, err
	}
	if g.state == segmentRepeating || g.stream.withinEvent {
		return accepted, errNotContinued
	}
	return accepted, nil
}

// lacksEvents reports whether the response is a stream from its beginning, and had no event.
func (g *streamSegment) lacksEvents() bool {
	return g.stream.streaming && g.stream.hasNoEvent() && !g.holdsEvent()
}

// hasNoEvent reports whether the caller has no event of the stream.
func (s *eventStream) hasNoEvent() bool { return s.last == "" && !s.passed }

// breakOff records the end of an incomplete response; withinEvent: it ended within an event.
func (g *streamSegment) breakOff(withinEvent bool) {
	g.stream.withinEvent = g.stream.withinEvent || withinEvent || g.holdsEvent()
}

// mayFollow reports whether an event may come after another one, as far as the order of their IDs is
// certain.
func mayFollow(id, before string) bool {
	order, certain := compareEventIDs(id, before)
	return order > 0 || !certain
}

func (s *eventStream) recordStep(step uint64) {
	if s.steps == 0 {
		s.step = step
	}
	s.irregular = s.irregular || step != s.step
	s.steps++
}

// lacksEventsBefore reports whether events are missing between the last one and the ID: it is further
// ahead than each ID was so far. It can't tell where the differences vary or are few.
func (s *eventStream) lacksEventsBefore(id string) bool {
	return s.step > 0 && !s.irregular && s.steps >= minSteps && eventStep(s.last, id) > s.step
}
