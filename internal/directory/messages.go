// Package directory is a gateway's knowledge of where models are served: a
// cache of endpoints, kept fresh by the owners of the models' cells, to whom it
// reports demand.
package directory

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Demand is what one gateway knows of the traffic for one row.
type Demand struct {
	// Row is the name of the model or adapter.
	Row string
	// Waiting requests at this gateway and the earliest deadline among them.
	Waiting          int
	EarliestDeadline time.Time
	// OldestWait is when the longest-waiting request was accepted.
	OldestWait time.Time
	// Running requests at engines from this gateway.
	Running int
	// ArrivalsPerSecond over the last seconds.
	ArrivalsPerSecond float64
	// Arrivals since the report before.
	Arrivals int
	// HighestPriority among the waiting.
	HighestPriority int
}

// DemandReport goes from a gateway to a cell's owner: at once when a request
// waits for a row without endpoint, else every reporting period.
type DemandReport struct {
	Cell string
	// Gateway's member id and peer address, to which updates are sent.
	Gateway     string
	PeerAddress string
	// Sequence orders one gateway's reports.
	Sequence uint64
	Demands  []Demand
	// Known are the endpoints that the gateway has of the models asked for.
	Known []CachedRow
}

// CachedRow tells which endpoints of a model a gateway has.
type CachedRow struct {
	Model string
	// Digest as the owner sent it.
	Digest uint64
}

// Endpoint is a replica that can be called.
type Endpoint struct {
	Server  outside.ServerID
	Zone    string
	Model   string
	Version string
	Slot    outside.SlotID
	// Adapters ready on the replica, in order.
	Adapters []string
	MaxBatch int
	// Running and Queued at the engine, lagging.
	Running, Queued int
	// Draining endpoints get no new work.
	Draining bool
}

// RowEndpoints are the endpoints of one base model.
type RowEndpoints struct {
	Model     string
	Endpoints []Endpoint
	// ReadyAt estimates when the next replica will be ready; zero: not planned.
	ReadyAt time.Time
	// Refused is set when the owner can't load the model at all, with a reason.
	Refused string
	// Gateways with requests for the model, as far as the owner was told; 0:
	// not known.
	Gateways int
	// Digest of all that gateways act on but the load, which they learn from
	// answers too; rows whose digest a gateway has need not be sent again.
	Digest uint64
}

// EndpointUpdate answers a DemandReport and is also sent when endpoints change.
// For each model named it replaces what was known. The answer to a report leaves
// out models of which the gateway knows all but the load.
type EndpointUpdate struct {
	Cell  string
	Epoch uint64
	// Sequence orders the updates of an epoch.
	Sequence uint64
	// Revision of the table the owner acts on.
	Revision table.Revision
	Rows     []RowEndpoints
}

func init() {
	peer.RegisterAs("directory.DemandReport", DemandReport{})
	peer.RegisterAs("directory.EndpointUpdate", EndpointUpdate{})
}

// Reader is the gateway's read access to endpoints; safe for concurrent use.
type Reader interface {
	// Endpoints returns the known endpoints of a base model, ready ones only.
	// The slice must not be changed.
	Endpoints(model string) RowEndpoints
}
