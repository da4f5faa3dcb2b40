package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

const limit = time.Second

var _ = DescribeTable("deadlines",
	func(prepare func(h *harness), change func(r *Request), code result.Code, ran result.Ran) {
		h := newHarness(3, Limits{})
		prepare(h)
		request := h.generation(limit)
		change(&request)
		c, _ := h.submit(request)
		h.loop.RunFor(limit + 10*time.Second)
		Expect(c.finals).To(Equal(1))
		Expect(c.code()).To(Equal(code))
		Expect(c.refusal.Ran).To(Equal(ran))
		Expect(c.finalAt).To(BeTemporally("<", request.Deadline))
		Expect(h.gateway.Stats().Open).To(BeZero())
	},
	Entry("no endpoint becomes ready", func(*harness) {}, unchanged, result.DeadlinePassed, result.RanNo),
	Entry("the engine never answers", func(h *harness) {
		h.warm(1, "s1")
		h.engines.serve = func(*engineCall) {}
	}, unchanged, result.DeadlinePassed, result.RanUnknown),
	Entry("the stream stalls", func(h *harness) {
		h.warm(1, "s1")
		h.engines.serve = func(call *engineCall) { call.chunks(0, 1) }
	}, unchanged, result.DeadlinePassed, result.RanYes),
	Entry("the end of the stream is lost", func(h *harness) {
		h.warm(1, "s1")
		h.engines.serve = func(call *engineCall) { call.chunks(0, 3) }
	}, unchanged, result.DeadlinePassed, result.RanYes),
	Entry("the end of the stream names another attempt", func(h *harness) {
		h.warm(1, "s1")
		h.engines.serve = func(call *engineCall) {
			call.chunks(0, 3)
			call.sink.End(outside.GenerateEnd{Attempt: "other", Chunks: 3})
		}
	}, unchanged, result.DeadlinePassed, result.RanYes),
	Entry("the engine refuses every attempt", func(h *harness) {
		h.warm(1, "s1")
		h.engines.serve = func(call *engineCall) { call.fail(result.RanNo, "refused") }
	}, unchanged, result.BackEndRefused, result.RanNo),
	Entry("a chunk is missing", func(h *harness) {
		h.warm(1, "s1")
		h.engines.serve = func(call *engineCall) {
			call.chunks(0, 1)
			call.chunks(2, 3)
			call.end(3)
		}
	}, unchanged, result.StreamBroken, result.RanYes),
	Entry("the back end never answers a keyed request", func(h *harness) {
		h.pools.set(testPool, 4, "p1")
		h.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
	}, toPool, result.OutcomeUnknown, result.RanUnknown),
	Entry("the claim is not decided before the deadline", func(h *harness) {
		h.pools.set(testPool, 4, "p1")
		h.claims.delay = 5 * time.Second
	}, toPool, result.DeadlinePassed, result.RanNo),
	Entry("the claim is decided after its reservation expired, and then the pool is full", func(h *harness) {
		h.pools.set(testPool, 1, "p1")
		h.claims.delay = limit / 2
		h.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
		h.submit(h.poolRequest(limit/4, "first"))
	}, toPool, result.DeadlinePassed, result.RanNo),
	Entry("the pool has no server", func(h *harness) { h.pools.set(testPool, 4) }, toPool, result.NoBackEnd, result.RanNo),
)

func unchanged(*Request) {}

func toPool(r *Request) {
	r.Model, r.Pool, r.Key, r.Repeatable = "", testPool, "family-1", false
}

var _ = DescribeTable("non-repeatable requests",
	func(prepare func(h *harness), code result.Code, ran result.Ran, calls, released int) {
		h := newHarness(4, Limits{})
		h.pools.set(testPool, 4, "p1", "p2")
		prepare(h)
		c, _ := h.submit(h.poolRequest(limit, "family-1"))
		h.loop.RunFor(limit + 10*time.Second)
		Expect(c.finals).To(Equal(1))
		Expect(c.code()).To(Equal(code))
		Expect(c.refusal.Ran).To(Equal(ran))
		Expect(h.backEnds.calls).To(HaveLen(calls))
		Expect(h.claims.released).To(Equal(released))
	},
	Entry("claims are unavailable", func(h *harness) { h.claims.unavailable = true }, result.ClaimUnavailable, result.RanNo, 0, 0),
	Entry("a minority grants the claim", func(h *harness) {
		h.claims.unavailable = true
		h.claims.held[claims.Key{Tenant: "alpha", Value: "family-1"}] = &fakeClaim{attempt: "node-1#a/1"}
	}, result.ClaimUnavailable, result.RanNo, 0, 1),
	Entry("the server leaves during a slow claim", func(h *harness) {
		h.pools.set(testPool, 4, "p1")
		h.claims.delay = maxClaimWait + time.Millisecond
		h.loop.AfterFunc(maxClaimWait/2, func() {
			h.pools.set(testPool, 4, "p1")
			h.pools.snapshots[testPool].Endpoints[0].Draining = true
			h.gateway.PoolChanged(testPool)
		})
	}, result.NoBackEnd, result.RanNo, 0, 1),
	Entry("the outcome is unknown", failing(result.RanUnknown, "connection"), result.OutcomeUnknown, result.RanUnknown, 1, 0),
	Entry("the back end failed after it ran the request", failing(result.RanYes, "failed"), result.BackEndFailed, result.RanYes, 1, 0),
	Entry("all attempts are refused", failing(result.RanNo, "refused"), result.BackEndRefused, result.RanNo, 4, 1),
	Entry("the response names another attempt", func(h *harness) {
		h.backEnds.serve = func(_ outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			done(outside.BackEndResponse{Attempt: "other", Status: 200}, nil)
		}
	}, result.OutcomeUnknown, result.RanUnknown, 1, 0),
	Entry("the key was used with another body", func(h *harness) {
		request := h.poolRequest(limit, "family-1")
		request.Body = []byte("other")
		h.submit(request)
		h.loop.RunFor(limit)
	}, result.KeyConflict, result.RanNo, 1, 0),
	Entry("the key is held by an attempt without recorded outcome", func(h *harness) {
		h.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
		h.submit(h.poolRequest(limit, "family-1"))
		h.loop.RunFor(limit)
	}, result.AlreadyClaimed, result.RanUnknown, 1, 0),
)

func failing(ran result.Ran, reason string) func(h *harness) {
	return func(h *harness) {
		h.backEnds.serve = func(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			done(outside.BackEndResponse{}, &outside.AttemptError{Attempt: request.Attempt, Ran: ran, Reason: reason})
		}
	}
}

var _ = Describe("Recorded outcomes", func() {
	It("replays a back end's answer instead of running the request again", func() {
		h := newHarness(5, Limits{})
		h.pools.set(testPool, 4, "p1")
		for range 2 {
			c, _ := h.submit(h.poolRequest(limit, "family-1"))
			h.loop.RunFor(limit)
			Expect(string(c.answer.Response.Body)).To(Equal("seat 7"))
		}
		Expect(h.backEnds.calls).To(HaveLen(1))
	})

	It("replays a generation", func() {
		h := newHarness(5, Limits{})
		h.warm(4, "s1")
		for index := range 2 {
			request := h.generation(limit)
			request.Repeatable, request.Key = false, "draft-1"
			c, _ := h.submit(request)
			h.loop.RunFor(limit)
			Expect(c.answer.Replayed).To(Equal(index == 1))
			text := ""
			for _, chunk := range c.chunks {
				text += chunk.Text
			}
			Expect(text).To(Equal("012"))
		}
		Expect(h.engines.calls).To(HaveLen(1))
	})

	It("records an answer that is received after the deadline", func() {
		h := newHarness(5, Limits{})
		h.pools.set(testPool, 4, "p1")
		h.backEnds.serve = func(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			h.loop.AfterFunc(2*limit, func() { respond(request, done) })
		}
		late, _ := h.submit(h.poolRequest(limit, "family-1"))
		h.loop.RunFor(3 * limit)
		Expect(late.code()).To(Equal(result.OutcomeUnknown))
		again, _ := h.submit(h.poolRequest(limit, "family-1"))
		h.loop.RunFor(limit)
		Expect(again.answer.Replayed).To(BeTrue())
		Expect(h.backEnds.calls).To(HaveLen(1))
	})

	// Guards against two claims with the same attempt id: a late release of the first would
	// also remove the vote for the second.
	DescribeTable("claims a key once for an attempt", func(prepare func(h *harness), calls int) {
		h := newHarness(5, Limits{})
		h.pools.set(testPool, 4, "p1", "p2")
		prepare(h)
		h.submit(h.poolRequest(limit, "family-1"))
		h.loop.RunFor(2 * limit)
		Expect(h.claims.claimAttempts).To(HaveLen(1))
		Expect(h.backEnds.calls).To(HaveLen(calls))
	},
		Entry("that is granted after its reservation expired", func(h *harness) { h.claims.delay = maxClaimWait + time.Millisecond }, 1),
		Entry("that is granted after its reservation expired, and then refused by the servers", func(h *harness) {
			h.claims.delay = maxClaimWait + time.Millisecond
			failing(result.RanNo, "refused")(h)
		}, 4),
		Entry("that is denied", func(h *harness) {
			h.claims.held[claims.Key{Tenant: "alpha", Value: "family-1"}] = &fakeClaim{attempt: "other"}
		}, 0),
	)

	It("releases a claim that is granted after the caller disconnected", func() {
		h := newHarness(5, Limits{})
		h.pools.set(testPool, 4, "p1")
		_, cancel := h.submit(h.poolRequest(limit, "family-1"))
		cancel()
		h.loop.RunFor(limit)
		Expect(h.backEnds.calls).To(BeEmpty())
		Expect(h.claims.held).To(BeEmpty())
		Expect(h.gateway.Stats().Open).To(BeZero())
	})
})
