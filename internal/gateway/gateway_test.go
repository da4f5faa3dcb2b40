package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gateway")
}

var _ = Describe("Gateway", func() {
	var b *harness
	BeforeEach(func() { b = newHarness(1, Limits{}) })

	It("streams a generation of a warm model", func() {
		b.warm(4, "s1")
		c, _ := b.submit(b.generation(time.Second))
		b.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(3))
		Expect(c.answer.Cold).To(BeFalse())
		Expect(b.gateway.Stats().Open).To(BeZero())
	})

	It("queues a request for a cold model, reports demand and serves it once an endpoint is ready", func() {
		c, _ := b.submit(b.generation(20 * time.Second))
		b.loop.RunFor(10 * time.Second)
		Expect(c.finals).To(BeZero())
		Expect(b.directory.demanded).To(ContainElement(testModel))
		demands := b.gateway.Demands(b.loop.Now(), false)
		Expect(demands).To(HaveLen(1))
		Expect(demands[0].Waiting).To(Equal(1))
		Expect(demands[0].OldestWait).To(Equal(b.loop.Now().Add(-10 * time.Second)))
		b.warm(4, "s1")
		b.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.answer.Cold).To(BeTrue())
		Expect(b.gateway.Demands(b.loop.Now(), false)).To(BeEmpty())
	})

	It("queues requests at the gateway and not at the engine", func() {
		b.warm(2, "s1")
		b.engines.serve = func(*engineCall) {}
		for range 5 {
			b.submit(b.generation(time.Second))
		}
		b.loop.RunFor(100 * time.Millisecond)
		Expect(b.engines.calls).To(HaveLen(2))
		Expect(b.gateway.Stats().Waiting).To(BeEquivalentTo(3))
	})

	It("serves requests of higher priority first", func() {
		b.warm(1, "s1")
		var order []int
		b.engines.serve = func(call *engineCall) {
			order = append(order, call.request.Priority)
			call.end(0)
		}
		for _, priority := range []int{5, 1, 9, 3} {
			request := b.generation(time.Second)
			request.Priority = priority
			b.submit(request)
		}
		b.loop.RunFor(time.Second)
		Expect(order).To(Equal([]int{5, 9, 3, 1}))
	})

	It("serves requests of higher priority first across rows", func() {
		b.directory.set(testModel, 1, "s1")
		b.directory.snapshots[testModel].Endpoints[0].Adapters = []string{"tone"}
		var order []string
		b.engines.serve = func(call *engineCall) {
			order = append(order, call.request.Adapter)
			call.end(0)
		}
		for _, model := range []string{testModel, testModel, testModel, "tone", "tone", "tone"} {
			request := b.generation(time.Second)
			request.Model = model
			if model == "tone" {
				request.Priority = 6
			}
			b.submit(request)
		}
		b.loop.RunFor(time.Second)
		Expect(order).To(Equal([]string{"", "tone", "tone", "tone", "", ""}))
	})

	It("relays reordered chunks of an attempt in order", func() {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) {
			for _, index := range []int{2, 0, 3, 1} {
				call.chunks(index, index+1)
			}
			call.end(4)
		}
		c, _ := b.submit(b.generation(time.Second))
		b.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(4))
		Expect(b.engines.calls).To(HaveLen(1))
	})

	It("resumes a broken stream at another replica from the last chunk", func() {
		b.warm(4, "s1", "s2")
		b.engines.serve = func(call *engineCall) {
			if call.request.ResumeFrom == 0 {
				call.chunks(0, 2)
				call.fail(result.RanYes, "truncated")
				return
			}
			call.chunks(call.request.ResumeFrom, 5)
			call.end(5)
		}
		c, _ := b.submit(b.generation(time.Second))
		b.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(5))
		Expect(b.engines.calls[0].request.Server).NotTo(Equal(b.engines.calls[1].request.Server))
	})

	It("does not continue a stream with another version", func() {
		b.warm(4, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(0, 2)
			b.directory.set(testModel, 4, "s2")
			b.directory.snapshots[testModel].Endpoints[0].Version = "2"
			row := b.table.rows[testModel]
			row.Version = "2"
			b.table.rows[testModel] = row
			call.fail(result.RanYes, "connection")
		}
		c, _ := b.submit(b.generation(time.Second))
		b.loop.RunFor(500 * time.Millisecond)
		Expect(c.code()).To(Equal(result.StreamBroken))
		Expect(c.refusal.Ran).To(Equal(result.RanYes))
		Expect(b.engines.calls).To(HaveLen(1))
	})

	It("resumes a broken stream when a replica of its version is loaded in time", func() {
		b.warm(4, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(call.request.ResumeFrom, 2)
			if call.request.Server == "s2" {
				call.chunks(2, 3)
				call.end(3)
				return
			}
			b.directory.set(testModel, 4)
			call.fail(result.RanUnknown, "connection")
		}
		c, _ := b.submit(b.generation(5 * time.Second))
		b.loop.RunFor(time.Second)
		Expect(c.finals).To(BeZero())
		Expect(b.directory.demanded).NotTo(BeEmpty())
		b.warm(4, "s2")
		b.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(3))
	})

	It("does not treat a stream that ends early as complete", func() {
		b.warm(4, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(call.request.ResumeFrom, 1)
			call.end(3)
		}
		c, _ := b.submit(b.generation(time.Second))
		b.loop.RunFor(time.Second)
		Expect(c.answer).To(BeNil())
		Expect(c.refusal.Ran).To(Equal(result.RanYes))
	})

	It("ignores an old attempt's chunks and end", func() {
		b.warm(4, "s1", "s2")
		b.engines.serve = func(call *engineCall) {
			if len(b.engines.calls) == 1 {
				call.fail(result.RanUnknown, "connection")
				b.loop.AfterFunc(100*time.Millisecond, func() {
					call.chunks(0, 2)
					call.end(2)
				})
				return
			}
			b.loop.AfterFunc(300*time.Millisecond, func() {
				call.chunks(0, 3)
				call.end(3)
			})
		}
		c, _ := b.submit(b.generation(time.Second))
		b.loop.RunFor(time.Second)
		Expect(c.answer.End.Attempt).To(Equal(b.engines.calls[1].request.Attempt))
		Expect(c.chunks).To(HaveLen(3))
		for _, chunk := range c.chunks {
			Expect(chunk.Attempt).To(Equal(c.answer.End.Attempt))
		}
	})

	It("requeues a request when its endpoint turns out not to be loaded", func() {
		b.warm(4, "s1")
		serve := b.engines.serve
		b.engines.serve = func(call *engineCall) { call.fail(result.RanNo, "not_loaded") }
		c, _ := b.submit(b.generation(10 * time.Second))
		b.loop.RunFor(3 * time.Second)
		Expect(b.directory.invalidated).To(Equal([]outside.ServerID{"s1"}))
		Expect(b.engines.calls).To(HaveLen(1))
		b.engines.serve = serve
		b.warm(4, "s2")
		b.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
	})

	It("finishes accepted requests before it reports that it is drained", func() {
		b.warm(1, "s1")
		running, _ := b.submit(b.generation(time.Second))
		waiting, _ := b.submit(b.generation(time.Second))
		drained := 0
		b.gateway.Drain(func() { drained++ })
		refused, _ := b.submit(b.generation(time.Second))
		Expect(refused.code()).To(Equal(result.NodeDraining))
		Expect(drained).To(BeZero())
		b.loop.RunFor(time.Second)
		Expect(running.answer).NotTo(BeNil())
		Expect(waiting.answer).NotTo(BeNil())
		Expect(drained).To(Equal(1))
	})

	It("cancels the attempt of a caller that disconnected", func() {
		b.warm(1, "s1")
		b.engines.serve = func(*engineCall) {}
		c, cancel := b.submit(b.generation(time.Second))
		b.loop.RunFor(10 * time.Millisecond)
		cancel()
		cancel()
		Expect(c.finals).To(Equal(1))
		Expect(c.code()).To(Equal(result.CallerGone))
		Expect(c.refusal.Ran).To(Equal(result.RanUnknown))
		Expect(b.engines.calls[0].cancelled).To(BeTrue())
		b.loop.RunFor(time.Minute)
		Expect(b.gateway.Stats().Open).To(BeZero())
	})

	It("refuses the waiting requests of a row that was disabled", func() {
		c, _ := b.submit(b.generation(time.Minute))
		row := b.table.rows[testModel]
		row.MaxReplicas = 0
		b.table.rows[testModel] = row
		b.table.revision++
		b.gateway.Tick(b.loop.Now())
		Expect(c.code()).To(Equal(result.ModelDisabled))
	})
})

var _ = DescribeTable("immediate refusals",
	func(change func(b *harness, request *Request), code result.Code) {
		b := newHarness(2, Limits{})
		b.warm(4, "s1")
		request := b.generation(time.Second)
		change(b, &request)
		c, _ := b.submit(request)
		Expect(c.code()).To(Equal(code))
		Expect(c.refusal.Ran).To(Equal(result.RanNo))
		Expect(c.finals).To(Equal(1))
		Expect(b.engines.calls).To(BeEmpty())
	},
	Entry("unknown model", func(_ *harness, r *Request) { r.Model = "none" }, result.UnknownModel),
	Entry("row of another tenant", func(b *harness, _ *Request) {
		row := b.table.rows[testModel]
		row.Tenant = "beta"
		b.table.rows[testModel] = row
	}, result.UnknownModel),
	Entry("disabled row", func(b *harness, _ *Request) {
		row := b.table.rows[testModel]
		row.MaxReplicas = 0
		b.table.rows[testModel] = row
	}, result.ModelDisabled),
	Entry("adapter of a disabled base", func(b *harness, r *Request) {
		row := b.table.rows[testModel]
		row.MaxReplicas = 0
		b.table.rows[testModel] = row
		r.Model = "tone"
	}, result.ModelDisabled),
	Entry("no key", func(_ *harness, r *Request) { r.Repeatable = false }, result.KeyRequired),
	Entry("unknown pool", func(_ *harness, r *Request) { r.Pool = "none" }, result.UnknownPool),
	Entry("deadline passed", func(b *harness, r *Request) { r.Deadline = b.loop.Now() }, result.DeadlinePassed),
	Entry("no cell can load the model", func(b *harness, _ *Request) {
		b.directory.set(testModel, 4)
		b.directory.snapshots[testModel].Refused = "no_memory"
	}, result.NoBackEnd),
	Entry("replica ready after the deadline", func(b *harness, _ *Request) {
		b.directory.set(testModel, 4)
		b.directory.snapshots[testModel].ReadyAt = b.loop.Now().Add(time.Minute)
	}, result.DeadlineUnreachable),
)
