package engine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// countingSink counts chunks and starts the next request when its own ends.
type countingSink struct {
	chunks *int
	next   func()
}

func (s countingSink) Chunk(outside.Chunk)          { *s.chunks++ }
func (s countingSink) End(outside.GenerateEnd)      { s.next() }
func (s countingSink) Failed(*outside.AttemptError) { s.next() }

// benchmarkGenerate keeps 32 requests of 128 tokens running and reports chunks
// and loop events a second of real time.
func benchmarkGenerate(b *testing.B, tokensPerChunk int, service func(*simulation.Loop, *engine.Host, *engine.Fleet) func(outside.GenerateRequest, outside.GenerateSink)) {
	loop := simulation.NewLoop(1)
	fleet := engine.NewFleet(loop, simulation.NewNetwork(loop))
	log := record.NewStream(func(record.Event) {})
	host := fleet.Start(engine.Config{Server: "lm-1", TokensPerChunk: tokensPerChunk, Record: log})
	host.Engine.Order(outside.Order{Fence: outside.Fence{Epoch: 1}, Commands: []outside.Command{load("m", "load-m")}})
	loop.RunFor(time.Minute)
	generate := service(loop, host, fleet)
	prompt := strings.Repeat("The family asks for a place. ", 20)
	chunks, started := 0, 0
	var start func()
	start = func() {
		started++
		generate(outside.GenerateRequest{
			Server: "lm-1", Attempt: outside.AttemptID(fmt.Sprint(started)), RequestID: "r", Model: "m",
			Body: body(fmt.Sprint(prompt, started), 128),
		}, countingSink{&chunks, start})
	}
	for range 32 {
		start()
	}
	b.ReportAllocs()
	b.ResetTimer()
	executed := loop.Executed()
	for chunks < b.N {
		loop.Step()
	}
	b.ReportMetric(float64(loop.Executed()-executed)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(float64(chunks*tokensPerChunk)/b.Elapsed().Seconds(), "tokens/s")
}

func direct(_ *simulation.Loop, host *engine.Host, _ *engine.Fleet) func(outside.GenerateRequest, outside.GenerateSink) {
	return func(request outside.GenerateRequest, sink outside.GenerateSink) {
		host.Engine.Generate(request, sink)
	}
}

func overNetwork(loop *simulation.Loop, _ *engine.Host, fleet *engine.Fleet) func(outside.GenerateRequest, outside.GenerateSink) {
	client := fleet.Client(simulation.NewProcess(loop, "gateway"))
	return func(request outside.GenerateRequest, sink outside.GenerateSink) { client.Generate(request, sink) }
}

// An operation is one chunk.
func BenchmarkEngineChunk(b *testing.B)              { benchmarkGenerate(b, 1, direct) }
func BenchmarkSimulatedChunk(b *testing.B)           { benchmarkGenerate(b, 1, overNetwork) }
func BenchmarkSimulatedChunkOf16Tokens(b *testing.B) { benchmarkGenerate(b, 16, overNetwork) }

func BenchmarkState(b *testing.B) {
	loop := simulation.NewLoop(1)
	subject := engine.New(loop, rand.New(rand.NewPCG(1, 2)), engine.Config{Server: "lm-1"})
	for index := range 12 {
		name := fmt.Sprint("model-", index)
		subject.Order(outside.Order{
			Fence:    outside.Fence{Epoch: 1, Sequence: uint64(index)},
			Commands: []outside.Command{load(name, outside.AttemptID(name))},
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		subject.State(0)
	}
}
