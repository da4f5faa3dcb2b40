// Package placement decides which models and adapters the servers of a pool
// hold. Plan is a pure function of an Input: it reads no clock, keeps no state
// and changes nothing. Its actions are checked again when they are carried out.
//
// It differs from package planner, which plans replicas in numbered slots of
// cells whose owners' epochs are checked by the engines: here a single holder
// sends each server one order at a time, orders carry no fencing token, and a
// load takes seconds.
package placement

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Input is everything that a plan depends on.
type Input struct {
	Now time.Time
	// Engine describes the pool's servers and the models that they may hold.
	Engine *fleet.Engine
	// Servers in order of ID: all of the pool, or a sample that actions are limited to.
	Servers []Server
	// ReplicasElsewhere counts the replicas by model on the ServersElsewhere servers of the
	// pool that are not in Servers.
	ReplicasElsewhere map[string]int
	ServersElsewhere  int
	// Demand by model.
	Demand map[string]*Demand
	// CallerTime is how long the pool's callers wait for a response; zero if not known.
	CallerTime time.Duration
	// LoadAhead allows loading models that no server holds before they are requested.
	LoadAhead bool
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
	// NextStoreLoadIn is the time until the next load from the weight store may begin, if
	// none may now.
	NextStoreLoadIn time.Duration
	// CountedSince is when requests began to be counted for Demand; zero if not known.
	CountedSince time.Time
	// RecentLosses are the recent losses by the removal of further replicas, by model
	// (RecentLosses.At).
	RecentLosses map[string]float64
}

// Server is one model server.
type Server struct {
	ID   string
	Zone string
	// Busy servers take no order now: one is in progress, the server asked for a backoff, or
	// the handover period after an earlier holder's orders has not passed.
	Busy bool
	// FreeIn is the time until the server is expected to take the next order.
	FreeIn time.Duration
	// Draining servers get no new work.
	Draining bool
	// Limited servers take MaxPerSecond requests from all nodes together.
	Limited      bool
	MaxPerSecond float64
	// Suspect servers did not answer recently; nothing is planned on them.
	Suspect bool
	// RecordOnly servers have not reported yet: Models is what their records show, and they
	// take no orders.
	RecordOnly bool
	// Models are the models held, by name.
	Models map[string]Replica
	// Loading is the model being loaded, if any.
	Loading string
	// UnconfirmedLoad is a model that the server was ordered to load, if the order was not
	// answered: the server may load it or not.
	UnconfirmedLoad string
	// LoadingAdapter is the adapter being loaded, as MODEL/NAME, if any.
	LoadingAdapter string
	// Intent is the model for which memory is being freed, if any.
	Intent string
	// InMemory and OnDisk are the models whose weights the server has cached there.
	InMemory, OnDisk map[string]bool
	// Load is the number of requests running and waiting at the server, averaged over some
	// seconds, and Slots how many it runs concurrently; 0 if its load is not known.
	Load  float64
	Slots int
	// Speed is the server's speed as a multiple of usual; 0 if not known.
	Speed float64
}

// Replica is a model that a server holds.
type Replica struct {
	// Since is when the model became ready on the server.
	Since time.Time
	// Adapters that are loaded beside the model.
	Adapters map[string]bool
}

// Demand is the demand for a model, summed over all nodes.
type Demand struct {
	// Waiting counts requests that no server can serve, and those that were refused and are
	// expected to be retried.
	Waiting int
	// Priority is that of the most urgent waiting request; 0 is the highest.
	Priority int
	// Running counts requests that are being served.
	Running int
	// Rate is the arrival rate in requests per second.
	Rate float64
	// LastUsed is when the latest request arrived.
	LastUsed time.Time
	Adapters map[string]*AdapterDemand
}

// AdapterDemand is the demand for one adapter; its fields are those of Demand.
type AdapterDemand struct {
	Waiting, Running int
	Rate             float64
	LastUsed         time.Time
}

// Result is what Plan returns.
type Result struct {
	// Actions are the orders to send now, at most one per server, most urgent first.
	Actions []Action
	// ReadyIn is the time until the first server is expected to hold a model, if its load is
	// not slowed by others. It has the models that are being loaded, for which memory is being
	// freed, or that are in demand without a replica and can be placed.
	ReadyIn map[string]time.Duration
	// RemovalLosses by model, for RecentLosses.Record; nil if no server's load is known.
	RemovalLosses map[string]RemovalLoss
}

// Kind is the kind of an action.
type Kind uint8

// The kinds of actions.
const (
	Load Kind = iota
	Unload
	LoadAdapter
	UnloadAdapter
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"load", "unload", "load_adapter", "unload_adapter"}[k]
}

// Source is where a server reads a model's weights from.
type Source uint8

// The sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String returns the source's name.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Action is one order to a server.
type Action struct {
	Kind    Kind
	Server  string
	Model   string
	Adapter string
	// Source of a load, and the expected duration of a load or unload.
	Source   Source
	Expected time.Duration
	// Intent is the model for which an unload frees memory.
	Intent string
	// Reason is a short text for the logs.
	Reason string
	// Value and Cost, in lost requests per second (package placevalue), are what a further
	// replica that was chosen by value avoids, and what its place costs other models; zero
	// for other orders.
	Value, Cost float64
}
