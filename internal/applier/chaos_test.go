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

// chaos runs a cell under a random schedule of demand, faults and takeovers and
// returns what the engines' record shows to be wrong.
func chaos(seed uint64, steps int, change func(*applier.Config)) []string {
	random := rand.New(rand.NewPCG(seed, 2))
	rows := make([]table.Row, 6)
	for i := range rows {
		rows[i] = row(fmt.Sprintf("model-%d", i), 1+random.IntN(2), int64(8+random.IntN(24))*gigabyte)
	}
	rows = append(rows, adapterOn("style-0", "model-0", 1), adapterOn("style-1", "model-1", 2))
	c := newCluster(seed, 4, rows, change)
	c.acquire(0)
	c.loop.RunFor(time.Second)
	for range steps {
		c.disturb(random)
		c.loop.RunFor(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	return c.audit.violations
}

// disturb makes one random thing happen.
func (c *cluster) disturb(random *rand.Rand) {
	server := c.machines[random.IntN(len(c.machines))].Server
	node := c.nodes[random.IntN(len(c.nodes))]
	way := node.process.Name + ">" + string(server)
	back := string(server) + ">" + node.process.Name
	switch random.IntN(19) {
	case 0, 1, 2, 3:
		c.gateway.want(c.rows[random.IntN(len(c.rows))].Name, 1+random.IntN(8))
	case 4, 5, 6:
		c.gateway.want(c.rows[random.IntN(len(c.rows))].Name, 0)
	case 7:
		c.cut[way] = !c.cut[way]
	case 8:
		c.cut[back] = !c.cut[back]
	case 9:
		c.late[way] = time.Duration(random.IntN(3)*2500) * time.Millisecond
	case 10:
		c.late[back] = time.Duration(random.IntN(3)*800) * time.Millisecond
	case 11:
		c.fleet.Host(server).Restart(random.IntN(2) == 0)
	case 12:
		c.takeOver(random)
	case 13:
		c.pauseOrResume(node)
	case 14:
		c.fleet.Host(server).Engine.SetFaults(engine.Faults{
			LoadFailure: float64(random.IntN(2)) / 2, LoseOrderReply: float64(random.IntN(3)) / 4, Hang: random.IntN(4) == 0,
		})
	case 15:
		c.replaceMachine(random, server)
	case 16, 17:
		// Some gateways still believe in another owner.
		c.gateway.alsoTo = node.process.Name
	case 18:
		c.edit(func(rows []table.Row) []table.Row {
			rows[random.IntN(len(rows))].Version = fmt.Sprint(c.revision)
			return rows
		})
	}
}

func (c *cluster) takeOver(random *rand.Rand) {
	next := random.IntN(len(c.nodes))
	if c.nodes[next].process.Paused() {
		return
	}
	// The node before learns of it, or not.
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

func (c *cluster) replaceMachine(random *rand.Rand, server outside.ServerID) {
	c.reclaim(server)
	if random.IntN(2) == 0 {
		c.loop.RunFor(time.Duration(random.IntN(5000)) * time.Millisecond)
	}
	c.delist(server)
	c.startServer(outside.ServerID(fmt.Sprintf("lm-new-%d", c.listing.Version)))
}

var _ = Describe("Under any schedule of faults", func() {
	It("never holds more replicas or memory than allowed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if violations := chaos(rapid.Uint64().Draw(t, "seed"), 80, nil); len(violations) > 0 {
				t.Fatal(violations)
			}
		})
	})
})

// mutationSeeds bounds how many runs may pass before a mutation is noticed.
const mutationSeeds = 200

var _ = DescribeTable("The record shows a violation without", func(change func(*applier.Config)) {
	for seed := range uint64(mutationSeeds) {
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

var _ = DescribeTable("Needed in one schedule:", func(schedule func(*cluster), without func(*applier.Config)) {
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
			c.late["node-0>"+string(machine.Server)] = 20 * time.Second
		}
		holder := c.ready("b")[0]
		c.gateway.want("a", 1)
		c.loop.RunFor(time.Second)
		for _, machine := range c.machines {
			// The next owner finds another server better, whichever was chosen.
			if machine.Server != holder {
				c.fleet.Host(machine.Server).Engine.SeedCheckpoint("a", "1", outside.SourceMemory, gigabyte)
			}
		}
		c.nodes[0].manager.Lost(cellName)
		c.acquire(1)
		c.loop.RunFor(30 * time.Second)
	}, func(c *applier.Config) { c.Mechanisms.Fence = false }),
	Entry("attempt identity, when a late state is from before a load whose reply was lost", func(c *cluster) {
		holder := c.ready("b")[0]
		host := c.fleet.Host(holder)
		host.Engine.SeedCheckpoint("a", "1", outside.SourceMemory, gigabyte)
		c.loop.RunFor(3 * time.Second)
		host.Engine.SetFaults(engine.Faults{LoseOrderReply: 1})
		c.late[string(holder)+">node-0"] = 900 * time.Millisecond
		c.loop.RunFor(3 * time.Second)
		c.gateway.want("a", 1)
		c.loop.RunFor(10 * time.Second)
	}, func(c *applier.Config) { c.Mechanisms.AttemptIdentity = false }),
	Entry("confirmation of the epoch, when a restarted engine has forgotten its fence", func(c *cluster) {
		var restarted outside.ServerID
		c.nodes[0].process.Pause()
		c.acquire(1)
		c.gateway.want("a", 1)
		c.loop.RunFor(20 * time.Second)
		for _, machine := range c.machines {
			if restarted == "" && machine.Server != c.ready("a")[0] {
				restarted = machine.Server
				continue
			}
			c.cut["node-0>"+string(machine.Server)] = true
		}
		c.cut["node-1>"+string(restarted)] = true
		c.fleet.Host(restarted).Restart(true)
		c.nodes[0].process.Resume()
		c.loop.RunFor(5 * time.Second)
		c.gateway.alsoTo = "node-0"
		c.loop.RunFor(10 * time.Second)
	}, func(c *applier.Config) { c.Confirmer = alwaysCurrent{c.Clock} }),
)

func withMin(row table.Row) table.Row {
	row.MinReplicas = 1
	return row
}

// alwaysCurrent confirms any epoch.
type alwaysCurrent struct{ clock clock.Clock }

func (a alwaysCurrent) Confirm(_ string, _ uint64, done func(bool, error)) {
	a.clock.AfterFunc(time.Millisecond, func() { done(true, nil) })
}

// BenchmarkTick measures a quiet cell of 18 servers and 160 rows, virtual
// engines included.
func BenchmarkTick(b *testing.B) {
	rows := make([]table.Row, 160)
	for i := range rows {
		rows[i] = row(fmt.Sprintf("model-%03d", i), 2, 10*gigabyte)
	}
	c := newCluster(1, 18, rows, nil)
	c.acquire(0)
	for i := range 60 {
		c.gateway.want(rows[i].Name, 2)
	}
	c.loop.RunFor(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		c.loop.RunFor(100 * time.Millisecond)
	}
}
