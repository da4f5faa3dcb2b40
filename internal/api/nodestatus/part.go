package nodestatus

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/applier"
)

// poolPrefix marks the gateway's groups that are pools.
const poolPrefix = "pool/"

// The states of a server.
const (
	stateAdopted    = "adopted"
	stateLeaving    = "leaving"
	stateNotAdopted = "not_adopted"
	stateNotListed  = "not_listed"
)

// localPart describes what this node owns and what waits at it.
func (c *Collector) localPart() PartReply {
	part := PartReply{Member: c.Members.Self().ID(), Revision: c.Table.Revision()}
	rows := rowIndex{}
	for _, cell := range c.Cells.Status() {
		for _, server := range cell.Servers {
			part.Servers = append(part.Servers, c.serverStatus(cell, server))
			rows.addReplicas(server)
		}
	}
	for _, group := range c.Requests.Stats().Groups {
		if pool, isPool := strings.CutPrefix(group.Name, poolPrefix); isPool {
			part.Pools = append(part.Pools, api.PoolStatus{Pool: pool, Waiting: group.Waiting, Running: group.Running})
			continue
		}
		row := rows.at(group.Name)
		row.Waiting += group.Waiting
		row.Running += group.Running
	}
	part.Rows = rows.sorted()
	return part
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

// rowIndex collects rows by name.
type rowIndex map[string]*api.RowStatus

func (r rowIndex) at(name string) *api.RowStatus {
	row, known := r[name]
	if !known {
		row = &api.RowStatus{Row: name, Replicas: []api.ReplicaStatus{}}
		r[name] = row
	}
	return row
}

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

// add merges another node's part of a row.
func (r rowIndex) add(part api.RowStatus) {
	row := r.at(part.Row)
	row.Waiting += part.Waiting
	row.Running += part.Running
	row.Replicas = append(row.Replicas, part.Replicas...)
}

// sorted returns the rows in order of name, each one's replicas in order of
// slot.
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
