package engine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// world is one engine behind a simulated network, with "m" ready.
type world struct {
	loop    *simulation.Loop
	network *simulation.Network
	host    *engine.Host
	client  *simulation.Process
	service *engine.Simulated
	log     *record.Log
}

func newWorld(seed uint64) *world {
	loop := simulation.NewLoop(seed)
	network := simulation.NewNetwork(loop)
	fleet := engine.NewFleet(loop, network)
	log := record.NewLog()
	host := fleet.Start(engine.Config{Server: "lm-1", Record: log})
	client := simulation.NewProcess(loop, "gateway")
	w := &world{loop: loop, network: network, host: host, client: client, service: fleet.Client(client), log: log}
	host.Engine.Order(outside.Order{Fence: outside.Fence{Epoch: 1}, Commands: []outside.Command{load("m", "load-m")}})
	loop.RunFor(time.Minute)
	return w
}

func (w *world) generate(id string, tokens int) (*collector, func()) {
	sink := &collector{loop: w.loop}
	cancel := w.service.Generate(outside.GenerateRequest{
		Server: "lm-1", Attempt: outside.AttemptID(id), RequestID: id, Model: "m",
		Body: body(id, tokens), Deadline: w.client.Now().Add(20 * time.Second),
	}, sink)
	return sink, cancel
}

func (w *world) started() uint64 { return w.log.Count(record.KindGenerationStarted) }

var _ = Describe("the simulated binding", func() {
	DescribeTable("faults of an attempt", func(inject func(*world), ran result.Ran, reason string) {
		w := newWorld(1)
		w.loop.AfterFunc(100*time.Millisecond, func() { inject(w) })
		sink, _ := w.generate("1", 500)
		w.loop.RunFor(time.Minute)
		Expect(sink.end).To(BeNil())
		Expect(sink.failure).To(HaveField("Ran", ran))
		Expect(sink.failure.Reason).To(Equal(reason))
		Expect(sink.failure.Attempt).To(BeEquivalentTo("1"))
	},
		Entry("process killed", func(w *world) { w.host.Kill() }, result.RanUnknown, engine.ReasonTruncated),
		Entry("process restarted", func(w *world) { w.host.Restart(true) }, result.RanUnknown, engine.ReasonTruncated),
		Entry("machine vanished", func(w *world) { w.host.Vanish() }, result.RanUnknown, engine.ReasonTimeout),
		Entry("process paused", func(w *world) { w.host.Process.Pause() }, result.RanUnknown, engine.ReasonTimeout),
		Entry("hang", func(w *world) { w.host.Engine.SetFaults(engine.Faults{Hang: true}) }, result.RanUnknown, engine.ReasonTimeout),
		Entry("network cut", func(w *world) { w.network.Cut = func(string, string) bool { return true } }, result.RanUnknown, engine.ReasonTimeout),
		Entry("a piece lost", func(w *world) {
			w.network.Cut = func(string, string) bool { return true }
			w.loop.AfterFunc(12*time.Millisecond, func() { w.network.Cut = func(string, string) bool { return false } })
		}, result.RanUnknown, engine.ReasonTruncated),
	)

	DescribeTable("an attempt that is never delivered", func(prepare func(*world), ran result.Ran, reason string) {
		w := newWorld(1)
		prepare(w)
		sink, _ := w.generate("1", 5)
		Expect(sink.ended()).To(BeFalse(), "called before Generate returned")
		w.loop.RunFor(time.Minute)
		Expect(sink.failure).To(HaveField("Ran", ran))
		Expect(sink.failure.Reason).To(Equal(reason))
		Expect(w.started()).To(BeZero())
	},
		Entry("process dead", func(w *world) { w.host.Kill() }, result.RanNo, engine.ReasonConnection),
		Entry("machine gone", func(w *world) { w.host.Vanish() }, result.RanUnknown, engine.ReasonTimeout),
		Entry("network cut", func(w *world) { w.network.Cut = func(string, string) bool { return true } }, result.RanUnknown, engine.ReasonTimeout),
		Entry("killed while paused", func(w *world) {
			w.host.Process.Pause()
			w.loop.AfterFunc(time.Second, w.host.Kill)
		}, result.RanUnknown, engine.ReasonTruncated),
		Entry("restarted, not loaded", func(w *world) { w.host.Restart(true) }, result.RanNo, engine.ReasonNotLoaded),
	)

	It("carries a cancel to the engine and its word back", func() {
		w := newWorld(1)
		sink, cancel := w.generate("1", 1000)
		w.loop.RunFor(time.Second)
		cancel()
		Expect(sink.ended()).To(BeFalse())
		w.loop.RunFor(10 * time.Millisecond)
		Expect(sink.failure).To(HaveField("Reason", engine.ReasonCancelled))
		Expect(w.log.Count(record.KindGenerationCancelled)).To(BeEquivalentTo(1))
	})

	It("never runs an attempt that was cancelled before the process took it", func() {
		w := newWorld(1)
		w.host.Process.Pause()
		sink, cancel := w.generate("1", 10)
		w.loop.RunFor(100 * time.Millisecond)
		cancel()
		w.loop.RunFor(100 * time.Millisecond)
		w.host.Process.Resume()
		w.loop.RunFor(time.Minute)
		Expect(sink.failure).To(Equal(&outside.AttemptError{Attempt: "1", Reason: engine.ReasonCancelled}))
		Expect(w.started()).To(BeZero())
	})

	It("does not take an end for complete when chunks are missing", func() {
		w := newWorld(1)
		sink := &collector{loop: w.loop}
		w.service.Generate(outside.GenerateRequest{
			Server: "lm-1", Attempt: "1", Model: "m", Body: body("hello", 5), ResumeFrom: 9,
		}, sink)
		w.loop.RunFor(time.Minute)
		Expect(sink.failure).To(HaveField("Reason", engine.ReasonTruncated))
	})

	It("stops generating for a client that died", func() {
		w := newWorld(1)
		w.generate("1", 1000)
		w.loop.RunFor(time.Second)
		w.client.Kill()
		w.loop.RunFor(time.Minute)
		Expect(w.log.Count(record.KindGenerationCancelled)).To(BeEquivalentTo(1))
	})

	DescribeTable("orders whose reply does not come", func(inject func(*world), applied bool) {
		w := newWorld(1)
		inject(w)
		var failure error
		w.service.Order(outside.Order{Server: "lm-1", Fence: outside.Fence{Epoch: 2}}, time.Second, func(_ outside.OrderResult, err error) { failure = err })
		w.loop.RunFor(time.Minute)
		Expect(failure).To(MatchError(outside.ErrServerUnreachable))
		if applied {
			Expect(w.host.Engine.State(0).Fence.Epoch).To(BeEquivalentTo(2))
		} else if state := w.host.Engine.State(0); state != nil {
			Expect(state.Fence.Epoch).To(BeEquivalentTo(1))
		}
	},
		Entry("reply lost", func(w *world) { w.host.Engine.SetFaults(engine.Faults{LoseOrderReply: 1}) }, true),
		Entry("dead", func(w *world) { w.host.Kill() }, false),
		Entry("hang", func(w *world) { w.host.Engine.SetFaults(engine.Faults{Hang: true}) }, false),
		Entry("paused", func(w *world) {
			w.host.Process.Pause()
			w.loop.AfterFunc(2*time.Second, func() { w.host.Process.Resume() })
		}, true),
	)

	It("keeps streams whole, honest and single over a bad network and a dying engine", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			w := newWorld(rapid.Uint64().Draw(t, "seed"))
			conditions := simulation.Conditions{
				Delay: time.Millisecond, Jitter: 30 * time.Millisecond, LateDelay: 500 * time.Millisecond,
				Loss:        rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "loss"),
				Duplication: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplication"),
				Late:        rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "late"),
			}
			w.network.ConditionsOf = func(string, string) simulation.Conditions { return conditions }
			w.host.Engine.SetFaults(engine.Faults{DuplicateChunk: 0.2, TruncateStream: 0.1})
			sinks := map[string]*collector{}
			mayFail := map[string]bool{}
			killed := false
			for index := range 8 {
				id := fmt.Sprint(index)
				sink, cancel := w.generate(id, 30)
				sinks[id] = sink
				if rapid.Bool().Draw(t, "cancel") {
					mayFail[id] = true
					w.client.AfterFunc(time.Duration(rapid.IntRange(0, 300).Draw(t, "cancel after"))*time.Millisecond, cancel)
				}
				w.loop.RunFor(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
				if index == 5 && rapid.Bool().Draw(t, "kill") {
					w.host.Restart(true)
					killed = true
				}
			}
			w.loop.RunFor(time.Minute)
			w.check(g, sinks)
			for _, event := range w.log.Events() {
				if event.Kind == record.KindGenerationTruncated {
					mayFail[event.RequestID] = true
				}
			}
			for id, sink := range sinks {
				if conditions.Loss == 0 && !killed && !mayFail[id] {
					g.Expect(sink.end).NotTo(BeNil(), "nothing was lost, but %s failed: %v", id, sink.failure)
				}
			}
		})
	})

	It("gives the same run for the same seed", func() {
		run := func() ([]record.Event, uint64) {
			w := newWorld(7)
			w.network.ConditionsOf = func(string, string) simulation.Conditions {
				return simulation.Conditions{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Duplication: 0.2}
			}
			w.host.Engine.SetFaults(engine.Faults{DuplicateChunk: 0.2, TruncateStream: 0.3})
			for index := range 20 {
				w.generate(fmt.Sprint(index), 50)
			}
			w.loop.RunFor(time.Minute)
			return w.log.Events(), w.loop.Executed()
		}
		events, executed := run()
		again, executedAgain := run()
		Expect(again).To(Equal(events))
		Expect(executedAgain).To(Equal(executed))
	})
})

// check compares what the sinks got with what the engine recorded.
func (w *world) check(g *WithT, sinks map[string]*collector) {
	starts := map[string]int{}
	for _, event := range w.log.Events() {
		if event.Kind == record.KindGenerationStarted {
			starts[event.RequestID]++
		}
	}
	for id, sink := range sinks {
		g.Expect(sink.ended()).To(BeTrue())
		g.Expect(starts[id]).To(BeNumerically("<=", 1))
		expected := engine.ExpectedText("", body(id, 30))
		g.Expect(expected).To(HavePrefix(sink.text.String()))
		if sink.end != nil {
			g.Expect(sink.text.String()).To(Equal(expected))
		}
		if sink.failure != nil && sink.failure.Ran == result.RanNo {
			g.Expect(starts[id]).To(BeZero(), "refused as not run, but ran")
		}
	}
}
