package applier

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// CellStatus describes a cell that this node owns, for status pages.
type CellStatus struct {
	Cell     string
	Epoch    uint64
	Revision table.Revision
	Policy   string
	// Releasing: the cell is being released to another owner.
	Releasing bool
	// UnknownServers is the number of servers whose state was not read yet. Each counts as holding
	// one replica of every model.
	UnknownServers int
	Servers        []ServerStatus
}

// ServerStatus describes one server of a cell.
type ServerStatus struct {
	Server                      outside.ServerID
	Zone                        string
	Incarnation                 outside.Incarnation
	Adopted, Confirmed, Leaving bool
	// Listed is false once the server is missing from the machine list.
	Listed bool
	// OutcomeUnknown: it is unknown whether the newest order was applied.
	OutcomeUnknown bool
	// Failures counts consecutive failed calls.
	Failures                    int
	MemoryBytes, CommittedBytes int64
	Replicas                    []ReplicaStatus
}

// ReplicaStatus describes one replica, which occupies a slot.
type ReplicaStatus struct {
	Model   string
	Version string
	Slot    outside.SlotID
	Attempt outside.AttemptID
	Phase   outside.ReplicaPhase
	// Reason is why it was loaded. DrainReason is why it is being unloaded, and ForRow the row that
	// needs its capacity; both are empty unless it is draining.
	Reason, DrainReason, ForRow string
	Running, Queued             int
	Since, ReadyAt              time.Time
	MemoryBytes                 int64
	Adapters                    []string
}

// Status describes the cells that this node owns, sorted by name.
func (m *Manager) Status() []CellStatus {
	var statuses []CellStatus
	for _, owner := range m.sortedOwners() {
		statuses = append(statuses, owner.status())
	}
	return statuses
}

func (o *Owner) status() CellStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	status := CellStatus{
		Cell: o.cell, Epoch: o.epoch, Revision: o.revision,
		Policy: o.config.Policy.Name(), Releasing: o.releasing != nil,
	}
	for _, server := range o.servers {
		if server.contentsUnknown {
			status.UnknownServers++
		}
		status.Servers = append(status.Servers, o.serverStatus(server))
	}
	return status
}

func (o *Owner) serverStatus(server *serverEntry) ServerStatus {
	status := ServerStatus{
		Server: server.id, Zone: server.machine.Zone, Incarnation: server.incarnation,
		Adopted: server.adopted, Confirmed: server.confirmed, Leaving: server.leaving(), Listed: server.listed,
		OutcomeUnknown: server.outcomeUnknown, Failures: server.failures,
		MemoryBytes: server.state.MemoryBytes, CommittedBytes: server.committed(&o.config.Mechanisms),
	}
	for _, entry := range server.replicas {
		status.Replicas = append(status.Replicas, entry.status())
	}
	return status
}

func (e *replicaEntry) status() ReplicaStatus {
	status := ReplicaStatus{
		Model: e.Model, Version: e.Version, Slot: e.Slot, Attempt: e.Attempt, Phase: e.Phase, Reason: e.reason,
		Running: e.Running, Queued: e.Queued, Since: e.since, ReadyAt: e.readyAt, MemoryBytes: e.MemoryBytes,
	}
	if e.drain != nil {
		status.DrainReason = e.drain.reason
		status.ForRow = e.drain.forRow
	}
	for _, adapter := range e.adapters {
		status.Adapters = append(status.Adapters, adapter.Adapter)
	}
	return status
}
