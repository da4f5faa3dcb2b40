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

// keptBufferBytes is the largest buffer kept between two writes of a stream.
const keptBufferBytes = 64 << 10

// armedShare of the write timeout may have passed before the deadline of an
// HTTP/1 connection is set anew.
const armedShare = 4

// longPast is a deadline that ends a write in progress.
var longPast = time.Unix(1, 0)

// serveGeneration returns the handler of one of the generating paths.
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

// callableRow finds a row of the caller's tenant. Rows of other tenants are as
// unknown as rows that don't exist.
func (a *API) callableRow(c *call, name string) (table.Row, bool) {
	row, known := a.config.Table.Row(name)
	if !known || row.Tenant != c.principal.Tenant {
		return table.Row{}, false
	}
	return row, true
}

// collect sends the answer as one document.
func (a *API) collect(c *call, kind generationKind, request gateway.Request) {
	responder := newCollectResponder(a.config.Limits.AnswerBytes)
	cancel := a.config.Gateway.Submit(request, responder)
	last, gone := awaitEnding(c, responder.ended)
	if gone {
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

// awaitEnding waits for the ending or for the caller to go away.
func awaitEnding(c *call, ended <-chan ending) (last ending, gone bool) {
	select {
	case last = <-ended:
		return last, false
	case <-c.request.Context().Done():
		return ending{}, true
	}
}

// stream sends the answer as server-sent events.
func (a *API) stream(c *call, kind generationKind, request gateway.Request, withUsage bool) {
	connection := http.NewResponseController(c.writer)
	encoder := newEventEncoder(kind, c.id, request.Model, request.Accepted)
	interrupt := func() { _ = connection.SetWriteDeadline(longPast) }
	responder := newStreamResponder(encoder, a.config.Limits.StreamBufferBytes, interrupt)
	defer responder.close()
	cancel := a.config.Gateway.Submit(request, responder)
	relay := streamRelay{api: a, call: c, connection: connection, responder: responder, withUsage: withUsage}
	if !relay.run() {
		cancel()
	}
}

// streamRelay writes what a responder receives to the caller.
type streamRelay struct {
	api        *API
	call       *call
	connection *http.ResponseController
	responder  *streamResponder
	withUsage  bool
	// armed is when the write deadline was last set.
	armed   time.Time
	written int
}

// run relays until the end and reports whether the gateway needs no cancel.
func (r *streamRelay) run() bool {
	var empty []byte
	for {
		select {
		case <-r.call.request.Context().Done():
			r.call.outcome = result.CallerGone
			return false
		case <-r.responder.signal:
		}
		next := r.responder.take(empty, r.arm)
		if next.overflow {
			r.giveUp()
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
		empty = reusable(next.events)
	}
}

// giveUp ends a stream whose buffer is full. Once the headers are out, the
// missing end of the body tells the caller that the answer is not complete.
func (r *streamRelay) giveUp() {
	refusal := result.Refuse(result.CallerTooSlow, "more of the answer waited to be read than the node keeps")
	refusal.Ran = result.RanUnknown
	r.call.outcome = refusal.Code
	if !r.call.committed {
		r.api.extendWrite(r.call)
		r.call.refuse(refusal)
	}
}

// arm sets the deadline of the next write. On HTTP/1 it concerns only writes
// and is not set more often than needed; on HTTP/2 it ends the stream at its
// time, write or not, so it is set for each write and taken back by disarm.
func (r *streamRelay) arm() {
	now := time.Now()
	timeout := r.api.config.Limits.WriteTimeout
	if !r.deadlineEndsStream() && now.Sub(r.armed) < timeout/armedShare {
		return
	}
	r.armed = now
	// Not every writer has deadlines; the buffer's limit holds for all.
	_ = r.connection.SetWriteDeadline(now.Add(timeout))
}

// disarm takes the deadline back after a write. The responder's mutex keeps an
// interrupt from being undone.
func (r *streamRelay) disarm() {
	if r.deadlineEndsStream() {
		r.responder.unlessOverflow(func() { _ = r.connection.SetWriteDeadline(time.Time{}) })
	}
}

func (r *streamRelay) deadlineEndsStream() bool { return r.call.request.ProtoMajor >= 2 }

func (r *streamRelay) countChunks(chunks int) {
	if r.written == 0 && chunks > 0 {
		r.api.metrics.FirstChunk.Observe(r.api.config.Clock.Now().Sub(r.call.arrived).Seconds())
	}
	r.api.metrics.Chunks.Add(float64(chunks - r.written))
	r.written = chunks
}

// writeEnd writes the last events and reports whether the stream was complete.
func (r *streamRelay) writeEnd(next taken) bool {
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

// write sends events at once, after the headers if they were not sent yet.
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
	r.disarm()
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

func reusable(buffer []byte) []byte {
	if cap(buffer) > keptBufferBytes {
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

// extendWrite bounds the time to send a whole answer.
func (a *API) extendWrite(c *call) {
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now().Add(a.config.Limits.WriteTimeout))
}
