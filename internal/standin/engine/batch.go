package engine

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// beginStep lets waiting requests join a replica's batch and runs one step of
// it, unless a step runs already or there is nothing to do.
func (e *Engine) beginStep(replica *replica) {
	if replica.stepping || e.faults.Hang || replica.load.phase != outside.ReplicaReady {
		return
	}
	e.fillBatch(replica)
	if len(replica.running) == 0 {
		return
	}
	replica.stepping = true
	if replica.onStep == nil {
		replica.onStep = e.incarnationFunc(func() { e.endStep(replica) })
	}
	replica.stepTimer = e.clock.AfterFunc(e.planStep(replica), replica.onStep)
}

// fillBatch moves requests from the queue to the batch.
func (e *Engine) fillBatch(replica *replica) {
	now := e.clock.Now()
	for len(replica.running) < e.config.MaxBatch && len(replica.queue) > 0 {
		next := replica.queue[0]
		deadline := next.request.Deadline
		if !deadline.IsZero() && !now.Before(deadline) {
			e.logGeneration(record.KindGenerationRefused, next, ReasonTimeout)
			e.end(next, &outside.AttemptError{Ran: result.RanNo, Reason: ReasonTimeout})
			continue
		}
		replica.queue = slices.Delete(replica.queue, 0, 1)
		e.startRunning(next)
	}
}

// startRunning puts a generation into the batch.
func (e *Engine) startRunning(started *generation) {
	replica := started.replica
	started.phase = generationRunning
	replica.running = append(replica.running, started)
	e.generations[started.request.Attempt] = started
	e.logGeneration(record.KindGenerationStarted, started, "")
	e.planPrefill(started)
	if e.happens(e.faults.TruncateStream) {
		started.truncateAt = started.next + e.random.IntN(max(1, started.chunks-started.next))
	}
	started.dropAnswer = e.happens(e.faults.DropAnswer)
}

// planPrefill sets how many tokens must be computed before the first chunk: the
// prompt and what was generated before a resumption, less what an imported KV
// cache or the prefix cache holds.
func (e *Engine) planPrefill(started *generation) {
	resumed := started.next * e.config.TokensPerChunk
	if imported, found := e.takeImport(started); found {
		started.cachedTokens = started.body.promptTokens()
		started.prefillLeft = max(0, started.next-imported.Chunks) * e.config.TokensPerChunk
		return
	}
	blockTokens := e.config.PrefixBlockTokens
	started.prefixes = PrefixHashes(started.request.Adapter, started.body.prompt, blockTokens)
	started.cachedTokens = started.replica.prefixes.match(started.prefixes) * blockTokens
	started.prefillLeft = max(0, started.body.promptTokens()-started.cachedTokens) + resumed
}

// planStep shares the step's prefill budget out and returns how long the step
// takes.
func (e *Engine) planStep(replica *replica) time.Duration {
	budget := e.config.PrefillBudget
	for _, generation := range replica.running {
		generation.prefillStep = min(generation.prefillLeft, budget)
		budget -= generation.prefillStep
	}
	prefilled := float64(e.config.PrefillBudget - budget)
	accelerators := replica.usage.accelerators
	weightBytes := float64(replica.load.weightBytes)
	decode := e.config.StepOverhead + time.Duration(len(replica.running))*e.config.StepPerSequence
	decode += seconds(weightBytes / (e.config.AcceleratorBytesPerSecond * accelerators))
	// Two operations a parameter and token, with two bytes a parameter: one
	// operation a byte of weights and token.
	prefill := seconds(prefilled * weightBytes / (e.config.AcceleratorOperationsPerSecond * accelerators))
	step := time.Duration(e.config.TokensPerChunk)*decode + prefill
	return time.Duration(float64(step) * max(1, e.faults.SlowDown))
}

// endStep emits what a step computed and begins the next.
func (e *Engine) endStep(replica *replica) {
	if !replica.stepping {
		return
	}
	replica.stepping = false
	if e.faults.Hang {
		return
	}
	kept := replica.running[:0]
	for _, generation := range replica.running {
		e.advance(generation)
		if generation.phase == generationRunning {
			kept = append(kept, generation)
		}
	}
	clear(replica.running[len(kept):])
	finished := len(kept) < len(replica.running)
	replica.running = kept
	waiting := len(replica.queue)
	e.beginStep(replica)
	if finished || len(replica.queue) != waiting {
		e.noteLoad(replica)
	}
}

// advance accounts one step of a generation.
func (e *Engine) advance(generation *generation) {
	if generation.prefillLeft > 0 {
		generation.prefillLeft -= generation.prefillStep
		generation.prefillStep = 0
		if generation.prefillLeft > 0 {
			return
		}
	}
	if generation.prefixes != nil {
		generation.replica.prefixes.store(generation.prefixes)
		generation.prefixes = nil
	}
	if generation.next == generation.truncateAt {
		e.breakOff(generation, ReasonTruncated)
		return
	}
	if generation.next < generation.chunks {
		e.emit(generation)
	}
	if generation.next >= generation.chunks {
		e.complete(generation)
	}
}

// emit sends the next chunk.
func (e *Engine) emit(generation *generation) {
	from := generation.next * e.config.TokensPerChunk
	to := min(from+e.config.TokensPerChunk, generation.body.tokens)
	chunk := outside.Chunk{
		Attempt: generation.request.Attempt, Index: generation.next,
		Text: textOf(generation.body.digest, from, to), Tokens: to - from,
	}
	generation.next++
	if generation.dropAnswer {
		return
	}
	e.push(generation, delivery{chunk: chunk})
	if e.happens(e.faults.DuplicateChunk) {
		e.push(generation, delivery{chunk: chunk})
	}
}

// complete ends a generation's stream properly.
func (e *Engine) complete(generation *generation) {
	if generation.dropAnswer {
		e.breakOff(generation, "answer_dropped")
		return
	}
	generation.phase = generationEnded
	delete(e.generations, generation.request.Attempt)
	e.logGeneration(record.KindGenerationCompleted, generation, "")
	hint := e.hint(generation.replica)
	hint.Running = max(0, hint.Running-1)
	e.push(generation, delivery{end: &outside.GenerateEnd{
		Attempt: generation.request.Attempt, Chunks: generation.chunks, FinishReason: "length", Load: hint,
		Usage: outside.Usage{
			PromptTokens:     generation.body.promptTokens(),
			CompletionTokens: generation.body.tokens,
			CachedTokens:     generation.cachedTokens,
		},
	}})
}

// breakOff ends a running generation's stream without its end. The caller
// takes it out of the batch.
func (e *Engine) breakOff(generation *generation, reason string) {
	generation.phase = generationEnded
	delete(e.generations, generation.request.Attempt)
	e.logGeneration(record.KindGenerationTruncated, generation, reason)
	e.push(generation, delivery{err: &outside.AttemptError{
		Attempt: generation.request.Attempt, Ran: result.RanUnknown,
		Reason: ReasonTruncated, Load: e.hint(generation.replica),
	}})
}
