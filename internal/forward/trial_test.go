package forward

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/result"
)

// Guards against a request on trial that crashes a second server: it is sent to one only, whatever that
// one answers, and to another only if nothing was sent.
func TestRequestOnTrialReachesOneServer(t *testing.T) {
	refusesFirst := func() func(context.Context, Attempt) (*Reply, error) {
		first := true
		return func(ctx context.Context, attempt Attempt) (*Reply, error) {
			if first {
				first = false
				return nil, &AttemptError{Reason: FailureConnect, Ran: result.RanNo, Cause: syscall.ECONNREFUSED}
			}
			return answers(200, "fine")(ctx, attempt)
		}
	}
	cases := map[string]struct {
		answer   func(context.Context, Attempt) (*Reply, error)
		attempts int
		sent     bool
	}{
		"served":                {answers(200, "fine"), 1, true},
		"crashed before a head": {fails(FailureBroken, result.RanUnknown), 1, true},
		"crashed within":        {breaksOff, 1, true},
		"failed with an answer": {answers(503, "no"), 1, true},
		"turned away":           {fails(FailureFull, result.RanNo), 1, true},
		"hangs":                 {hangs, 1, true},
		"not connected":         {refusesFirst(), 2, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withGuard(t, func(b *testbed, guard *fakeGuard) {
				guard.trial = &poison.Trial{}
				b.backend.answer["p1"], b.backend.answer["p2"] = test.answer, test.answer
				b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), &recorder{})
				Expect(b.backend.servers()).To(HaveLen(test.attempts))
				Expect(guard.ends).To(Equal([]bool{test.sent}))
			})
		})
	}
}

// Guards against a trial that takes the other requests of a busy server with it.
func TestRequestOnTrialGoesToTheServerWithTheFewestRequests(t *testing.T) {
	withGuard(t, func(b *testbed, guard *fakeGuard) {
		b.backend.answer["p1"], b.backend.answer["p2"] = hangs, hangs
		ctx, leave := context.WithCancel(context.Background())
		go b.forwarder.Serve(ctx, request("once", "", time.Minute), &recorder{})
		synctest.Wait()
		busy := b.backend.servers()[0]
		other := map[string]string{"p1": "p2", "p2": "p1"}[busy]
		b.backend.mutex.Lock()
		b.backend.answer[other] = answers(200, "fine")
		b.backend.mutex.Unlock()
		guard.mutex.Lock()
		guard.trial = &poison.Trial{}
		guard.mutex.Unlock()
		for range 5 {
			outcome := b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
		}
		Expect(b.backend.count(busy)).To(Equal(1))
		leave()
		synctest.Wait()
	})
}

// Guards against a trial that is never ended, since its request is refused or its caller leaves first.
func TestTrialEndsWithItsRequest(t *testing.T) {
	withGuard(t, func(b *testbed, guard *fakeGuard) {
		guard.trial = &poison.Trial{}
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", 50*time.Millisecond), &recorder{})
		Expect(outcome.Code).NotTo(Equal(result.OK))
		Expect(guard.ends).To(Equal([]bool{false}))

		b.backend.answer["m1"] = streams(events(1, 3), time.Second, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer leave()
		b.forwarder.Serve(ctx, request("stream", "m", 5*time.Second), &recorder{})
		Expect(guard.ends).To(Equal([]bool{false, true}))
	})
}
