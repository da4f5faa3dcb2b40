package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

var errCancelled = errors.New("generation cancelled by the caller")

// maxDrainBytes is the maximum number of bytes read after the end of a stream so that its
// connection can be reused.
const maxDrainBytes = 4 << 10

// generation is one attempt in progress. It runs on its own goroutine, which makes all calls
// of the sink.
type generation struct {
	engines *Engines
	request outside.GenerateRequest
	sink    outside.GenerateSink
	attempt attempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// Generate implements outside.EngineService. Cancel asks the engine to cancel the attempt and
// leaves the stream open for the engine's final frame; if none arrives within CancelTimeout,
// the connection is closed.
func (e *Engines) Generate(request outside.GenerateRequest, sink outside.GenerateSink) (cancel func()) {
	ctx, cancelCause := context.WithCancelCause(context.Background())
	current := &generation{
		engines: e, request: request, sink: sink,
		attempt: attempt{id: request.Attempt},
		ctx:     ctx, cancel: cancelCause,
	}
	go current.run()
	var once sync.Once
	return func() { once.Do(func() { go current.cancelAtEngine() }) }
}

// cancelAtEngine asks the engine to cancel the attempt. The engine then ends the stream with
// a final frame. The connection is closed if the request fails, the engine does not find the
// attempt, or the stream does not end within CancelTimeout.
func (g *generation) cancelAtEngine() {
	if g.ctx.Err() != nil {
		return
	}
	if !g.engines.postCancel(g.request.Server, g.attempt.id) {
		g.cancel(errCancelled)
		return
	}
	timer := time.AfterFunc(g.engines.options.CancelTimeout, func() { g.cancel(errCancelled) })
	context.AfterFunc(g.ctx, func() { timer.Stop() })
}

func (g *generation) run() {
	defer g.cancel(nil)
	stopDeadline := g.startDeadlineTimer()
	defer stopDeadline()
	response, failure := g.send()
	if failure != nil {
		g.sink.Failed(failure)
		return
	}
	defer response.Body.Close()
	g.receive(response)
}

// startDeadlineTimer starts a timer that cancels the attempt at its deadline, if any.
func (g *generation) startDeadlineTimer() (stop func()) {
	if g.request.Deadline.IsZero() {
		return func() {}
	}
	remaining := time.Until(g.request.Deadline)
	if remaining <= 0 {
		g.cancel(context.DeadlineExceeded)
		return func() {}
	}
	timer := time.AfterFunc(remaining, func() { g.cancel(context.DeadlineExceeded) })
	return func() { timer.Stop() }
}

// send sends the request and returns the response if its status is OK.
func (g *generation) send() (*http.Response, *outside.AttemptError) {
	if g.ctx.Err() != nil {
		return nil, g.attempt.notSentFailure(reasonOf(g.ctx, reasonCancelled))
	}
	address, found := g.engines.lookup(g.request.Server)
	if !found {
		return nil, g.attempt.notSentFailure(reasonConnection)
	}
	body, err := g.body()
	if err != nil {
		return nil, g.attempt.notSentFailure(reasonFailed)
	}
	request, err := g.attempt.newRequest(g.ctx, http.MethodPost, "http://"+address+g.request.Path, body)
	if err != nil {
		return nil, g.attempt.notSentFailure(reasonFailed)
	}
	setGenerateHeaders(request.Header, g.request)
	response, err := g.engines.client.Do(request)
	if err != nil {
		return nil, g.attempt.transportFailure(g.ctx, err)
	}
	if failure := g.checkResponse(response); failure != nil {
		response.Body.Close()
		return nil, failure
	}
	return response, nil
}

func (g *generation) body() ([]byte, error) {
	if !g.engines.options.StreamInBody {
		return g.request.Body, nil
	}
	return StreamingBody(g.request.Body)
}

// checkResponse returns the attempt's error if the response belongs to another attempt or its
// status is not OK, else nil.
func (g *generation) checkResponse(response *http.Response) *outside.AttemptError {
	if !g.attempt.matches(response) {
		return g.attempt.unknownFailure(reasonFailed)
	}
	if response.StatusCode != http.StatusOK {
		return g.attempt.statusFailure(response)
	}
	return nil
}

func setGenerateHeaders(header http.Header, request outside.GenerateRequest) {
	header.Set("Content-Type", MediaJSON)
	header.Set("Accept", MediaStream)
	if !request.Deadline.IsZero() {
		header.Set(HeaderTimeLeft, FormatTimeLeft(time.Until(request.Deadline)))
	}
	header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	setHeader(header, HeaderRequest, request.RequestID)
	setHeader(header, HeaderModel, request.Model)
	setHeader(header, HeaderAdapter, request.Adapter)
	setHeader(header, HeaderVersion, request.Version)
	setHeader(header, HeaderKey, request.Key)
	if request.ResumeFrom > 0 {
		header.Set(HeaderResumeFrom, strconv.Itoa(request.ResumeFrom))
	}
}

// receive passes the stream to the sink until it ends.
func (g *generation) receive(response *http.Response) {
	reader := newFrameReader(response.Body, g.engines.options.MaxFrameBytes)
	defer reader.release()
	idle := time.AfterFunc(g.engines.options.IdleStreamTimeout, func() { g.cancel(errIdleStream) })
	defer idle.Stop()
	stream := &streamState{generation: g, next: g.request.ResumeFrom}
	for {
		frame, err := reader.next()
		idle.Reset(g.engines.options.IdleStreamTimeout)
		if err == nil {
			err = stream.accept(frame)
		}
		if err != nil {
			g.sink.Failed(g.streamFailure(err))
			return
		}
		if stream.failure != nil {
			g.sink.Failed(stream.failure)
			return
		}
		if frame == nil {
			break
		}
	}
	g.sink.End(*stream.end)
	// The connection can be reused only if the body was read to its end.
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
}

// streamFailure returns the attempt's error for an error of its stream.
func (g *generation) streamFailure(err error) *outside.AttemptError {
	switch {
	case errors.Is(err, errBadFrame), errors.Is(err, errFrameTooLarge):
		return g.attempt.unknownFailure(reasonFailed)
	default:
		return g.attempt.unknownFailure(reasonOf(g.ctx, reasonTruncated))
	}
}

// streamState checks that a stream is complete and in order.
type streamState struct {
	generation *generation
	// next is the index of the next expected chunk.
	next    int
	end     *outside.GenerateEnd
	failure *outside.AttemptError
}

// accept processes the next frame; nil is the done marker.
func (s *streamState) accept(frame *receivedFrame) error {
	switch {
	case frame == nil:
		return s.acceptDone()
	case frame.Problem != nil:
		s.failure = s.generation.attempt.problemFailure(*frame.Problem)
		return nil
	case frame.Chunks != nil:
		return s.acceptEnd(frame)
	default:
		return s.acceptChunk(frame)
	}
}

func (s *streamState) acceptChunk(frame *receivedFrame) error {
	if len(frame.Choices) != 1 {
		return errBadFrame
	}
	if frame.Index < s.next {
		return nil
	}
	if s.end != nil || frame.Index > s.next {
		return errMissingChunk
	}
	s.next++
	choice := &frame.Choices[0]
	text := choice.Text
	if text == "" {
		text = choice.Delta.Content
	}
	s.generation.sink.Chunk(outside.Chunk{
		Attempt: s.generation.attempt.id, Index: frame.Index, Text: text, Tokens: frame.Tokens,
	})
	return nil
}

func (s *streamState) acceptEnd(frame *receivedFrame) error {
	if s.end != nil || *frame.Chunks != s.next {
		return errMissingChunk
	}
	s.end = &outside.GenerateEnd{Attempt: s.generation.attempt.id, Chunks: *frame.Chunks}
	if len(frame.Choices) > 0 && frame.Choices[0].FinishReason != nil {
		s.end.FinishReason = *frame.Choices[0].FinishReason
	}
	if frame.Usage != nil {
		s.end.Usage = frame.Usage.usage()
	}
	if frame.Load != nil {
		s.end.Load = *frame.Load
	}
	return nil
}

func (s *streamState) acceptDone() error {
	if s.end == nil {
		return errTruncated
	}
	return nil
}

func (u *StreamUsage) usage() outside.Usage {
	usage := outside.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens}
	if u.PromptDetails != nil {
		usage.CachedTokens = u.PromptDetails.CachedTokens
	}
	return usage
}
