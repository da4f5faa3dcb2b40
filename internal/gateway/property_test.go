package gateway

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// script describes how the engine handles one attempt.
type script struct {
	chunks                 int
	order                  int // 0: in order, 1: sent twice, 2: reversed, 3: first one missing
	end                    int // 0: complete, 1: one chunk short, 2: fails, 3: never sent
	ran                    result.Ran
	reason                 string
	delay                  time.Duration
	lateCopy, otherAttempt bool
}

const streamLength = 5

func drawScript(t *rapid.T, index int) script {
	name := strconv.Itoa(index)
	return script{
		chunks:       rapid.IntRange(0, streamLength).Draw(t, "chunks"+name),
		order:        rapid.IntRange(0, 3).Draw(t, "order"+name),
		end:          rapid.IntRange(0, 3).Draw(t, "end"+name),
		ran:          result.Ran(rapid.IntRange(0, 2).Draw(t, "ran"+name)),
		reason:       rapid.SampledFrom([]string{"refused", "not_loaded", "busy", "leaving", "connection", "failed", "truncated"}).Draw(t, "reason"+name),
		delay:        time.Duration(rapid.IntRange(0, 400).Draw(t, "delay"+name)) * time.Millisecond,
		lateCopy:     rapid.Bool().Draw(t, "late"+name),
		otherAttempt: rapid.Bool().Draw(t, "foreign"+name),
	}
}

// refuses reports whether the attempt is refused without being run.
func (s script) refuses() bool { return s.end == 2 && s.ran == result.RanNo }

// lateRan returns the Ran of a late failure; it is RanNo only if the attempt was
// not run.
func (s script) lateRan() result.Ran {
	if s.refuses() {
		return result.RanNo
	}
	return max(s.ran, result.RanUnknown)
}

// run applies the script to one attempt, and counts the attempt as run unless the
// script refuses it.
func (s script) run(h *harness, call *engineCall, runs map[string]int) {
	refused := s.refuses()
	if !refused {
		runs[call.request.RequestID]++
	}
	h.loop.AfterFunc(s.delay, func() {
		if !refused {
			s.send(call)
		}
		if s.otherAttempt {
			call.sink.Chunk(outside.Chunk{Attempt: "foreign", Index: call.request.ResumeFrom, Text: "wrong"})
			call.sink.End(outside.GenerateEnd{Attempt: "foreign"})
		}
		s.finish(call)
		if s.lateCopy {
			h.loop.AfterFunc(50*time.Millisecond, func() {
				s.send(call)
				call.fail(s.lateRan(), s.reason)
				call.end(streamLength)
			})
		}
	})
}

func (s script) send(call *engineCall) {
	from, to := call.request.ResumeFrom, max(s.chunks, call.request.ResumeFrom)
	if s.end == 0 {
		to = streamLength
	}
	switch s.order {
	case 0:
		call.chunks(from, to)
	case 1:
		call.chunks(from, to)
		call.chunks(from, to)
	case 2:
		for index := to - 1; index >= from; index-- {
			call.chunks(index, index+1)
		}
	case 3:
		call.chunks(from+1, to)
	}
}

func (s script) finish(call *engineCall) {
	switch s.end {
	case 0:
		call.end(streamLength)
	case 1:
		call.end(s.chunks + 1)
	case 2:
		call.fail(s.ran, s.reason)
	}
}

// TestOneAnswer submits requests to engines that fail at random, and checks that
// each gets exactly one final answer before its deadline, chunks in order and of
// its latest attempt only, no second run if it is not repeatable, and no refusal
// as not run if it ran.
func TestOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.Uint64().Draw(t, "seed"), Limits{Shards: 2, QueueLength: 4})
		scripts := make([]script, rapid.IntRange(1, 8).Draw(t, "scripts"))
		for index := range scripts {
			scripts[index] = drawScript(t, index)
		}
		runs := map[string]int{}
		h.engines.serve = func(call *engineCall) { scripts[(len(h.engines.calls)-1)%len(scripts)].run(h, call, runs) }
		h.claims.delay = time.Duration(rapid.IntRange(0, 700).Draw(t, "claimDelay")) * time.Millisecond
		h.loop.AfterFunc(time.Duration(rapid.IntRange(0, 900).Draw(t, "warmAt"))*time.Millisecond, func() { h.warm(2, "s1", "s2", "s3") })
		submitted := submitRandom(t, h)
		h.loop.RunFor(time.Minute)
		for _, request := range submitted {
			request.check(t, runs)
		}
		if open := h.gateway.Stats().Open; open != 0 {
			t.Fatalf("%d work items left open", open)
		}
		checkReservations(t, h)
	})
}

// submittedRequest is a request with its recorded answer.
type submittedRequest struct {
	request Request
	caller  *caller
}

func submitRandom(t *rapid.T, h *harness) []*submittedRequest {
	var submitted []*submittedRequest
	for index := range rapid.IntRange(1, 12).Draw(t, "requests") {
		name := strconv.Itoa(index)
		at := time.Duration(rapid.IntRange(0, 500).Draw(t, "at"+name)) * time.Millisecond
		span := time.Duration(rapid.IntRange(1, 1500).Draw(t, "limit"+name)) * time.Millisecond
		cancelAt := time.Duration(rapid.IntRange(0, 4000).Draw(t, "cancel"+name)) * time.Millisecond
		repeatable := rapid.Bool().Draw(t, "repeatable"+name)
		priority := rapid.IntRange(0, 9).Draw(t, "priority"+name)
		entry := &submittedRequest{}
		submitted = append(submitted, entry)
		h.loop.AfterFunc(at, func() {
			request := h.generation(span)
			request.Repeatable, request.Key, request.Priority = repeatable, "key-"+name, priority
			entry.request = request
			caller, cancel := h.submit(request)
			entry.caller = caller
			h.loop.AfterFunc(cancelAt, cancel)
		})
	}
	return submitted
}

func (s *submittedRequest) check(t *rapid.T, runs map[string]int) {
	if s.caller.finals != 1 {
		t.Fatalf("request %s got %d final answers", s.request.ID, s.caller.finals)
	}
	if !s.caller.finalAt.Before(s.request.Deadline) {
		t.Fatalf("request %s was answered at its deadline or later", s.request.ID)
	}
	for index, chunk := range s.caller.chunks {
		if chunk.Index != index || chunk.Text != strconv.Itoa(index) {
			t.Fatalf("request %s: chunk %d is %+v", s.request.ID, index, chunk)
		}
	}
	if s.caller.answer != nil && len(s.caller.chunks) != s.caller.answer.End.Chunks {
		t.Fatalf("request %s was finished with %d of %d chunks", s.request.ID, len(s.caller.chunks), s.caller.answer.End.Chunks)
	}
	if s.caller.stale > 0 {
		t.Fatalf("request %s got %d chunks of a replaced attempt", s.request.ID, s.caller.stale)
	}
	ran := runs[s.request.ID]
	if s.caller.refusal != nil && s.caller.refusal.Ran == result.RanNo && ran > 0 {
		t.Fatalf("request %s was refused as not run but ran %d times: %v", s.request.ID, ran, s.caller.refusal)
	}
	if !s.request.Repeatable && ran > 1 {
		t.Fatalf("request %s is not repeatable and ran %d times", s.request.ID, ran)
	}
}

// checkReservations fails if requests are left in a group or a reservation at an
// endpoint was not released.
func checkReservations(t *rapid.T, h *harness) {
	for _, group := range h.gateway.Stats().Groups {
		t.Fatalf("group %+v is not empty", group)
	}
	if capacity := h.gateway.config.Router.Capacity(testModel); capacity.InFlight != 0 {
		t.Fatalf("%d reservations at endpoints were not released", capacity.InFlight)
	}
}
