package applier_test

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/cells"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	gigabyte = 1_000_000_000
	cellName = "glossa"
)

// cluster simulates one cell: its engines, a gateway, and the nodes that may own it. It implements
// table.View.
type cluster struct {
	loop    *simulation.Loop
	network *simulation.Network
	peers   *simulation.PeerNetwork
	fleet   *engine.Fleet
	log     *record.Log
	audit   *audit
	nodes   []*node
	gateway *gateway

	machines []outside.Machine
	listing  outside.MachineListing
	rows     []table.Row
	revision table.Revision
	epoch    uint64
	// keyValueUnavailable: the key-value service is unavailable, so epochs can't be confirmed.
	keyValueUnavailable bool
	// blocked are the network's directions in which messages are dropped, by "from>to".
	blocked map[string]bool
	// extraDelay is added to the delay in one direction, by "from>to".
	extraDelay map[string]time.Duration
}

// node is one hatchplank node with its manager. It implements applier.Confirmer and
// membership.View.
type node struct {
	cluster *cluster
	process *simulation.Process
	manager *applier.Manager
}

func newCluster(seed uint64, servers int, rows []table.Row, change func(*applier.Config)) *cluster {
	c := &cluster{
		loop: simulation.NewLoop(seed), log: record.NewLog(), rows: rows, revision: 1,
		blocked: map[string]bool{}, extraDelay: map[string]time.Duration{},
	}
	c.network = simulation.NewNetwork(c.loop)
	c.network.Cut = func(from, to string) bool { return c.blocked[from+">"+to] }
	c.network.ConditionsOf = func(from, to string) simulation.Conditions {
		return simulation.Conditions{Delay: simulation.DefaultDelay + c.extraDelay[from+">"+to]}
	}
	c.peers = simulation.NewPeerNetwork(c.network)
	c.fleet = engine.NewFleet(c.loop, c.network)
	c.audit = newAudit(c)
	c.log.Subscribe(c.audit.observe)
	for i := range servers {
		c.startServer(outside.ServerID(fmt.Sprintf("lm-%d", i)))
	}
	c.gateway = newGateway(c)
	for i := range 2 {
		c.nodes = append(c.nodes, c.newNode(fmt.Sprintf("node-%d", i), change))
	}
	return c
}

func (c *cluster) startServer(id outside.ServerID) {
	c.fleet.Start(engine.Config{Server: id, MemoryBytes: 40 * gigabyte, Accelerators: 1, MaxBatch: 4, Record: c.log})
	c.machines = append(c.machines, outside.Machine{
		Server: id, Pool: cellName, Zone: "marousi", Phase: outside.MachineLive, Engine: true,
	})
	c.publishListing()
}

// publishListing updates the machine list from machines.
func (c *cluster) publishListing() {
	c.listing = outside.MachineListing{
		Version: c.listing.Version + 1, Machines: append([]outside.Machine(nil), c.machines...),
	}
}

// terminate ends a machine, which stays in the machine list until removeFromListing.
func (c *cluster) terminate(id outside.ServerID) { c.fleet.Host(id).Vanish() }

func (c *cluster) removeFromListing(id outside.ServerID) {
	for i := range c.machines {
		if c.machines[i].Server == id {
			c.machines = append(c.machines[:i:i], c.machines[i+1:]...)
			break
		}
	}
	c.publishListing()
}

func (c *cluster) markLeaving(id outside.ServerID) {
	for i := range c.machines {
		if c.machines[i].Server == id {
			c.machines[i].Phase = outside.MachineLeaving
		}
	}
	c.publishListing()
}

func (c *cluster) editTable(change func(rows []table.Row) []table.Row) {
	c.rows = change(append([]table.Row(nil), c.rows...))
	c.revision++
}

func (c *cluster) newNode(name string, change func(*applier.Config)) *node {
	process := simulation.NewProcess(c.loop, name)
	created := &node{cluster: c, process: process}
	policy, err := planner.New(planner.PolicyHatchplank, planner.Parameters{ColdStartWeight: 0.5})
	if err != nil {
		panic(err)
	}
	config := applier.Config{
		Clock: process, Random: c.loop.Fork(), Table: c, Engines: c.fleet.Client(process),
		Layout:   cells.Layout{Cells: []cells.Cell{{Name: cellName, Pools: []string{cellName}}}},
		Allot:    allotAll,
		Machines: machines{c, process}, Transport: c.peers.Transport(process), Self: created,
		Policy: policy, Confirmer: created, Logger: zerolog.Nop(), Mechanisms: applier.AllMechanisms(),
	}
	if change != nil {
		change(&config)
	}
	created.manager = applier.NewManager(config)
	clock.Repeat(process, 100*time.Millisecond, func() { created.manager.Tick(process.Now()) })
	return created
}

func allotAll(cell string, row table.Row) cells.Allotment {
	return cells.Allotment{Cell: cell, MinReplicas: row.MinReplicas, MaxReplicas: row.MaxReplicas}
}

// acquire gives the cell to a node at a new epoch. The previous owner is not notified.
func (c *cluster) acquire(i int) {
	c.epoch++
	epoch := c.epoch
	c.nodes[i].process.Run(func() { c.nodes[i].manager.Acquired(cellName, epoch) })
	c.gateway.owner = c.nodes[i].process.Name
}

// startServing gives the cell to the first node and keeps requests for a row waiting for 30 s, in
// which its replicas become ready.
func (c *cluster) startServing(row string, requests int) {
	c.acquire(0)
	c.loop.RunFor(time.Second)
	c.gateway.setWaiting(row, requests)
	c.loop.RunFor(30 * time.Second)
}

// Row, Rows and Revision implement table.View.
func (c *cluster) Row(name string) (table.Row, bool) {
	for _, row := range c.rows {
		if row.Name == name {
			return row, true
		}
	}
	return table.Row{}, false
}

func (c *cluster) Rows() []table.Row { return c.rows }

func (c *cluster) Revision() table.Revision { return c.revision }

// Self and Members implement membership.View.
func (n *node) Self() membership.Member { return membership.Member{Name: n.process.Name} }

func (n *node) Members() []membership.Member {
	return []membership.Member{n.cluster.gateway.member()}
}

// Confirm implements applier.Confirmer as a linearizable read that takes 2 ms.
func (n *node) Confirm(_ string, epoch uint64, done func(bool, error)) {
	n.cluster.loop.AfterFunc(time.Millisecond, func() {
		current, unavailable := epoch == n.cluster.epoch, n.cluster.keyValueUnavailable
		n.process.AfterFunc(time.Millisecond, func() {
			if unavailable {
				done(false, outside.ErrNotApplied)
				return
			}
			done(current, nil)
		})
	})
}

// machines implements applier.Machines by reading the cluster's list without delay.
type machines struct {
	cluster *cluster
	process *simulation.Process
}

func (m machines) Listing() (outside.MachineListing, time.Time) {
	return m.cluster.listing, m.process.Now()
}

func (m machines) Subscribe(func(outside.MachineListing)) {}

// ready returns the servers whose engine has a ready replica of the model.
func (c *cluster) ready(model string) []outside.ServerID {
	var servers []outside.ServerID
	for _, machine := range c.machines {
		state := c.fleet.Host(machine.Server).Engine.State(0)
		if state == nil {
			continue
		}
		for _, replica := range state.Replicas {
			if replica.Model == model && replica.Phase == outside.ReplicaReady {
				servers = append(servers, machine.Server)
			}
		}
	}
	return servers
}

// adapterRow returns the row of an adapter of 1 GB on a base model.
func adapterRow(name, base string, maximum int) table.Row {
	adapter := row(name, maximum, gigabyte)
	adapter.Kind, adapter.Base = table.KindAdapter, base
	return adapter
}

// row returns the row of a model that takes this much memory, in bytes.
func row(name string, maximum int, memory int64) table.Row {
	return table.Row{
		Name: name, Kind: table.KindModel, Version: "1", Tenant: "group-a", Weight: 1,
		WeightBytes: memory / 2, MemoryBytes: memory, MaxReplicas: maximum,
	}
}

// loadsStarted returns the number of loads that engines started.
func (c *cluster) loadsStarted() int { return int(c.log.Count(record.KindLoadStarted)) }
