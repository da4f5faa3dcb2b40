package engine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

const gigabyte = 1_000_000_000

// bench is one engine on a loop of its own.
type bench struct {
	loop   *simulation.Loop
	engine *engine.Engine
	log    *record.Log
	fence  outside.Fence
}

func newBench(change func(*engine.Config)) *bench {
	loop := simulation.NewLoop(1)
	log := record.NewLog()
	config := engine.Config{Server: "lm-1", MemoryBytes: 100 * gigabyte, Accelerators: 4, Record: log}
	if change != nil {
		change(&config)
	}
	return &bench{loop: loop, log: log, engine: engine.New(loop, rand.New(rand.NewPCG(1, 2)), config)}
}

// order applies commands with the next fence.
func (b *bench) order(commands ...outside.Command) outside.OrderResult {
	b.fence.Sequence++
	return b.engine.Order(outside.Order{Server: "lm-1", Fence: b.fence, Commands: commands})
}

func (b *bench) state() outside.EngineState { return *b.engine.State(0) }

// loaded returns a bench with model "m" ready.
func loaded(change func(*engine.Config)) *bench {
	b := newBench(change)
	b.order(load("m", "load-m"))
	b.loop.RunFor(time.Minute)
	return b
}

func load(model string, attempt outside.AttemptID) outside.Command {
	return outside.Command{
		Kind: outside.CommandLoadModel, Model: model, Version: "1", Attempt: attempt,
		MemoryBytes: 20 * gigabyte, WeightBytes: 10 * gigabyte,
	}
}

func unload(model string, attempt outside.AttemptID) outside.Command {
	return outside.Command{Kind: outside.CommandUnloadModel, Model: model, Attempt: attempt}
}

func loadAdapter(model, adapter string, attempt outside.AttemptID) outside.Command {
	return outside.Command{
		Kind: outside.CommandLoadAdapter, Model: model, Adapter: adapter, Version: "1", Attempt: attempt,
		MemoryBytes: gigabyte, WeightBytes: gigabyte / 10,
	}
}

func body(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
}

// generate starts a generation and returns what its sink collects.
func (b *bench) generate(id string, body []byte, change func(*outside.GenerateRequest)) (*collector, func()) {
	request := outside.GenerateRequest{
		Server: "lm-1", Attempt: outside.AttemptID(id), RequestID: "request-" + id,
		Model: "m", Path: "/v1/chat/completions", Body: body,
	}
	if change != nil {
		change(&request)
	}
	sink := &collector{loop: b.loop}
	cancel := b.engine.Generate(request, sink)
	return sink, cancel
}

// collector is a sink that checks the contract of outside.GenerateSink.
type collector struct {
	loop    *simulation.Loop
	text    strings.Builder
	indexes []int
	end     *outside.GenerateEnd
	failure *outside.AttemptError
	firstAt time.Time
	endedAt time.Time
	dropped bool
	// cancel, if set, is called inside each Chunk; inside tells that one runs.
	cancel func()
	inside bool
}

func (c *collector) Chunk(chunk outside.Chunk) {
	Expect(c.ended()).To(BeFalse(), "chunk after the end")
	Expect(c.inside).To(BeFalse(), "calls overlap")
	if c.cancel != nil {
		c.inside = true
		c.cancel()
		c.inside = false
	}
	if len(c.indexes) == 0 {
		c.firstAt = c.loop.Now()
	}
	c.text.WriteString(chunk.Text)
	c.indexes = append(c.indexes, chunk.Index)
}

func (c *collector) End(end outside.GenerateEnd) {
	Expect(c.ended()).To(BeFalse(), "second end")
	c.end, c.endedAt = &end, c.loop.Now()
}

func (c *collector) Failed(err *outside.AttemptError) {
	Expect(c.inside).To(BeFalse(), "calls overlap")
	Expect(c.ended()).To(BeFalse(), "second end")
	c.failure, c.endedAt = err, c.loop.Now()
}

func (c *collector) Dropped() { c.dropped = true }

func (c *collector) ended() bool { return c.end != nil || c.failure != nil }
