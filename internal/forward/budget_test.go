package forward

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// newBudgets returns a budget with even shares of the slack.
func newBudgets(limits BudgetLimits, nodes int) *retrybudget.Budget {
	budget := retrybudget.New(retrybudget.Config{Limits: limits, Nodes: nodes})
	budget.SetNoEarlierProcess()
	return budget
}

// slowFleet answers after 100 ms, unless the request ends first; if it answers late, it answers
// just then.
type slowFleet struct {
	answer retrybudget.Answer
	late   bool
}

func (s slowFleet) Take(ctx context.Context, _ retrybudget.Retry, _ float64, _ time.Duration) retrybudget.Answer {
	select {
	case <-ctx.Done():
		if s.late {
			return s.answer
		}
		return retrybudget.Answer{}
	case <-time.After(100 * time.Millisecond):
		return s.answer
	}
}

var allowed = retrybudget.Answer{Counted: true, Allowed: true}

// useFleet makes the testbed's node one of 91 that share the slack.
func (b *testbed) useFleet(fleet slowFleet) {
	b.forwarder.budgets = retrybudget.New(retrybudget.Config{
		Limits: BudgetLimits{Ratio: 0.2, Slack: 222, Window: 10 * time.Second}, Nodes: 91, Fleet: fleet,
	})
	b.forwarder.budgets.SetNoEarlierProcess()
}

// Guards against retries that ignore the fleet's answer.
func TestRetryFollowsTheAnswerOfTheFleet(t *testing.T) {
	answers := map[retrybudget.Answer]result.Code{
		allowed:         result.OK,
		{Counted: true}: result.RetryBudgetSpent,
		{}:              result.RetryBudgetSpent,
	}
	for answer, code := range answers {
		inVirtualTime(t, func(b *testbed) {
			b.useFleet(slowFleet{answer: answer})
			b.backend.answer["p1"] = fails(FailureFull, result.RanNo)
			outcome := b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(code))
		})
	}
}

// Guards against a response that waits until the fleet has decided whether another server may take
// the request over, and against capacity that stays reserved there.
func TestResponseEndsTheSearchForAnotherServer(t *testing.T) {
	for _, late := range []bool{false, true} {
		inVirtualTime(t, func(b *testbed) { endsSearch(b, slowFleet{answer: allowed, late: late}) })
	}
}

// endsSearch serves a request whose response arrives while the fleet is asked.
func endsSearch(b *testbed, fleet slowFleet) {
	b.useFleet(fleet)
	// Each of two attempts has half of 5 s, less the margin.
	b.backend.answer["m1"] = after(2540*time.Millisecond, streams(events(1, 3), time.Millisecond, io.EOF))
	outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
	Expect(outcome.Code).To(Equal(result.OK))
	Expect(outcome.FirstByte).To(Equal(2540 * time.Millisecond))
	Expect(b.backend.servers()).To(Equal([]string{"m1"}))
	time.Sleep(time.Second)
	for id, load := range b.forwarder.tracker.servers {
		Expect(load.own).To(BeZero(), id)
	}
}

// Guards against a switch-over that never happens because the fleet has to be asked for it.
func TestSwitchoverWaitsForTheAnswerOfTheFleet(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.useFleet(slowFleet{answer: allowed})
		b.backend.answer["m1"] = hangs
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
	})
}

// Guards against a caller who leaves during the call and is reported as refused, and after whom the
// node takes itself to be cut off from the counter nodes.
func TestCallerWhoLeavesWhileTheFleetIsAsked(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.useFleet(slowFleet{answer: allowed})
		b.backend.answer["p1"] = fails(FailureFull, result.RanNo)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		Expect(b.forwarder.Serve(ctx, request("repeat", "", time.Second), &recorder{}).Code).To(Equal(result.CallerGone))
		decision := b.forwarder.budgets.Take(context.Background(), retrybudget.Retry{Pool: plainPool}, time.Now())
		Expect(decision.By).To(Equal(retrybudget.ByFleet))
	})
}

// Guards against requests that are refused since the budget was used up by attempts that reached no
// server: only what reaches a server beyond a request's first arrival is a retry.
func TestAttemptsThatReachNoServerUseNoRetries(t *testing.T) {
	for name, test := range map[string]struct {
		first func(context.Context, Attempt) (*Reply, error)
		code  result.Code
	}{
		"no connection":   {fails(FailureConnect, result.RanNo), result.OK},
		"refused as full": {fails(FailureFull, result.RanNo), result.RetryBudgetSpent},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				b.forwarder.budgets = newBudgets(BudgetLimits{Window: 10 * time.Second}, 1)
				b.backend.answer["p1"] = test.first
				outcome := b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), &recorder{})
				Expect(outcome.Code).To(Equal(test.code))
			})
		})
	}
}

// Guards against callers who wait for a server that their request will not be sent to, since its retry is not allowed.
func TestSpentBudgetEndsARequestBeforeItWaits(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.budgets = newBudgets(BudgetLimits{Window: 10 * time.Second}, 1)
		b.orders.set("m", time.Now().Add(2*time.Second))
		b.backend.answer["m1"] = func(context.Context, Attempt) (*Reply, error) {
			b.view.ReplaceServers(map[string]*fleet.Server{})
			return nil, &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown}
		}
		started := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OutcomeUnknown))
		Expect(time.Since(started)).To(BeZero())
	})
}
