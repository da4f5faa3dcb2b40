package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/result"
)

// fakeGuard records reports, and quarantines all requests until a time.
type fakeGuard struct {
	mutex  sync.Mutex
	until  time.Time
	broke  []string
	ended  []string
	served int
	// trial is granted to each request; ends tells of those that ended whether they were sent.
	trial *poison.Trial
	ends  []bool
}

func (g *fakeGuard) Refused(request poison.Request) (poison.Refusal, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return poison.Refusal{RetryAfter: time.Until(g.until)}, request.Trial == nil && time.Now().Before(g.until)
}

func (g *fakeGuard) Admit(_ context.Context, request poison.Request, _ time.Time) (*poison.Trial, *poison.Refusal) {
	if refusal, refused := g.Refused(request); refused {
		return g.trial, &refusal
	}
	return g.trial, nil
}

func (g *fakeGuard) EndTrial(trial *poison.Trial, sent bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if trial != nil {
		g.ends = append(g.ends, sent)
	}
}

// AnswerUnframed is counted with the attempts that broke.
func (g *fakeGuard) AnswerUnframed(ctx context.Context, request poison.Request, server *fleet.Server, began time.Time) {
	g.AttemptBroken(ctx, request, server, began)
}

// quarantine refuses all requests for the time.
func (g *fakeGuard) quarantine(span time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.until = time.Now().Add(span)
}

func (g *fakeGuard) AttemptBroken(_ context.Context, _ poison.Request, server *fleet.Server, _ time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.broke = append(g.broke, server.ID)
}

func (g *fakeGuard) ServerCrashed(server, _ string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ended = append(g.ended, server)
}

func (g *fakeGuard) RequestServed(poison.Request, time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.served++
}

func withGuard(t *testing.T, body func(b *testbed, guard *fakeGuard)) {
	inVirtualTime(t, func(b *testbed) {
		guard := &fakeGuard{}
		b.forwarder.poison = guard
		body(b, guard)
	})
}

func TestPoisonRequestIsRefusedAtOnce(t *testing.T) {
	withGuard(t, func(b *testbed, guard *fakeGuard) {
		guard.quarantine(10 * time.Minute)
		outcome := b.forwarder.Serve(context.Background(), request("stream", "n", time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.RequestPoisonous))
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(outcome.RetryAfter).To(Equal(10 * time.Minute))
		Expect(b.backend.servers()).To(BeEmpty())
		// No load is requested for it.
		Expect(b.forwarder.Demand()).To(BeEmpty())
	})
}

// A stream that ended within foreign data counted against its request, as if it had crashed the server.
func TestForeignDataIsNoCrash(t *testing.T) {
	for name, block := range foreignBlocks {
		for _, route := range []string{"stream", "patient"} {
			for place, parts := range map[string][]string{"end": append(events(1, 2), block), "middle": slices.Concat(events(1, 2), []string{block}, events(3, 4))} {
				t.Run(name+", "+place+", "+route, func(t *testing.T) {
					withGuard(t, func(b *testbed, guard *fakeGuard) {
						b.inTurn(raw(parts...), raw(events(3, 4)...))
						serveStream(b, route, "")
						Expect(guard.broke).To(BeEmpty())
						Expect(guard.ended).To(BeEmpty())
						failed := b.forwarder.tracker.servers[b.backend.servers()[0]]
						Expect(failed.failures).To(BeNumerically(">", 0), "a failed result of the server")
					})
				})
			}
		}
	}
}

// Guards against the check for foreign data hiding a crash: only a framed response proves that its end is not one.
func TestStreamThatACrashCutsWithinAnEventCounts(t *testing.T) {
	cut := append(events(1, 2), "id: 3\nda")
	for name, answer := range map[string]answerFunc{
		"framed": streams(cut, time.Millisecond, io.ErrUnexpectedEOF), "unframed": unframed(raw(cut...)),
	} {
		t.Run(name, func(t *testing.T) {
			withGuard(t, func(b *testbed, guard *fakeGuard) {
				b.inTurn(answer)
				serveStream(b, "stream", "")
				Expect(guard.broke).To(HaveLen(1))
			})
		})
	}
}

// A request that is quarantined while it is held, between two attempts or within a stream is not
// sent to another server.
func TestPoisonRequestInFlightIsStopped(t *testing.T) {
	broken := errors.Join(io.ErrUnexpectedEOF)
	cases := map[string]struct {
		route, model string
		answer       func(guard *fakeGuard) func(context.Context, Attempt) (*Reply, error)
		attempts     int
		code         result.Code
		ran          result.Ran
	}{
		"held for a cold model": {"patient", "n", nil, 0, result.RequestPoisonous, result.RanNo},
		"between two attempts": {"repeat", "", func(guard *fakeGuard) func(context.Context, Attempt) (*Reply, error) {
			return func(context.Context, Attempt) (*Reply, error) {
				guard.quarantine(time.Minute)
				return nil, &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown, Cause: broken}
			}
		}, 1, result.OutcomeUnknown, result.RanUnknown},
		"refused by a full server": {"repeat", "", func(guard *fakeGuard) func(context.Context, Attempt) (*Reply, error) {
			return func(context.Context, Attempt) (*Reply, error) {
				guard.quarantine(time.Minute)
				return nil, &AttemptError{Reason: FailureFull, Ran: result.RanNo}
			}
		}, 1, result.RequestPoisonous, result.RanNo},
		"within a stream that could go on": {"patient", "m", func(guard *fakeGuard) func(context.Context, Attempt) (*Reply, error) {
			return func(ctx context.Context, attempt Attempt) (*Reply, error) {
				guard.quarantine(time.Minute)
				return streams(events(1, 1), time.Millisecond, io.ErrUnexpectedEOF)(ctx, attempt)
			}
		}, 1, result.StreamBroken, result.RanYes},
		"hanging, while another server is free": {"repeat", "", func(guard *fakeGuard) func(context.Context, Attempt) (*Reply, error) {
			return func(ctx context.Context, attempt Attempt) (*Reply, error) {
				guard.quarantine(time.Minute)
				return hangs(ctx, attempt)
			}
		}, 1, result.DeadlinePassed, result.RanUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withGuard(t, func(b *testbed, guard *fakeGuard) {
				if test.answer == nil {
					b.orders.set("n", time.Now().Add(time.Second))
					time.AfterFunc(500*time.Millisecond, func() { guard.quarantine(time.Minute) })
				} else {
					for id := range b.backend.answer {
						b.backend.answer[id] = test.answer(guard)
					}
				}
				began := time.Now()
				outcome := b.forwarder.Serve(context.Background(), request(test.route, test.model, 5*time.Second), &recorder{})
				Expect(outcome.Code).To(Equal(test.code))
				Expect(outcome.Ran).To(Equal(test.ran))
				Expect(b.backend.servers()).To(HaveLen(test.attempts))
				if test.answer == nil {
					Expect(time.Since(began)).To(BeNumerically("<=", 500*time.Millisecond+pollPeriod))
				}
			})
		})
	}
}

// Only a connection that the server closed, or proof that its process has ended, is reported to the
// guard as a possible crash.
func TestWhatAnAttemptReportsOfItsServer(t *testing.T) {
	failsWith := func(reason FailureReason, cause error) func(context.Context, Attempt) (*Reply, error) {
		return func(context.Context, Attempt) (*Reply, error) {
			return nil, &AttemptError{Reason: reason, Ran: result.RanUnknown, Cause: cause}
		}
	}
	cases := map[string]struct {
		answer               func(context.Context, Attempt) (*Reply, error)
		broke, ended, served int
	}{
		"closed before its answer":  {failsWith(FailureBroken, io.ErrUnexpectedEOF), 1, 0, 0},
		"reset before its answer":   {failsWith(FailureBroken, syscall.ECONNRESET), 1, 0, 0},
		"closed within its answer":  {breaksOff, 1, 0, 0},
		"times out":                 {failsWith(FailureBroken, syscall.ETIMEDOUT), 0, 0, 0},
		"no response in time":       {failsWith(FailureTimeout, nil), 0, 0, 0},
		"invalid response":          {failsWith(FailureBroken, errors.New("malformed")), 0, 0, 0},
		"hangs until the deadline":  {hangs, 0, 0, 0},
		"refuses connections":       {failsWith(FailureConnect, syscall.ECONNREFUSED), 0, 1, 0},
		"connecting times out":      {failsWith(FailureConnect, syscall.ETIMEDOUT), 0, 0, 0},
		"another instance answers":  {failsWith(FailureOtherInstance, nil), 0, 1, 0},
		"served":                    {answers(200, "fine"), 0, 0, 1},
		"failed with an answer":     {answers(500, "broken"), 0, 0, 0},
		"body without a length":     {unframed(answers(200, "fine")), 1, 0, 0},
		"reports to be full":        {failsWith(FailureFull, nil), 0, 0, 0},
		"does not hold the adapter": {failsWith(FailureNotHeld, nil), 0, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withGuard(t, func(b *testbed, guard *fakeGuard) {
				b.backend.answer["p1"], b.backend.answer["p2"] = test.answer, test.answer
				b.forwarder.Serve(context.Background(), request("once", "", 50*time.Millisecond), &recorder{})
				Expect(guard.broke).To(HaveLen(test.broke))
				Expect(guard.ended).To(HaveLen(test.ended))
				Expect(guard.served).To(Equal(test.served))
			})
		})
	}
}

// disconnectedCaller is a responder whose caller has closed the connection.
type disconnectedCaller struct{ recorder }

func (g *disconnectedCaller) Write([]byte) error { return syscall.EPIPE }

// An error of the caller's connection is not taken for one of the server's.
func TestCallerThatLeavesIsNoServerCrash(t *testing.T) {
	withGuard(t, func(b *testbed, guard *fakeGuard) {
		b.forwarder.Serve(context.Background(), request("repeat", "", time.Second), &disconnectedCaller{})
		b.forwarder.Serve(context.Background(), request("stream", "m", time.Second), &disconnectedCaller{})
		Expect(guard.broke).To(BeEmpty())
	})
}
