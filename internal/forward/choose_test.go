package forward

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

func TestPrefersTheServerInItsZone(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		answer := &recorder{}
		outcome := b.forwarder.Serve(context.Background(), request("once", "", time.Second), answer)
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Status).To(Equal(200))
		Expect(answer.body.String()).To(Equal("fine"))
		Expect(b.backend.servers()).To(Equal([]string{"p1"}))
	})
}

func TestServerThatDoesNotHoldTheModelIsNotTriedAgain(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["m1"] = fails(FailureNotHeld, result.RanNo)
		// The other server is slower, so that m1 would be chosen but for its answer.
		b.backend.answer["m2"] = after(100*time.Millisecond, b.backend.answer["m2"])
		for range 3 {
			outcome := b.forwarder.Serve(context.Background(), request("stream", "m", 5*time.Second), &recorder{})
			Expect(outcome.Code).To(Equal(result.OK))
		}
		Expect(b.backend.count("m1")).To(BeNumerically("<=", 1))
	})
}

func TestUnreachableServerIsTriedAtALowRate(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["p1"] = fails(FailureConnect, result.RanNo)
		for range 100 {
			b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
			time.Sleep(50 * time.Millisecond)
		}
		tries := b.backend.count("p1")
		Expect(tries).To(BeNumerically(">=", 2))
		Expect(tries).To(BeNumerically("<=", 6))
	})
}

func TestFailingServerGetsFewerRequests(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["p1"] = answers(500, "broken")
		for range 40 {
			b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
			time.Sleep(20 * time.Millisecond)
		}
		Expect(b.backend.count("p1")).To(BeNumerically("<", 12))
	})
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.view.UpdateServers(map[string]*fleet.Server{"p1": {ID: "p1", Pool: plainPool, Slots: 2, Zone: "z", Draining: true}})
		for range 10 {
			b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		}
		Expect(b.backend.servers()).NotTo(ContainElement("p1"))
	})
}

func TestFullServersGetNoFurtherRequests(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["p1"], b.backend.answer["p2"] = hangs, hangs
		const capacity = 2 * maxRequestsPerSlot * 2
		for range capacity {
			go b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
			synctest.Wait()
		}
		Expect(b.backend.servers()).To(HaveLen(capacity))
		outcome := b.forwarder.Serve(context.Background(), request("once", "", time.Second), &recorder{})
		Expect(outcome.Code).To(Equal(result.QueueFull))
		Expect(outcome.Ran).To(Equal(result.RanNo))
		Expect(outcome.RetryAfter).To(BeNumerically(">", 0))
		Expect(b.backend.servers()).To(HaveLen(capacity))
		time.Sleep(2 * time.Second)
	})
}

// A server to which this node sent a prompt's prefix takes precedence over the one that all nodes
// prefer for it.
func TestPromptsGoToTheServerThatHasThemCached(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		ask := func(number int) {
			asked := request("stream", "m", 5*time.Second)
			asked.PromptTokens = 9000
			asked.Prompt = []PromptPart{{fmt.Sprint("shared", number), 6300}, {"own", 2700}}
			b.forwarder.Serve(context.Background(), asked, &recorder{})
		}
		server := func(draining bool) map[string]*fleet.Server {
			return map[string]*fleet.Server{"m1": {ID: "m1", Pool: modelPool, Slots: 8, Models: holds("m"), Zone: "z", Draining: draining}}
		}
		b.backend.answer["m1"] = after(50*time.Millisecond, b.backend.answer["m1"])
		b.backend.answer["m2"] = after(50*time.Millisecond, b.backend.answer["m2"])
		const prompts = 20
		b.view.UpdateServers(server(true))
		for number := range prompts {
			ask(number)
		}
		b.view.UpdateServers(server(false))
		for number := range prompts {
			ask(number)
		}
		Expect(b.backend.count("m2")).To(Equal(2 * prompts))
	})
}

func TestSharedPromptsGoToOneServer(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		for range 10 {
			asked := request("stream", "m", 5*time.Second)
			asked.PromptTokens = 9000
			asked.Prompt = []PromptPart{{"a", 2500}, {"b", 3800}, {"own", 2700}}
			b.forwarder.Serve(context.Background(), asked, &recorder{})
		}
		servers := b.backend.servers()
		for _, server := range servers {
			Expect(server).To(Equal(servers[0]))
		}
	})
}

func TestCountersReturnToZero(t *testing.T) {
	inVirtualTime(t, func(b *testbed) {
		b.backend.answer["m1"] = streams(append(events(1, 2), "x"), time.Millisecond, errors.New("reset"))
		b.backend.answer["m2"] = hangs
		for _, route := range []string{"stream", "patient", "once", "repeat"} {
			for _, model := range []string{"m", "n"} {
				b.forwarder.Serve(context.Background(), request(route, model, time.Second), &recorder{})
			}
		}
		for id, load := range b.forwarder.tracker.servers {
			Expect(load.own).To(BeZero(), id)
			Expect(load.ownPrefill).To(BeZero(), id)
		}
		for _, row := range b.forwarder.Demand() {
			Expect(row.Running).To(BeZero())
			Expect(row.Waiting).To(BeZero())
		}
	})
}

// Guards against a choice that depends on the route's objective: a failure costs the caller the time of the attempt, and
// a slot of a rate limit costs the next request an interval.
func TestScoreFollowsTheTimeThatFailuresAndSlotsCost(t *testing.T) {
	score := func(name string, objective time.Duration, failures float64, limited bool) (found time.Duration) {
		withLimits(t, func(b *testbed, limits *fakeLimits) {
			if limited {
				limits.announce(serverlimit.Grant{}, "m1")
			}
			b.view.UpdateServers(map[string]*fleet.Server{"m2": nil})
			load := b.forwarder.tracker.of("m1")
			load.failures, load.failuresAt = failures, time.Now()
			route := *testRoute(name)
			route.LatencyObjective = objective
			flow := b.forwarder.newFlow(request(name, "m", 4*time.Second), &route)
			found = b.forwarder.choose(flow, b.view.Load(), time.Now()).best.score
		})
		return found
	}
	for _, objective := range []time.Duration{100 * time.Millisecond, 4 * time.Second} {
		g := NewWithT(t)
		sound := score("stream", objective, 0, false)
		g.Expect(score("stream", objective, 0.5, false)-sound).To(Equal(1990*time.Millisecond), "half of the attempts lose the caller's time")
		g.Expect(score("patient", objective, 0.5, false)-sound).To(Equal(995*time.Millisecond), "another attempt may follow after half of it")
		g.Expect(score("stream", objective, 0, true) - sound).To(Equal(time.Second))
	}
}
