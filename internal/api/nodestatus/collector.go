package nodestatus

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

const (
	// askConcurrency bounds how many nodes are asked at once.
	askConcurrency = 32
	// peerTimeout of one question.
	peerTimeout = 2 * time.Second
)

// Table is the node's access to the table.
type Table interface {
	table.View
	InForce(done func([]tablestore.NodeRevision))
}

// Cells tells of the cells owned here.
type Cells interface {
	Status() []applier.CellStatus
}

// Requests tells what waits and runs at this node's gateway.
type Requests interface {
	Stats() gateway.Stats
}

// Machines finds a machine of the newest listing.
type Machines interface {
	Machine(server outside.ServerID) (outside.Machine, bool)
}

// Config names a node's parts.
type Config struct {
	Clock     clock.Clock
	Members   membership.View
	Ownership membership.Ownership
	// CellNames are all cells of the layout, in order.
	CellNames []string
	Table     Table
	Cells     Cells
	Requests  Requests
	Machines  Machines
	Transport peer.Transport
	// Health of the platform as this node sees it; may be nil.
	Health func() api.PlatformHealth
}

// Collector implements api.StatusSource.
type Collector struct {
	Config
}

var _ api.StatusSource = (*Collector)(nil)

// New returns a collector and registers its handler with the transport, so it
// must be called before the transport starts.
func New(config Config) *Collector {
	collector := &Collector{Config: config}
	config.Transport.Handle(PartRequest{}, func(_ string, _ peer.Message, reply func(peer.Message, error)) {
		reply(collector.localPart(), nil)
	})
	return collector
}

// RevisionStatus implements api.StatusSource; its time is bounded by the table store.
func (c *Collector) RevisionStatus(revision table.Revision, _ time.Duration, done func(api.RevisionStatus, error)) {
	c.Table.InForce(func(nodes []tablestore.NodeRevision) { done(api.NewRevisionStatus(revision, nodes), nil) })
}

// Status implements api.StatusSource.
func (c *Collector) Status(_ time.Duration, done func(api.Status, error)) {
	c.ask(func(parts []part) { done(c.assemble(parts), nil) })
}

// assemble puts the nodes' parts together.
func (c *Collector) assemble(parts []part) api.Status {
	self := c.Members.Self()
	status := api.Status{
		Node: self.Name, Revision: c.Table.Revision(), Draining: self.Draining,
		Unreachable: []string{}, Pools: []api.PoolStatus{}, Servers: []api.ServerStatus{},
		Members: []api.MemberStatus{}, Owners: c.owners(),
	}
	if c.Health != nil {
		status.Platform = c.Health()
	}
	rows := rowIndex{}
	pools := map[string]int{}
	for _, part := range parts {
		status.Members = append(status.Members, part.memberStatus())
		if !part.known {
			status.Unreachable = append(status.Unreachable, part.member.Name)
			continue
		}
		status.Servers = append(status.Servers, part.reply.Servers...)
		for _, row := range part.reply.Rows {
			rows.add(row)
		}
		addPools(&status, pools, part.reply.Pools)
	}
	status.Rows = c.describeRows(rows)
	return status
}

// addPools sums the requests of each pool; index holds the pools' positions.
func addPools(status *api.Status, index map[string]int, pools []api.PoolStatus) {
	for _, pool := range pools {
		position, known := index[pool.Pool]
		if !known {
			index[pool.Pool] = len(status.Pools)
			status.Pools = append(status.Pools, pool)
			continue
		}
		status.Pools[position].Waiting += pool.Waiting
		status.Pools[position].Running += pool.Running
	}
}

// describeRows adds what the table says, also of rows without replicas. Rows
// that are no longer in the table are kept, without tenant.
func (c *Collector) describeRows(rows rowIndex) []api.RowStatus {
	for _, row := range c.Table.Rows() {
		status := rows.at(row.Name)
		status.Tenant = row.Tenant
		status.MinReplicas = row.MinReplicas
		status.MaxReplicas = row.MaxReplicas
	}
	return rows.sorted()
}

func (c *Collector) owners() []api.OwnerStatus {
	owners := []api.OwnerStatus{}
	for _, cell := range c.CellNames {
		owner, known := c.Ownership.OwnerOf(cell)
		owners = append(owners, api.OwnerStatus{
			Cell: cell, Member: owner.Member.Name, Epoch: owner.Epoch, Vacant: !known || owner.Vacant,
		})
	}
	return owners
}
