package forward

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

func TestNonRepeatableRequestRunsAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		first    func(context.Context, Attempt) (*Reply, error)
		attempts int
		code     result.Code
		ran      result.Ran
	}{
		"never sent":            {fails(FailureConnect, result.RanNo), 2, result.OK, result.RanYes},
		"refused as full":       {fails(FailureFull, result.RanNo), 2, result.OK, result.RanYes},
		"answer lost":           {fails(FailureBroken, result.RanUnknown), 1, result.OutcomeUnknown, result.RanUnknown},
		"server failed":         {answers(500, "broken"), 1, result.OK, result.RanYes},
		"refused without proof": {readsAsNotRun(answers(503, "full")), 1, result.OutcomeUnknown, result.RanUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.backend.answer["p1"] = test.first
				outcome := b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
				Expect(outcome.Code).To(Equal(test.code))
				Expect(outcome.Ran).To(Equal(test.ran))
				Expect(b.backend.servers()).To(HaveLen(test.attempts))
			})
		})
	}
}

func TestRepeatableRequestIsRetriedWithinItsAttempts(t *testing.T) {
	cases := map[string]struct {
		first, second func(context.Context, Attempt) (*Reply, error)
		code          result.Code
		status        int
		attempts      int
	}{
		"answer lost":           {fails(FailureBroken, result.RanUnknown), answers(200, "fine"), result.OK, 200, 2},
		"server failed":         {answers(500, "broken"), answers(200, "fine"), result.OK, 200, 2},
		"hangs":                 {hangs, answers(200, "fine"), result.OK, 200, 2},
		"both fail":             {answers(500, "broken"), answers(500, "broken"), result.OK, 500, 2},
		"both lose the answer":  {fails(FailureBroken, result.RanUnknown), fails(FailureBroken, result.RanUnknown), result.OutcomeUnknown, 0, 2},
		"answer broken halfway": {breaksOff, answers(200, "fine"), result.OK, 200, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.backend.answer["p1"], b.backend.answer["p2"] = test.first, test.second
				answer := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), answer)
				Expect(outcome.Code).To(Equal(test.code))
				Expect(outcome.Status).To(Equal(test.status))
				Expect(b.backend.servers()).To(HaveLen(test.attempts))
				if test.status == 200 {
					Expect(answer.body.String()).To(Equal("fine"))
				}
			})
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		b := newTestbed(8)
		b.backend.answer["p1"] = fails(FailureFull, result.RanNo)
		b.backend.answer["p2"] = fails(FailureFull, result.RanNo)
		// All within one window of the budget.
		const requests = 100
		outcomes := make([]Outcome, requests)
		var group sync.WaitGroup
		for i := range outcomes {
			group.Go(func() {
				outcomes[i] = b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), &recorder{})
			})
		}
		group.Wait()
		Expect(outcomes).To(HaveEach(HaveField("Ran", result.RanNo)))
		repeats := len(b.backend.servers()) - requests
		Expect(repeats).To(BeNumerically("<=", 8+requests/5))
	})
}

// A request that takes long is reported once, with its server.
func TestReportsLongRunningRequests(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		var reported []LongRunning
		b.forwarder.longRunning = func(seen LongRunning) { reported = append(reported, seen) }
		b.forwarder.Serve(context.Background(), request("once", "", time.Minute), &recorder{})
		Expect(reported).To(BeEmpty())
		for id := range b.backend.answer {
			b.backend.answer[id] = hangs
		}
		b.forwarder.Serve(context.Background(), request("once", "", time.Minute), &recorder{})
		Expect(reported).To(HaveLen(1))
		Expect(reported[0].Server).NotTo(BeEmpty())
		Expect(reported[0].Route).To(Equal("once"))
	})
}

func TestEndsAtTheRoutesTimeout(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		inVirtualTime(t, func(b *testbed) {
			for id := range b.backend.answer {
				b.backend.answer[id] = hangs
			}
			started := time.Now()
			model := map[string]string{"stream": "m"}[route]
			outcome := b.forwarder.Serve(context.Background(), request(route, model, time.Minute), &recorder{})
			Expect(outcome.Code).To(Equal(result.DeadlinePassed))
			Expect(outcome.Ran).To(Equal(result.RanUnknown))
			Expect(time.Since(started)).To(Equal(5 * time.Second))
			Expect(b.backend.servers()).To(HaveLen(1))
		})
	}
}

func TestAnswersBeforeTheCallersDeadline(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["p1"] = hangs
		started := time.Now()
		b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		Expect(b.backend.attempts[0].Deadline).To(BeTemporally("<", started.Add(time.Second)))
	})
}

func TestAttemptIsCancelledWhenTheCallerLeaves(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["m1"] = streams(events(1, 100), 50*time.Millisecond, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, leave)
		started := time.Now()
		outcome := b.forwarder.Serve(ctx, request("stream", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.CallerGone))
		Expect(time.Since(started)).To(Equal(time.Second))
	})
}

func TestCloseAnswersEachRequest(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["p1"] = hangs
		b.backend.answer["p2"] = hangs
		b.backend.answer["m1"] = streams(events(1, 1000), 50*time.Millisecond, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		started := time.Now()
		time.AfterFunc(time.Second, b.forwarder.Close)
		outcomes := make(chan Outcome, 3)
		for _, asked := range []*Request{request("patient", "n", 10*time.Second), request("once", "", 10*time.Second), request("stream", "m", 10*time.Second)} {
			go func() { outcomes <- b.forwarder.Serve(context.Background(), asked, &recorder{}) }()
		}
		found := map[result.Code]Outcome{}
		for range 3 {
			outcome := <-outcomes
			found[outcome.Code] = outcome
		}
		Expect(time.Since(started)).To(Equal(time.Second))
		Expect(found[result.NodeDraining].Ran).To(Equal(result.RanNo))
		Expect(found[result.OutcomeUnknown].Ran).To(Equal(result.RanUnknown))
		Expect(found[result.StreamBroken].Broken).To(BeTrue())
	})
}

func TestRepeatableRequestWaitsForAnotherServer(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m")}})
		b.backend.answer["m1"] = func(context.Context, Attempt) (*Reply, error) {
			time.Sleep(3900 * time.Millisecond)
			b.view.ReplaceServers(map[string]*fleet.Server{})
			return nil, &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown}
		}
		b.orders.set("m", time.Now().Add(4500*time.Millisecond))
		time.AfterFunc(4500*time.Millisecond, func() {
			b.view.ReplaceServers(map[string]*fleet.Server{"m2": {ID: "m2", Pool: modelPool, Slots: 8, Models: holds("m")}})
		})
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
	})
}

func TestSlowAttemptGoesOnWhereNoOtherServerCanTakeIt(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(map[string]*fleet.Server{"p1": {ID: "p1", Pool: plainPool, Slots: 2, Zone: "z"}})
		b.backend.answer["p1"] = func(ctx context.Context, attempt Attempt) (*Reply, error) {
			select {
			case <-ctx.Done():
				return nil, &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown, Cause: ctx.Err()}
			case <-time.After(800 * time.Millisecond):
				return answers(200, "fine")(ctx, attempt)
			}
		}
		outcome := b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"p1"}))
	})
}
