package applier_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestApplier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "applier")
}

var _ = Describe("Owner", func() {
	It("loads what requests wait for and tells the gateway", func() {
		c := newCluster(1, 2, []table.Row{row("a", 1, 20*gigabyte), row("b", 2, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.ready("b")).To(BeEmpty())
		Expect(c.gateway.known["a"].Endpoints).To(HaveLen(1))
		Expect(c.gateway.known["a"].Endpoints[0].Draining).To(BeFalse())
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("does not repeat endpoints that a gateway has, but tells their changes and, now and then, their load", func() {
		c := newCluster(1, 2, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.gateway.digests = true
		c.startServing("a", 1)
		Expect(c.gateway.known["a"].Endpoints).To(HaveLen(1))
		c.gateway.rows = 0
		c.loop.RunFor(20 * time.Second)
		// 40 reports, and load figures every five seconds.
		Expect(c.gateway.rows).To(And(BeNumerically(">=", 3), BeNumerically("<=", 5)))
		known := c.gateway.known["a"]
		known.Digest++
		c.gateway.known["a"] = known
		c.gateway.rows = 0
		c.loop.RunFor(600 * time.Millisecond)
		Expect(c.gateway.rows).To(BeNumerically(">=", 1), "another digest means other endpoints")
	})

	It("loads a base model together with its adapter", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte), adapterOn("style", "a", 1)}, nil)
		c.startServing("style", 1)
		Expect(c.gateway.known["a"].Endpoints).To(HaveLen(1))
		Expect(c.gateway.known["a"].Endpoints[0].Adapters).To(Equal([]string{"style"}))
	})

	It("makes room for a waiting row by unloading an idle one", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 30*gigabyte), row("b", 1, 30*gigabyte)}, nil)
		c.acquire(0)
		c.loop.RunFor(time.Second)
		c.gateway.want("a", 1)
		c.loop.RunFor(60 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.gateway.want("a", 0)
		c.loop.RunFor(6 * time.Second)
		c.gateway.want("b", 1)
		c.loop.RunFor(60 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
		Expect(c.ready("b")).To(HaveLen(1))
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("replaces a replica on a leaving server and drains the old one at once", func() {
		c := newCluster(1, 2, []table.Row{row("a", 2, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		old := c.ready("a")[0]
		c.leave(old)
		c.loop.RunFor(300 * time.Millisecond)
		Expect(c.gateway.known["a"].Endpoints[0].Draining).To(BeTrue())
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.ready("a")[0]).NotTo(Equal(old))
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("keeps a replica whose requests run until these have ended", func() {
		c, sink := unloadUnderRequest(nil)
		Expect(sink.ended+sink.failed).To(BeZero(), "the request has to outlast the drain delay")
		Expect(c.ready("a")).To(HaveLen(1))
		c.loop.RunFor(3 * time.Minute)
		Expect(sink.ended).To(Equal(1))
		Expect(c.ready("a")).To(BeEmpty())
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("waits soon after a takeover for gateways that only the owner before knew", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(3 * time.Second)
		c.leave("lm-0")
		// The one gateway that reported acknowledges the drain at once.
		c.loop.RunFor(4 * time.Second)
		Expect(c.gateway.known["a"].Endpoints[0].Draining).To(BeTrue())
		Expect(c.ready("a")).To(HaveLen(1))
		c.loop.RunFor(4 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
	})

	It("is in no hurry to unload an idle replica soon after a takeover", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.acquire(0)
		c.gateway.want("a", 1)
		c.loop.RunFor(30 * time.Second)
		c.gateway.want("a", 0)
		c.acquire(1)
		c.loop.RunFor(time.Second)
		c.edit(func(rows []table.Row) []table.Row {
			rows[0].MaxReplicas = 0
			return rows
		})
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.loop.RunFor(40 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
	})

	It("tells gateways that were silent since before the takeover of a drain", func() {
		c := newCluster(1, 1, []table.Row{withMin(row("a", 1, 20*gigabyte))}, nil)
		c.acquire(0)
		c.gateway.want("a", 1)
		c.loop.RunFor(30 * time.Second)
		c.gateway.want("a", 0)
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(2 * time.Minute)
		c.leave("lm-0")
		c.loop.RunFor(500 * time.Millisecond)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.gateway.known["a"].Endpoints[0].Draining).To(BeTrue())
		c.loop.RunFor(2 * time.Second)
		Expect(c.ready("a")).To(BeEmpty(), "its acknowledgement ends the wait")
	})

	It("does not unload what a live gateway it can't reach may still call", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.acquire(0)
		c.gateway.want("a", 1)
		c.loop.RunFor(time.Minute)
		c.gateway.want("a", 0)
		c.cut["node-0>gateway"] = true
		c.edit(func(rows []table.Row) []table.Row {
			rows[0].MaxReplicas = 0
			return rows
		})
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.cut["node-0>gateway"] = false
		c.loop.RunFor(5 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1), "a late request may still be under way")
		c.loop.RunFor(5 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
	})

	DescribeTable("leaves late requests time before an unload on a leaving machine",
		func(left time.Duration, readyAfter int) {
			c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
			c.acquire(0)
			c.gateway.want("a", 1)
			c.loop.RunFor(time.Minute)
			c.gateway.want("a", 0)
			c.machines[0].LeavesAt = c.loop.Now().Add(left)
			c.leave("lm-0")
			c.loop.RunFor(4 * time.Second)
			Expect(c.ready("a")).To(HaveLen(readyAfter))
			c.loop.RunFor(6 * time.Second)
			Expect(c.ready("a")).To(BeEmpty())
		},
		Entry("that stays for two minutes", 2*time.Minute, 1),
		Entry("unless it leaves soon", 20*time.Second, 0),
	)

	It("plans after a pause only when the table could come up to date", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.acquire(0)
		c.loop.RunFor(time.Second)
		c.nodes[0].process.Pause()
		c.gateway.want("a", 1)
		c.loop.RunFor(10 * time.Second)
		c.nodes[0].process.Resume()
		c.loop.RunFor(1500 * time.Millisecond)
		Expect(c.fleet.Host("lm-0").Engine.State(0).Replicas).To(BeEmpty())
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
	})

	It("cuts off requests without draining", func() {
		c, _ := unloadUnderRequest(func(c *applier.Config) { c.Mechanisms.DrainBeforeUnload = false })
		Expect(c.audit.violations).NotTo(BeEmpty())
	})

	It("replaces a version one by one and then goes down to a lowered maximum", func() {
		c := newCluster(1, 3, []table.Row{row("a", 3, 20*gigabyte)}, nil)
		c.startServing("a", 8)
		Expect(c.ready("a")).To(HaveLen(2))
		c.edit(func(rows []table.Row) []table.Row {
			rows[0].Version = "2"
			return rows
		})
		for range 60 {
			c.loop.RunFor(time.Second)
			Expect(c.ready("a")).NotTo(BeEmpty())
		}
		for _, endpoint := range c.gateway.known["a"].Endpoints {
			Expect(endpoint.Version).To(Equal("2"))
		}
		c.edit(func(rows []table.Row) []table.Row {
			rows[0].MaxReplicas = 1
			return rows
		})
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("takes over what the owner before had loaded", func() {
		c := newCluster(1, 2, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		before := c.ready("a")
		released := false
		c.nodes[0].manager.Release(cellName, func() { released = true })
		c.loop.RunFor(time.Second)
		Expect(released).To(BeTrue())
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(5 * time.Second)
		Expect(c.ready("a")).To(Equal(before))
		Expect(c.nodes[0].manager.Status()).To(BeEmpty())
		status := c.nodes[1].manager.Status()[0]
		Expect(status.Unheard).To(BeZero())
		Expect(c.gateway.known["a"].Endpoints).To(HaveLen(1))
	})

	It("backs off after a failed load and tries again", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.fleet.Host("lm-0").Engine.SetFaults(engine.Faults{LoadFailure: 1})
		c.startServing("a", 1)
		attempts := c.loadsStarted()
		Expect(attempts).To(BeNumerically(">", 1))
		Expect(attempts).To(BeNumerically("<", 10))
		c.fleet.Host("lm-0").Engine.SetFaults(engine.Faults{})
		c.loop.RunFor(60 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
	})

	It("plans nothing before a table was read", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		c.nodes[0].manager.Lost(cellName)
		rows := c.rows
		c.rows, c.revision = nil, 0
		c.acquire(1)
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.rows, c.revision = rows, 2
		c.loop.RunFor(time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
	})
})

// unloadUnderRequest lets a server leave on which a long request runs.
func unloadUnderRequest(change func(*applier.Config)) (*cluster, *countingSink) {
	c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, change)
	c.startServing("a", 1)
	sink := &countingSink{}
	body := []byte(`{"model":"a","max_tokens":3000,"messages":[{"role":"user","content":"write"}]}`)
	c.fleet.Client(c.gateway.process).Generate(outside.GenerateRequest{
		Server: "lm-0", Attempt: "one", RequestID: "one", Model: "a", Path: "/v1/chat/completions", Body: body,
		Deadline: c.loop.Now().Add(5 * time.Minute),
	}, sink)
	c.gateway.want("a", 0)
	c.leave("lm-0")
	c.loop.RunFor(7 * time.Second)
	return c, sink
}

var _ = DescribeTable("Faults", func(run func(c *cluster), change func(*applier.Config)) {
	c := newCluster(7, 3, []table.Row{row("a", 1, 30*gigabyte), row("b", 2, 30*gigabyte)}, change)
	c.acquire(0)
	c.loop.RunFor(time.Second)
	run(c)
	Expect(c.audit.violations).To(BeEmpty())
	c.loop.RunFor(2 * time.Minute)
	Expect(c.audit.violations).To(BeEmpty())
	Expect(c.ready("a")).To(HaveLen(1), "a is served in the end")
},
	Entry("the reply to a load is lost", func(c *cluster) {
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Engine.SetFaults(engine.Faults{LoseOrderReply: 1})
		}
		c.gateway.want("a", 1)
		c.loop.RunFor(10 * time.Second)
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Engine.SetFaults(engine.Faults{})
		}
	}, nil),
	Entry("an order is delayed past the takeover", func(c *cluster) {
		for _, machine := range c.machines {
			c.late["node-0>"+string(machine.Server)] = 20 * time.Second
		}
		c.gateway.want("a", 1)
		c.loop.RunFor(time.Second)
		c.acquire(1)
		c.loop.RunFor(40 * time.Second)
	}, nil),
	Entry("a paused owner resumes after the takeover", func(c *cluster) {
		c.gateway.want("b", 1)
		c.loop.RunFor(50 * time.Millisecond)
		c.nodes[0].process.Pause()
		c.acquire(1)
		c.gateway.want("a", 1)
		c.loop.RunFor(5 * time.Second)
		c.nodes[0].process.Resume()
		c.gateway.owner = "node-0"
		c.gateway.report()
		c.loop.RunFor(5 * time.Second)
		c.gateway.owner = "node-1"
	}, nil),
	Entry("an engine restarts in the middle of a load", func(c *cluster) {
		c.gateway.want("a", 1)
		c.loop.RunFor(2 * time.Second)
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Restart(true)
		}
	}, nil),
	Entry("an engine restarts under a paused owner and its successor", func(c *cluster) {
		c.nodes[0].process.Pause()
		c.acquire(1)
		c.loop.RunFor(time.Second)
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Restart(true)
		}
		c.nodes[0].process.Resume()
		c.gateway.want("a", 1)
		c.gateway.owner = "node-0"
		c.gateway.want("a", 1)
		c.loop.RunFor(5 * time.Second)
		c.gateway.owner = "node-1"
	}, nil),
	Entry("an adopted server can't be reached", func(c *cluster) {
		c.gateway.want("a", 1)
		c.loop.RunFor(20 * time.Second)
		holder := string(c.ready("a")[0])
		c.cut["node-1>"+holder] = true
		c.acquire(1)
		c.loop.RunFor(30 * time.Second)
		Expect(c.nodes[1].manager.Status()[0].Unheard).To(Equal(1))
		c.cut = map[string]bool{}
	}, nil),
	Entry("a machine vanishes and the list lags", func(c *cluster) {
		c.gateway.want("a", 1)
		c.loop.RunFor(20 * time.Second)
		holder := c.ready("a")[0]
		c.reclaim(holder)
		c.loop.RunFor(20 * time.Second)
		c.delist(holder)
	}, nil),
	Entry("epochs can't be confirmed during a key-value outage", func(c *cluster) {
		c.keyValueDown = true
		c.fleet.Host("lm-0").Restart(true)
		c.gateway.want("a", 1)
		c.loop.RunFor(time.Minute)
		Expect(c.ready("a")).To(HaveLen(1), "servers adopted before are used")
		c.keyValueDown = false
	}, nil),
)

// countingSink counts how attempts end.
type countingSink struct{ ended, failed int }

func (s *countingSink) Chunk(outside.Chunk) {}

func (s *countingSink) End(outside.GenerateEnd) { s.ended++ }

func (s *countingSink) Failed(*outside.AttemptError) { s.failed++ }

// statisticsShelf keeps one cell's statistics; its first load fails.
type statisticsShelf struct {
	loop  *simulation.Loop
	loads int
	saved [][]byte
	kept  []byte
}

func (s *statisticsShelf) Load(_ string, done func([]byte, error)) {
	s.loads++
	err := outside.ErrNotApplied
	if s.loads > 1 {
		err = nil
	}
	s.loop.AfterFunc(time.Millisecond, func() { done(s.kept, err) })
}

func (s *statisticsShelf) Save(_ string, _ uint64, data []byte, done func(error)) {
	Expect(s.loads).To(BeNumerically(">", 1), "saved before the earlier statistics were read")
	s.saved = append(s.saved, data)
	s.loop.AfterFunc(time.Millisecond, func() { done(nil) })
}

var _ = It("Statistics of the owner before are kept through an outage of their store", func() {
	earlier := planner.NewStatistics()
	earlier.Observe(simulation.Epoch.Add(-time.Hour), "b", "group-a", 1)
	data, err := earlier.Encode()
	Expect(err).NotTo(HaveOccurred())
	shelf := &statisticsShelf{kept: data}
	c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, func(config *applier.Config) { config.Statistics = shelf })
	shelf.loop = c.loop
	c.acquire(0)
	c.gateway.want("a", 1)
	c.loop.RunFor(3 * time.Minute)
	c.gateway.want("a", 0)
	c.loop.RunFor(3 * time.Minute)
	saves := len(shelf.saved)
	Expect(saves).To(BeNumerically(">", 1))
	after, err := planner.DecodeStatistics(shelf.saved[saves-1])
	Expect(err).NotTo(HaveOccurred())
	Expect(after.Row("a")).NotTo(BeNil())
	Expect(after.Row("b")).To(Equal(earlier.Row("b")))
	c.loop.RunFor(10 * time.Minute)
	Expect(shelf.saved).To(HaveLen(saves), "nothing new was learned")
})
