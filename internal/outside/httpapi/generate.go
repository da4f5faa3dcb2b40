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

var errCancelled = errors.New("cancelled by the caller")

// maxDrainBytes are read after the end of a stream so that its connection can
// be used again.
const maxDrainBytes = 4 << 10

// generation is one attempt in progress. It runs on a goroutine of its own,
// which makes all calls of the sink.
type generation struct {
	engines *Engines
	request outside.GenerateRequest
	sink    outside.GenerateSink
	attempt attempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// Generate implements outside.EngineService. Cancel asks the engine to cancel
// and waits for its word on the attempt; without one, it closes the connection.
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

// cancelAtEngine asks the engine to cancel the attempt. The stream then ends
// with the engine's word; if the engine does not know the attempt, or the word
// does not come, the connection is closed.
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
	stopDeadline := g.armDeadline()
	defer stopDeadline()
	response, failure := g.send()
	if failure != nil {
		g.sink.Failed(failure)
		return
	}
	defer response.Body.Close()
	g.receive(response)
}

// armDeadline cancels the attempt at its deadline, if it has one.
func (g *generation) armDeadline() (stop func()) {
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

// send returns the response if its status is a success.
func (g *generation) send() (*http.Response, *outside.AttemptError) {
	if g.ctx.Err() != nil {
		return nil, g.attempt.unsent(reasonOf(g.ctx, reasonCancelled))
	}
	address, known := g.engines.lookup(g.request.Server)
	if !known {
		return nil, g.attempt.unsent(reasonConnection)
	}
	body, err := g.body()
	if err != nil {
		return nil, g.attempt.unsent(reasonFailed)
	}
	request, err := g.attempt.newRequest(g.ctx, http.MethodPost, "http://"+address+g.request.Path, body)
	if err != nil {
		return nil, g.attempt.unsent(reasonFailed)
	}
	setGenerateHeaders(request.Header, g.request)
	response, err := g.engines.client.Do(request)
	if err != nil {
		return nil, g.attempt.noResponse(g.ctx, err)
	}
	if failure := g.judge(response); failure != nil {
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

// judge returns the failure that a response stands for, or nil.
func (g *generation) judge(response *http.Response) *outside.AttemptError {
	if !g.attempt.matches(response) {
		return g.attempt.failed(reasonFailed)
	}
	if response.StatusCode != http.StatusOK {
		return g.attempt.unsuccessful(response)
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

// receive relays the stream to the sink until its end.
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
			g.sink.Failed(g.broken(err))
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
	// The connection can be used again only when its body was read to the end.
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
}

// broken is the failure for a stream that ended with an error.
func (g *generation) broken(err error) *outside.AttemptError {
	switch {
	case errors.Is(err, errBadFrame), errors.Is(err, errFrameTooLarge):
		return g.attempt.failed(reasonFailed)
	default:
		return g.attempt.failed(reasonOf(g.ctx, reasonTruncated))
	}
}

// streamState checks that a stream is complete and in order.
type streamState struct {
	generation *generation
	// next is the index of the chunk expected.
	next    int
	end     *outside.GenerateEnd
	failure *outside.AttemptError
}

// accept takes the next frame; nil is the done marker.
func (s *streamState) accept(frame *receivedFrame) error {
	switch {
	case frame == nil:
		return s.acceptDone()
	case frame.Problem != nil:
		s.failure = s.generation.attempt.ofProblem(*frame.Problem)
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
		s.end.Usage = frame.Usage.platformUsage()
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

func (u *StreamUsage) platformUsage() outside.Usage {
	usage := outside.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens}
	if u.PromptDetails != nil {
		usage.CachedTokens = u.PromptDetails.CachedTokens
	}
	return usage
}
