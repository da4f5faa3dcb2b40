package applier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/table"
)

// chaos runs a cell under a random schedule of demand, faults and takeovers and returns the
// violations found in the engines' record.
func chaos(seed uint64, steps int, change func(*applier.Config)) []string {
	random := rand.New(rand.NewPCG(seed, 2))
	rows := make([]table.Row, 6)
	for i := range rows {
		rows[i] = row(fmt.Sprintf("model-%d", i), 1+random.IntN(2), int64(8+random.IntN(24))*gigabyte)
	}
	rows = append(rows, adapterRow("style-0", "model-0", 1), adapterRow("style-1", "model-1", 2))
	c := newCluster(seed, 4, rows, change)
	c.acquire(0)
	c.loop.RunFor(time.Second)
	for range steps {
		c.injectEvent(random)
		c.loop.RunFor(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	return c.audit.violations
}

// injectEvent causes one random change of demand, fault or takeover.
func (c *cluster) injectEvent(random *rand.Rand) {
	server := c.machines[random.IntN(len(c.machines))].Server
	node := c.nodes[random.IntN(len(c.nodes))]
	toServer := node.process.Name + ">" + string(server)
	fromServer := string(server) + ">" + node.process.Name
	switch random.IntN(19) {
	case 0, 1, 2, 3:
		c.gateway.setWaiting(c.rows[random.IntN(len(c.rows))].Name, 1+random.IntN(8))
	case 4, 5, 6:
		c.gateway.setWaiting(c.rows[random.IntN(len(c.rows))].Name, 0)
	case 7:
		c.blocked[toServer] = !c.blocked[toServer]
	case 8:
		c.blocked[fromServer] = !c.blocked[fromServer]
	case 9:
		c.extraDelay[toServer] = time.Duration(random.IntN(3)*2500) * time.Millisecond
	case 10:
		c.extraDelay[fromServer] = time.Duration(random.IntN(3)*800) * time.Millisecond
	case 11:
		c.fleet.Host(server).Restart(random.IntN(2) == 0)
	case 12:
		c.transferCell(random)
	case 13:
		c.pauseOrResume(node)
	case 14:
		c.fleet.Host(server).Engine.SetFaults(engine.Faults{
			LoadFailure: float64(random.IntN(2)) / 2, LoseOrderReply: float64(random.IntN(3)) / 4, Hang: random.IntN(4) == 0,
		})
	case 15:
		c.replaceMachine(random, server)
	case 16, 17:
		// Some gateways still report to another owner.
		c.gateway.otherOwner = node.process.Name
	case 18:
		c.editTable(func(rows []table.Row) []table.Row {
			rows[random.IntN(len(rows))].Version = fmt.Sprint(c.revision)
			return rows
		})
	}
}

// transferCell gives the cell to a random node, unless that node is paused.
func (c *cluster) transferCell(random *rand.Rand) {
	next := random.IntN(len(c.nodes))
	if c.nodes[next].process.Paused() {
		return
	}
	// The other node is notified or not, at random.
	if random.IntN(2) == 0 {
		c.nodes[1-next].process.Run(func() { c.nodes[1-next].manager.Lost(cellName) })
	}
	c.acquire(next)
}

func (c *cluster) pauseOrResume(node *node) {
	if node.process.Paused() {
		node.process.Resume()
		return
	}
	node.process.Pause()
}

// replaceMachine terminates a machine and starts another. The old one is removed from the machine
// list either at once or up to 5 s later.
func (c *cluster) replaceMachine(random *rand.Rand, server outside.ServerID) {
	c.terminate(server)
	if random.IntN(2) == 0 {
		c.loop.RunFor(time.Duration(random.IntN(5000)) * time.Millisecond)
	}
	c.removeFromListing(server)
	c.startServer(outside.ServerID(fmt.Sprintf("lm-new-%d", c.listing.Version)))
}

var _ = Describe("With any schedule of faults", func() {
	It("never holds more replicas or memory than allowed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if violations := chaos(rapid.Uint64().Draw(t, "seed"), 80, nil); len(violations) > 0 {
				t.Fatal(violations)
			}
		})
	})
})

// maxMutationSeeds is the number of runs within which a missing mechanism must cause a violation.
const maxMutationSeeds = 200

var _ = DescribeTable("The audit finds a violation without", func(change func(*applier.Config)) {
	for seed := range uint64(maxMutationSeeds) {
		if len(chaos(seed, 80, change)) > 0 {
			return
		}
	}
	Fail("no violation was found")
},
	Entry("adoption before acting", func(c *applier.Config) { c.Mechanisms.AdoptBeforeAct = false }),
	Entry("reservation before orders", func(c *applier.Config) { c.Mechanisms.ReserveBeforeOrder = false }),
	Entry("release on confirmation", func(c *applier.Config) { c.Mechanisms.ReleaseSlotOnConfirmation = false }),
)

var _ = DescribeTable("A schedule shows the need for", func(schedule func(*cluster), without func(*applier.Config)) {
	for _, change := range []func(*applier.Config){nil, without} {
		c := newCluster(3, 3, []table.Row{row("a", 1, 15*gigabyte), withMin(row("b", 1, 15*gigabyte))}, change)
		c.acquire(0)
		c.loop.RunFor(30 * time.Second)
		schedule(c)
		c.loop.RunFor(30 * time.Second)
		if change == nil {
			Expect(c.audit.violations).To(BeEmpty())
		} else {
			Expect(c.audit.violations).NotTo(BeEmpty())
		}
	}
},
	Entry("the fence, when an order arrives after a takeover", func(c *cluster) {
		for _, machine := range c.machines {
			c.extraDelay["node-0>"+string(machine.Server)] = 20 * time.Second
		}
		loadedServer := c.ready("b")[0]
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(time.Second)
		for _, machine := range c.machines {
			// A checkpoint in memory makes the next owner choose another server, whichever the
			// first owner chose.
			if machine.Server != loadedServer {
				c.fleet.Host(machine.Server).Engine.SeedCheckpoint("a", "1", outside.SourceMemory, gigabyte)
			}
		}
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(30 * time.Second)
	}, func(c *applier.Config) { c.Mechanisms.Fence = false }),
	Entry("attempt identity, when a delayed state predates a load whose reply was lost", func(c *cluster) {
		loadedServer := c.ready("b")[0]
		host := c.fleet.Host(loadedServer)
		host.Engine.SeedCheckpoint("a", "1", outside.SourceMemory, gigabyte)
		c.loop.RunFor(3 * time.Second)
		host.Engine.SetFaults(engine.Faults{LoseOrderReply: 1})
		c.extraDelay[string(loadedServer)+">node-0"] = 900 * time.Millisecond
		c.loop.RunFor(3 * time.Second)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(10 * time.Second)
	}, func(c *applier.Config) { c.Mechanisms.AttemptIdentity = false }),
	Entry("confirmation of the epoch, when a restarted engine has lost its fence", func(c *cluster) {
		var restarted outside.ServerID
		c.nodes[0].process.Pause()
		c.acquire(1)
		c.gateway.setWaiting("a", 1)
		c.loop.RunFor(20 * time.Second)
		for _, machine := range c.machines {
			if restarted == "" && machine.Server != c.ready("a")[0] {
				restarted = machine.Server
				continue
			}
			c.blocked["node-0>"+string(machine.Server)] = true
		}
		c.blocked["node-1>"+string(restarted)] = true
		c.fleet.Host(restarted).Restart(true)
		c.nodes[0].process.Resume()
		c.loop.RunFor(5 * time.Second)
		c.gateway.otherOwner = "node-0"
		c.loop.RunFor(10 * time.Second)
	}, func(c *applier.Config) { c.Confirmer = confirmsAnyEpoch{c.Clock} }),
)

// withMin returns the row with a minimum of one replica.
func withMin(row table.Row) table.Row {
	row.MinReplicas = 1
	return row
}

// confirmsAnyEpoch implements applier.Confirmer and confirms every epoch.
type confirmsAnyEpoch struct{ clock clock.Clock }

func (a confirmsAnyEpoch) Confirm(_ string, _ uint64, done func(bool, error)) {
	a.clock.AfterFunc(time.Millisecond, func() { done(true, nil) })
}

// BenchmarkTick measures 100 ms of a cell of 18 servers and 160 rows without changes, including the
// simulated engines.
func BenchmarkTick(b *testing.B) {
	rows := make([]table.Row, 160)
	for i := range rows {
		rows[i] = row(fmt.Sprintf("model-%03d", i), 2, 10*gigabyte)
	}
	c := newCluster(1, 18, rows, nil)
	c.acquire(0)
	for i := range 60 {
		c.gateway.setWaiting(rows[i].Name, 2)
	}
	c.loop.RunFor(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		c.loop.RunFor(100 * time.Millisecond)
	}
}
