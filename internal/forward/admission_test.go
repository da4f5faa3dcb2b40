package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

func TestRefusesWithoutRouteOrConfiguration(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		outcome := b.forwarder.Serve(context.Background(), request("nowhere", "", time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.UnknownPath))
		empty := New(Config{View: fleet.NewView(), Backend: b.backend, Budget: BudgetLimits{Window: time.Second}, Nodes: 1})
		outcome = empty.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.NodeNotReady))
		Expect(outcome.Ran).To(Equal(result.RanNo))
	})
}

// The Retry-After of a node without a configuration grows with the time that it has waited,
// whatever time the caller has.
func TestRetryAfterOfNodeWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		empty := New(Config{View: fleet.NewView(), Budget: BudgetLimits{Window: time.Second}, Nodes: 1})
		ask := func(wait time.Duration) time.Duration {
			return empty.Serve(context.Background(), request("once", "", wait), &recorder{}).RetryAfter
		}
		Expect(ask(15 * time.Second)).To(Equal(minReadyDelay))
		time.Sleep(2 * time.Second)
		Expect(ask(15 * time.Second)).To(Equal(2 * time.Second))
		Expect(ask(600 * time.Millisecond)).To(Equal(2 * time.Second))
	})
}

func TestHoldsColdRequestUntilItsModelIsLoaded(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.orders.set("n", time.Now().Add(2*time.Second))
		go func() {
			time.Sleep(2 * time.Second)
			Expect(b.forwarder.Demand()).To(ContainElement(HaveField("Waiting", 1)))
			b.view.ApplyPlacements([]*fleet.Server{{ID: "m2", Models: holds("n")}})
		}()
		outcome := b.forwarder.Serve(context.Background(), request("patient", "n", 10*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Cold).To(BeTrue())
		Expect(outcome.Held).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
		Expect(b.backend.servers()).To(Equal([]string{"m2"}))
		Expect(b.forwarder.Demand()).To(ContainElement(HaveField("Waiting", 0)))
	})
}

func TestRefusesAtOnceWhatCannotBeServedInTime(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.orders.ready = map[string]time.Time{"n": time.Now().Add(6 * time.Second)}
		started := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 20*time.Second), &recorder{})
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(outcome.Code).To(Equal(result.NoBackEnd))
		Expect(time.Since(started)).To(BeZero(), "its route's time limit of 5 s is over before the model is loaded")
		Expect(outcome.RetryAfter).To(BeNumerically("~", 6*time.Second+baseDelay, 5*time.Millisecond))
		row := b.forwarder.Demand()[0]
		Expect(row.Waiting).To(BeZero())
		Expect(row.ExpectedUntil).To(BeTemporally(">", time.Now().Add(outcome.RetryAfter)))
	})
}

// Guards against telling callers of an unreachable server that its queue is full, and to retry before it is
// tried again.
func TestRefusalSaysThatNoServerIsReached(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["p1"], b.backend.answer["p2"] = fails(FailureConnect, result.RanNo), fails(FailureConnect, result.RanNo)
		for range 4 {
			b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
			time.Sleep(maxPause)
		}
		b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		tries, started := b.backend.count("p1"), time.Now()
		b.limitRoutes(time.Second)
		outcome := b.forwarder.Serve(context.Background(), request("once", "", 20*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.BackEndUnreachable))
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(time.Since(started)).To(BeZero())
		Expect(outcome.RetryAfter).To(BeNumerically(">", time.Second))
		Expect(b.backend.count("p1")).To(Equal(tries))
		// The path is back.
		b.forwarder.PathsChanged()
		b.backend.answer["p1"], b.backend.answer["p2"] = answers(200, ""), answers(200, "")
		Expect(b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{}).Code).To(Equal(result.OK))
	})
}

// While no holder gives orders no model is loaded, so a request whose time limit ends before that is refused at
// once, with a Retry-After beyond that time. The same holds for adapters, which take no time to load.
func TestRetryAfterIncludesTimeUntilOrdersResume(t *testing.T) {
	for _, known := range []bool{true, false} {
		inVirtualTime(t, func(b *testbed) {
			b.orders.ordersIn, b.orders.noHolder = 2*time.Second, !known
			b.limitRoutes(2 * time.Second)
			missing := request("stream", "m", 30*time.Second)
			missing.Adapter = "a9"
			started := time.Now()
			outcome := b.forwarder.Serve(context.Background(), missing, &recorder{})
			Expect(outcome.Code).To(Equal(result.NoBackEnd))
			Expect(time.Since(started)).To(BeZero())
			expected := 2 * time.Second
			if !known {
				expected = takeoverDelay
			}
			Expect(outcome.RetryAfter).To(BeNumerically(">=", expected))
			Expect(outcome.RetryAfter).To(BeNumerically("<", expected+loadOverhead+baseDelay))
		})
	}
}

func TestStoppingNodeRefusesWhatItCannotSendInTime(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.orders.ready = map[string]time.Time{"n": time.Now().Add(3 * time.Second)}
		started := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { b.forwarder.Drain(started.Add(time.Second)) })
		outcome := b.forwarder.Serve(context.Background(), request("patient", "n", 10*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.NodeDraining))
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(outcome.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(started)).To(BeNumerically("<=", time.Second))
		late := time.Now()
		outcome = b.forwarder.Serve(context.Background(), request("patient", "n", 10*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.NodeDraining))
		Expect(time.Since(late)).To(BeZero(), "new requests are not held any more")
		outcome = b.forwarder.Serve(context.Background(), request("patient", "m", 10*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK), "requests that can be sent at once are served")
	})
}

func TestWaitsForThePlanBeforeRefusing(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		started := time.Now()
		b.limitRoutes(time.Second)
		time.AfterFunc(30*time.Millisecond, func() { b.orders.set("n", started.Add(500*time.Millisecond)) })
		time.AfterFunc(500*time.Millisecond, func() {
			b.view.ApplyPlacements([]*fleet.Server{{ID: "m1", Models: holds("m", "n")}})
		})
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK), "the planned load ends within the time limit, the estimated one does not")
		Expect(outcome.Held).To(BeNumerically(">=", 500*time.Millisecond))
	})
}

func TestRetryAfterFollowsThePlan(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		started := time.Now()
		b.limitRoutes(time.Second)
		time.AfterFunc(30*time.Millisecond, func() { b.orders.set("n", started.Add(1500*time.Millisecond)) })
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 20*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.NoBackEnd))
		Expect(time.Since(started)).To(BeNumerically("<=", planWaitLimit))
		Expect(time.Since(started) + outcome.RetryAfter).To(BeNumerically("~", 1500*time.Millisecond+baseDelay, 5*time.Millisecond))
	})
}

func TestRetryAfterFollowsServerRecordsWithoutAPlan(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.limitRoutes(2 * time.Second)
		started := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 20*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.NoBackEnd))
		Expect(time.Since(started)).To(BeNumerically("<=", planWaitLimit+planPollPeriod))
		// Nobody has planned the load in the time that it took: it is expected to be planned after as long again.
		Expect(outcome.RetryAfter - time.Since(started)).To(BeNumerically("~", 2*time.Second+loadOverhead, 5*time.Millisecond))
	})
}

func TestHoldsRequestWhoseLoadIsPlannedLater(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		started := time.Now()
		b.orders.set("n", started.Add(400*time.Millisecond))
		time.AfterFunc(300*time.Millisecond, func() { b.orders.set("n", started.Add(2*time.Second)) })
		time.AfterFunc(2*time.Second, func() { b.view.ApplyPlacements([]*fleet.Server{{ID: "m1", Models: holds("m", "n")}}) })
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK), "its load still ends in time")
	})
}

func TestRefusesAsSoonAsThePlanSlipsBeyondItsTime(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		started := time.Now()
		b.orders.set("n", started.Add(400*time.Millisecond))
		time.AfterFunc(110*time.Millisecond, func() { b.orders.set("n", started.Add(6*time.Second)) })
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.NoBackEnd))
		Expect(time.Since(started)).To(BeNumerically("<=", 200*time.Millisecond))
	})
}

func TestRefusesWhereTheQueueIsLongerThanItsTime(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
		b.forwarder.tracker.recordRunTime(modelPool, 2*time.Second)
		b.forwarder.tracker.of("m1").setReported(Load{Reported: true, Running: 8, Waiting: 11, Slots: 8}, time.Now())
		b.limitRoutes(2 * time.Second)
		started := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 20*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.QueueFull))
		Expect(time.Since(started)).To(BeZero())
		Expect(outcome.RetryAfter).To(Equal(3*time.Second), "twelve requests are ahead of each of eight slots, for 2 s each")
		Expect(b.backend.servers()).To(BeEmpty())
	})
}

func TestRefusesRequestThatWouldBeAnsweredAfterItsCallerLeaves(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		for _, waitLimit := range []time.Duration{0, 2 * time.Second} {
			route := *testRoutes()[0]
			route.CallerWaitLimit = waitLimit
			b.view.SetConfiguration(fleet.NewConfiguration(2, int64(2+waitLimit), []*fleet.Route{&route}, []*fleet.Pool{{
				Name: modelPool, Engine: testConfiguration().Pools[modelPool].Engine,
			}}, fleet.Limits{}))
			started := time.Now()
			b.orders.set("n", started.Add(3*time.Second))
			time.AfterFunc(3*time.Second, func() { b.view.ApplyPlacements([]*fleet.Server{{ID: "m1", Models: holds("m", "n")}}) })
			outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 10*time.Second), &recorder{})
			if waitLimit == 0 {
				Expect(outcome.Code).To(Equal(result.OK))
				b.view.ClearPlacements()
				continue
			}
			Expect(outcome.Code).To(Equal(result.NoBackEnd))
			Expect(time.Since(started)).To(BeZero(), "it is refused at once")
			Expect(outcome.RetryAfter).To(BeNumerically(">", 3*time.Second))
		}
	})
}

func TestQueueWaitIsThatOfTheShortestQueue(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.tracker.recordRunTime(modelPool, 2*time.Second)
		b.forwarder.tracker.of("m2").setReported(Load{Reported: true, Running: 8, Waiting: 11, Slots: 8}, time.Now())
		b.backend.answer["m1"] = streams(events(1, 3), time.Millisecond, io.EOF)
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 20*time.Second), &recorder{})
		Expect(outcome.Server).To(Equal("m1"))
		Expect(outcome.Decision.QueueWait).To(BeZero(), "one of two servers has a free slot")
	})
}
