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
	var h *harness
	BeforeEach(func() { h = newHarness(1, Limits{}) })

	It("streams a generation of a warm model", func() {
		h.warm(4, "s1")
		c, _ := h.submit(h.generation(time.Second))
		h.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(3))
		Expect(c.answer.Cold).To(BeFalse())
		Expect(h.gateway.Stats().Open).To(BeZero())
	})

	It("queues a request for a cold model, reports demand and serves it once an endpoint is ready", func() {
		c, _ := h.submit(h.generation(20 * time.Second))
		h.loop.RunFor(10 * time.Second)
		Expect(c.finals).To(BeZero())
		Expect(h.directory.demanded).To(ContainElement(testModel))
		demands := h.gateway.Demands(h.loop.Now(), false)
		Expect(demands).To(HaveLen(1))
		Expect(demands[0].Waiting).To(Equal(1))
		Expect(demands[0].OldestWait).To(Equal(h.loop.Now().Add(-10 * time.Second)))
		h.warm(4, "s1")
		h.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.answer.Cold).To(BeTrue())
		Expect(h.gateway.Demands(h.loop.Now(), false)).To(BeEmpty())
	})

	It("queues requests at the gateway and not at the engine", func() {
		h.warm(2, "s1")
		h.engines.serve = func(*engineCall) {}
		for range 5 {
			h.submit(h.generation(time.Second))
		}
		h.loop.RunFor(100 * time.Millisecond)
		Expect(h.engines.calls).To(HaveLen(2))
		Expect(h.gateway.Stats().Waiting).To(BeEquivalentTo(3))
	})

	It("serves requests of higher priority first", func() {
		h.warm(1, "s1")
		var order []int
		h.engines.serve = func(call *engineCall) {
			order = append(order, call.request.Priority)
			call.end(0)
		}
		for _, priority := range []int{5, 1, 9, 3} {
			request := h.generation(time.Second)
			request.Priority = priority
			h.submit(request)
		}
		h.loop.RunFor(time.Second)
		Expect(order).To(Equal([]int{5, 9, 3, 1}))
	})

	It("serves requests of higher priority first across rows", func() {
		h.directory.set(testModel, 1, "s1")
		h.directory.snapshots[testModel].Endpoints[0].Adapters = []string{"tone"}
		var order []string
		h.engines.serve = func(call *engineCall) {
			order = append(order, call.request.Adapter)
			call.end(0)
		}
		for _, model := range []string{testModel, testModel, testModel, "tone", "tone", "tone"} {
			request := h.generation(time.Second)
			request.Model = model
			if model == "tone" {
				request.Priority = 6
			}
			h.submit(request)
		}
		h.loop.RunFor(time.Second)
		Expect(order).To(Equal([]string{"", "tone", "tone", "tone", "", ""}))
	})

	It("relays reordered chunks of an attempt in order", func() {
		h.warm(1, "s1")
		h.engines.serve = func(call *engineCall) {
			for _, index := range []int{2, 0, 3, 1} {
				call.chunks(index, index+1)
			}
			call.end(4)
		}
		c, _ := h.submit(h.generation(time.Second))
		h.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(4))
		Expect(h.engines.calls).To(HaveLen(1))
	})

	It("resumes a broken stream at another replica from the last chunk", func() {
		h.warm(4, "s1", "s2")
		h.engines.serve = func(call *engineCall) {
			if call.request.ResumeFrom == 0 {
				call.chunks(0, 2)
				call.fail(result.RanYes, "truncated")
				return
			}
			call.chunks(call.request.ResumeFrom, 5)
			call.end(5)
		}
		c, _ := h.submit(h.generation(time.Second))
		h.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(5))
		Expect(h.engines.calls[0].request.Server).NotTo(Equal(h.engines.calls[1].request.Server))
	})

	It("does not continue a stream with another version", func() {
		h.warm(4, "s1")
		h.engines.serve = func(call *engineCall) {
			call.chunks(0, 2)
			h.directory.set(testModel, 4, "s2")
			h.directory.snapshots[testModel].Endpoints[0].Version = "2"
			row := h.table.rows[testModel]
			row.Version = "2"
			h.table.rows[testModel] = row
			call.fail(result.RanYes, "connection")
		}
		c, _ := h.submit(h.generation(time.Second))
		h.loop.RunFor(500 * time.Millisecond)
		Expect(c.code()).To(Equal(result.StreamBroken))
		Expect(c.refusal.Ran).To(Equal(result.RanYes))
		Expect(h.engines.calls).To(HaveLen(1))
	})

	It("resumes a broken stream when a replica of its version is loaded in time", func() {
		h.warm(4, "s1")
		h.engines.serve = func(call *engineCall) {
			call.chunks(call.request.ResumeFrom, 2)
			if call.request.Server == "s2" {
				call.chunks(2, 3)
				call.end(3)
				return
			}
			h.directory.set(testModel, 4)
			call.fail(result.RanUnknown, "connection")
		}
		c, _ := h.submit(h.generation(5 * time.Second))
		h.loop.RunFor(time.Second)
		Expect(c.finals).To(BeZero())
		Expect(h.directory.demanded).NotTo(BeEmpty())
		h.warm(4, "s2")
		h.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
		Expect(c.chunks).To(HaveLen(3))
	})

	It("does not treat a stream that ends early as complete", func() {
		h.warm(4, "s1")
		h.engines.serve = func(call *engineCall) {
			call.chunks(call.request.ResumeFrom, 1)
			call.end(3)
		}
		c, _ := h.submit(h.generation(time.Second))
		h.loop.RunFor(time.Second)
		Expect(c.answer).To(BeNil())
		Expect(c.refusal.Ran).To(Equal(result.RanYes))
	})

	It("ignores an old attempt's chunks and end", func() {
		h.warm(4, "s1", "s2")
		h.engines.serve = func(call *engineCall) {
			if len(h.engines.calls) == 1 {
				call.fail(result.RanUnknown, "connection")
				h.loop.AfterFunc(100*time.Millisecond, func() {
					call.chunks(0, 2)
					call.end(2)
				})
				return
			}
			h.loop.AfterFunc(300*time.Millisecond, func() {
				call.chunks(0, 3)
				call.end(3)
			})
		}
		c, _ := h.submit(h.generation(time.Second))
		h.loop.RunFor(time.Second)
		Expect(c.answer.End.Attempt).To(Equal(h.engines.calls[1].request.Attempt))
		Expect(c.chunks).To(HaveLen(3))
		for _, chunk := range c.chunks {
			Expect(chunk.Attempt).To(Equal(c.answer.End.Attempt))
		}
	})

	It("requeues a request when its endpoint turns out not to be loaded", func() {
		h.warm(4, "s1")
		serve := h.engines.serve
		h.engines.serve = func(call *engineCall) { call.fail(result.RanNo, "not_loaded") }
		c, _ := h.submit(h.generation(10 * time.Second))
		h.loop.RunFor(3 * time.Second)
		Expect(h.directory.invalidated).To(Equal([]outside.ServerID{"s1"}))
		Expect(h.engines.calls).To(HaveLen(1))
		h.engines.serve = serve
		h.warm(4, "s2")
		h.loop.RunFor(time.Second)
		Expect(c.answer).NotTo(BeNil())
	})

	It("finishes accepted requests before it reports that it is drained", func() {
		h.warm(1, "s1")
		running, _ := h.submit(h.generation(time.Second))
		waiting, _ := h.submit(h.generation(time.Second))
		drained := 0
		h.gateway.Drain(func() { drained++ })
		refused, _ := h.submit(h.generation(time.Second))
		Expect(refused.code()).To(Equal(result.NodeDraining))
		Expect(drained).To(BeZero())
		h.loop.RunFor(time.Second)
		Expect(running.answer).NotTo(BeNil())
		Expect(waiting.answer).NotTo(BeNil())
		Expect(drained).To(Equal(1))
	})

	It("cancels the attempt of a caller that disconnected", func() {
		h.warm(1, "s1")
		h.engines.serve = func(*engineCall) {}
		c, cancel := h.submit(h.generation(time.Second))
		h.loop.RunFor(10 * time.Millisecond)
		cancel()
		cancel()
		Expect(c.finals).To(Equal(1))
		Expect(c.code()).To(Equal(result.CallerGone))
		Expect(c.refusal.Ran).To(Equal(result.RanUnknown))
		Expect(h.engines.calls[0].cancelled).To(BeTrue())
		h.loop.RunFor(time.Minute)
		Expect(h.gateway.Stats().Open).To(BeZero())
	})

	It("refuses the waiting requests of a row that was disabled", func() {
		c, _ := h.submit(h.generation(time.Minute))
		row := h.table.rows[testModel]
		row.MaxReplicas = 0
		h.table.rows[testModel] = row
		h.table.revision++
		h.gateway.Tick(h.loop.Now())
		Expect(c.code()).To(Equal(result.ModelDisabled))
	})
})

var _ = DescribeTable("immediate refusals",
	func(change func(h *harness, request *Request), code result.Code) {
		h := newHarness(2, Limits{})
		h.warm(4, "s1")
		request := h.generation(time.Second)
		change(h, &request)
		c, _ := h.submit(request)
		Expect(c.code()).To(Equal(code))
		Expect(c.refusal.Ran).To(Equal(result.RanNo))
		Expect(c.finals).To(Equal(1))
		Expect(h.engines.calls).To(BeEmpty())
	},
	Entry("unknown model", func(_ *harness, r *Request) { r.Model = "none" }, result.UnknownModel),
	Entry("row of another tenant", func(h *harness, _ *Request) {
		row := h.table.rows[testModel]
		row.Tenant = "beta"
		h.table.rows[testModel] = row
	}, result.UnknownModel),
	Entry("disabled row", func(h *harness, _ *Request) {
		row := h.table.rows[testModel]
		row.MaxReplicas = 0
		h.table.rows[testModel] = row
	}, result.ModelDisabled),
	Entry("adapter of a disabled base", func(h *harness, r *Request) {
		row := h.table.rows[testModel]
		row.MaxReplicas = 0
		h.table.rows[testModel] = row
		r.Model = "tone"
	}, result.ModelDisabled),
	Entry("no key", func(_ *harness, r *Request) { r.Repeatable = false }, result.KeyRequired),
	Entry("unknown pool", func(_ *harness, r *Request) { r.Pool = "none" }, result.UnknownPool),
	Entry("deadline passed", func(h *harness, r *Request) { r.Deadline = h.loop.Now() }, result.DeadlinePassed),
	Entry("no cell can load the model", func(h *harness, _ *Request) {
		h.directory.set(testModel, 4)
		h.directory.snapshots[testModel].Refused = "no_memory"
	}, result.NoBackEnd),
	Entry("replica ready after the deadline", func(h *harness, _ *Request) {
		h.directory.set(testModel, 4)
		h.directory.snapshots[testModel].ReadyAt = h.loop.Now().Add(time.Minute)
	}, result.DeadlineUnreachable),
)
