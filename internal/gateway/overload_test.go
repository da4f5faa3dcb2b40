package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// overload submits Poisson arrivals to one engine with a batch size of 10 and a
// mean service time of one second, so a capacity of 10 requests per second.
type overload struct {
	*harness
	served map[string]int
	codes  map[result.Code]int
	total  int
}

func newOverload(seed uint64) *overload {
	o := &overload{harness: newHarness(seed, Limits{QueueLength: 200}), served: map[string]int{}, codes: map[result.Code]int{}}
	random := o.loop.Fork()
	o.engines.serve = func(call *engineCall) {
		duration := time.Duration((0.3 + 0.7*random.ExpFloat64()) * float64(time.Second))
		o.loop.AfterFunc(duration, func() {
			if call.cancelled {
				call.fail(result.RanYes, "cancelled")
				return
			}
			call.end(0)
		})
	}
	o.warm(10, "s1")
	return o
}

// arrive submits requests at a mean rate per second until the end.
func (o *overload) arrive(rate float64, end time.Time, make func() Request) {
	random := o.loop.Fork()
	var next func()
	next = func() {
		if o.loop.Now().After(end) {
			return
		}
		o.total++
		request := make()
		c := &caller{clock: o.loop}
		c.onFinal = func() {
			o.codes[c.code()]++
			if c.answer != nil {
				o.served[request.Model]++
			}
		}
		o.gateway.Submit(request, c)
		o.loop.AfterFunc(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

const overloadSpan = 300 * time.Second

var _ = Describe("Overload", func() {
	It("keeps goodput as load grows past capacity", func() {
		goodput := map[float64]float64{}
		for _, factor := range []float64{0.5, 0.8, 1, 1.5, 2, 3, 4} {
			o := newOverload(7)
			end := o.loop.Now().Add(overloadSpan)
			o.arrive(10*factor, end, func() Request { return o.generation(5 * time.Second) })
			o.loop.RunFor(overloadSpan + time.Minute)
			answered := 0
			for _, count := range o.codes {
				answered += count
			}
			Expect(answered).To(Equal(o.total))
			goodput[factor] = float64(o.served[testModel]) / overloadSpan.Seconds()
			fmt.Fprintf(GinkgoWriter, "load %.1f×: goodput %.2f/s of %.2f/s, %v\n", factor, goodput[factor], 10*factor, o.codes)
		}
		Expect(goodput[3]).To(BeNumerically(">", 0.9*goodput[1]))
		Expect(goodput[4]).To(BeNumerically(">", 0.9*goodput[1]))
	})

	DescribeTable("gives each tenant its share by weight at three times the capacity",
		func(seed uint64, heavy int) {
			o := newOverload(seed)
			for name, weight := range map[string]int{"light": 1, "heavy": heavy} {
				o.table.rows[name] = table.Row{
					Name: name, Kind: table.KindAdapter, Base: testModel, Tenant: name,
					Weight: weight, MaxReplicas: 1, TimeLimit: time.Minute, Repeatable: true,
				}
			}
			o.directory.snapshots[testModel].Endpoints[0].Adapters = []string{"heavy", "light"}
			end := o.loop.Now().Add(overloadSpan)
			for _, name := range []string{"light", "heavy"} {
				o.arrive(15, end, func() Request {
					request := o.generation(5 * time.Second)
					request.Model, request.Tenant = name, name
					return request
				})
			}
			o.loop.RunFor(overloadSpan + time.Minute)
			ratio := float64(o.served["heavy"]) / float64(o.served["light"])
			fmt.Fprintf(GinkgoWriter, "weights 1 and %d: served %v, ratio %.2f, %v\n", heavy, o.served, ratio, o.codes)
			Expect(ratio).To(BeNumerically("~", heavy, 0.05*float64(heavy)))
		},
		Entry("1 to 3", uint64(8), 3),
		Entry("1 to 3, another seed", uint64(9), 3),
		Entry("1 to 1", uint64(8), 1),
		Entry("1 to 10", uint64(8), 10),
		Entry("1 to 10, another seed", uint64(9), 10),
	)

	It("serves the requests of high priority at three times the capacity", func() {
		o := newOverload(9)
		end := o.loop.Now().Add(overloadSpan)
		high, highServed := 0, 0
		o.arrive(25, end, func() Request { return o.generation(5 * time.Second) })
		var next func()
		next = func() {
			if o.loop.Now().After(end) {
				return
			}
			high++
			request := o.generation(5 * time.Second)
			request.Priority = 9
			c := &caller{clock: o.loop}
			c.onFinal = func() {
				if c.answer != nil {
					highServed++
				}
			}
			o.gateway.Submit(request, c)
			o.loop.AfterFunc(200*time.Millisecond, next)
		}
		next()
		o.loop.RunFor(overloadSpan + time.Minute)
		fmt.Fprintf(GinkgoWriter, "high priority: %d of %d served\n", highServed, high)
		Expect(float64(highServed)).To(BeNumerically(">", 0.97*float64(high)))
	})

	It("serves the requests of high priority for one model while requests for another fill the node's queues", func() {
		o := newOverload(9)
		o.gateway.config.Limits.Waiting = 50
		o.table.rows["second"] = table.Row{
			Name: "second", Kind: table.KindModel, Version: "1", Weight: 1, MaxReplicas: 1, TimeLimit: time.Minute, Repeatable: true,
		}
		o.directory.set("second", 10, "s2")
		end := o.loop.Now().Add(overloadSpan)
		o.arrive(30, end, func() Request { return o.generation(time.Minute) })
		high := 0
		// The rate is close to the capacity, so that some requests have to wait.
		o.arrive(9, end, func() Request {
			high++
			request := o.generation(time.Minute)
			request.Model, request.Priority = "second", 9
			return request
		})
		o.loop.RunFor(overloadSpan + time.Minute)
		fmt.Fprintf(GinkgoWriter, "full node: %d of %d of high priority served, %v\n", o.served["second"], high, o.codes)
		Expect(o.served["second"]).To(Equal(high))
	})

	It("does not amplify a failure by retries", func() {
		h := newHarness(10, Limits{})
		random := h.loop.Fork()
		h.engines.serve = func(call *engineCall) {
			if random.Float64() < 0.5 {
				call.fail(result.RanUnknown, "failed")
				return
			}
			call.end(0)
		}
		h.warm(50, "s1", "s2", "s3", "s4")
		const requests = 5000
		for index := range requests {
			h.loop.AfterFunc(time.Duration(index)*10*time.Millisecond, func() { h.submit(h.generation(5 * time.Second)) })
		}
		h.loop.RunFor(2 * time.Minute)
		amplification := float64(len(h.engines.calls)) / requests
		fmt.Fprintf(GinkgoWriter, "amplification %.3f, %+v\n", amplification, h.gateway.Stats())
		Expect(amplification).To(BeNumerically("<", 1.12))
		Expect(h.gateway.Stats().Open).To(BeZero())
	})
})

var _ = DescribeTable("a full queue",
	func(change func(r *Request), code, displaced result.Code) {
		h := newHarness(11, Limits{QueueLength: 2})
		h.table.rows["other"] = table.Row{Name: "other", Kind: table.KindAdapter, Base: testModel, Weight: 1, MaxReplicas: 1, Repeatable: true}
		first, _ := h.submit(h.generation(time.Minute))
		second, _ := h.submit(h.generation(2 * time.Minute))
		request := h.generation(time.Minute)
		change(&request)
		third, _ := h.submit(request)
		Expect(third.code()).To(Equal(code))
		Expect(first.code()).To(Equal(result.OK))
		Expect(second.code()).To(Equal(displaced))
		Expect(h.gateway.Stats().Waiting).To(BeEquivalentTo(2))
	},
	Entry("refuses a request of the same flow", unchanged, result.QueueFull, result.OK),
	Entry("displaces a request of lower priority", func(r *Request) { r.Priority = 6 }, result.OK, result.Displaced),
	Entry("refuses a request of lower priority", func(r *Request) { r.Priority = 4 }, result.QueueFull, result.OK),
	Entry("displaces a request of a flow above its share", func(r *Request) { r.Model = "other" }, result.OK, result.OverShare),
)

// fullNode returns a harness whose node has queued three requests for the test
// model, which must be as many as the limits allow. There is a row for a second
// model; no server has either model.
func fullNode(limits Limits) *harness {
	h := newHarness(12, limits)
	h.engines.serve = func(*engineCall) {}
	row := h.table.rows[testModel]
	row.Name = "second"
	h.table.rows["second"] = row
	for range 3 {
		h.submit(h.generation(time.Minute))
	}
	return h
}

var _ = DescribeTable("a full node",
	func(limits Limits, change func(r *Request), code result.Code, displaced int) {
		h := fullNode(limits)
		request := h.generation(time.Minute)
		request.Model = "second"
		change(&request)
		submitted, _ := h.submit(request)
		Expect(submitted.code()).To(Equal(code))
		Expect(h.gateway.Stats().Refused[result.Displaced]).To(BeEquivalentTo(displaced))
		Expect(h.gateway.Stats().Waiting).To(BeEquivalentTo(3 - displaced + map[result.Code]int{result.OK: 1}[code]))
	},
	Entry("displaces a request of lower priority for another model", Limits{Waiting: 3}, func(r *Request) { r.Priority = 6 }, result.OK, 1),
	Entry("refuses a request of the same priority", Limits{Waiting: 3}, unchanged, result.QueueFull, 0),
	Entry("refuses a request of lower priority", Limits{Waiting: 3}, func(r *Request) { r.Priority = 4 }, result.QueueFull, 0),
	Entry("displaces nothing for a request that is refused for another reason", Limits{Waiting: 3},
		func(r *Request) { r.Priority, r.Deadline = 9, r.Accepted }, result.DeadlinePassed, 0),
	Entry("displaces as many requests as the body needs", Limits{WaitingBytes: 6},
		func(r *Request) { r.Priority, r.Body = 9, []byte("1234") }, result.OK, 2),
	Entry("displaces nothing for a body that would not fit even then", Limits{WaitingBytes: 6},
		func(r *Request) { r.Priority, r.Body = 9, []byte("1234567") }, result.QueueFull, 0),
)

var _ = It("a full node serves a request that need not wait", func() {
	h := fullNode(Limits{Waiting: 3})
	h.directory.set("second", 1, "s2")
	request := h.generation(time.Minute)
	request.Model = "second"
	h.submit(request)
	Expect(h.gateway.Stats().Groups).To(ContainElement(HaveField("Running", 1)))
	request.ID = "one too many"
	late, _ := h.submit(request)
	Expect(late.code()).To(Equal(result.QueueFull))
})
