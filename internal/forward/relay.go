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
	// maxBufferedBytes is how much of a response body is read before anything is passed on, so
	// that a shorter response that breaks can be replaced by another server's.
	maxBufferedBytes = 256 << 10
	// maxEventBytes is the longest event of a stream; a longer one breaks the stream.
	maxEventBytes = 1 << 20
	// gapFactor is the time without an event after which another server continues a stream,
	// if one can, as a multiple of the route's gap objective.
	gapFactor        = 4
	relayBufferBytes = 4 << 10
)

// errEventTooLong breaks a stream with an event longer than maxEventBytes.
var errEventTooLong = errors.New("stream event exceeds the length limit")

// errStreamStalled cancels an attempt whose stream had no event for too long while another server
// can continue it.
var errStreamStalled = errors.New("no event within the stream's gap limit")

// relay passes a response on to the caller. It returns nil if the request goes on at another
// server.
func (f *Forwarder) relay(ctx context.Context, flow *flow, target *candidate, reply *Reply, responder Responder, sw *switchover, started time.Time) *Outcome {
	var err error
	headReceived := time.Now()
	if reply.Events {
		err = f.relayEvents(flow, reply, responder, sw)
	} else {
		err = f.relayBody(flow, reply, responder)
	}
	if err == nil {
		f.tracker.recordRunTime(flow.pool, target.load.atUsualSpeed(time.Since(headReceived), time.Now()))
		f.reportServed(ctx, flow, target.server, reply, started)
		f.release(flow, target, &AttemptError{Reason: FailureStatus, Load: reply.Load})
		outcome := flow.outcome(result.OK, "")
		outcome.Status, outcome.Ran = reply.Status, result.RanYes
		return outcome
	}
	return f.handleBrokenResponse(ctx, flow, target, err)
}

// handleBrokenResponse decides what follows a response that broke off: nil to try another server,
// otherwise the request's outcome.
func (f *Forwarder) handleBrokenResponse(ctx context.Context, flow *flow, target *candidate, err error) *Outcome {
	f.release(flow, target, &AttemptError{Reason: FailureStatus})
	failure := &AttemptError{Reason: FailureBroken, Ran: result.RanYes, Cause: err}
	f.reportCrash(ctx, flow, target.server, failure)
	flow.runs++
	flow.ran = result.RanYes
	cancelled := ctx.Err() != nil && !cancelledForSwitchover(ctx)
	willRetry := !cancelled && f.mayRepeat(flow, 0) && (!flow.headSent || flow.lastEvent != "")
	f.observe(Observation{Request: flow.request, Server: target.server.ID, Number: flow.attempts, Failure: failure, WillRetry: willRetry})
	if cancelled {
		return f.cancellationOutcome(ctx, flow)
	}
	target.load.mutex.Lock()
	target.load.recordResult(true, time.Now())
	target.load.mutex.Unlock()
	if willRetry {
		return nil
	}
	return f.giveUp(flow, "the answer broke", result.BackEndFailed)
}

// cancelledForSwitchover reports whether the attempt was cancelled because another server takes
// the request over.
func cancelledForSwitchover(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errStreamStalled) || errors.Is(cause, errAttemptTimeout)
}

// relayBody passes on a response that is no event stream. A response of less than maxBufferedBytes
// is read completely first.
func (f *Forwarder) relayBody(flow *flow, reply *Reply, responder Responder) error {
	buffered, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes))
	if err != nil {
		return err
	}
	flow.begin(responder, reply)
	if err := responder.Write(buffered); err != nil {
		return callerError{err}
	}
	if len(buffered) < maxBufferedBytes {
		return nil
	}
	return copyRest(responder, reply.Body)
}

func copyRest(responder Responder, body io.Reader) error {
	buffer := make([]byte, relayBufferBytes)
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

// begin sends the response head, once per request.
func (fl *flow) begin(responder Responder, reply *Reply) {
	if fl.headSent {
		return
	}
	fl.headSent = true
	responder.Begin(reply)
}

// relayEvents passes on the events of a stream as they come, complete events only.
func (f *Forwarder) relayEvents(flow *flow, reply *Reply, responder Responder, sw *switchover) error {
	first, gap := f.gapLimits(flow)
	if gap > 0 {
		sw.after(first, errStreamStalled)
	}
	reader := eventReader{body: reply.Body, buffer: make([]byte, 0, relayBufferBytes)}
	resumed := flow.headSent
	for {
		events, err := reader.next()
		if gap > 0 && err == nil {
			sw.after(gap, errStreamStalled)
		}
		flow.gaps.record(len(events) > 0, time.Now())
		if resumed {
			events = withoutRepeated(events, flow.lastEvent)
		}
		if len(events) > 0 || errors.Is(err, io.EOF) {
			// The head is sent with the first event: until then another server's response
			// can replace this one.
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

// gapLimits are how long the first event and each later one may take before the stream is
// continued at another server; zero if it may not be.
func (f *Forwarder) gapLimits(flow *flow) (first, gap time.Duration) {
	if !f.mayRepeat(flow, 1) || flow.route.GapObjective <= 0 {
		return 0, 0
	}
	gap = gapFactor * flow.route.GapObjective
	return max(gap, flow.route.LatencyObjective), gap
}

// eventReader splits a body into complete events.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// partial is the beginning of an event that is not complete yet, and searched the length of a
	// part of it in which no event ends.
	partial  []byte
	searched int
}

// next returns the complete events of the next reads. It returns io.EOF at the end of a complete
// stream, and io.ErrUnexpectedEOF if the body ends within an event.
func (r *eventReader) next() ([]byte, error) {
	for {
		buffer := r.buffer[:cap(r.buffer)]
		count, err := r.body.Read(buffer)
		r.partial = append(r.partial, buffer[:count]...)
		if length := completeLength(r.partial[r.searched:]); length > 0 {
			end := r.searched + length
			events := append([]byte(nil), r.partial[:end]...)
			r.partial, r.searched = append(r.partial[:0], r.partial[end:]...), 0
			return events, r.checkEnd(err)
		}
		r.searched = max(0, len(r.partial)-len("\r\n\r\n")+1)
		if err != nil {
			return nil, r.checkEnd(err)
		}
		if len(r.partial) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// checkEnd turns an io.EOF within an event into io.ErrUnexpectedEOF.
func (r *eventReader) checkEnd(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.partial)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// completeLength is the length in bytes of the complete events at the beginning of data.
func completeLength(data []byte) int {
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

// withoutRepeated drops the events up to the ID of the last one that was passed on, which a server
// may send again when it resumes a stream.
func withoutRepeated(events []byte, lastPassed string) []byte {
	var kept []byte
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n"))
		if end < 0 {
			return append(kept, events...)
		}
		event := events[:end+2]
		events = events[end+2:]
		if id := lastEventID(event); id == "" || laterID(id, lastPassed) {
			kept = append(kept, event...)
		}
	}
	return kept
}

// laterID reports whether one event ID comes after another: by length, then by bytes, which orders
// decimal numbers.
func laterID(id, than string) bool {
	if len(id) != len(than) {
		return len(id) > len(than)
	}
	return id > than
}
