package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	// wholeAnswerBytes is the longest answer that is read as a whole before it
	// is passed on, so that a broken one can be replaced.
	wholeAnswerBytes = 256 << 10
	// longestEvent of a stream; a longer one breaks it.
	longestEvent = 1 << 20
	// gapFactor times the route's pause without an event ends an attempt that
	// can be continued elsewhere.
	gapFactor   = 4
	relayBuffer = 4 << 10
)

// errEventTooLong breaks a stream.
var errEventTooLong = errors.New("an event of the stream is too long")

// errSilent ends an attempt whose stream paused for too long.
var errSilent = errors.New("the stream paused for too long")

// relay passes an answer on. It returns nil if the request goes on elsewhere.
func (f *Forwarder) relay(ctx context.Context, flow *flow, place *candidate, reply *Reply, responder Responder, change *switchover, started time.Time) *Outcome {
	var err error
	begun := time.Now()
	if reply.Events {
		err = f.relayEvents(flow, reply, responder, change)
	} else {
		err = f.relayBody(flow, reply, responder)
	}
	if err == nil {
		f.tracker.ran(flow.pool, time.Since(begun))
		f.learnFromWhole(ctx, flow, place.server, reply, started)
		f.release(flow, place, &AttemptError{Reason: FailureStatus, Load: reply.Load})
		outcome := flow.outcome(result.OK, "")
		outcome.Status, outcome.Ran = reply.Status, result.RanYes
		return outcome
	}
	return f.broken(ctx, flow, place, err)
}

// broken decides what comes after an answer that broke.
func (f *Forwarder) broken(ctx context.Context, flow *flow, place *candidate, err error) *Outcome {
	f.release(flow, place, &AttemptError{Reason: FailureStatus})
	failure := &AttemptError{Reason: FailureBroken, Ran: result.RanYes, Cause: err}
	f.suspect(ctx, flow, place.server, failure)
	flow.runs++
	flow.ran = result.RanYes
	over := ctx.Err() != nil && !endedByForwarder(ctx)
	again := !over && f.mayRepeat(flow, 0) && (!flow.begun || flow.lastEvent != "")
	f.observe(Observation{Request: flow.request, Server: place.server.ID, Number: flow.sent, Failure: failure, WillRetry: again})
	if over {
		return f.ended(ctx, flow)
	}
	place.load.mutex.Lock()
	place.load.ended(true, time.Now())
	place.load.mutex.Unlock()
	if again {
		return nil
	}
	return f.giveUp(flow, "the answer broke", result.BackEndFailed)
}

// endedByForwarder: the attempt was ended so that another server can be asked.
func endedByForwarder(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errSilent) || errors.Is(cause, errImpatient)
}

// relayBody passes on an answer that is no stream of events. A short one is
// read as a whole first.
func (f *Forwarder) relayBody(flow *flow, reply *Reply, responder Responder) error {
	whole, err := io.ReadAll(io.LimitReader(reply.Body, wholeAnswerBytes))
	if err != nil {
		return err
	}
	flow.begin(responder, reply)
	if err := responder.Write(whole); err != nil {
		return callerError{err}
	}
	if len(whole) < wholeAnswerBytes {
		return nil
	}
	return copyRest(responder, reply.Body)
}

func copyRest(responder Responder, body io.Reader) error {
	buffer := make([]byte, relayBuffer)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if writeErr := responder.Write(buffer[:count]); writeErr != nil {
				return callerError{writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (fl *flow) begin(responder Responder, reply *Reply) {
	if fl.begun {
		return
	}
	fl.begun = true
	responder.Begin(reply)
}

// relayEvents passes on whole events only, as they come.
func (f *Forwarder) relayEvents(flow *flow, reply *Reply, responder Responder, change *switchover) error {
	first, gap := f.gapLimits(flow)
	if gap > 0 {
		change.after(first, errSilent)
	}
	reader := eventReader{body: reply.Body, buffer: make([]byte, 0, relayBuffer)}
	resumed := flow.begun
	for {
		events, err := reader.next()
		if gap > 0 && err == nil {
			change.after(gap, errSilent)
		}
		flow.pauses.event(len(events) > 0, time.Now())
		if resumed {
			events = withoutRepeated(events, flow.lastEvent)
		}
		if len(events) > 0 || errors.Is(err, io.EOF) {
			// Until its first event the answer may still come from another server.
			flow.begin(responder, reply)
		}
		if len(events) > 0 {
			if id := lastEventID(events); id != "" {
				flow.lastEvent = id
			}
			if writeErr := responder.Write(events); writeErr != nil {
				return callerError{writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// gapLimits are how long the first event and the others may take before the
// stream goes on at another server; zero if it may not.
func (f *Forwarder) gapLimits(flow *flow) (first, gap time.Duration) {
	if !f.mayRepeat(flow, 1) || flow.route.GapObjective <= 0 {
		return 0, 0
	}
	gap = gapFactor * flow.route.GapObjective
	return max(gap, flow.route.LatencyObjective), gap
}

// eventReader cuts a body into whole events.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// rest is the beginning of an event that is not whole yet.
	rest []byte
}

// next returns whole events. With io.EOF the stream is whole; a body that ends
// within an event gives io.ErrUnexpectedEOF.
func (r *eventReader) next() ([]byte, error) {
	for {
		buffer := r.buffer[:cap(r.buffer)]
		count, err := r.body.Read(buffer)
		r.rest = append(r.rest, buffer[:count]...)
		if end := eventsEnd(r.rest); end > 0 {
			events := append([]byte(nil), r.rest[:end]...)
			r.rest = append(r.rest[:0], r.rest[end:]...)
			return events, r.check(err)
		}
		if err != nil {
			return nil, r.check(err)
		}
		if len(r.rest) > longestEvent {
			return nil, errEventTooLong
		}
	}
}

func (r *eventReader) check(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.rest)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eventsEnd is the length of the whole events at the beginning of data.
func eventsEnd(data []byte) int {
	if end := bytes.LastIndex(data, []byte("\n\n")); end >= 0 {
		return end + len("\n\n")
	}
	if end := bytes.LastIndex(data, []byte("\r\n\r\n")); end >= 0 {
		return end + len("\r\n\r\n")
	}
	return 0
}

// lastEventID is the ID of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for _, line := range bytes.Split(events, []byte("\n")) {
		if found := eventID(line); found != "" {
			id = found
		}
	}
	return id
}

func eventID(line []byte) string {
	value, isID := bytes.CutPrefix(line, []byte("id:"))
	if !isID {
		return ""
	}
	return string(bytes.TrimSpace(value))
}

// withoutRepeated drops events up to the one with the ID that was passed on.
func withoutRepeated(events []byte, passed string) []byte {
	var kept []byte
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n"))
		if end < 0 {
			return append(kept, events...)
		}
		event := events[:end+2]
		events = events[end+2:]
		if id := lastEventID(event); id == "" || laterID(id, passed) {
			kept = append(kept, event...)
		}
	}
	return kept
}

// laterID compares IDs that rise, as numbers where they are.
func laterID(id, than string) bool {
	if len(id) != len(than) {
		return len(id) > len(than)
	}
	return id > than
}
