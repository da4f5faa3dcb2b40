package nodestatus

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/applier"
)

// poolPrefix is the prefix of those gateway groups that are pools.
const poolPrefix = "pool/"

// The values of api.ServerStatus.State.
const (
	stateAdopted    = "adopted"
	stateLeaving    = "leaving"
	stateNotAdopted = "not_adopted"
	stateNotListed  = "not_listed"
)

// localReply returns this node's part of the status: the servers and replicas of the cells
// that it owns, and the requests at its gateway.
func (c *Collector) localReply() PartReply {
	reply := PartReply{Member: c.Members.Self().ID(), Revision: c.Table.Revision()}
	rows := rowIndex{}
	for _, cell := range c.Cells.Status() {
		for _, server := range cell.Servers {
			reply.Servers = append(reply.Servers, c.serverStatus(cell, server))
			rows.addReplicas(server)
		}
	}
	for _, group := range c.Requests.Stats().Groups {
		if pool, isPool := strings.CutPrefix(group.Name, poolPrefix); isPool {
			reply.Pools = append(reply.Pools, api.PoolStatus{Pool: pool, Waiting: group.Waiting, Running: group.Running})
			continue
		}
		row := rows.at(group.Name)
		row.Waiting += group.Waiting
		row.Running += group.Running
	}
	reply.Rows = rows.sorted()
	return reply
}

func (c *Collector) serverStatus(cell applier.CellStatus, server applier.ServerStatus) api.ServerStatus {
	machine, _ := c.Machines.Machine(server.Server)
	return api.ServerStatus{
		Server: string(server.Server), Pool: machine.Pool, Zone: server.Zone, Cell: cell.Cell,
		State: stateOf(server), MemoryBytes: server.MemoryBytes, ReservedBytes: server.CommittedBytes,
	}
}

func stateOf(server applier.ServerStatus) string {
	switch {
	case !server.Listed:
		return stateNotListed
	case server.Leaving:
		return stateLeaving
	case !server.Adopted:
		return stateNotAdopted
	default:
		return stateAdopted
	}
}

// rowIndex holds rows by name.
type rowIndex map[string]*api.RowStatus

// at returns the row with the name and adds it if there is none.
func (r rowIndex) at(name string) *api.RowStatus {
	row, known := r[name]
	if !known {
		row = &api.RowStatus{Row: name, Replicas: []api.ReplicaStatus{}}
		r[name] = row
	}
	return row
}

// addReplicas adds the replicas of a server to the rows of their models and adapters.
func (r rowIndex) addReplicas(server applier.ServerStatus) {
	for _, replica := range server.Replicas {
		status := api.ReplicaStatus{
			Slot: int(replica.Slot), Server: string(server.Server), Zone: server.Zone,
			Phase: replica.Phase.String(), Version: replica.Version, Running: replica.Running, Queued: replica.Queued,
			Reason: replica.Reason, Leaving: replica.DrainReason,
		}
		for _, name := range append([]string{replica.Model}, replica.Adapters...) {
			row := r.at(name)
			row.Replicas = append(row.Replicas, status)
		}
	}
}

// merge adds another node's requests and replicas of a row.
func (r rowIndex) merge(other api.RowStatus) {
	row := r.at(other.Row)
	row.Waiting += other.Waiting
	row.Running += other.Running
	row.Replicas = append(row.Replicas, other.Replicas...)
}

// sorted returns the rows in order of name, each with its replicas in order of slot and
// server.
func (r rowIndex) sorted() []api.RowStatus {
	rows := make([]api.RowStatus, 0, len(r))
	for _, row := range r {
		slices.SortFunc(row.Replicas, func(a, b api.ReplicaStatus) int {
			return cmp.Or(cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Server, b.Server))
		})
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b api.RowStatus) int { return cmp.Compare(a.Row, b.Row) })
	return rows
}
