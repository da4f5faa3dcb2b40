// Package applier owns cells: it adopts their servers, keeps the memory ledger
// and the replica slots, runs the planner's policy and sends fenced orders.
package applier

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/cells"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Machines is the newest reading of the machine list; machinelist.Follower
// implements it.
type Machines interface {
	// Listing returns the newest reading and when the reading began that last
	// confirmed it; a zero time means that none was made yet.
	Listing() (outside.MachineListing, time.Time)
	// Subscribe calls function after each change of the list.
	Subscribe(function func(outside.MachineListing))
}

// Confirmer reads from the key-value service whether an epoch of a cell is
// still the newest. See docs/design/applier.md for why adoption needs it.
type Confirmer interface {
	// Confirm is done as in package outside; err means not known.
	Confirm(cell string, epoch uint64, done func(current bool, err error))
}

// StatisticsStore keeps a cell's statistics beyond its owner.
type StatisticsStore interface {
	// Load reads the cell's statistics; nil data: none were saved.
	Load(cell string, done func(data []byte, err error))
	// Save replaces the cell's statistics, unless a higher epoch saved.
	Save(cell string, epoch uint64, data []byte, done func(err error))
}

// Mechanisms are the safety mechanisms, each of which the checker's mutation
// tests switch off to see that the checker notices.
type Mechanisms struct {
	// Fence: orders carry the owner's epoch.
	Fence bool
	// AdoptBeforeAct: a server not heard yet counts as holding everything.
	AdoptBeforeAct bool
	// ReserveBeforeOrder: the ledger holds a load's memory and slot from before
	// its order is sent, and not only when it is ready.
	ReserveBeforeOrder bool
	// ReleaseSlotOnConfirmation: a slot is free when its unload is confirmed,
	// and not when it is ordered.
	ReleaseSlotOnConfirmation bool
	// DrainBeforeUnload: gateways and requests leave a replica first.
	DrainBeforeUnload bool
	// AttemptIdentity: answers count only for the attempt they belong to.
	AttemptIdentity bool
}

// AllMechanisms is what a node runs with.
func AllMechanisms() Mechanisms {
	return Mechanisms{
		Fence: true, AdoptBeforeAct: true, ReserveBeforeOrder: true,
		ReleaseSlotOnConfirmation: true, DrainBeforeUnload: true, AttemptIdentity: true,
	}
}

// Intervals are the applier's periods and time limits.
type Intervals struct {
	// Tick is the period of Manager.Tick.
	Tick time.Duration
	// Coalesce is the shortest time between two plans of a cell.
	Coalesce time.Duration
	// OrderTimeout and StateTimeout of calls to engines.
	OrderTimeout, StateTimeout time.Duration
	// FastPoll of servers on which something changes; SlowPoll of the others.
	FastPoll, SlowPoll time.Duration
	// IdlePoll of servers without replicas, and the period at which the load
	// figures of the others are read: a full state has about 150 bytes a
	// replica, and gateways learn the load from answers.
	IdlePoll time.Duration
	// RetryMin and RetryMax bound the pause before a server is tried again.
	RetryMin, RetryMax time.Duration
	// LoadBackoffMin and LoadBackoffMax bound the pause after a failed load.
	LoadBackoffMin, LoadBackoffMax time.Duration
	// Plan is the longest time between two plans when nothing happens.
	Plan time.Duration
	// DemandExpiry is how long a gateway's demand counts without a new report.
	DemandExpiry time.Duration
	// Interest is how long a gateway gets pushes for a model after its demand.
	Interest time.Duration
	// LoadRefresh is how often a gateway is sent the load of endpoints that it
	// knows already.
	LoadRefresh time.Duration
	// DrainDelay is the longest wait for gateways to acknowledge a drain;
	// DrainUntold is the longest if one of them is a live member that can't be
	// reached.
	DrainDelay, DrainUntold time.Duration
	// DrainSettle covers requests under way and the lag of load figures: an
	// unload needs a state without requests, read that long after the last
	// acknowledgement.
	DrainSettle time.Duration
	// DrainSettleIdle is the same for unloads that no row and no leaving
	// machine waits for; it also covers requests that the network delays.
	DrainSettleIdle time.Duration
	// ForgetGateway is when a silent gateway that is no member is forgotten.
	ForgetGateway time.Duration
	// Push is the timeout of one endpoint update.
	Push time.Duration
	// Release is the longest wait for unknown orders when a cell is given away.
	Release time.Duration
	// StoreStatus is the period of reading the weight store's status.
	StoreStatus time.Duration
	// SaveStatistics is the period of saving statistics.
	SaveStatistics time.Duration
	// RestoreStatistics is the pause before reading them is tried again.
	RestoreStatistics time.Duration
}

// DefaultIntervals are used in a node.
func DefaultIntervals() Intervals {
	return Intervals{
		Tick: 100 * time.Millisecond, Coalesce: 20 * time.Millisecond, Plan: time.Second,
		OrderTimeout: 2 * time.Second, StateTimeout: time.Second,
		FastPoll: 100 * time.Millisecond, SlowPoll: time.Second,
		IdlePoll: 5 * time.Second,
		RetryMin: 200 * time.Millisecond, RetryMax: 2 * time.Second,
		LoadBackoffMin: time.Second, LoadBackoffMax: time.Minute,
		DemandExpiry: 4 * time.Second, Interest: 30 * time.Second, LoadRefresh: 5 * time.Second,
		DrainDelay: 5 * time.Second, DrainUntold: time.Minute, DrainSettle: time.Second, DrainSettleIdle: 6 * time.Second,
		ForgetGateway: 10 * time.Minute,
		Push:          time.Second, Release: 10 * time.Second,
		StoreStatus: time.Second, SaveStatistics: time.Minute, RestoreStatistics: 5 * time.Second,
	}
}

// Config is what a Manager needs.
type Config struct {
	Clock  clock.Clock
	Random *rand.Rand
	Table  table.View
	Layout cells.Layout
	// Allot returns the cell's part of a row's limits; nil: by Layout. It is
	// called once a row and revision.
	Allot func(cell string, row table.Row) cells.Allotment
	// CellOf returns the cell of an engine; nil: by Layout.
	CellOf   func(machine outside.Machine) (cell string, known bool)
	Engines  outside.EngineService
	Machines Machines
	// Store may be nil: then its state counts as unknown.
	Store     outside.WeightStoreService
	Transport peer.Transport
	Self      membership.View
	Policy    planner.Policy
	// Confirmer may be nil in tests without a second owner.
	Confirmer Confirmer
	// Statistics may be nil: then a new owner learns anew.
	Statistics StatisticsStore
	Logger     zerolog.Logger
	Mechanisms Mechanisms
	// Intervals; the zero value means DefaultIntervals.
	Intervals Intervals
}

// allotByLayout returns a cell's part of a row, none if the row is not for it.
func allotByLayout(layout cells.Layout) func(string, table.Row) cells.Allotment {
	return func(cell string, row table.Row) cells.Allotment {
		for _, allotment := range layout.Allotments(row) {
			if allotment.Cell == cell {
				return allotment
			}
		}
		return cells.Allotment{Cell: cell}
	}
}
