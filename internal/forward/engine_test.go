package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// simulatedEngine runs requests as a model server does: in its slots, first come first served, one
// token of each stream per step. Prompts are processed in chunks between the steps.
type simulatedEngine struct {
	slots int
	// step is the usual time of a decoding step, tokenTime that of a prompt's token.
	step, tokenTime time.Duration
	// slowdown multiplies the time of all work; nil: 1. reports: it is in the reported load.
	slowdown func(now time.Time) float64
	reports  bool

	mutex            sync.Mutex
	waiting, running []*engineRequest
	wake             chan struct{}
	peak             int
}

type engineRequest struct {
	prompt, answer, prefilled, generated int
	ctx                                  context.Context
	events                               chan Load
}

const (
	tokensPerEvent = 8
	// chunkTokens is the part of a prompt that is processed between two steps.
	chunkTokens = 2048
)

func newEngine(slots int) *simulatedEngine {
	return &simulatedEngine{slots: slots, step: 5 * time.Millisecond, tokenTime: 26 * time.Microsecond, wake: make(chan struct{}, 1)}
}

// slowedTo slows the engine by the factor and, for a sixth of each 600 ms, 2.5 times more.
func (e *simulatedEngine) slowedTo(factor float64, phase time.Duration) *simulatedEngine {
	e.reports = true
	e.slowdown = func(now time.Time) float64 {
		if time.Duration(now.UnixNano()+int64(phase))%(600*time.Millisecond) < 100*time.Millisecond {
			return 2.5 * factor
		}
		return factor
	}
	return e
}

func (e *simulatedEngine) slowdownNow() float64 {
	if e.slowdown == nil {
		return 1
	}
	return e.slowdown(time.Now())
}

func (e *simulatedEngine) load() Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loadLocked()
}

func (e *simulatedEngine) loadLocked() Load {
	load := Load{Reported: true, Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
	if e.reports {
		load.Slowdown = e.slowdownNow()
	}
	return load
}

// run works until ctx ends.
func (e *simulatedEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		if took := e.plan(); took > 0 {
			time.Sleep(took)
			e.generate()
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		}
	}
}

// plan fills the slots, takes the next chunk of prompts and returns the time of the step; zero
// without work.
func (e *simulatedEngine) plan() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	gone := func(request *engineRequest) bool { return request.ctx.Err() != nil }
	e.waiting, e.running = slices.DeleteFunc(e.waiting, gone), slices.DeleteFunc(e.running, gone)
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	if len(e.running) == 0 {
		return 0
	}
	left := chunkTokens
	for _, request := range e.running {
		taken := min(left, request.prompt-request.prefilled)
		request.prefilled += taken
		left -= taken
	}
	usual := e.step + time.Duration(chunkTokens-left)*e.tokenTime
	return time.Duration(float64(usual) * e.slowdownNow())
}

// generate gives each stream its next token.
func (e *simulatedEngine) generate() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	load := e.loadLocked()
	e.running = slices.DeleteFunc(e.running, func(request *engineRequest) bool {
		if request.prefilled < request.prompt {
			return false
		}
		request.generated++
		ended := request.generated >= request.answer
		if request.generated%tokensPerEvent == 1 || ended {
			request.events <- load
		}
		if ended {
			close(request.events)
		}
		return ended
	})
}

func (e *simulatedEngine) answer(ctx context.Context, attempt Attempt) (*Reply, error) {
	request := &engineRequest{prompt: attempt.Request.PromptTokens, answer: attempt.Request.AnswerTokens, ctx: ctx}
	request.events = make(chan Load, request.answer+1)
	e.mutex.Lock()
	e.waiting = append(e.waiting, request)
	e.peak = max(e.peak, len(e.waiting)+len(e.running))
	e.mutex.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case load := <-request.events:
		return &Reply{Status: 200, Events: true, Load: load, Body: &engineBody{request: request, first: true}}, nil
	case <-ctx.Done():
		return nil, &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown, Cause: ctx.Err()}
	}
}

// engineBody is the event stream of a request.
type engineBody struct {
	request *engineRequest
	first   bool
	// sent is the number of events so far.
	sent int
}

func (b *engineBody) Read(buffer []byte) (int, error) {
	if b.first {
		b.first = false
		return b.event(buffer), nil
	}
	select {
	case _, open := <-b.request.events:
		if !open {
			return 0, io.EOF
		}
		return b.event(buffer), nil
	case <-b.request.ctx.Done():
		return 0, errors.New("cancelled")
	}
}

func (b *engineBody) event(buffer []byte) int {
	b.sent++
	return copy(buffer, fmt.Sprintf("id: %d\ndata: x\n\n", b.sent))
}

func (b *engineBody) Close() error { return nil }
