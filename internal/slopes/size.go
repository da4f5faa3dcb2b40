package slopes

import (
	"fmt"
	"math"
	"time"
)

// Size is the size of a deployment, with what happens in it.
type Size struct {
	Nodes, Servers, Rows, Zones, Regions int
	// ActiveRows have traffic; the other rows are idle.
	ActiveRows int
	// ReplicasPerActiveRow are loaded always.
	ReplicasPerActiveRow int
	// TableChangesPerDay, NodeRestartsPerDay and MachineChangesPerDay happen
	// evenly over the day. A machine change replaces one server.
	TableChangesPerDay, NodeRestartsPerDay, MachineChangesPerDay float64
	RequestsPerSecond                                            float64
	// ClaimShare of the requests is not repeatable.
	ClaimShare float64
}

// ServersPerCell is the number of servers that one node is meant to own.
const ServersPerCell = 12

// Assumptions about the target that the users' letter does not give.
const (
	// targetActiveRows: "most of them idle" is taken as nine in ten.
	targetActiveRows = 240
	// targetReplicas fills the fleet: 240 rows of 48 replicas are 11,520.
	targetReplicas = 48
	// targetClaimShare: 2,000 claims a second of 41,000 requests.
	targetClaimShare = 0.05
)

// Target is the users' target in two years.
func Target() Size {
	return Size{
		Nodes: 840, Servers: 10_000, Rows: 2_400, Zones: 19, Regions: 9,
		ActiveRows: targetActiveRows, ReplicasPerActiveRow: targetReplicas,
		TableChangesPerDay: 22_000, NodeRestartsPerDay: 1_700, MachineChangesPerDay: 1_800,
		RequestsPerSecond: 41_000, ClaimShare: targetClaimShare,
	}
}

// Today is the larger of today's deployments, with a node in each zone.
func Today() Size {
	return Size{
		Nodes: 4, Servers: 18, Rows: 155, Zones: 4, Regions: 1,
		ActiveRows: 10, ReplicasPerActiveRow: 1,
		TableChangesPerDay: 50, NodeRestartsPerDay: 8, MachineChangesPerDay: 8,
		RequestsPerSecond: 20, ClaimShare: targetClaimShare,
	}
}

// Scaled returns the size with every number times the fraction, but for the
// replicas of a row and the share of claims.
func (s Size) Scaled(fraction float64) Size {
	scale := func(number int) int { return max(1, int(math.Round(float64(number)*fraction))) }
	scaled := s
	scaled.Nodes, scaled.Servers = max(3, scale(s.Nodes)), scale(s.Servers)
	scaled.Rows, scaled.ActiveRows = scale(s.Rows), scale(s.ActiveRows)
	scaled.Zones, scaled.Regions = max(3, scale(s.Zones)), scale(s.Regions)
	scaled.TableChangesPerDay *= fraction
	scaled.NodeRestartsPerDay *= fraction
	scaled.MachineChangesPerDay *= fraction
	scaled.RequestsPerSecond *= fraction
	return scaled
}

// Cells is the number of cells that the servers are divided into.
func (s Size) Cells() int { return max(1, (s.Servers+ServersPerCell-1)/ServersPerCell) }

// String names the size in one line.
func (s Size) String() string {
	return fmt.Sprintf("%d nodes, %d servers, %d rows (%d active), %d zones", s.Nodes, s.Servers, s.Rows, s.ActiveRows, s.Zones)
}

// period returns the time between events that happen so often a day; zero for
// none.
func period(perDay float64) time.Duration {
	if perDay <= 0 {
		return 0
	}
	return time.Duration(float64(24*time.Hour) / perDay)
}
