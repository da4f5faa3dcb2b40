package api

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// maxReusedBufferBytes is the capacity up to which the buffer of a stream is reused after
// a write.
const maxReusedBufferBytes = 64 << 10

// deadlineRenewalDivisor sets how often the write deadline of an HTTP/1 connection is
// renewed: not before this fraction (1/n) of the write timeout has passed.
const deadlineRenewalDivisor = 4

// expiredDeadline is a write deadline in the past: setting it aborts a write in progress.
var expiredDeadline = time.Unix(1, 0)

// serveGeneration returns the handler of a generating endpoint.
func (a *API) serveGeneration(kind generationKind) func(*call) {
	return func(c *call) {
		body, refusal := a.readBody(c)
		if refusal != nil {
			c.refuse(*refusal)
			return
		}
		decoded, refusal := decodeGeneration(kind, body)
		if refusal != nil {
			c.refuse(*refusal)
			return
		}
		request, refusal := a.newGenerationRequest(c, kind, decoded, body)
		if refusal != nil {
			c.refuse(*refusal)
			return
		}
		if decoded.Stream {
			a.stream(c, kind, request, decoded.StreamOptions.IncludeUsage)
		} else {
			a.collect(c, kind, request)
		}
	}
}

func (a *API) newGenerationRequest(c *call, kind generationKind, decoded generationBody, body []byte) (gateway.Request, *result.Refusal) {
	row, known := a.callableRow(c, decoded.Model)
	if !known {
		return gateway.Request{}, refuse(result.UnknownModel, "the model %q does not exist", decoded.Model)
	}
	options, refusal := parseCallOptions(c.request.Header, orDefault(row.TimeLimit, a.config.Limits.DefaultTimeLimit), row.Priority)
	if refusal != nil {
		return gateway.Request{}, refusal
	}
	if !row.Repeatable && options.key == "" {
		return gateway.Request{}, refuse(result.KeyRequired, "the model %q needs the header %s", row.Name, headerIdempotencyKey)
	}
	return gateway.Request{
		ID:          c.id,
		Tenant:      row.Tenant,
		Model:       row.Name,
		Method:      http.MethodPost,
		Path:        kind.path(),
		ContentType: contentTypeJSON,
		Body:        body,
		Prefix:      decoded.affinityPrefix(kind),
		Priority:    options.priority,
		Accepted:    c.arrived,
		Deadline:    c.arrived.Add(options.timeLimit),
		Key:         options.key,
		Repeatable:  row.Repeatable,
	}, nil
}

// callableRow finds a row of the caller's tenant. Rows of other tenants are reported as not
// found.
func (a *API) callableRow(c *call, name string) (table.Row, bool) {
	row, known := a.config.Table.Row(name)
	if !known || row.Tenant != c.principal.Tenant {
		return table.Row{}, false
	}
	return row, true
}

// collect serves a request whose answer is sent as one document.
func (a *API) collect(c *call, kind generationKind, request gateway.Request) {
	responder := newCollectResponder(a.config.Limits.AnswerBytes)
	cancel := a.config.Gateway.Submit(request, responder)
	last, disconnected := awaitEnding(c, responder.ended)
	if disconnected {
		cancel()
		c.outcome = result.CallerGone
		return
	}
	text, chunks := responder.collected()
	if refusal := last.checkComplete(chunks); refusal != nil {
		cancel()
		c.refuse(*refusal)
		return
	}
	a.metrics.Chunks.Add(float64(chunks))
	setReplayed(c, last.answer)
	a.extendWrite(c)
	c.answer(http.StatusOK, newAnswerDocument(kind, c.id, request.Model, request.Accepted, text, last.answer.End))
}

// awaitEnding waits for the ending or until the caller disconnects.
func awaitEnding(c *call, ended <-chan ending) (last ending, disconnected bool) {
	select {
	case last = <-ended:
		return last, false
	case <-c.request.Context().Done():
		return ending{}, true
	}
}

// stream serves a request whose answer is sent as server-sent events.
func (a *API) stream(c *call, kind generationKind, request gateway.Request, withUsage bool) {
	connection := http.NewResponseController(c.writer)
	encoder := newEventEncoder(kind, c.id, request.Model, request.Accepted)
	interrupt := func() { _ = connection.SetWriteDeadline(expiredDeadline) }
	responder := newStreamResponder(encoder, a.config.Limits.StreamBufferBytes, interrupt)
	defer responder.close()
	cancel := a.config.Gateway.Submit(request, responder)
	relay := streamRelay{api: a, call: c, connection: connection, responder: responder, withUsage: withUsage}
	if !relay.run() {
		cancel()
	}
}

// streamRelay writes the events of a streamResponder to the caller.
type streamRelay struct {
	api        *API
	call       *call
	connection *http.ResponseController
	responder  *streamResponder
	withUsage  bool
	// deadlineSet is the time when the write deadline was last set.
	deadlineSet time.Time
	// countedChunks is the number of chunks added to the metrics so far.
	countedChunks int
}

// run writes events until the stream ends. It returns false if the gateway's request has to
// be cancelled.
func (r *streamRelay) run() bool {
	var empty []byte
	for {
		select {
		case <-r.call.request.Context().Done():
			r.call.outcome = result.CallerGone
			return false
		case <-r.responder.signal:
		}
		next := r.responder.takePending(empty, r.setDeadline)
		if next.overflow {
			r.abortSlowCaller()
			return false
		}
		r.countChunks(next.chunks)
		if next.ending != nil {
			return r.writeEnd(next)
		}
		if err := r.write(next.events); err != nil {
			r.call.outcome = outcomeOfWriteError(err)
			return false
		}
		empty = reusableBuffer(next.events)
	}
}

// abortSlowCaller ends a stream whose buffer has overflowed. If the headers have been sent
// already, the missing end of the body shows the caller that the answer is incomplete.
func (r *streamRelay) abortSlowCaller() {
	refusal := result.Refuse(result.CallerTooSlow, "more of the answer waited to be read than the node keeps")
	refusal.Ran = result.RanUnknown
	r.call.outcome = refusal.Code
	if !r.call.committed {
		r.api.extendWrite(r.call)
		r.call.refuse(refusal)
	}
}

// setDeadline sets the deadline of the next write. On HTTP/1 a deadline affects only writes
// and is renewed no more often than needed. On HTTP/2 it resets the stream when it expires,
// even between writes, so it is set for each write and cleared by clearDeadline.
func (r *streamRelay) setDeadline() {
	now := time.Now()
	timeout := r.api.config.Limits.WriteTimeout
	if !r.deadlineEndsStream() && now.Sub(r.deadlineSet) < timeout/deadlineRenewalDivisor {
		return
	}
	r.deadlineSet = now
	// Not every ResponseWriter supports deadlines; the buffer's limit applies to all.
	_ = r.connection.SetWriteDeadline(now.Add(timeout))
}

// clearDeadline clears the deadline after a write on HTTP/2. It does so under the
// responder's mutex, so that it can't undo the deadline set by an interrupt.
func (r *streamRelay) clearDeadline() {
	if r.deadlineEndsStream() {
		r.responder.unlessOverflow(func() { _ = r.connection.SetWriteDeadline(time.Time{}) })
	}
}

func (r *streamRelay) deadlineEndsStream() bool { return r.call.request.ProtoMajor >= 2 }

func (r *streamRelay) countChunks(chunks int) {
	if r.countedChunks == 0 && chunks > 0 {
		r.api.metrics.FirstChunk.Observe(r.api.config.Clock.Now().Sub(r.call.arrived).Seconds())
	}
	r.api.metrics.Chunks.Add(float64(chunks - r.countedChunks))
	r.countedChunks = chunks
}

// writeEnd writes the final events. It returns false if the gateway's request has to be
// cancelled.
func (r *streamRelay) writeEnd(next pendingOutput) bool {
	refusal := next.ending.checkComplete(next.chunks)
	events := next.events
	switch {
	case refusal == nil:
		setReplayed(r.call, next.ending.answer)
		events = r.responder.encoder.appendEnd(events, next.ending.answer.End, r.withUsage)
	case !r.call.committed && len(events) == 0:
		r.call.refuse(*refusal)
		return next.ending.refusal != nil
	default:
		r.call.outcome = refusal.Code
		events = appendError(events, newErrorDocument(*refusal, r.call.id))
	}
	if err := r.write(events); err != nil {
		r.call.outcome = outcomeOfWriteError(err)
	}
	return refusal == nil
}

// write sends events and flushes them; before the first events it sends the headers.
func (r *streamRelay) write(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !r.call.committed {
		r.commit()
	}
	if _, err := r.call.writer.Write(events); err != nil {
		return err
	}
	err := r.connection.Flush()
	r.clearDeadline()
	return err
}

func (r *streamRelay) commit() {
	header := r.call.writer.Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	r.call.commit()
	r.call.writer.WriteHeader(http.StatusOK)
}

func reusableBuffer(buffer []byte) []byte {
	if cap(buffer) > maxReusedBufferBytes {
		return nil
	}
	return buffer
}

func outcomeOfWriteError(err error) result.Code {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.CallerTooSlow
	}
	return result.CallerGone
}

func setReplayed(c *call, answer gateway.Answer) {
	if answer.Replayed && !c.committed {
		c.writer.Header().Set(headerReplayed, "true")
	}
}

// extendWrite sets the write deadline for a response that is sent as a whole.
func (a *API) extendWrite(c *call) {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now().Add(a.config.Limits.WriteTimeout))
}
