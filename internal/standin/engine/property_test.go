package engine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// drawCommand draws any command over few models, adapters and attempts.
func drawCommand(t *rapid.T) outside.Command {
	return outside.Command{
		Kind:        outside.CommandKind(rapid.IntRange(0, 4).Draw(t, "kind")),
		Model:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model"),
		Adapter:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "adapter"),
		Attempt:     outside.AttemptID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "attempt"))),
		MemoryBytes: rapid.Int64Range(0, 40).Draw(t, "memory") * gigabyte,
		WeightBytes: rapid.Int64Range(0, 10).Draw(t, "weights") * gigabyte,
		Role:        engine.RoleDecode,
	}
}

// held adds up the memory that a state's replicas and adapters hold.
func held(state outside.EngineState) int64 {
	var bytes int64
	for _, replica := range state.Replicas {
		if replica.Phase != outside.ReplicaFailed {
			bytes += replica.MemoryBytes
		}
		for _, adapter := range replica.Adapters {
			if adapter.Phase != outside.ReplicaFailed {
				bytes += adapter.MemoryBytes
			}
		}
	}
	return bytes
}

var _ = Describe("properties", func() {
	It("accounts memory exactly, keeps the fence monotone, and ignores lower fences", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			b := newBench(nil)
			b.engine.SetFaults(engine.Faults{LoadFailure: 0.3})
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				before := b.state()
				order := outside.Order{
					Fence:    outside.Fence{Epoch: rapid.Uint64Range(0, 4).Draw(t, "epoch"), Sequence: rapid.Uint64Range(0, 20).Draw(t, "sequence")},
					Commands: []outside.Command{drawCommand(t), drawCommand(t)},
				}
				result := b.engine.Order(order)
				g.Expect(result.Accepted).To(Equal(before.Fence.Less(order.Fence)))
				if !result.Accepted {
					g.Expect(result.State).To(Equal(before))
				}
				g.Expect(result.State.Fence.Less(before.Fence)).To(BeFalse())
				b.loop.RunFor(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
				state := b.state()
				g.Expect(state.UsedBytes).To(Equal(held(state)))
			}
			checkMemoryEvents(g, b.log.Events())
		})
	})

	It("streams exactly the expected text whatever is cancelled, resumed or repeated", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			b := loaded(func(config *engine.Config) {
				config.TokensPerChunk = rapid.IntRange(1, 4).Draw(t, "tokens a chunk")
				config.MaxBatch = rapid.IntRange(1, 4).Draw(t, "batch")
			})
			b.engine.SetFaults(engine.Faults{TruncateStream: 0.3})
			for attempt := range rapid.IntRange(1, 12).Draw(t, "requests") {
				request := body(fmt.Sprint(attempt%3), rapid.IntRange(1, 50).Draw(t, "tokens"))
				sink, cancel := b.generate(fmt.Sprint(attempt), request, nil)
				b.loop.RunFor(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
				if rapid.Bool().Draw(t, "cancel") {
					cancel()
				}
				b.loop.RunFor(time.Minute)
				g.Expect(sink.ended()).To(BeTrue())
				received := sink.text.String()
				g.Expect(engine.ExpectedText("", request)).To(HavePrefix(received))
				if sink.end != nil {
					g.Expect(received).To(Equal(engine.ExpectedText("", request)))
				}
				if sink.failure != nil && len(sink.indexes) > 0 {
					rest, _ := b.generate(fmt.Sprint("again-", attempt), request, func(r *outside.GenerateRequest) { r.ResumeFrom = len(sink.indexes) })
					b.loop.RunFor(time.Minute)
					g.Expect(engine.ExpectedText("", request)).To(HavePrefix(received + rest.text.String()))
				}
			}
		})
	})
})

// checkMemoryEvents checks that recorded memory is never negative and that an
// overcommit is flagged exactly when it is one.
func checkMemoryEvents(g *WithT, events []record.Event) {
	for _, event := range events {
		if event.Kind == record.KindMemory {
			g.Expect(event.UsedBytes).To(BeNumerically(">=", 0))
			g.Expect(event.Overcommitted).To(Equal(event.UsedBytes > event.CapacityBytes))
		}
	}
}
