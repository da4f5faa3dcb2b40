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
	// queryConcurrency limits how many nodes are queried at the same time.
	queryConcurrency = 32
	// queryTimeout limits the query of one node.
	queryTimeout = 2 * time.Second
)

// Table is the node's access to the table.
type Table interface {
	table.View
	// InForce collects the revision that each node uses. A node that does not answer is
	// included without one.
	InForce(done func([]tablestore.NodeRevision))
}

// Cells provides the state of the cells that this node owns.
type Cells interface {
	Status() []applier.CellStatus
}

// Requests provides the waiting and running requests of this node's gateway.
type Requests interface {
	Stats() gateway.Stats
}

// Machines provides the machines of the newest listing.
type Machines interface {
	// Machine returns the machine of a server, if it is listed.
	Machine(server outside.ServerID) (outside.Machine, bool)
}

// Config holds the dependencies of a Collector.
type Config struct {
	Clock     clock.Clock
	Members   membership.View
	Ownership membership.Ownership
	// CellNames are the names of all cells of the layout, in order.
	CellNames []string
	Table     Table
	Cells     Cells
	Requests  Requests
	Machines  Machines
	Transport peer.Transport
	// Health returns the state of the platform's services as this node sees it; may be nil.
	Health func() api.PlatformHealth
}

// Collector implements api.StatusSource.
type Collector struct {
	Config
}

var _ api.StatusSource = (*Collector)(nil)

// New returns a collector and registers its message handler with the transport. It must be
// called before the transport starts.
func New(config Config) *Collector {
	collector := &Collector{Config: config}
	config.Transport.Handle(PartRequest{}, func(_ string, _ peer.Message, reply func(peer.Message, error)) {
		reply(collector.localReply(), nil)
	})
	return collector
}

// RevisionStatus implements api.StatusSource. It ignores the timeout: the table store has
// its own.
func (c *Collector) RevisionStatus(revision table.Revision, _ time.Duration, done func(api.RevisionStatus, error)) {
	c.Table.InForce(func(nodes []tablestore.NodeRevision) { done(api.NewRevisionStatus(revision, nodes), nil) })
}

// Status implements api.StatusSource. It ignores the timeout: each node is queried for at
// most queryTimeout.
func (c *Collector) Status(_ time.Duration, done func(api.Status, error)) {
	c.queryMembers(func(replies []memberReply) { done(c.assemble(replies), nil) })
}

// assemble merges the replies of all nodes.
func (c *Collector) assemble(replies []memberReply) api.Status {
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
	for _, answer := range replies {
		status.Members = append(status.Members, answer.memberStatus())
		if !answer.answered {
			status.Unreachable = append(status.Unreachable, answer.member.Name)
			continue
		}
		status.Servers = append(status.Servers, answer.reply.Servers...)
		for _, row := range answer.reply.Rows {
			rows.merge(row)
		}
		addPools(&status, pools, answer.reply.Pools)
	}
	status.Rows = c.describeRows(rows)
	return status
}

// addPools adds one node's requests to each pool's totals. index maps a pool's name to its
// position in status.Pools.
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

// describeRows adds the tenants and replica limits of the table, and its rows without
// replicas or requests. Rows that are no longer in the table are kept, without a tenant.
func (c *Collector) describeRows(rows rowIndex) []api.RowStatus {
	for _, row := range c.Table.Rows() {
		status := rows.at(row.Name)
		status.Tenant = row.Tenant
		status.MinReplicas = row.MinReplicas
		status.MaxReplicas = row.MaxReplicas
	}
	return rows.sorted()
}

// owners returns the owner of each cell; a cell without a known owner is vacant.
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
