// Package placement decides which models and adapters the servers of a pool
// hold. Plan is a pure function of an Input: it reads no clock, keeps no state
// and changes nothing. Its actions are checked again when they are carried out.
//
// It differs from package planner, which plans replicas in numbered slots of
// cells, owned by epochs that the engines check: here one holder gives one order
// at a time to each server, no order is fenced, and a load takes seconds.
package placement

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Input is everything that a plan depends on.
type Input struct {
	Now    time.Time
	Engine *fleet.Engine
	// Servers in order of ID: all, or those that actions may concern.
	Servers []Server
	// ReplicasElsewhere counts the replicas by model at ServersElsewhere other servers.
	ReplicasElsewhere map[string]int
	ServersElsewhere  int
	// Demand by model.
	Demand map[string]*Demand
	// LoadAhead: models that no server holds are loaded before they are asked for.
	LoadAhead bool
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
	// NextStoreLoadIn is the time until one may begin, where none may now.
	NextStoreLoadIn time.Duration
}

// Server is one model server.
type Server struct {
	ID   string
	Zone string
	// Busy servers have an order under way and take no other.
	Busy bool
	// FreeIn is the time until the order under way is expected to have ended.
	FreeIn time.Duration
	// Draining servers finish their requests and take no new ones.
	Draining bool
	// Limited servers take MostPerSecond requests from all nodes together.
	Limited      bool
	MaxPerSecond float64
	// Suspect servers did not answer lately; nothing is planned on them.
	Suspect bool
	// RecordOnly servers hold what their records show and take no orders yet.
	RecordOnly bool
	Models     map[string]Replica
	// Loading is the model being loaded, if any.
	Loading string
	// UnconfirmedLoad is a model that the server was ordered to load without an answer: it
	// may still load it, or never.
	UnconfirmedLoad string
	// LoadingAdapter is the adapter being loaded, as MODEL/NAME, if any.
	LoadingAdapter string
	// Intent is the model for which room is being made, if any.
	Intent string
	// InMemory and OnDisk have copies of weights.
	InMemory, OnDisk map[string]bool
}

// Replica is a model that a server holds.
type Replica struct {
	// Since is when it became ready here.
	Since time.Time
	// Adapters held, with when they were last needed as far as known.
	Adapters map[string]bool
}

// Demand for a model, over all nodes.
type Demand struct {
	// Waiting requests that no server can serve, or that were refused and told
	// to come back.
	Waiting int
	// Priority is the most urgent of the waiting; 0 is highest.
	Priority int
	Running  int
	// Rate of arrivals a second.
	Rate float64
	// LastUsed is when the newest request came.
	LastUsed time.Time
	Adapters map[string]*AdapterDemand
}

// AdapterDemand is the demand for one adapter.
type AdapterDemand struct {
	Waiting, Running int
	Rate             float64
	LastUsed         time.Time
}

// Result is a plan.
type Result struct {
	// Actions are the orders to give now, at most one for each server, most urgent
	// first.
	Actions []Action
	// ReadyIn tells for each model that is waited for and that no server holds the
	// time until one is expected to, undisturbed.
	ReadyIn map[string]time.Duration
}

// Kind of an action.
type Kind uint8

// The kinds.
const (
	Load Kind = iota
	Unload
	LoadAdapter
	UnloadAdapter
)

// String returns the kind's word for logs.
func (k Kind) String() string {
	return [...]string{"load", "unload", "load_adapter", "unload_adapter"}[k]
}

// Source of weights.
type Source uint8

// The sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String returns the source's word.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Action is one order to give.
type Action struct {
	Kind    Kind
	Server  string
	Model   string
	Adapter string
	// Source of a load, and the time that a load or unload is expected to take.
	Source   Source
	Expected time.Duration
	// Intent is the model for which an unload makes room.
	Intent string
	// Reason is a word for the logs.
	Reason string
}
