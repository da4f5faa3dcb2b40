package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	// maxBufferedBytes is how much of a response body is read before anything is passed on, so
	// that a shorter response that breaks can be replaced by another server's.
	maxBufferedBytes = 256 << 10
	// initialBufferBytes is the first size of the buffer of such a response.
	initialBufferBytes = 512
)

// errMemoryShort ends an attempt whose response held the most of the memory for responses that are not passed
// on yet, when that was used up.
var errMemoryShort = errors.New("no memory for a response that is not passed on yet")

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
	if err != nil && errors.Is(context.Cause(ctx), errMemoryShort) {
		err = errMemoryShort
	}
	if err == nil {
		if isSuccess(reply) {
			f.tracker.recordRun(flow.pool, flow.request.AnswerTokens, target.load.atUsualSpeed(time.Since(headReceived), time.Now()))
		}
		f.reportServed(ctx, flow, target.server, reply, started)
		f.release(flow, target, &AttemptError{Reason: FailureStatus, Load: reply.Load})
		outcome := flow.outcome(result.OK, "")
		outcome.Status, outcome.Ran = reply.Status, result.RanYes
		return outcome
	}
	return f.handleBrokenResponse(ctx, flow, target, err)
}

// lacksStream reports whether a response is a success without the body of an event stream. A 204 or 205 has no body, and
// a 206 a part of one.
func lacksStream(reply *Reply) bool {
	if reply.HeadOnly {
		return false
	}
	switch reply.Status {
	case http.StatusNoContent, http.StatusResetContent, http.StatusPartialContent:
		return true
	}
	return isSuccess(reply) && !reply.Events
}

func isSuccess(reply *Reply) bool { return reply.Status >= 200 && reply.Status < minRefusalStatus }

// handleBrokenResponse decides what follows a response that broke off: nil to try another server,
// otherwise the request's outcome.
func (f *Forwarder) handleBrokenResponse(ctx context.Context, flow *flow, target *candidate, err error) *Outcome {
	f.release(flow, target, &AttemptError{Reason: FailureStatus})
	failure := &AttemptError{Reason: FailureBroken, Ran: result.RanYes, Cause: err}
	if errors.Is(err, errMemoryShort) {
		failure.Reason = FailureMemory
	}
	f.reportCrash(ctx, flow, target.server, failure)
	flow.runs++
	flow.ran = result.RanYes
	cancelled := ctx.Err() != nil && !cancelledForSwitchover(ctx) && !errors.Is(err, errMemoryShort)
	willRetry := !cancelled && f.mayRepeat(flow, 0) && flow.mayContinue()
	f.observe(Observation{Request: flow.request, Server: target.server.ID, Number: flow.attempts, Failure: failure, WillRetry: willRetry})
	if cancelled {
		return f.cancellationOutcome(ctx, flow)
	}
	target.load.mutex.Lock()
	target.load.recordBroken(err, time.Now())
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
// is read completely first, if there is memory for it.
func (f *Forwarder) relayBody(flow *flow, reply *Reply, responder Responder) error {
	account := f.memory.Open(bytebudget.ReadAhead, nil)
	defer account.Close()
	buffered, complete, err := readAhead(reply.Body, account)
	if err != nil {
		return err
	}
	flow.begin(responder, reply)
	if err := responder.Write(buffered); err != nil {
		return callerError{err}
	}
	if complete {
		return nil
	}
	account.Close()
	return copyRest(responder, reply.Body)
}

// readAhead reads up to maxBufferedBytes, or what there is memory for. complete: the body has ended.
func readAhead(body io.Reader, account *bytebudget.Account) (buffered []byte, complete bool, err error) {
	buffered = make([]byte, 0, initialBufferBytes)
	for len(buffered) < maxBufferedBytes {
		if len(buffered) == cap(buffered) {
			size := min(2*len(buffered), maxBufferedBytes)
			if !account.Resize(int64(size)) {
				break
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		count, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+count]
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, false, nil
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

// begin accepts the response, and sends its head, once per request.
func (fl *flow) begin(responder Responder, reply *Reply) {
	if fl.onAccepted != nil {
		fl.onAccepted()
	}
	if fl.headSent {
		return
	}
	fl.headSent, fl.headStatus, fl.headOfStream = true, reply.Status, reply.Events
	if reply.Events {
		fl.beginStream(fl.latestServer.Load())
	}
	reply.Until = fl.deadline.Add(deadlineMargin)
	responder.Begin(reply)
}

// relayEvents passes on the events of a stream as they come, complete events only, and only those that
// follow the ones that the caller has.
func (f *Forwarder) relayEvents(flow *flow, reply *Reply, responder Responder, sw *switchover) error {
	f.limitGap(flow, sw)
	reader, segment := newEventReader(reply.Body), flow.stream.newSegment()
	reader.account = f.memory.Open(bytebudget.Events, func() { sw.cancel(errMemoryShort) })
	defer reader.account.Close()
	for {
		blocks, err := reader.next()
		if reply.Unframed && errors.Is(err, errPartialEvent) {
			err = io.ErrUnexpectedEOF // the server may have crashed
		}
		before := segment.events
		events, orderErr := segment.acceptAll(blocks, flow.headSent)
		hasEvents := segment.events > before
		flow.gaps.record(hasEvents, time.Now())
		if orderErr == nil && errors.Is(err, io.EOF) {
			if events, orderErr = segment.end(events); orderErr == nil {
				events = append(events, reader.rest()...)
			}
		}
		reader.held = segment.heldBytes
		err = cmp.Or(orderErr, err, reader.reserve(cap(events)))
		reader.account.Pin()
		if err := flow.passOn(responder, reply, events, errors.Is(err, io.EOF)); err != nil {
			return err
		}
		reader.account.Unpin()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			segment.breakOff(reader.withinEvent())
			return err
		}
		if hasEvents {
			flow.recordPassedOn(events, time.Now())
			f.limitGap(flow, sw)
		}
	}
}

// passOn sends events. The head is sent with the first ones, or at the stream's end: until then another
// server's response can replace this one.
func (fl *flow) passOn(responder Responder, reply *Reply, events []byte, ended bool) error {
	if len(events) > 0 || ended {
		fl.begin(responder, reply)
	}
	if len(events) == 0 {
		return nil
	}
	if err := responder.Write(events); err != nil {
		return callerError{err}
	}
	return nil
}

// recordPassedOn notes that the caller got events. Comments alone don't keep it waiting.
func (fl *flow) recordPassedOn(events []byte, now time.Time) {
	if len(events) > 0 {
		fl.lastPassedOn.Store(&now)
	}
}

// limitGap limits the time until the first or next event, if another server can continue the stream.
func (f *Forwarder) limitGap(flow *flow, sw *switchover) {
	if f.mayRepeat(flow, 1) && flow.mayContinue() {
		sw.after(flow.attemptShare(time.Now()), errStreamStalled)
		return
	}
	sw.pause()
}
