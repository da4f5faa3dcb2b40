// Package orders elects the node that controls the placement of models, and carries the placement
// out. One node at a time, the holder of a lease in the store, sends orders to the model servers:
// commands to load and unload models and adapters. All nodes report the demand of their callers
// to the holder, and receive from it which models the servers hold.
//
// The servers may not check fencing tokens. That only one holder orders a server at a time then
// depends on a lease with margins and on a handover period between holders: see Term.
package orders

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// DemandRow is the demand of one node's callers for one row: a model of a pool, or an adapter of
// one.
type DemandRow struct {
	Pool, Model, Adapter string
	Waiting, Running     int
	// Expected is set while refused requests may be retried.
	Expected bool
	Priority int
	// Arrived counts the requests since the node started.
	Arrived uint64
}

// DemandReport reports the demand of a node's callers to the holder.
type DemandReport struct {
	Node string
	// Address of the node, to which updates are sent.
	Address string
	// Sequence grows with each report of a process. Started is the start time of the process
	// in nanoseconds of the node's clock, which identifies it among processes of the node.
	Sequence uint64
	Started  int64
	Rows     []DemandRow
	// Leaving are the servers that announced in answers to this node that they shut down.
	// They need a replacement, and their records may show it much later.
	Leaving []fleet.Incarnation
	// Token and Version are those of the newest placement that the node has.
	Token   int64
	Version uint64
	// Limits are the servers' rate limits that the node received from servers since its last
	// report that was answered, and LimitsVersion is the version up to which it has the
	// limits that the holder sent in its term.
	Limits        []notice.ObservedLimit
	LimitsVersion uint64
	// Counters is the version of the node's list of nodes that count rate limits, and
	// CountersToken the token of the term that the list is from.
	Counters      uint64
	CountersToken int64
	// Observations are what this node observed of servers and has not sent yet.
	Observations []observation.Observation
	// PoolArrivals are the requests to pools without models.
	PoolArrivals []PoolArrivals
	// CarriesConnections is set if other nodes may reach servers through the node. Earlier builds
	// can't.
	CarriesConnections bool
	// PathsLost is set while the node does not reach servers that other nodes reach.
	PathsLost bool
	// ReachesModelServers is set if the node reaches most of the servers with models, so that it can
	// order them. Earlier builds send none.
	ReachesModelServers bool
}

// PoolArrivals counts a node's requests to a pool without models, for which there are no rows.
type PoolArrivals struct {
	Pool string
	// Arrived counts the requests since the node started.
	Arrived uint64
}

// ServerState is the models that a server holds, as known to the holder.
type ServerState struct {
	ID string
	// Models maps each model to its adapters.
	Models map[string][]string
	// Version is the placement version at which this changed.
	Version uint64
	// Created is the revision of the store at which the server's record was created, as
	// known to the holder.
	Created int64
}

// ExpectedModel is a model that is being loaded, or that the plan will load.
type ExpectedModel struct {
	Pool, Model string
	// Remaining is the time until some server is expected to hold it.
	Remaining time.Duration
}

// Update sends a node the changes that it doesn't have. One without a token is from a node that is
// not the holder, and contains only servers' rate limits or the node's observations. Such an update is not a message type of
// its own, since a node of an earlier build closes a connection on which it receives an unknown
// type.
type Update struct {
	// Token of the holder's term.
	Token   int64
	Version uint64
	// Base is the version after which Servers has all changes.
	Base uint64
	// Nodes is the number of nodes that share the retry budget; 0 while it is not known.
	Nodes int
	// OrdersIn is the time until the holder may send orders, while its predecessor's handover
	// period lasts.
	OrdersIn time.Duration
	Servers  []ServerState
	// Coming are those models that the node's callers wait for and that are planned.
	Coming []ExpectedModel
	// Counters are the nodes that count rate limits for all; without addresses, the node's
	// list stays.
	Counters ratelimit.Counters
	// Limits are the servers' rate limits that changed after LimitsBase, up to LimitsVersion.
	Limits                    []notice.ObservedLimit
	LimitsBase, LimitsVersion uint64
	// HolderToken is the token of the sender's term in an update from the holder that contains
	// only observations and rates. Its Token is 0, so that it changes nothing else: neither at
	// nodes of an earlier build, nor when the holder was last heard, on which placements depend.
	HolderToken int64
	// Observations are what nodes observed of servers: from the holder, those of all nodes that
	// the receiver needs; from another node, its own.
	Observations []observation.Observation
	// Rates are the arrival rates, over all nodes, of models that the receiver's callers request.
	Rates []observation.Rate
	// Carriers are addresses of nodes through which the receiver may reach servers, if its report says
	// that it has lost paths.
	Carriers []string
	// Reporting is the number of nodes that report to the holder now, by which they space their
	// reports. Earlier builds send none.
	Reporting int
}

// NotHolder is the reply of a node without a term to a demand report.
type NotHolder struct{}

func init() {
	peer.RegisterAs("orders.DemandReport", DemandReport{})
	peer.RegisterAs("orders.Update", Update{})
	peer.RegisterAs("orders.NotHolder", NotHolder{})
}
