package applier

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// CellStatus is a cell owned here, for the status page.
type CellStatus struct {
	Cell     string
	Epoch    uint64
	Revision table.Revision
	Policy   string
	// Releasing: the cell is being given away.
	Releasing bool
	// Unheard servers count as holding one replica of every model.
	Unheard int
	Servers []ServerStatus
}

// ServerStatus is one server of a cell.
type ServerStatus struct {
	Server                      outside.ServerID
	Zone                        string
	Incarnation                 outside.Incarnation
	Adopted, Confirmed, Leaving bool
	// Listed is false when the machine list no longer shows the server.
	Listed bool
	// Unknown: the outcome of the newest order is not known yet.
	Unknown                     bool
	Failures                    int
	MemoryBytes, CommittedBytes int64
	Replicas                    []ReplicaStatus
}

// ReplicaStatus is one held slot.
type ReplicaStatus struct {
	Model   string
	Version string
	Slot    outside.SlotID
	Attempt outside.AttemptID
	Phase   outside.ReplicaPhase
	// Reason says why it was loaded; DrainReason why it goes, For whom.
	Reason, DrainReason, For string
	Running, Queued          int
	Since, ReadyAt           time.Time
	MemoryBytes              int64
	Adapters                 []string
}

// Status describes the cells owned here, in order of name.
func (m *Manager) Status() []CellStatus {
	var statuses []CellStatus
	for _, owner := range m.all() {
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
		if server.mayHold {
			status.Unheard++
		}
		status.Servers = append(status.Servers, o.serverStatus(server))
	}
	return status
}

func (o *Owner) serverStatus(server *serverEntry) ServerStatus {
	status := ServerStatus{
		Server: server.id, Zone: server.machine.Zone, Incarnation: server.incarnation,
		Adopted: server.adopted, Confirmed: server.confirmed, Leaving: server.leaving(), Listed: server.listed,
		Unknown: server.unknown, Failures: server.failures,
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
		status.For = e.drain.forRow
	}
	for _, adapter := range e.adapters {
		status.Adapters = append(status.Adapters, adapter.Adapter)
	}
	return status
}
