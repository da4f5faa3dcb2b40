package engine

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Reasons of outside.AttemptError.
const (
	ReasonRefused    = "refused"
	ReasonNotLoaded  = "not_loaded"
	ReasonBusy       = "busy"
	ReasonConnection = "connection"
	ReasonTimeout    = "timeout"
	ReasonTruncated  = "truncated"
	ReasonCancelled  = "cancelled"
)

// generationPhase is how far a generation has come.
type generationPhase uint8

const (
	generationQueued generationPhase = iota
	generationRunning
	generationEnded
)

// generation is one attempt at a generation.
type generation struct {
	request outside.GenerateRequest
	outbox  outbox
	replica *replica
	phase   generationPhase

	body parsedBody
	// chunks in the request's whole stream; next is the one to be sent.
	chunks, next int
	cachedTokens int
	// prefillLeft tokens are to be computed before the next chunk, and
	// prefillStep of them in the step that runs.
	prefillLeft, prefillStep int
	prefixes                 []uint64

	// truncateAt ends the stream before this chunk; -1: not at all.
	truncateAt int
	dropAnswer bool
}

// Generate starts an attempt. Sink is never called before Generate returned,
// and never again after the engine was killed; it must not block for long.
//
// A refusal is Failed with result.RanNo. Any other Failed means that the
// connection breaks without a proper end: a transport must not make a clean
// answer of it.
func (e *Engine) Generate(request outside.GenerateRequest, sink outside.GenerateSink) (cancel func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.alive {
		return func() {}
	}
	started := &generation{request: request, truncateAt: -1}
	started.outbox.sink = sink
	started.body = parseBody(request.Body)
	started.chunks = (started.body.tokens + e.config.TokensPerChunk - 1) / e.config.TokensPerChunk
	started.next = min(max(0, request.ResumeFrom), started.chunks)
	e.logGeneration(record.KindGenerationReceived, started, "")
	if refusal := e.admission(started); refusal != nil {
		e.refuse(started, refusal)
		return func() {}
	}
	e.enqueue(started)
	return e.incarnationFunc(func() { e.cancel(started) })
}

// admission returns why an attempt is not accepted, or nil; and finds its
// replica.
func (e *Engine) admission(arrived *generation) *outside.AttemptError {
	request := &arrived.request
	if e.attempts.seen(request.Attempt) {
		// This arrival does not run, but the attempt it names may have.
		return &outside.AttemptError{Ran: result.RanUnknown, Reason: ReasonRefused}
	}
	if e.happens(e.faults.Refuse) {
		return &outside.AttemptError{Reason: ReasonRefused}
	}
	if !request.Deadline.IsZero() && !e.clock.Now().Before(request.Deadline) {
		return &outside.AttemptError{Reason: ReasonTimeout}
	}
	arrived.replica = e.serving(request)
	if arrived.replica == nil {
		return &outside.AttemptError{Reason: ReasonNotLoaded}
	}
	if e.queueFull(arrived.replica) {
		return &outside.AttemptError{Reason: ReasonBusy}
	}
	return nil
}

// serving returns the ready replica that can run a request, or nil.
func (e *Engine) serving(request *outside.GenerateRequest) *replica {
	replica := e.replicaOf(request.Model)
	if replica == nil || replica.load.phase != outside.ReplicaReady {
		return nil
	}
	if request.Adapter == "" {
		if request.Version != "" && request.Version != replica.version {
			return nil
		}
		return replica
	}
	adapter := replica.adapterOf(request.Adapter)
	if adapter == nil || adapter.load.phase != outside.ReplicaReady {
		return nil
	}
	if request.Version != "" && request.Version != replica.version && request.Version != adapter.version {
		return nil
	}
	return replica
}

// queueFull reports whether a replica can take no more; requests that will
// join the batch at the next step do not count.
func (e *Engine) queueFull(replica *replica) bool {
	free := e.config.MaxBatch - len(replica.running)
	return len(replica.queue)-free >= e.config.MaxQueue
}

// refuse answers an attempt that was not accepted, after Generate returned.
func (e *Engine) refuse(refused *generation, refusal *outside.AttemptError) {
	refused.phase = generationEnded
	refusal.Attempt = refused.request.Attempt
	refusal.Load = e.hint(refused.replica)
	e.logGeneration(record.KindGenerationRefused, refused, refusal.Reason)
	e.clock.AfterFunc(0, e.incarnationFunc(func() { e.push(refused, delivery{err: refusal}) }))
}

// enqueue puts a generation behind those of its priority and above.
func (e *Engine) enqueue(queued *generation) {
	replica := queued.replica
	position := len(replica.queue)
	for position > 0 && replica.queue[position-1].request.Priority < queued.request.Priority {
		position--
	}
	replica.queue = slices.Insert(replica.queue, position, queued)
	e.beginStep(replica)
	e.noteLoad(replica)
}

// cancel ends a generation for its caller.
func (e *Engine) cancel(cancelled *generation) {
	switch cancelled.phase {
	case generationQueued:
		e.logGeneration(record.KindGenerationCancelled, cancelled, "queued")
		e.end(cancelled, &outside.AttemptError{Ran: result.RanNo, Reason: ReasonCancelled})
	case generationRunning:
		e.logGeneration(record.KindGenerationCancelled, cancelled, "running")
		e.end(cancelled, &outside.AttemptError{Ran: result.RanYes, Reason: ReasonCancelled})
	}
}

// end takes a generation off its replica and fails it.
func (e *Engine) end(ended *generation, failure *outside.AttemptError) {
	replica := ended.replica
	if ended.phase == generationRunning {
		replica.running = without(replica.running, ended)
		delete(e.generations, ended.request.Attempt)
	} else {
		replica.queue = without(replica.queue, ended)
	}
	ended.phase = generationEnded
	e.noteLoad(replica)
	failure.Attempt = ended.request.Attempt
	failure.Load = e.hint(replica)
	e.push(ended, delivery{err: failure})
}

// endGenerations ends all generations of a replica that match: what runs is
// cut off, what waits is refused.
func (e *Engine) endGenerations(replica *replica, matches func(*generation) bool, reason string) {
	for _, ended := range slices.Concat(replica.running, replica.queue) {
		switch {
		case !matches(ended):
		case ended.phase == generationRunning:
			e.logGeneration(record.KindGenerationTruncated, ended, reason)
			e.end(ended, &outside.AttemptError{Ran: result.RanUnknown, Reason: ReasonTruncated})
		default:
			e.logGeneration(record.KindGenerationRefused, ended, ReasonNotLoaded)
			e.end(ended, &outside.AttemptError{Ran: result.RanNo, Reason: ReasonNotLoaded})
		}
	}
}

// drop forgets a generation whose engine died.
func (g *generation) drop() Dropper {
	g.phase = generationEnded
	dropper, _ := g.outbox.sink.(Dropper)
	return dropper
}

// noteLoad brings the meters of a replica up to date.
func (e *Engine) noteLoad(replica *replica) {
	now := e.clock.Now()
	replica.meter.change(now, loadFigures{running: len(replica.running), queued: len(replica.queue)})
	state := usageIdle
	if len(replica.running) > 0 {
		state = usageBusy
	}
	if replica.load.phase == outside.ReplicaReady && replica.usage.state != state {
		replica.usage.change(now, state)
	}
}

// hint is the load told with an answer; it does not lag.
func (e *Engine) hint(replica *replica) outside.LoadHint {
	hint := outside.LoadHint{Leaving: e.leaving}
	if replica != nil {
		hint.Running = len(replica.running)
		hint.Queued = len(replica.queue)
	}
	return hint
}

func (e *Engine) logGeneration(kind record.Kind, generation *generation, reason string) {
	if e.config.Record == nil {
		return
	}
	request := &generation.request
	e.log(record.Event{
		Kind: kind, Reason: reason, RequestID: request.RequestID, Attempt: request.Attempt,
		Key: request.Key, Model: request.Model, Version: request.Version, Adapter: request.Adapter,
		BodyDigest: generation.body.digest, Chunks: generation.next, Deadline: request.Deadline,
	})
}

func without(generations []*generation, removed *generation) []*generation {
	position := slices.Index(generations, removed)
	if position < 0 {
		return generations
	}
	return slices.Delete(generations, position, position+1)
}

// attemptsKept is how many attempts are remembered at least.
const attemptsKept = 1 << 16

// attemptSet remembers the newest attempts, in bounded memory.
type attemptSet struct {
	newer, older map[outside.AttemptID]struct{}
}

// seen reports whether the attempt was seen before, and remembers it.
func (s *attemptSet) seen(attempt outside.AttemptID) bool {
	if _, seen := s.newer[attempt]; seen {
		return true
	}
	if _, seen := s.older[attempt]; seen {
		return true
	}
	if s.newer == nil || len(s.newer) >= attemptsKept {
		s.older = s.newer
		s.newer = map[outside.AttemptID]struct{}{}
	}
	s.newer[attempt] = struct{}{}
	return false
}

// seconds converts to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
