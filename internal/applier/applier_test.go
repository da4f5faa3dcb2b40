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
	It("loads a model that requests wait for and sends its endpoints to the gateway", func() {
		c := newCluster(1, 2, []table.Row{row("a", 1, 20*gigabyte), row("b", 2, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.ready("b")).To(BeEmpty())
		Expect(c.gateway.endpoints["a"].Endpoints).To(HaveLen(1))
		Expect(c.gateway.endpoints["a"].Endpoints[0].Draining).To(BeFalse())
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("omits endpoints that a gateway has cached, but sends their changes and, periodically, their load", func() {
		c := newCluster(1, 2, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.gateway.reportsDigests = true
		c.startServing("a", 1)
		Expect(c.gateway.endpoints["a"].Endpoints).To(HaveLen(1))
		c.gateway.rowsReceived = 0
		c.loop.RunFor(20 * time.Second)
		// 40 reports within 20 s, of which those every LoadRefresh (5 s) are answered with
		// endpoints.
		Expect(c.gateway.rowsReceived).To(And(BeNumerically(">=", 3), BeNumerically("<=", 5)))
		cachedRow := c.gateway.endpoints["a"]
		cachedRow.Digest++
		c.gateway.endpoints["a"] = cachedRow
		c.gateway.rowsReceived = 0
		c.loop.RunFor(600 * time.Millisecond)
		Expect(c.gateway.rowsReceived).To(BeNumerically(">=", 1), "endpoints are sent if the reported digest differs")
	})

	It("loads a base model together with its adapter", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte), adapterRow("style", "a", 1)}, nil)
		c.startServing("style", 1)
		Expect(c.gateway.endpoints["a"].Endpoints).To(HaveLen(1))
		Expect(c.gateway.endpoints["a"].Endpoints[0].Adapters).To(Equal([]string{"style"}))
	})

	It("frees capacity for a waiting row by unloading an idle one", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 30*gigabyte), row("b", 1, 30*gigabyte)}, nil)
		c.acquire(0)
		c.loop.RunFor(time.Second)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(60 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.gateway.setWaiting("a", 0)
		c.loop.RunFor(6 * time.Second)
		c.gateway.setWaiting("b", 1)
		c.loop.RunFor(60 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
		Expect(c.ready("b")).To(HaveLen(1))
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("replaces a replica on a leaving server and immediately drains the old one", func() {
		c := newCluster(1, 2, []table.Row{row("a", 2, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		old := c.ready("a")[0]
		c.markLeaving(old)
		c.loop.RunFor(300 * time.Millisecond)
		Expect(c.gateway.endpoints["a"].Endpoints[0].Draining).To(BeTrue())
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.ready("a")[0]).NotTo(Equal(old))
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("does not unload a replica before its running requests have ended", func() {
		c, sink := unloadDuringRequest(nil)
		Expect(sink.ended+sink.failed).To(BeZero(), "the request must outlast the drain delay")
		Expect(c.ready("a")).To(HaveLen(1))
		c.loop.RunFor(3 * time.Minute)
		Expect(sink.ended).To(Equal(1))
		Expect(c.ready("a")).To(BeEmpty())
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("soon after a takeover, waits the full drain delay for gateways that have not reported yet", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.startServing("a", 1)
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(3 * time.Second)
		c.markLeaving("lm-0")
		// The only gateway that has reported acknowledges the drain immediately.
		c.loop.RunFor(4 * time.Second)
		Expect(c.gateway.endpoints["a"].Endpoints[0].Draining).To(BeTrue())
		Expect(c.ready("a")).To(HaveLen(1))
		c.loop.RunFor(4 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
	})

	It("soon after a takeover, waits longer than the drain delay before it unloads an idle replica", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.acquire(0)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(30 * time.Second)
		c.gateway.setWaiting("a", 0)
		c.acquire(1)
		c.loop.RunFor(time.Second)
		c.editTable(func(rows []table.Row) []table.Row {
			rows[0].MaxReplicas = 0
			return rows
		})
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.loop.RunFor(40 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
	})

	It("sends a drain to gateways that have not reported since before the takeover", func() {
		c := newCluster(1, 1, []table.Row{withMin(row("a", 1, 20*gigabyte))}, nil)
		c.acquire(0)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(30 * time.Second)
		c.gateway.setWaiting("a", 0)
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(2 * time.Minute)
		c.markLeaving("lm-0")
		c.loop.RunFor(500 * time.Millisecond)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.gateway.endpoints["a"].Endpoints[0].Draining).To(BeTrue())
		c.loop.RunFor(2 * time.Second)
		Expect(c.ready("a")).To(BeEmpty(), "the gateway's acknowledgement ends the wait")
	})

	It("does not unload a replica that a live but unreachable gateway may still send requests to", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.acquire(0)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(time.Minute)
		c.gateway.setWaiting("a", 0)
		c.blocked["node-0>gateway"] = true
		c.editTable(func(rows []table.Row) []table.Row {
			rows[0].MaxReplicas = 0
			return rows
		})
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		c.blocked["node-0>gateway"] = false
		c.loop.RunFor(5 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1), "a delayed request may still be in transit")
		c.loop.RunFor(5 * time.Second)
		Expect(c.ready("a")).To(BeEmpty())
	})

	DescribeTable("waits for delayed requests before an unload on a leaving machine",
		func(left time.Duration, readyAfter int) {
			c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
			c.acquire(0)
			c.gateway.setWaiting("a", 1)
			c.loop.RunFor(time.Minute)
			c.gateway.setWaiting("a", 0)
			c.machines[0].LeavesAt = c.loop.Now().Add(left)
			c.markLeaving("lm-0")
			c.loop.RunFor(4 * time.Second)
			Expect(c.ready("a")).To(HaveLen(readyAfter))
			c.loop.RunFor(6 * time.Second)
			Expect(c.ready("a")).To(BeEmpty())
		},
		Entry("that leaves in two minutes", 2*time.Minute, 1),
		Entry("except one that leaves soon", 20*time.Second, 0),
	)

	It("defers plans after a pause until the table had time to be updated", func() {
		c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, nil)
		c.acquire(0)
		c.loop.RunFor(time.Second)
		c.nodes[0].process.Pause()
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(10 * time.Second)
		c.nodes[0].process.Resume()
		c.loop.RunFor(1500 * time.Millisecond)
		Expect(c.fleet.Host("lm-0").Engine.State(0).Replicas).To(BeEmpty())
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
	})

	It("cuts off running requests if DrainBeforeUnload is off", func() {
		c, _ := unloadDuringRequest(func(c *applier.Config) { c.Mechanisms.DrainBeforeUnload = false })
		Expect(c.audit.violations).NotTo(BeEmpty())
	})

	It("replaces the replicas of an old version one by one, and unloads replicas when the maximum is lowered", func() {
		c := newCluster(1, 3, []table.Row{row("a", 3, 20*gigabyte)}, nil)
		c.startServing("a", 8)
		Expect(c.ready("a")).To(HaveLen(2))
		c.editTable(func(rows []table.Row) []table.Row {
			rows[0].Version = "2"
			return rows
		})
		for range 60 {
			c.loop.RunFor(time.Second)
			Expect(c.ready("a")).NotTo(BeEmpty())
		}
		for _, endpoint := range c.gateway.endpoints["a"].Endpoints {
			Expect(endpoint.Version).To(Equal("2"))
		}
		c.editTable(func(rows []table.Row) []table.Row {
			rows[0].MaxReplicas = 1
			return rows
		})
		c.loop.RunFor(30 * time.Second)
		Expect(c.ready("a")).To(HaveLen(1))
		Expect(c.audit.violations).To(BeEmpty())
	})

	It("adopts the replicas that the previous owner loaded", func() {
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
		Expect(status.UnknownServers).To(BeZero())
		Expect(c.gateway.endpoints["a"].Endpoints).To(HaveLen(1))
	})

	It("backs off after a failed load and retries", func() {
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

	It("does not plan before a table was read", func() {
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

// unloadDuringRequest makes a server leave while it runs a long request, and returns 7 s later.
func unloadDuringRequest(change func(*applier.Config)) (*cluster, *countingSink) {
	c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, change)
	c.startServing("a", 1)
	sink := &countingSink{}
	body := []byte(`{"model":"a","max_tokens":3000,"messages":[{"role":"user","content":"write"}]}`)
	c.fleet.Client(c.gateway.process).Generate(outside.GenerateRequest{
		Server: "lm-0", Attempt: "one", RequestID: "one", Model: "a", Path: "/v1/chat/completions", Body: body,
		Deadline: c.loop.Now().Add(5 * time.Minute),
	}, sink)
	c.gateway.setWaiting("a", 0)
	c.markLeaving("lm-0")
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
	Expect(c.ready("a")).To(HaveLen(1), "a replica of a is ready in the end")
},
	Entry("the reply to a load is lost", func(c *cluster) {
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Engine.SetFaults(engine.Faults{LoseOrderReply: 1})
		}
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(10 * time.Second)
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Engine.SetFaults(engine.Faults{})
		}
	}, nil),
	Entry("an order arrives after the takeover", func(c *cluster) {
		for _, machine := range c.machines {
			c.extraDelay["node-0>"+string(machine.Server)] = 20 * time.Second
		}
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(time.Second)
		c.acquire(1)
		c.loop.RunFor(40 * time.Second)
	}, nil),
	Entry("a paused owner resumes after the takeover", func(c *cluster) {
		c.gateway.setWaiting("b", 1)
		c.loop.RunFor(50 * time.Millisecond)
		c.nodes[0].process.Pause()
		c.acquire(1)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(5 * time.Second)
		c.nodes[0].process.Resume()
		c.gateway.owner = "node-0"
		c.gateway.report()
		c.loop.RunFor(5 * time.Second)
		c.gateway.owner = "node-1"
	}, nil),
	Entry("an engine restarts during a load", func(c *cluster) {
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(2 * time.Second)
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Restart(true)
		}
	}, nil),
	Entry("an engine restarts while the previous owner is paused, after the takeover", func(c *cluster) {
		c.nodes[0].process.Pause()
		c.acquire(1)
		c.loop.RunFor(time.Second)
		for _, machine := range c.machines {
			c.fleet.Host(machine.Server).Restart(true)
		}
		c.nodes[0].process.Resume()
		c.gateway.setWaiting("a", 1)
		c.gateway.owner = "node-0"
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(5 * time.Second)
		c.gateway.owner = "node-1"
	}, nil),
	Entry("a server is unreachable for the new owner", func(c *cluster) {
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(20 * time.Second)
		loadedServer := string(c.ready("a")[0])
		c.blocked["node-1>"+loadedServer] = true
		c.acquire(1)
		c.loop.RunFor(30 * time.Second)
		Expect(c.nodes[1].manager.Status()[0].UnknownServers).To(Equal(1))
		c.blocked = map[string]bool{}
	}, nil),
	Entry("a machine disappears and the machine list lags", func(c *cluster) {
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(20 * time.Second)
		loadedServer := c.ready("a")[0]
		c.terminate(loadedServer)
		c.loop.RunFor(20 * time.Second)
		c.removeFromListing(loadedServer)
	}, nil),
	Entry("epochs can't be confirmed during a key-value outage", func(c *cluster) {
		c.keyValueUnavailable = true
		c.fleet.Host("lm-0").Restart(true)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(time.Minute)
		Expect(c.ready("a")).To(HaveLen(1), "servers that were adopted before the outage are used")
		c.keyValueUnavailable = false
	}, nil),
)

// countingSink counts the attempts that ended and those that failed.
type countingSink struct{ ended, failed int }

func (s *countingSink) Chunk(outside.Chunk) {}

func (s *countingSink) End(outside.GenerateEnd) { s.ended++ }

func (s *countingSink) Failed(*outside.AttemptError) { s.failed++ }

// fakeStatisticsStore stores one cell's statistics. Its first load fails.
type fakeStatisticsStore struct {
	loop   *simulation.Loop
	loads  int
	saved  [][]byte
	stored []byte
}

func (s *fakeStatisticsStore) Load(_ string, done func([]byte, error)) {
	s.loads++
	err := outside.ErrNotApplied
	if s.loads > 1 {
		err = nil
	}
	s.loop.AfterFunc(time.Millisecond, func() { done(s.stored, err) })
}

func (s *fakeStatisticsStore) Save(_ string, _ uint64, data []byte, done func(error)) {
	Expect(s.loads).To(BeNumerically(">", 1), "statistics saved before those of the previous owner were read")
	s.saved = append(s.saved, data)
	s.loop.AfterFunc(time.Millisecond, func() { done(nil) })
}

var _ = It("Statistics of the previous owner survive an outage of their store", func() {
	previous := planner.NewStatistics()
	previous.Observe(simulation.Epoch.Add(-time.Hour), "b", "group-a", 1)
	data, err := previous.Encode()
	Expect(err).NotTo(HaveOccurred())
	statisticsStore := &fakeStatisticsStore{stored: data}
	c := newCluster(1, 1, []table.Row{row("a", 1, 20*gigabyte)}, func(config *applier.Config) { config.Statistics = statisticsStore })
	statisticsStore.loop = c.loop
	c.acquire(0)
	c.gateway.setWaiting("a", 1)
	c.loop.RunFor(3 * time.Minute)
	c.gateway.setWaiting("a", 0)
	c.loop.RunFor(3 * time.Minute)
	saves := len(statisticsStore.saved)
	Expect(saves).To(BeNumerically(">", 1))
	after, err := planner.DecodeStatistics(statisticsStore.saved[saves-1])
	Expect(err).NotTo(HaveOccurred())
	Expect(after.Row("a")).NotTo(BeNil())
	Expect(after.Row("b")).To(Equal(previous.Row("b")))
	c.loop.RunFor(10 * time.Minute)
	Expect(statisticsStore.saved).To(HaveLen(saves), "statistics without new observations must not be saved")
})
