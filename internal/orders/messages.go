// Package orders gives the orders that make a placement real. One node at a
// time, the holder, orders all model servers; every node tells it what its
// callers ask for, and learns from it what the servers hold.
//
// The servers may not check fences, so that only one holder orders a server at
// a time rests on a lease with margins: see Term.
package orders

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// DemandRow is what one node's callers ask for by one key.
type DemandRow struct {
	Pool, Model, Adapter string
	Waiting, Running     int
	// Expected: requests that were refused may come back.
	Expected bool
	Priority int
	// Arrived requests since the node started.
	Arrived uint64
}

// DemandReport tells the holder what a node's callers ask for.
type DemandReport struct {
	Node string
	// Address of the node, for updates.
	Address string
	// Sequence grows with each report of a process; Started tells processes of
	// one node apart, in nanoseconds of the node's clock.
	Sequence uint64
	Started  int64
	Rows     []DemandRow
	// Leaving are the servers that told the node in answers that they leave: they need
	// replacing, and their records may say so much later.
	Leaving []fleet.Incarnation
	// Token and Version of the placement that the node knows.
	Token   int64
	Version uint64
	// Limits of servers that the node heard itself since its last report that was answered,
	// and LimitsVersion up to which it knows those of the holder's term.
	Limits        []notice.HeardLimit
	LimitsVersion uint64
	// Counters is the version of the list of nodes that count limits, and
	// CountersToken the token of the term that it is from, as far as the node knows.
	Counters      uint64
	CountersToken int64
}

// ServerState is what a server holds, as the holder knows.
type ServerState struct {
	ID string
	// Models with their adapters.
	Models map[string][]string
	// Version of the placement at which this changed.
	Version uint64
	// Created is when the server's record came into being, as a revision of the
	// store, as far as the holder knows.
	Created int64
}

// ComingState is a model that is being loaded, or that the plan will load.
type ComingState struct {
	Pool, Model string
	// Remaining time until some server is expected to hold it.
	Remaining time.Duration
}

// Update tells a node what has changed. One without a token is of a node that is not the holder
// and heard of servers' limits: not a type of its own, since a node of an earlier build closes
// the connection on which a type comes that it does not know.
type Update struct {
	// Token of the holder's term.
	Token   int64
	Version uint64
	// Base is the version after which the servers changed that are told.
	Base uint64
	// Nodes that share the retry budget.
	Nodes int
	// OrdersIn is the time until the holder may order: its predecessor's turn lasts.
	OrdersIn time.Duration
	Servers  []ServerState
	// Coming are the models that the node's callers wait for, as far as planned.
	Coming []ComingState
	// Counters are the nodes that count limits for all; without addresses: not told.
	Counters ratelimit.Counters
	// Limits of servers that changed after LimitsBase, up to LimitsVersion.
	Limits                    []notice.HeardLimit
	LimitsBase, LimitsVersion uint64
}

// NotHolder is the reply of a node that holds no term.
type NotHolder struct{}

func init() {
	peer.RegisterAs("orders.DemandReport", DemandReport{})
	peer.RegisterAs("orders.Update", Update{})
	peer.RegisterAs("orders.NotHolder", NotHolder{})
}
