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
	func(prepare func(b *bench), change func(r *Request), code result.Code, ran result.Ran) {
		b := newBench(3, Limits{})
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
	Entry("no endpoint ever", func(*bench) {}, keep, result.DeadlinePassed, result.RanNo),
	Entry("the engine never answers", func(b *bench) {
		b.warm(1, "s1")
		b.engines.serve = func(*engineCall) {}
	}, keep, result.DeadlinePassed, result.RanUnknown),
	Entry("the stream stalls", func(b *bench) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) { call.chunks(0, 1) }
	}, keep, result.DeadlinePassed, result.RanYes),
	Entry("the end is lost", func(b *bench) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) { call.chunks(0, 3) }
	}, keep, result.DeadlinePassed, result.RanYes),
	Entry("the end belongs to another attempt", func(b *bench) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(0, 3)
			call.sink.End(outside.GenerateEnd{Attempt: "other", Chunks: 3})
		}
	}, keep, result.DeadlinePassed, result.RanYes),
	Entry("the engine refuses without end", func(b *bench) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) { call.fail(result.RanNo, "refused") }
	}, keep, result.BackEndRefused, result.RanNo),
	Entry("a chunk is missing", func(b *bench) {
		b.warm(1, "s1")
		b.engines.serve = func(call *engineCall) {
			call.chunks(0, 1)
			call.chunks(2, 3)
			call.end(3)
		}
	}, keep, result.StreamBroken, result.RanYes),
	Entry("the back end never answers a keyed request", func(b *bench) {
		b.pools.set(testPool, 4, "p1")
		b.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
	}, toPool, result.OutcomeUnknown, result.RanUnknown),
	Entry("the claim never comes", func(b *bench) {
		b.pools.set(testPool, 4, "p1")
		b.claims.delay = 5 * time.Second
	}, toPool, result.DeadlinePassed, result.RanNo),
	Entry("the claim comes too late for its place, and then the pool is full", func(b *bench) {
		b.pools.set(testPool, 1, "p1")
		b.claims.delay = limit / 2
		b.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
		b.submit(b.poolRequest(limit/4, "first"))
	}, toPool, result.DeadlinePassed, result.RanNo),
	Entry("the pool has no server", func(b *bench) { b.pools.set(testPool, 4) }, toPool, result.NoBackEnd, result.RanNo),
)

func keep(*Request) {}

func toPool(r *Request) {
	r.Model, r.Pool, r.Key, r.Repeatable = "", testPool, "family-1", false
}

var _ = DescribeTable("non-repeatable requests",
	func(prepare func(b *bench), code result.Code, ran result.Ran, calls, released int) {
		b := newBench(4, Limits{})
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
	Entry("claims are not available", func(b *bench) { b.claims.down = true }, result.ClaimUnavailable, result.RanNo, 0, 0),
	Entry("a minority grants the claim", func(b *bench) {
		b.claims.down = true
		b.claims.held[claims.Key{Tenant: "alpha", Value: "family-1"}] = &fakeClaim{attempt: "node-1#a/1"}
	}, result.ClaimUnavailable, result.RanNo, 0, 1),
	Entry("the server leaves during a slow claim", func(b *bench) {
		b.pools.set(testPool, 4, "p1")
		b.claims.delay = longestClaim + time.Millisecond
		b.loop.AfterFunc(longestClaim/2, func() {
			b.pools.set(testPool, 4, "p1")
			b.pools.snapshots[testPool].Endpoints[0].Draining = true
			b.gateway.PoolChanged(testPool)
		})
	}, result.NoBackEnd, result.RanNo, 0, 1),
	Entry("the outcome is unknown", failing(result.RanUnknown, "connection"), result.OutcomeUnknown, result.RanUnknown, 1, 0),
	Entry("the back end failed after the run", failing(result.RanYes, "failed"), result.BackEndFailed, result.RanYes, 1, 0),
	Entry("all attempts are refused", failing(result.RanNo, "refused"), result.BackEndRefused, result.RanNo, 4, 1),
	Entry("the response is another attempt's", func(b *bench) {
		b.backEnds.serve = func(_ outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			done(outside.BackEndResponse{Attempt: "other", Status: 200}, nil)
		}
	}, result.OutcomeUnknown, result.RanUnknown, 1, 0),
	Entry("the key holds another body", func(b *bench) {
		request := b.poolRequest(limit, "family-1")
		request.Body = []byte("other")
		b.submit(request)
		b.loop.RunFor(limit)
	}, result.KeyConflict, result.RanNo, 1, 0),
	Entry("the key is held by a run without outcome", func(b *bench) {
		b.backEnds.serve = func(outside.BackEndRequest, func(outside.BackEndResponse, error)) {}
		b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(limit)
	}, result.AlreadyClaimed, result.RanUnknown, 1, 0),
)

func failing(ran result.Ran, reason string) func(b *bench) {
	return func(b *bench) {
		b.backEnds.serve = func(request outside.BackEndRequest, done func(outside.BackEndResponse, error)) {
			done(outside.BackEndResponse{}, &outside.AttemptError{Attempt: request.Attempt, Ran: ran, Reason: reason})
		}
	}
}

var _ = Describe("Recorded outcomes", func() {
	It("replays a back end's answer instead of a second run", func() {
		b := newBench(5, Limits{})
		b.pools.set(testPool, 4, "p1")
		for range 2 {
			c, _ := b.submit(b.poolRequest(limit, "family-1"))
			b.loop.RunFor(limit)
			Expect(string(c.answer.Response.Body)).To(Equal("seat 7"))
		}
		Expect(b.backEnds.calls).To(HaveLen(1))
	})

	It("replays a generation", func() {
		b := newBench(5, Limits{})
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

	It("records an answer that comes after the deadline", func() {
		b := newBench(5, Limits{})
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

	// Guards against two claims under one attempt: a late release of the first would take
	// away the vote of the second.
	DescribeTable("claims a key once for an attempt", func(prepare func(b *bench), calls int) {
		b := newBench(5, Limits{})
		b.pools.set(testPool, 4, "p1", "p2")
		prepare(b)
		b.submit(b.poolRequest(limit, "family-1"))
		b.loop.RunFor(2 * limit)
		Expect(b.claims.asked).To(HaveLen(1))
		Expect(b.backEnds.calls).To(HaveLen(calls))
	},
		Entry("that is granted after its place was given up", func(b *bench) { b.claims.delay = longestClaim + time.Millisecond }, 1),
		Entry("that is granted late, and then refused by the servers", func(b *bench) {
			b.claims.delay = longestClaim + time.Millisecond
			failing(result.RanNo, "refused")(b)
		}, 4),
		Entry("that is denied", func(b *bench) {
			b.claims.held[claims.Key{Tenant: "alpha", Value: "family-1"}] = &fakeClaim{attempt: "other"}
		}, 0),
	)

	It("releases a claim granted after the caller has gone", func() {
		b := newBench(5, Limits{})
		b.pools.set(testPool, 4, "p1")
		_, cancel := b.submit(b.poolRequest(limit, "family-1"))
		cancel()
		b.loop.RunFor(limit)
		Expect(b.backEnds.calls).To(BeEmpty())
		Expect(b.claims.held).To(BeEmpty())
		Expect(b.gateway.Stats().Open).To(BeZero())
	})
})
