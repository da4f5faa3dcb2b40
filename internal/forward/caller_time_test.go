package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// callerTime is the time that the callers of callerTimeSituations have.
const callerTime = 6 * time.Second

// callerTimeSituation is the work that is left before a request can be served.
type callerTimeSituation struct {
	name string
	// model that the request needs.
	model string
	// begin makes the situation; it is called when the request arrives.
	begin func(b *testbed)
	// served: the request can be served within its caller's time. Then it is sent at sentAt, and otherwise it
	// is known at knownAt that it can't be.
	served          bool
	sentAt, knownAt time.Duration
}

// loads plans a load of the model n that ends so long from now, and ends it then.
func (b *testbed) loads(after time.Duration) {
	b.orders.set("n", time.Now().Add(after))
	time.AfterFunc(after, func() { b.view.ApplyPlacements([]*fleet.Server{{ID: "m1", Models: holds("m", "n")}}) })
}

// slips plans a load that ends soon, and plans it again for so long after the arrival.
func (b *testbed) slips(after time.Duration) {
	arrived := time.Now()
	b.orders.set("n", arrived.Add(400*time.Millisecond))
	time.AfterFunc(300*time.Millisecond, func() { b.loads(time.Until(arrived.Add(after))) })
}

// queues makes both holders of the model m busy, with a queue that is worked off after so long.
func (b *testbed) queues(after time.Duration) {
	const slots = 8
	b.forwarder.tracker.runTime[modelPool] = float64(time.Second)
	for _, id := range []string{"m1", "m2"} {
		waiting := int(after.Seconds()*slots) - 1
		b.forwarder.tracker.of(id).setReported(Load{Reported: true, Running: slots, Waiting: waiting, Slots: slots}, time.Now())
	}
}

func callerTimeSituations() []callerTimeSituation {
	const ms = time.Millisecond
	return []callerTimeSituation{
		{name: "load ends early", model: "n", begin: func(b *testbed) { b.loads(1500 * ms) }, served: true, sentAt: 1500 * ms},
		{name: "load ends late in the time", model: "n", begin: func(b *testbed) { b.loads(4000 * ms) }, served: true, sentAt: 4000 * ms},
		{name: "load ends after the time", model: "n", begin: func(b *testbed) { b.loads(8000 * ms) }},
		// The load takes 2.25 s. At 1.87 s, it is expected to be planned after 1.87 s more, which is too late.
		{name: "no load is planned", model: "n", begin: func(*testbed) {}, knownAt: 1870 * ms},
		{name: "plan slips within the time", model: "n", begin: func(b *testbed) { b.slips(2000 * ms) }, served: true, sentAt: 2000 * ms},
		{name: "plan slips beyond the time", model: "n", begin: func(b *testbed) { b.slips(8000 * ms) }, knownAt: 300 * ms},
		{name: "queue within the time", model: "m", begin: func(b *testbed) { b.queues(2000 * ms) }, served: true},
		{name: "queue beyond the time", model: "m", begin: func(b *testbed) { b.queues(20000 * ms) }},
	}
}

// expect compares how a request ended that arrived so long ago.
func (s callerTimeSituation) expect(outcome Outcome, passed time.Duration) {
	const tolerance = 200 * time.Millisecond
	if s.served {
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Held).To(BeNumerically("~", s.sentAt, tolerance))
		return
	}
	Expect(outcome.Ran).To(Equal(result.RanNo))
	Expect(passed).To(BeNumerically("~", s.knownAt, tolerance))
	Expect(outcome.RetryAfter).To(BeNumerically(">", time.Second))
}

// configure gives the route time for callers, and serves another caller who has otherTime, if that is positive.
func (b *testbed) configure(route fleet.Route, otherTime time.Duration) {
	route.Timeout = 30 * time.Second
	b.view.SetConfiguration(fleet.NewConfiguration(2, 2, []*fleet.Route{&route}, testPools(), fleet.Limits{}))
	if otherTime > 0 {
		b.forwarder.Serve(context.Background(), request(route.Name, "m", otherTime), &recorder{})
	}
}

// Guards against taking a request for a retry, and treating it otherwise, since other callers of its route have more
// time.
func TestTimesOfOtherCallersDoNotMatter(t *testing.T) {
	for _, situation := range callerTimeSituations() {
		for _, route := range []string{"stream", "patient"} {
			t.Run(situation.name+"/"+route, func(t *testing.T) {
				ends := map[time.Duration]Outcome{}
				for _, otherTime := range []time.Duration{0, 20 * time.Second} {
					inVirtualTime(t, func(b *testbed) {
						b.configure(*testRoute(route), otherTime)
						situation.begin(b)
						ends[otherTime] = b.forwarder.Serve(context.Background(), request(route, situation.model, callerTime), &recorder{})
					})
				}
				alone, beside := ends[0], ends[20*time.Second]
				Expect(beside.Code).To(Equal(alone.Code))
				Expect(beside.Held).To(BeNumerically("~", alone.Held, pollPeriod))
			})
		}
	}
}

// Guards against requests that are refused although their work ends in the time that their callers have, against callers
// who wait for what can't come in that time, and against decisions that depend on the route's objective.
func TestRequestsWaitByTheTimeOfTheirCallersAndTheWorkThatIsLeft(t *testing.T) {
	for _, situation := range callerTimeSituations() {
		for _, name := range []string{"stream", "patient"} {
			for _, objective := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s/%s/objective %v", situation.name, name, objective), func(t *testing.T) {
					inVirtualTime(t, func(b *testbed) {
						route := *testRoute(name)
						route.LatencyObjective = objective
						b.configure(route, 0)
						situation.begin(b)
						arrived := time.Now()
						outcome := b.forwarder.Serve(context.Background(), request(name, situation.model, callerTime), &recorder{})
						situation.expect(outcome, time.Since(arrived))
					})
				})
			}
		}
	}
}

// Guards against requests that are shut out for good, although a server is free, where responses to others take longer
// than their callers wait.
func TestRequestThatNeedNotWaitIsAlwaysTried(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.tracker.recordRun(modelPool, 0, time.Minute)
		b.forwarder.tracker.tokenTime[modelPool] = float64(time.Second)
		Expect(b.forwarder.Serve(context.Background(), request("stream", "m", time.Second), &recorder{}).Code).To(Equal(result.OK))
	})
}

// Guards against giving up a request that was refused late by one server while another one is free.
func TestFreeServerIsTriedAfterTheLatestStart(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.forwarder.tracker.recordRun(plainPool, 0, time.Second)
		b.backend.answer["p1"] = after(700*time.Millisecond, fails(FailureFull, result.RanNo))
		outcome := b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(b.backend.servers()).To(Equal([]string{"p1", "p2"}))
	})
}

// Guards against sending a request to a server whose queue leaves no time for its response.
func TestQueueLeavesTimeForTheResponse(t *testing.T) {
	for answerTokens, code := range map[int]result.Code{50: result.OK, 200: result.QueueFull} {
		inVirtualTime(t, func(b *testbed) {
			b.forwarder.tracker.recordRun(modelPool, 100, 2*time.Second)
			for _, id := range []string{"m1", "m2"} {
				b.forwarder.tracker.of(id).setReported(Load{Reported: true, Running: 8, Waiting: 11, Slots: 8}, time.Now())
			}
			asked := request("stream", "m", 4500*time.Millisecond)
			asked.AnswerTokens = answerTokens
			outcome := b.forwarder.Serve(context.Background(), asked, &recorder{})
			Expect(outcome.Code).To(Equal(code), "the queue takes 3 s, 100 tokens take 2 s")
		})
	}
}

// Guards against callers who wait until their deadline for servers that reject all requests, and seem to have free slots
// each time.
func TestOverdueSlotIsNotAwaitedToTheEnd(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		for _, id := range []string{"p1", "p2"} {
			b.forwarder.tracker.of(id).pausedUntil = time.Now().Add(time.Minute)
		}
		started := time.Now()
		outcome := b.forwarder.Serve(context.Background(), request("once", "", 4*time.Second), &recorder{})
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(time.Since(started)).To(BeNumerically("~", 2*time.Second, 300*time.Millisecond))
	})
}

// Guards against streams that break although another server could continue them: their callers wait from the last event
// that they got, not from the beginning.
func TestStreamIsContinuedWhileItsCallerWaitsForTheNextEvent(t *testing.T) {
	const callerWait, runs = 2 * time.Second, 20
	for name, ends := range map[string]func(context.Context, Attempt) (*Reply, error){
		"breaks": streams(events(1, runs), 200*time.Millisecond, io.ErrUnexpectedEOF),
		"stalls": stallsAfterPauses(events(1, runs), 200*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(b *testbed) {
				route := *testRoute("patient")
				route.CallerWaitLimit = callerWait
				b.configure(route, 0)
				b.backend.answer["m1"] = ends
				b.backend.answer["m2"] = streams(events(runs+1, runs+3), time.Millisecond, io.EOF)
				answer := &recorder{}
				started := time.Now()
				outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 20*time.Second), answer)
				Expect(outcome.Code).To(Equal(result.OK))
				Expect(answer.body.String()).To(Equal(strings.Join(events(1, runs+3), "")))
				Expect(time.Since(started)).To(BeNumerically("<", runs*200*time.Millisecond+callerWait))
				Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
			})
		})
	}
}

// Guards against leaving a slow server at a time that has nothing to do with how long the caller waits: too early for a
// server that would have answered, or too late for another one.
func TestSlowServerIsLeftByTheTimeOfTheCaller(t *testing.T) {
	const callerWait = 3 * time.Second
	for name, first := range map[string]func(context.Context, Attempt) (*Reply, error){
		"no response":    hangs,
		"no first event": stallsAfter(nil),
		"no next event":  stallsAfter(events(1, 1)),
	} {
		for _, objective := range []time.Duration{100 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(name, "/objectives of ", objective), func(t *testing.T) {
				inVirtualTime(t, func(b *testbed) {
					route := *testRoute("patient")
					route.CallerWaitLimit, route.LatencyObjective, route.GapObjective = callerWait, objective, objective
					b.configure(route, 0)
					b.backend.answer["m1"] = first
					b.backend.answer["m2"] = streams(events(2, 3), time.Millisecond, io.EOF)
					started := time.Now()
					outcome := b.forwarder.Serve(context.Background(), request("patient", "m", 20*time.Second), &recorder{})
					Expect(outcome.Code).To(Equal(result.OK))
					Expect(b.backend.servers()).To(Equal([]string{"m1", "m2"}))
					Expect(time.Since(started)).To(BeNumerically("~", callerWait/2, 100*time.Millisecond), "two attempts share the caller's time")
				})
			})
		}
	}
}
