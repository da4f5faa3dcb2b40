package engine_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

var _ = Describe("generation", func() {
	DescribeTable("the whole text arrives", func(tokensPerChunk, tokens, resumeFrom int) {
		b := loaded(func(config *engine.Config) { config.TokensPerChunk = tokensPerChunk })
		request := body("hello", tokens)
		sink, _ := b.generate("1", request, func(r *outside.GenerateRequest) { r.ResumeFrom = resumeFrom })
		b.loop.RunFor(time.Minute)
		Expect(sink.failure).To(BeNil())
		var expected strings.Builder
		for index := resumeFrom * tokensPerChunk; index < engine.ExpectedChunks("", request); index++ {
			expected.WriteString(engine.ExpectedChunk(request, index))
		}
		Expect(sink.text.String()).To(Equal(expected.String()))
		Expect(sink.end.Chunks).To(Equal((tokens + tokensPerChunk - 1) / tokensPerChunk))
		Expect(sink.end.Chunks).To(Equal(resumeFrom + len(sink.indexes)))
	},
		Entry("one token a chunk", 1, 40, 0),
		Entry("several tokens a chunk", 8, 41, 0),
		Entry("resumed", 1, 40, 17),
		Entry("resumed with several tokens a chunk", 8, 41, 3),
		Entry("resumed at its end", 1, 40, 40),
	)

	DescribeTable("refusals prove that nothing ran", func(change func(*bench, *outside.GenerateRequest), reason string) {
		b := loaded(func(config *engine.Config) { config.MaxBatch, config.MaxQueue = 1, 1 })
		sink, _ := b.generate("1", body("hello", 4), func(r *outside.GenerateRequest) { change(b, r) })
		Expect(sink.ended()).To(BeFalse(), "called before Generate returned")
		b.loop.RunFor(time.Minute)
		Expect(sink.failure).To(HaveField("Reason", reason))
		Expect(sink.failure.Ran).To(Equal(result.RanNo))
		for _, event := range b.log.Events() {
			if event.Kind == record.KindGenerationStarted {
				Expect(event.Attempt).NotTo(BeEquivalentTo("1"))
			}
		}
	},
		Entry("unknown model", func(_ *bench, r *outside.GenerateRequest) { r.Model = "n" }, engine.ReasonNotLoaded),
		Entry("other version", func(_ *bench, r *outside.GenerateRequest) { r.Version = "2" }, engine.ReasonNotLoaded),
		Entry("unknown adapter", func(_ *bench, r *outside.GenerateRequest) { r.Adapter = "x" }, engine.ReasonNotLoaded),
		Entry("still loading", func(b *bench, r *outside.GenerateRequest) {
			b.order(load("n", "load-n"))
			r.Model = "n"
		}, engine.ReasonNotLoaded),
		Entry("unloading", func(b *bench, _ *outside.GenerateRequest) { b.order(unload("m", "load-m")) }, engine.ReasonNotLoaded),
		Entry("deadline passed", func(b *bench, r *outside.GenerateRequest) { r.Deadline = b.loop.Now() }, engine.ReasonTimeout),
		Entry("refuse fault", func(b *bench, _ *outside.GenerateRequest) { b.engine.SetFaults(engine.Faults{Refuse: 1}) }, engine.ReasonRefused),
		Entry("full queue", func(b *bench, _ *outside.GenerateRequest) {
			b.generate("a", body("a", 100), nil)
			b.generate("b", body("b", 100), nil)
		}, engine.ReasonBusy),
		Entry("deadline passes in the queue", func(b *bench, r *outside.GenerateRequest) {
			b.generate("a", body("a", 1000), nil)
			r.Deadline = b.loop.Now().Add(time.Second)
		}, engine.ReasonTimeout),
		Entry("unload while queued", func(b *bench, _ *outside.GenerateRequest) {
			b.generate("a", body("a", 1000), nil)
			b.loop.AfterFunc(time.Second, func() { b.order(unload("m", "load-m")) })
		}, engine.ReasonNotLoaded),
	)

	DescribeTable("broken streams never end as if complete", func(faults engine.Faults, later func(*bench), reason string) {
		b := loaded(nil)
		b.engine.SetFaults(faults)
		sink, _ := b.generate("1", body("hello", 200), nil)
		b.loop.RunFor(time.Second)
		later(b)
		b.loop.RunFor(time.Minute)
		Expect(sink.end).To(BeNil())
		Expect(sink.failure).To(HaveField("Ran", result.RanUnknown))
		Expect(sink.failure.Reason).To(Equal(engine.ReasonTruncated))
		Expect(len(sink.indexes)).To(BeNumerically("<", 200))
		Expect(b.log.Events()).To(ContainElement(And(
			HaveField("Kind", record.KindGenerationTruncated), HaveField("Reason", reason))))
	},
		Entry("unload while running", engine.Faults{}, func(b *bench) { b.order(unload("m", "load-m")) }, "unloaded"),
		Entry("truncate fault", engine.Faults{TruncateStream: 1}, func(*bench) {}, "truncated"),
		Entry("drop answer fault", engine.Faults{DropAnswer: 1}, func(*bench) {}, "answer_dropped"),
	)

	It("sends a chunk twice under the duplicate fault", func() {
		b := loaded(nil)
		b.engine.SetFaults(engine.Faults{DuplicateChunk: 1})
		sink, _ := b.generate("1", body("hello", 3), nil)
		b.loop.RunFor(time.Minute)
		Expect(sink.indexes).To(Equal([]int{0, 0, 1, 1, 2, 2}))
	})

	It("refuses an attempt it saw before without claiming that it did not run", func() {
		b := loaded(nil)
		b.generate("1", body("hello", 3), nil)
		again, _ := b.generate("1", body("hello", 3), nil)
		b.loop.RunFor(time.Minute)
		Expect(again.failure).To(HaveField("Reason", engine.ReasonRefused))
		Expect(again.failure.Ran).To(Equal(result.RanUnknown))
		Expect(b.log.Count(record.KindGenerationStarted)).To(BeEquivalentTo(1))
	})

	It("stands still while it hangs and goes on after", func() {
		b := loaded(nil)
		sink, _ := b.generate("1", body("hello", 100), nil)
		b.loop.RunFor(500 * time.Millisecond)
		b.engine.SetFaults(engine.Faults{Hang: true})
		Expect(b.engine.Responding()).To(BeFalse())
		seen := len(sink.indexes)
		b.loop.RunFor(time.Minute)
		Expect(sink.indexes).To(HaveLen(seen))
		b.engine.SetFaults(engine.Faults{})
		b.loop.RunFor(time.Minute)
		Expect(sink.end).NotTo(BeNil())
	})

	It("vanishes without an answer when killed", func() {
		b := loaded(nil)
		sink, cancel := b.generate("1", body("hello", 100), nil)
		b.loop.RunFor(100 * time.Millisecond)
		b.engine.Kill()
		cancel()
		b.loop.RunFor(time.Minute)
		Expect(sink.ended()).To(BeFalse())
		Expect(sink.dropped).To(BeTrue())
	})

	DescribeTable("cancel", func(queued bool, ran result.Ran) {
		b := loaded(func(config *engine.Config) { config.MaxBatch = 1 })
		if queued {
			b.generate("a", body("a", 1000), nil)
		}
		sink, cancel := b.generate("1", body("hello", 1000), nil)
		b.loop.RunFor(time.Second)
		cancel()
		cancel()
		b.loop.RunFor(time.Second)
		Expect(sink.failure).To(HaveField("Reason", engine.ReasonCancelled))
		Expect(sink.failure.Ran).To(Equal(ran))
	},
		Entry("queued", true, result.RanNo),
		Entry("running", false, result.RanYes),
	)

	It("may be cancelled inside a chunk", func() {
		b := loaded(nil)
		sink, cancel := b.generate("1", body("hello", 10), nil)
		sink.cancel = cancel
		b.loop.RunFor(time.Minute)
		Expect(sink.indexes).To(HaveLen(1))
		Expect(sink.failure).To(HaveField("Reason", engine.ReasonCancelled))
	})

	It("serves higher priority first", func() {
		b := loaded(func(config *engine.Config) { config.MaxBatch = 1 })
		b.generate("a", body("a", 10), nil)
		low, _ := b.generate("low", body("hello", 10), nil)
		high, _ := b.generate("high", body("hello", 10), func(r *outside.GenerateRequest) { r.Priority = 5 })
		b.loop.RunFor(time.Minute)
		Expect(high.endedAt).To(BeTemporally("<", low.firstAt))
	})

	It("slows a step with the batch", func() {
		single := loaded(nil)
		alone, _ := single.generate("1", body("hello", 100), nil)
		single.loop.RunFor(time.Minute)
		full := loaded(nil)
		first, _ := full.generate("0", body("hello", 100), nil)
		for i := 1; i < 32; i++ {
			full.generate(fmt.Sprint(i), body("hello", 100), nil)
		}
		full.loop.RunFor(time.Minute)
		Expect(first.endedAt).To(BeTemporally(">", alone.endedAt))
	})

	It("skips prompt tokens cached before and evicts when memory is short", func() {
		b := loaded(func(config *engine.Config) { config.MaxPrefixBlocks = 100 })
		prompt := strings.Repeat("The family asks for a place. ", 200) // 90 blocks
		cold, _ := b.generate("1", body(prompt, 1), nil)
		b.loop.RunFor(time.Minute)
		start := b.loop.Now()
		warm, _ := b.generate("2", body(prompt, 1), nil)
		b.loop.RunFor(time.Minute)
		Expect(cold.end.Usage.CachedTokens).To(BeZero())
		Expect(warm.end.Usage.CachedTokens).To(BeNumerically(">", warm.end.Usage.PromptTokens-17))
		Expect(warm.endedAt.Sub(start)).To(BeNumerically("<", 20*time.Millisecond))
		b.generate("3", body(strings.Repeat("Another one entirely. ", 250), 1), nil)
		b.loop.RunFor(time.Minute)
		again, _ := b.generate("4", body(prompt, 1), nil)
		b.loop.RunFor(time.Minute)
		Expect(again.end.Usage.CachedTokens).To(BeNumerically("<", warm.end.Usage.CachedTokens))
	})

	It("publishes cache events late and with gaps", func() {
		b := loaded(func(config *engine.Config) { config.CacheEventLoss = 0.5 })
		b.generate("1", body(strings.Repeat("The family asks for a place. ", 200), 1), nil)
		b.loop.RunFor(50 * time.Millisecond)
		Expect(b.engine.CacheEvents(0, 1000)).To(BeEmpty())
		b.loop.RunFor(time.Minute)
		events := b.engine.CacheEvents(0, 1000)
		last := events[len(events)-1]
		Expect(uint64(len(events))).To(And(BeNumerically(">", 20), BeNumerically("<", last.Sequence)))
		Expect(b.engine.CacheEvents(last.Sequence, 1000)).To(BeEmpty())
	})

	It("continues elsewhere from an exported KV cache without prefill", func() {
		source, target := loaded(nil), loaded(nil)
		request := body(strings.Repeat("The family asks for a place. ", 2000), 100)
		first, cancel := source.generate("1", request, nil)
		source.loop.RunFor(1500 * time.Millisecond)
		export, running := source.engine.ExportKV("1")
		Expect(running).To(BeTrue())
		cancel()
		readyAt, accepted := target.engine.ImportKV(export)
		Expect(accepted).To(BeTrue())
		target.loop.RunUntil(readyAt)
		second, _ := target.generate("2", request, func(r *outside.GenerateRequest) {
			r.RequestID, r.ResumeFrom = export.RequestID, export.Chunks
		})
		target.loop.RunFor(20 * time.Millisecond)
		Expect(second.indexes).NotTo(BeEmpty(), "no prefill")
		target.loop.RunFor(time.Minute)
		Expect(first.text.String() + second.text.String()).To(Equal(engine.ExpectedText("", request)))
	})

	It("serves on while it leaves, and says so", func() {
		b := loaded(nil)
		b.engine.SetLeaving(b.loop.Now().Add(time.Minute))
		sink, _ := b.generate("1", body("hello", 3), nil)
		b.loop.RunFor(time.Second)
		Expect(sink.end).To(HaveField("Load.Leaving", true))
		Expect(b.state().Leaving).To(BeTrue())
	})

	It("reports load figures late", func() {
		b := loaded(func(config *engine.Config) { config.LoadLag = time.Second })
		b.generate("1", body("hello", 1000), nil)
		b.loop.RunFor(500 * time.Millisecond)
		Expect(b.state().Replicas[0].Running).To(BeZero())
		b.loop.RunFor(time.Second)
		Expect(b.state().Replicas[0].Running).To(Equal(1))
		Expect(b.state().MeasuredAt).To(BeTemporally("<=", b.loop.Now().Add(-time.Second)))
	})
})
