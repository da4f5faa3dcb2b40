package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

func TestNonResumableStreamIsNotContinuedByAnotherRun(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		torn := append(events(1, 2), "id: 3\nda")
		b.backend.answer["m1"] = streams(torn, time.Millisecond, io.ErrUnexpectedEOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		answer := &recorder{}
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), answer)
		Expect(outcome.Broken).To(BeTrue())
		Expect(outcome.Code).NotTo(Equal(result.OK))
		Expect(answer.body.String()).To(Equal(strings.Join(events(1, 2), "")), "an incomplete event is not passed on")
		Expect(b.backend.servers()).To(HaveLen(1))
	})
}

func TestStreamThatEndsWithinAnEventIsBroken(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["m1"] = streams(append(events(1, 2), "id: 3\nda"), time.Millisecond, io.EOF)
		b.backend.answer["m2"] = b.backend.answer["m1"]
		outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
		Expect(outcome.Broken).To(BeTrue())
	})
}

func TestResumableStreamContinuesAtAnotherServer(t *testing.T) {
	cases := map[string]func(context.Context, Attempt) (*Reply, error){
		"broken":            streams(append(events(1, 2), "id: 3\nda"), time.Millisecond, io.ErrUnexpectedEOF),
		"silent":            stallsAfter(events(1, 2)),
		"before any event":  streams(nil, time.Millisecond, io.ErrUnexpectedEOF),
		"no answer at all":  fails(FailureBroken, result.RanUnknown),
		"answered with 503": answers(503, "no"),
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				var once sync.Once
				answer := func(ctx context.Context, attempt Attempt) (reply *Reply, err error) {
					done := false
					once.Do(func() { reply, err, done = answerOf(first, ctx, attempt) })
					if done {
						return reply, err
					}
					from := 1
					if attempt.ResumeAfter != "" {
						_, _ = fmt.Sscan(attempt.ResumeAfter, &from)
						// The server sends the last event again, which must not be passed on twice.
					}
					return streams(events(from, 4), time.Millisecond, io.EOF)(ctx, attempt)
				}
				b.backend.answer["m1"], b.backend.answer["m2"] = answer, answer
				seen := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), seen)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(seen.body.String()).To(Equal(strings.Join(events(1, 4), "")))
				Expect(seen.begun).To(Equal(1))
				Expect(b.backend.servers()).To(HaveLen(2))
			})
		})
	}
}

// A stream that paused was cancelled although no other server could continue it, and its request
// was lost (scenario trouble-3 of sofrakod-yemekhane without its first shift, seed 12).
func TestStalledStreamIsNotCancelledWhereNoOtherServerCanContinue(t *testing.T) {
	cases := map[string]func(b *testbed){
		"no other server holds the model": func(b *testbed) {
			b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
		},
		"the node is stopping": func(b *testbed) {
			b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
			b.forwarder.Drain(time.Now().Add(time.Second))
		},
		"the retry budget is spent": func(b *testbed) {
			b.forwarder.budgets = newBudgets(BudgetLimits{Window: 10 * time.Second}, 1)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				change(b)
				b.backend.answer["m1"] = pausing(2 * time.Second)
				answer := &recorder{}
				outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), answer)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(answer.body.String()).To(Equal(strings.Join(events(1, 5), "")))
				Expect(b.backend.servers()).To(Equal([]string{"m1"}))
			})
		})
	}
}

func TestStalledStreamContinuesOnceAnotherServerCan(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
		b.backend.answer["m1"] = pausing(time.Minute)
		b.backend.answer["m2"] = streams(events(2, 5), time.Millisecond, io.EOF)
		time.AfterFunc(2*time.Second, func() {
			b.view.ReplaceServers(map[string]*fleet.Server{
				"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"},
				"m2": {ID: "m2", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"},
			})
		})
		answer := &recorder{}
		outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 5*time.Second), answer)
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(answer.body.String()).To(Equal(strings.Join(events(1, 5), "")))
		Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
		for id, load := range b.forwarder.tracker.servers {
			Expect(load.own).To(BeZero(), id)
		}
	})
}

func TestReportsLateness(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.ReplaceServers(map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z"}})
		ends := map[Lateness]func(context.Context, Attempt) (*Reply, error){
			OnTime:    streams(events(1, 3), 100*time.Millisecond, io.EOF),
			LateStart: after(900*time.Millisecond, streams(events(1, 3), time.Millisecond, io.EOF)),
			LateGap:   streams(events(1, 3), 500*time.Millisecond, io.EOF),
		}
		for expected, answer := range ends {
			b.backend.answer["m1"] = answer
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Late).To(Equal(expected))
		}
	})
}
