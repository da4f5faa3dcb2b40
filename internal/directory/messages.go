// Package directory is a gateway's cache of the endpoints that serve models. It reports demand
// to the owners of the models' cells, which keep the cache up to date.
package directory

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Demand is the demand for one row at one gateway.
type Demand struct {
	// Row is the name of the model or adapter.
	Row string
	// Waiting is the number of requests that wait at the gateway, EarliestDeadline the
	// earliest deadline among them.
	Waiting          int
	EarliestDeadline time.Time
	// OldestWait is when the request that has waited longest was accepted.
	OldestWait time.Time
	// Running is the number of requests of the gateway that run at engines.
	Running int
	// ArrivalsPerSecond is the average over the last seconds.
	ArrivalsPerSecond float64
	// Arrivals is the number of requests that arrived since the previous report.
	Arrivals int
	// HighestPriority is the highest priority among the waiting requests.
	HighestPriority int
}

// DemandReport is sent by a gateway to a cell's owner: at once when a request waits for a row
// that has no endpoint or when a row's traffic begins, and periodically.
type DemandReport struct {
	Cell string
	// Gateway is the gateway's member id, PeerAddress the address to which updates are sent.
	Gateway     string
	PeerAddress string
	// Sequence orders the reports of one gateway.
	Sequence uint64
	Demands  []Demand
	// Known lists the rows of the models in Demands that the gateway has cached.
	Known []CachedRow
}

// CachedRow identifies the endpoints of a model that a gateway has cached.
type CachedRow struct {
	Model string
	// Digest is the digest of RowEndpoints as the owner sent it.
	Digest uint64
}

// Endpoint is a replica that requests can be sent to.
type Endpoint struct {
	Server  outside.ServerID
	Zone    string
	Model   string
	Version string
	Slot    outside.SlotID
	// Adapters are the adapters that are ready on the replica, in the owner's order.
	Adapters []string
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// Running and Queued are the numbers of requests at the engine. They lag.
	Running, Queued int
	// Draining is set if the endpoint gets no new requests.
	Draining bool
}

// RowEndpoints are the endpoints of one base model.
type RowEndpoints struct {
	Model     string
	Endpoints []Endpoint
	// ReadyAt is the estimated time at which the next replica is ready; zero if none is
	// planned.
	ReadyAt time.Time
	// Refused is the reason why the owner can't load the model at all; empty if it can.
	Refused string
	// Gateways is the number of gateways that reported requests for the model to the owner;
	// 0 if not known.
	Gateways int
	// Digest covers all that gateways act on except the load, which responses to requests
	// report as well. A row need not be sent again to a gateway that has its digest; 0 if
	// not known.
	Digest uint64
}

// EndpointUpdate is the reply to a DemandReport and is also sent when endpoints change. It
// replaces the cached endpoints of the cell for each model that it names. The reply to a report
// may leave out models whose current digest the report has.
type EndpointUpdate struct {
	Cell  string
	Epoch uint64
	// Sequence orders the updates of an epoch.
	Sequence uint64
	// Revision is the revision of the table that the owner acts on.
	Revision table.Revision
	Rows     []RowEndpoints
}

func init() {
	peer.RegisterAs("directory.DemandReport", DemandReport{})
	peer.RegisterAs("directory.EndpointUpdate", EndpointUpdate{})
}

// Reader is read access to the cached endpoints. Implementations are safe for concurrent use.
type Reader interface {
	// Endpoints returns the endpoints of a base model that accept new requests. The slice
	// must not be changed.
	Endpoints(model string) RowEndpoints
}
