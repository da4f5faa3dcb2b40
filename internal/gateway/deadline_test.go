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
	func(prepare func(b *harness), change func(r *Request), code result.Code, ran result.Ran) {
		b := newHarness(3, Limits{})
		prepare(b)
		request := b.generation(limit)
		change(&request)
		c, _ := b.submit(request)
		b.loop.RunFor(limit + 10*time.Second)
		Expect(c.finals).To(Equal(1))
		Expect(c.code()).To(Equal(code))
		Expect(c.refusal.Ran).To(Equal(ran))
		Expect(c.finalAt).To(BeTemporally("<", request.Deadline))
		Expect(b.gateway.Stats().Open).To(BeZero())
	},
	Entry("no endpoint becomes ready", func(*harness) {}, unchanged, result.DeadlinePassed, result.RanNo),
	Entry("the engine never answers", func(b *harness) {
		b.warm(1, "s1")
		b.engines.serve = func(*engineCall) {}
	}, unchanged, result.DeadlinePassed, result.RanUnknown),
	Entry("the stream stalls", func(b *harness) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) { call.chunks(0, 1) }
	}, unchanged, result.DeadlinePassed, result.RanYes),
	Entry("the end of the stream is lost", func(b *harness) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) { call.chunks(0, 3) }
	}, unchanged, result.DeadlinePassed, result.RanYes),
	Entry("the end of the stream names another attempt", func(b *harness) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(0, 3)
			call.sink.End(outside.GenerateEnd{Attempt: "other", Chunks: 3})
		}
	}, unchanged, result.DeadlinePassed, result.RanYes),
	Entry("the engine refuses every attempt", func(b *harness) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) { call.fail(result.RanNo, "refused") }
	}, unchanged, result.BackEndRefused, result.RanNo),
	Entry("a chunk is missing", func(b *harness) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(0, 1)
			call.chunks(2, 3)
			call.end(3)
		}
	}, unchanged, result.StreamBroken, result.RanYes),
	Entry("the back end never answers a keyed request", func(b *harness) {
		b.pools.set(testPool, 4, "p1")
		b.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
	}, toPool, result.OutcomeUnknown, result.RanUnknown),
	Entry("the claim is not decided before the deadline", func(b *harness) {
		b.pools.set(testPool, 4, "p1")
		b.claims.delay = 5 * time.Second
	}, toPool, result.DeadlinePassed, result.RanNo),
	Entry("the claim is decided after its reservation expired, and then the pool is full", func(b *harness) {
		b.pools.set(testPool, 1, "p1")
		b.claims.delay = limit / 2
		b.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
		b.submit(b.poolRequest(limit/4, "first"))
	}, toPool, result.DeadlinePassed, result.RanNo),
	Entry("the pool has no server", func(b *harness) { b.pools.set(testPool, 4) }, toPool, result.NoBackEnd, result.RanNo),
)

func unchanged(*Request) {}

func toPool(r *Request) {
	r.Model, r.Pool, r.Key, r.Repeatable = "", testPool, "family-1", false
}

var _ = DescribeTable("non-repeatable requests",
	func(prepare func(b *harness), code result.Code, ran result.Ran, calls, released int) {
		b := newHarness(4, Limits{})
		b.pools.set(testPool, 4, "p1", "p2")
		prepare(b)
		c, _ := b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(limit + 10*time.Second)
		Expect(c.finals).To(Equal(1))
		Expect(c.code()).To(Equal(code))
		Expect(c.refusal.Ran).To(Equal(ran))
		Expect(b.backEnds.calls).To(HaveLen(calls))
		Expect(b.claims.released).To(Equal(released))
	},
	Entry("claims are unavailable", func(b *harness) { b.claims.unavailable = true }, result.ClaimUnavailable, result.RanNo, 0, 0),
	Entry("a minority grants the claim", func(b *harness) {
		b.claims.unavailable = true
		b.claims.held[claims.Key{Tenant: "alpha", Value: "family-1"}] = &fakeClaim{attempt: "node-1#a/1"}
	}, result.ClaimUnavailable, result.RanNo, 0, 1),
	Entry("the server leaves during a slow claim", func(b *harness) {
		b.pools.set(testPool, 4, "p1")
		b.claims.delay = maxClaimWait + time.Millisecond
		b.loop.AfterFunc(maxClaimWait/2, func() {
			b.pools.set(testPool, 4, "p1")
			b.pools.snapshots[testPool].Endpoints[0].Draining = true
			b.gateway.PoolChanged(testPool)
		})
	}, result.NoBackEnd, result.RanNo, 0, 1),
	Entry("the outcome is unknown", failing(result.RanUnknown, "connection"), result.OutcomeUnknown, result.RanUnknown, 1, 0),
	Entry("the back end failed after it ran the request", failing(result.RanYes, "failed"), result.BackEndFailed, result.RanYes, 1, 0),
	Entry("all attempts are refused", failing(result.RanNo, "refused"), result.BackEndRefused, result.RanNo, 4, 1),
	Entry("the response names another attempt", func(b *harness) {
		b.backEnds.serve = func(_ outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			done(outside.BackEndResponse{Attempt: "other", Status: 200}, nil)
		}
	}, result.OutcomeUnknown, result.RanUnknown, 1, 0),
	Entry("the key was used with another body", func(b *harness) {
		request := b.poolRequest(limit, "family-1")
		request.Body = []byte("other")
		b.submit(request)
		b.loop.RunFor(limit)
	}, result.KeyConflict, result.RanNo, 1, 0),
	Entry("the key is held by an attempt without recorded outcome", func(b *harness) {
		b.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
		b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(limit)
	}, result.AlreadyClaimed, result.RanUnknown, 1, 0),
)

func failing(ran result.Ran, reason string) func(b *harness) {
	return func(b *harness) {
		b.backEnds.serve = func(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			done(outside.BackEndResponse{}, &outside.AttemptError{Attempt: request.Attempt, Ran: ran, Reason: reason})
		}
	}
}

var _ = Describe("Recorded outcomes", func() {
	It("replays a back end's answer instead of running the request again", func() {
		b := newHarness(5, Limits{})
		b.pools.set(testPool, 4, "p1")
		for range 2 {
			c, _ := b.submit(b.poolRequest(limit, "family-1"))
			b.loop.RunFor(limit)
			Expect(string(c.answer.Response.Body)).To(Equal("seat 7"))
		}
		Expect(b.backEnds.calls).To(HaveLen(1))
	})

	It("replays a generation", func() {
		b := newHarness(5, Limits{})
		b.warm(4, "s1")
		for index := range 2 {
			request := b.generation(limit)
			request.Repeatable, request.Key = false, "draft-1"
			c, _ := b.submit(request)
			b.loop.RunFor(limit)
			Expect(c.answer.Replayed).To(Equal(index == 1))
			text := ""
			for _, chunk := range c.chunks {
				text += chunk.Text
			}
			Expect(text).To(Equal("012"))
		}
		Expect(b.engines.calls).To(HaveLen(1))
	})

	It("records an answer that is received after the deadline", func() {
		b := newHarness(5, Limits{})
		b.pools.set(testPool, 4, "p1")
		b.backEnds.serve = func(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			b.loop.AfterFunc(2*limit, func() { respond(request, done) })
		}
		late, _ := b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(3 * limit)
		Expect(late.code()).To(Equal(result.OutcomeUnknown))
		again, _ := b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(limit)
		Expect(again.answer.Replayed).To(BeTrue())
		Expect(b.backEnds.calls).To(HaveLen(1))
	})

	// Guards against two claims with the same attempt id: a late release of the first would
	// also remove the vote for the second.
	DescribeTable("claims a key once for an attempt", func(prepare func(b *harness), calls int) {
		b := newHarness(5, Limits{})
		b.pools.set(testPool, 4, "p1", "p2")
		prepare(b)
		b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(2 * limit)
		Expect(b.claims.claimAttempts).To(HaveLen(1))
		Expect(b.backEnds.calls).To(HaveLen(calls))
	},
		Entry("that is granted after its reservation expired", func(b *harness) { b.claims.delay = maxClaimWait + time.Millisecond }, 1),
		Entry("that is granted after its reservation expired, and then refused by the servers", func(b *harness) {
			b.claims.delay = maxClaimWait + time.Millisecond
			failing(result.RanNo, "refused")(b)
		}, 4),
		Entry("that is denied", func(b *harness) {
			b.claims.held[claims.Key{Tenant: "alpha", Value: "family-1"}] = &fakeClaim{attempt: "other"}
		}, 0),
	)

	It("releases a claim that is granted after the caller disconnected", func() {
		b := newHarness(5, Limits{})
		b.pools.set(testPool, 4, "p1")
		_, cancel := b.submit(b.poolRequest(limit, "family-1"))
		cancel()
		b.loop.RunFor(limit)
		Expect(b.backEnds.calls).To(BeEmpty())
		Expect(b.claims.held).To(BeEmpty())
		Expect(b.gateway.Stats().Open).To(BeZero())
	})
})
