package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// fakeBackoffs are the backoffs that servers requested.
type fakeBackoffs struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func (p *fakeBackoffs) BackoffUntil(server *fleet.Server) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.until[server.ID]
}

func (p *fakeBackoffs) backOff(pause time.Duration, servers ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, server := range servers {
		p.until[server] = time.Now().Add(pause)
	}
}

// withBackoffs runs the body with a forwarder whose servers may request backoffs.
func withBackoffs(t *testing.T, body func(b *testbed, backoffs *fakeBackoffs)) {
	inVirtualTime(t, func(b *testbed) {
		backoffs := &fakeBackoffs{until: map[string]time.Time{}}
		b.forwarder.backoffs = backoffs
		body(b, backoffs)
	})
}

// backsOff rejects a request and requests a backoff.
func backsOff(backoffs *fakeBackoffs, pause time.Duration) func(context.Context, Attempt) (*Reply, error) {
	return func(_ context.Context, attempt Attempt) (*Reply, error) {
		backoffs.backOff(pause, attempt.Server.ID)
		return nil, &AttemptError{Reason: FailureBackoff, Ran: result.RanNo, Load: Load{Reported: true, Slots: 8}}
	}
}

func TestServerInBackoffIsNotChosen(t *testing.T) {
	withBackoffs(t, func(b *testbed, backoffs *fakeBackoffs) {
		b.backend.answer["m1"] = backsOff(backoffs, 3*time.Second)
		for range 20 {
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(b.backend.count("m1")).To(BeNumerically("<=", 1))
	})
}

// While all servers that hold a model back off for longer than a request's time limit, the model is not missing: no
// load of it is requested, and requests are refused at once with the time until the first backoff ends.
func TestRetryAfterCoversTheShortestBackoff(t *testing.T) {
	withBackoffs(t, func(b *testbed, backoffs *fakeBackoffs) {
		b.limitRoutes(2 * time.Second)
		backoffs.backOff(3*time.Second, "m1")
		backoffs.backOff(2*time.Second, "m2")
		for range 30 {
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 20*time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.QueueFull))
			Expect(outcome.Ran).To(Equal(result.RanNo))
			Expect(outcome.Held).To(BeZero())
			Expect(outcome.RetryAfter).To(BeNumerically(">=", 2*time.Second))
			Expect(outcome.RetryAfter).To(BeNumerically("<=", 2500*time.Millisecond))
		}
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 3*time.Second), &recorder{})
		Expect(outcome.RetryAfter).To(BeNumerically(">=", 2*time.Second), "whatever time the caller has")
		Expect(b.backend.servers()).To(BeEmpty())
		Expect(b.forwarder.Demand()).To(HaveEach(HaveField("Waiting", 0)))
		Expect(b.forwarder.Demand()).To(HaveEach(HaveField("ExpectedUntil", time.Time{})))
	})
}

func TestRequestIsHeldForABackoffThatItsTimeAllows(t *testing.T) {
	withBackoffs(t, func(b *testbed, backoffs *fakeBackoffs) {
		backoffs.backOff(3*time.Second, "m1")
		backoffs.backOff(time.Second, "m2")
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 10*time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Cold).To(BeFalse())
		Expect(outcome.Held).To(BeNumerically(">=", time.Second))
		Expect(outcome.Held).To(BeNumerically("<=", time.Second+pollPeriod))
		Expect(b.backend.servers()).To(Equal([]string{"m2"}))
	})
}

// A server's notice or its record's change may arrive between its choice and the attempt. Guards
// against requests to servers whose records said that they drain, or were gone.
func TestNoticeAfterTheChoiceKeepsTheRequestFromTheServer(t *testing.T) {
	for name, notify := range map[string]func(b *testbed, backoffs *fakeBackoffs){
		"pause":    func(_ *testbed, backoffs *fakeBackoffs) { backoffs.backOff(3*time.Second, "m1") },
		"leaving":  func(b *testbed, _ *fakeBackoffs) { b.view.SetLeaving(fleet.Incarnation{ID: "m1"}) },
		"draining": func(b *testbed, _ *fakeBackoffs) { b.setDraining("m1") },
		"gone":     func(b *testbed, _ *fakeBackoffs) { b.view.UpdateServers(map[string]*fleet.Server{"m1": nil}) },
	} {
		t.Run(name, func(t *testing.T) {
			withBackoffs(t, func(b *testbed, backoffs *fakeBackoffs) {
				b.expectNothingSentAfter(func() { notify(b, backoffs) })
			})
		})
	}
}

// expectNothingSentAfter chooses the only server for a request, m1, has it send a notice, and
// expects that the request is not sent there and that its reserved capacity is released.
func (b *testbed) expectNothingSentAfter(notify func()) {
	asked := request("patient", "m", 10*time.Second)
	flow := b.forwarder.newFlow(asked, b.view.Load().Configuration.Match(asked.Host, asked.Path))
	b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
	target, refusal := b.forwarder.nextTarget(context.Background(), flow)
	Expect(refusal).To(BeNil())
	Expect(target.server.ID).To(Equal("m1"))
	notify()
	outcome, next := b.forwarder.attempt(context.Background(), flow, target, &recorder{})
	Expect(outcome).To(BeNil())
	Expect(next).To(BeNil())
	Expect(b.backend.servers()).To(BeEmpty())
	Expect(flow.attempts).To(BeZero())
	Expect(target.load.own).To(BeZero())
}

// A server that requests another backoff after each one costs a request one attempt per backoff.
func TestConsecutiveBackoffsCostOneAttemptEach(t *testing.T) {
	withBackoffs(t, func(b *testbed, backoffs *fakeBackoffs) {
		b.limitRoutes(4 * time.Second)
		b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
		b.backend.answer["m1"] = backsOff(backoffs, 900*time.Millisecond)
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 10*time.Second), &recorder{})
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(outcome.RetryAfter).To(BeNumerically(">=", 800*time.Millisecond))
		Expect(b.backend.count("m1")).To(BeNumerically("<=", 5))
	})
}
