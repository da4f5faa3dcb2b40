// Package applier runs the cells that this node owns. For each cell it adopts the engines, accounts
// for their memory and replica slots, runs the planner's policy, and sends the resulting load and
// unload commands as orders. Each order carries a fence, so that engines reject the orders of an
// owner that has been replaced.
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

// Machines provides the newest reading of the machine list; machinelist.Follower implements it.
type Machines interface {
	// Listing returns the newest reading, and the start time of the read that last confirmed it,
	// which is zero before the first read.
	Listing() (outside.MachineListing, time.Time)
	// Subscribe calls function after each change of the list.
	Subscribe(function func(outside.MachineListing))
}

// Confirmer reads from the key-value service whether an epoch of a cell is still the newest. See
// docs/design/applier.md for why adoption needs it.
type Confirmer interface {
	// Confirm calls done in the manner of package outside. With an error it is unknown whether the
	// epoch is current.
	Confirm(cell string, epoch uint64, done func(current bool, err error))
}

// StatisticsStore stores a cell's statistics, so that they outlast the cell's owner.
type StatisticsStore interface {
	// Load reads the cell's statistics. The data is nil if none were saved.
	Load(cell string, done func(data []byte, err error))
	// Save replaces the cell's statistics, unless they were saved at a higher epoch.
	Save(cell string, epoch uint64, data []byte, done func(err error))
}

// Mechanisms enables the safety mechanisms one by one. Mutation tests switch each of them off to
// verify that the checker detects its absence.
type Mechanisms struct {
	// Fence: orders carry the owner's epoch.
	Fence bool
	// AdoptBeforeAct: a server whose state was not read yet counts as holding a replica of every
	// model.
	AdoptBeforeAct bool
	// ReserveBeforeOrder: the ledger reserves the memory and slot of a load before its order is
	// sent, not only once the replica is ready.
	ReserveBeforeOrder bool
	// ReleaseSlotOnConfirmation: a slot becomes free when its unload is confirmed, not when it is
	// ordered.
	ReleaseSlotOnConfirmation bool
	// DrainBeforeUnload: a replica is unloaded only after gateways stopped using it and its
	// requests ended.
	DrainBeforeUnload bool
	// AttemptIdentity: replies count only for the load attempt that they belong to.
	AttemptIdentity bool
}

// AllMechanisms returns all mechanisms switched on, as nodes run with.
func AllMechanisms() Mechanisms {
	return Mechanisms{
		Fence: true, AdoptBeforeAct: true, ReserveBeforeOrder: true,
		ReleaseSlotOnConfirmation: true, DrainBeforeUnload: true, AttemptIdentity: true,
	}
}

// Intervals are the periods and time limits of the cell owners.
type Intervals struct {
	// Tick is the period of Manager.Tick.
	Tick time.Duration
	// Coalesce is the minimum time from one tick of a cell to the next that an event triggers.
	Coalesce time.Duration
	// OrderTimeout and StateTimeout are the timeouts of calls to engines. StateTimeout is also that
	// of reading the weight store's status.
	OrderTimeout, StateTimeout time.Duration
	// FastPoll is the poll period of servers on which a load, unload or drain is in progress;
	// SlowPoll that of the other servers with replicas.
	FastPoll, SlowPoll time.Duration
	// IdlePoll is the poll period of servers without replicas, and the period at which the load
	// figures of the others are read. These are not read with each poll, as a full state has about
	// 150 bytes per replica and gateways get the load from responses anyway.
	IdlePoll time.Duration
	// RetryMin and RetryMax bound the pause before a failed call to a server, or a failed
	// confirmation of the epoch, is retried.
	RetryMin, RetryMax time.Duration
	// LoadBackoffMin and LoadBackoffMax bound the pause after a failed load.
	LoadBackoffMin, LoadBackoffMax time.Duration
	// PlanPeriod is the maximum time between two plans when there are no events.
	PlanPeriod time.Duration
	// DemandExpiry is how long a gateway's demand for a row counts without a new report.
	DemandExpiry time.Duration
	// InterestExpiry is how long after its last demand for a model a gateway is sent changes of the
	// model's endpoints. For the same time after a takeover, gateways may have cached endpoints
	// without having reported to the new owner, so that drains don't end with the acknowledgements.
	InterestExpiry time.Duration
	// LoadRefresh is how often a gateway is sent the load of endpoints that it has cached.
	LoadRefresh time.Duration
	// DrainDelay is the maximum wait for gateways to acknowledge a drain. DrainDelayUnreachable is
	// the maximum if one of them is a live member, which is then unreachable from here, and for
	// drains soon after a takeover that no row waits for. Drains on leaving machines wait at most
	// DrainDelay.
	DrainDelay, DrainDelayUnreachable time.Duration
	// DrainSettle covers requests in transit and the lag of load figures: a replica is unloaded
	// once its engine reports no requests in a state that was requested at least this long after
	// the last acknowledgement.
	DrainSettle time.Duration
	// DrainSettleIdle replaces DrainSettle for unloads that are not urgent, which are those that no
	// row and no machine about to leave waits for. It also covers requests that are delayed by the
	// network.
	DrainSettleIdle time.Duration
	// GatewayExpiry is how long after its last report a gateway is dropped, unless it is a member.
	GatewayExpiry time.Duration
	// PushTimeout is the timeout of an endpoint update sent to a gateway.
	PushTimeout time.Duration
	// ReleaseTimeout is the maximum wait for orders in flight, or whose outcome is unknown, before
	// a cell is released.
	ReleaseTimeout time.Duration
	// StoreStatus is the period at which the weight store's status is read.
	StoreStatus time.Duration
	// SaveStatistics is the period at which statistics are saved.
	SaveStatistics time.Duration
	// RestoreStatisticsRetry is the pause before reading the statistics is retried.
	RestoreStatisticsRetry time.Duration
}

// DefaultIntervals returns the intervals that nodes use unless configured otherwise.
func DefaultIntervals() Intervals {
	return Intervals{
		Tick: 100 * time.Millisecond, Coalesce: 20 * time.Millisecond, PlanPeriod: time.Second,
		OrderTimeout: 2 * time.Second, StateTimeout: time.Second,
		FastPoll: 100 * time.Millisecond, SlowPoll: time.Second,
		IdlePoll: 5 * time.Second,
		RetryMin: 200 * time.Millisecond, RetryMax: 2 * time.Second,
		LoadBackoffMin: time.Second, LoadBackoffMax: time.Minute,
		DemandExpiry: 4 * time.Second, InterestExpiry: 30 * time.Second, LoadRefresh: 5 * time.Second,
		DrainDelay: 5 * time.Second, DrainDelayUnreachable: time.Minute, DrainSettle: time.Second, DrainSettleIdle: 6 * time.Second,
		GatewayExpiry: 10 * time.Minute,
		PushTimeout:   time.Second, ReleaseTimeout: 10 * time.Second,
		StoreStatus: time.Second, SaveStatistics: time.Minute, RestoreStatisticsRetry: 5 * time.Second,
	}
}

// Config is what a Manager needs.
type Config struct {
	Clock  clock.Clock
	Random *rand.Rand
	Table  table.View
	Layout cells.Layout
	// Allot returns the cell's share of a row's replica limits; if nil, Layout determines it. It is
	// called once per row and revision.
	Allot func(cell string, row table.Row) cells.Allotment
	// CellOf returns the cell of an engine; if nil, Layout determines it.
	CellOf   func(machine outside.Machine) (cell string, known bool)
	Engines  outside.EngineService
	Machines Machines
	// Store is the weight store. If nil, its status counts as unknown.
	Store     outside.WeightStoreService
	Transport peer.Transport
	Self      membership.View
	Policy    planner.Policy
	// Confirmer may be nil in tests with only one owner; epochs are then not confirmed.
	Confirmer Confirmer
	// Statistics may be nil; a new owner then starts without statistics.
	Statistics StatisticsStore
	Logger     zerolog.Logger
	Mechanisms Mechanisms
	// Intervals default to DefaultIntervals if zero.
	Intervals Intervals
}

// allotByLayout returns a function that gives a cell's share of a row's replica limits, without
// replicas if the row assigns none to the cell.
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
