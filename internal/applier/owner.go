package applier

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Owner runs one cell at one epoch. It is safe for concurrent use.
type Owner struct {
	config *Config
	cell   string
	epoch  uint64
	// store returns the weight store's status as last read, and false if it was never read.
	store  func() (outside.WeightStoreStatus, bool)
	logger zerolog.Logger
	// acquiredAt is by this node's clock. A machine listing whose read started earlier may lack
	// servers that were running at the acquisition.
	acquiredAt time.Time

	mutex sync.Mutex
	// stopped: nothing is sent for the cell any more.
	stopped bool
	// releasing is to be called when the release completes; nil unless the cell is being released.
	releasing       func()
	releaseDeadline time.Time
	random          *rand.Rand

	// servers are sorted by id.
	servers []*serverEntry
	byID    map[outside.ServerID]*serverEntry
	// listingFresh is true once a listing was applied whose read started after acquiredAt.
	listingFresh   bool
	listingVersion uint64

	gateways []*gatewayEntry
	// activeGateways counts the gateways with waiting or running requests for each base model, as
	// of the newest tick.
	activeGateways map[string]int
	// members are the live nodes as of the newest tick. Each has a gateway.
	members []membership.Member
	// lastArrivals is when requests for a row or base model last arrived or were seen waiting.
	lastArrivals map[string]time.Time
	statistics   *planner.Statistics
	plan         planner.Plan
	rowPlans     map[string]planner.RowPlan
	// rows of revision, the table's revision that this owner acts on, with their allotments.
	rows     []planner.Row
	index    *planner.RowIndex
	revision table.Revision

	// attemptCount numbers the load attempts, and updateSequence the endpoint updates.
	attemptCount   uint64
	updateSequence uint64
	// changedModels are the models whose endpoints are to be sent to gateways.
	changedModels map[string]bool

	confirming  bool
	nextConfirm time.Time
	// remoteTokens are the loads from the weight store that this cell may start, as of
	// tokensRefilledAt.
	remoteTokens     float64
	tokensRefilledAt time.Time
	// nextStatistics is when statistics are next read, or, once they are restored, next saved.
	nextStatistics   time.Time
	savingStatistics bool
	// statisticsRestored: the statistics of the previous owner were read.
	statisticsRestored, restoringStatistics bool
	savedObservations                       uint64

	lastTick, lastPlan time.Time
	// planNotBefore defers plans after the process was paused.
	planNotBefore time.Time
	// planNeeded: there was an event since the last plan.
	planNeeded bool
	wakeTimer  clock.Timer
}

func newOwner(config *Config, cell string, epoch uint64, store func() (outside.WeightStoreStatus, bool)) *Owner {
	now := config.Clock.Now()
	return &Owner{
		config: config, cell: cell, epoch: epoch, store: store,
		logger:     config.Logger.With().Str("cell", cell).Uint64("epoch", epoch).Logger(),
		acquiredAt: now, tokensRefilledAt: now,
		random:        rand.New(rand.NewPCG(config.Random.Uint64(), epoch)),
		byID:          map[outside.ServerID]*serverEntry{},
		lastArrivals:  map[string]time.Time{},
		statistics:    planner.NewStatistics(),
		rowPlans:      map[string]planner.RowPlan{},
		changedModels: map[string]bool{},
	}
}

// start begins the adoption of servers and reads the statistics of the previous owner.
func (o *Owner) start() {
	o.logger.Info().Str("reason", "acquired").Msg("cell owner started")
	o.tick()
}

// stop stops the owner: nothing is sent any more.
func (o *Owner) stop(reason string) {
	o.mutex.Lock()
	released := o.stopLocked(reason)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

// stopLocked stops the owner. The caller must hold the lock, and call released, unless nil, without
// it.
func (o *Owner) stopLocked(reason string) (released func()) {
	if o.stopped {
		return nil
	}
	o.stopped = true
	if o.wakeTimer != nil {
		o.wakeTimer.Stop()
	}
	o.logger.Info().Str("reason", reason).Msg("cell owner stopped")
	released = o.releasing
	o.releasing = nil
	return released
}

// release stops the owner and calls released when no order is in flight or has an unknown outcome
// any more, or after ReleaseTimeout.
func (o *Owner) release(released func()) {
	o.mutex.Lock()
	if o.stopped {
		o.mutex.Unlock()
		released()
		return
	}
	o.releasing = released
	o.releaseDeadline = o.config.Clock.Now().Add(o.config.Intervals.ReleaseTimeout)
	o.mutex.Unlock()
	o.tick()
}

// settledLocked reports whether no order is in flight or has an unknown outcome. It must be called
// with the lock held.
func (o *Owner) settledLocked() bool {
	for _, server := range o.servers {
		if server.orderInFlight || server.outcomeUnknown {
			return false
		}
	}
	return true
}

// wake schedules a tick with a plan, at least Intervals.Coalesce after the last tick.
func (o *Owner) wake() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.wakeLocked()
}

// wakeLocked is wake for callers that hold the lock.
func (o *Owner) wakeLocked() {
	o.planNeeded = true
	if o.stopped || o.wakeTimer != nil {
		return
	}
	delay := o.lastTick.Add(o.config.Intervals.Coalesce).Sub(o.config.Clock.Now())
	o.wakeTimer = o.config.Clock.AfterFunc(max(0, delay), func() {
		o.mutex.Lock()
		o.wakeTimer = nil
		o.mutex.Unlock()
		o.tick()
	})
}

// tick applies the machine list and the table, plans if a plan is due, and sends the orders, polls
// and endpoint updates that are due.
func (o *Owner) tick() {
	listing, readAt := o.config.Machines.Listing()
	// The revision is read before the rows. If the rows are newer than it, the next tick sees a
	// newer revision and reads them again.
	revision := o.config.Table.Revision()
	rows := o.config.Table.Rows()
	store, storeKnown := o.store()
	members := o.config.Self.Members()
	o.mutex.Lock()
	if o.stopped {
		o.mutex.Unlock()
		return
	}
	now := o.config.Clock.Now()
	o.detectPause(now)
	o.lastTick = now
	o.applyListing(listing, readAt)
	o.expireDemand(now)
	o.countActiveGateways()
	o.members = members
	o.expireGateways(now)
	if o.releasing != nil {
		released := o.releaseLocked(now)
		o.mutex.Unlock()
		if released != nil {
			released()
		}
		return
	}
	if o.planDue(now, revision) && !now.Before(o.planNotBefore) {
		o.applyTable(rows, revision)
		o.planLocked(now, planner.Store{Known: storeKnown, WeightStoreStatus: store})
	}
	o.advanceDrains(now)
	o.sendOrders(now)
	o.sendPolls(now)
	o.confirmLocked(now)
	o.pushChangesLocked(now)
	o.syncStatistics(now)
	o.mutex.Unlock()
}

const (
	// pauseThreshold is the time between two ticks above which the process counts as paused.
	pauseThreshold = 3 * time.Second
	// catchUpTime is how long after a pause plans are deferred, so that the table can be updated.
	catchUpTime = 2 * time.Second
)

// detectPause defers plans after the process was paused, as its copy of the table may be as old as
// the pause is long.
func (o *Owner) detectPause(now time.Time) {
	if !o.lastTick.IsZero() && now.Sub(o.lastTick) > pauseThreshold {
		o.planNotBefore = now.Add(catchUpTime)
	}
}

// applyTable computes the cell's share of each row's limits, once per revision.
func (o *Owner) applyTable(rows []table.Row, revision table.Revision) {
	if revision == o.revision && o.rows != nil {
		return
	}
	o.revision = revision
	o.rows = make([]planner.Row, len(rows))
	for i := range rows {
		allotment := o.config.Allot(o.cell, rows[i])
		o.rows[i] = planner.Row{
			Row: rows[i], Min: allotment.MinReplicas, Max: allotment.MaxReplicas, FirstSlot: allotment.FirstSlot,
		}
	}
	o.index = planner.IndexRows(o.rows)
}

// planDue reports whether a plan is due. There is none before a table was read, nor with an older
// revision than the one acted on.
func (o *Owner) planDue(now time.Time, revision table.Revision) bool {
	if revision == 0 || revision < o.revision {
		return false
	}
	return o.planNeeded || revision > o.revision || now.Sub(o.lastPlan) >= o.config.Intervals.PlanPeriod
}

// releaseLocked sends an order to servers whose last order has an unknown outcome, and stops the
// owner once all outcomes are known or ReleaseTimeout is over. The timeout is safe, since the next
// owner adopts each server with a higher fence. The caller must hold the lock, and call released,
// unless nil, without it.
func (o *Owner) releaseLocked(now time.Time) (released func()) {
	if o.settledLocked() || !now.Before(o.releaseDeadline) {
		return o.stopLocked("released")
	}
	for _, server := range o.servers {
		if server.outcomeUnknown && !server.orderInFlight && !now.Before(server.retryAt) {
			o.sendOrder(now, server)
		}
	}
	return nil
}

// applyListing updates the servers from the machine list, unless it was applied before. A server
// that the list lacks is not removed here, but when a call to it fails.
func (o *Owner) applyListing(listing outside.MachineListing, readAt time.Time) {
	if readAt.IsZero() {
		return
	}
	fresh := !readAt.Before(o.acquiredAt)
	if o.listingVersion == listing.Version && o.listingFresh == (o.listingFresh || fresh) && len(o.byID) > 0 {
		return
	}
	listed := make(map[outside.ServerID]bool, len(o.servers))
	for _, machine := range listing.Machines {
		cell, assigned := o.config.CellOf(machine)
		if !machine.Engine || !assigned || cell != o.cell {
			continue
		}
		listed[machine.Server] = true
		o.applyMachine(machine)
	}
	for _, server := range o.servers {
		server.listed = listed[server.id]
	}
	o.planNeeded = true
	o.listingVersion = listing.Version
	o.listingFresh = o.listingFresh || fresh
}

// applyMachine adds or updates a server that is in the machine list.
func (o *Owner) applyMachine(machine outside.Machine) {
	server := o.byID[machine.Server]
	if server == nil {
		server = &serverEntry{id: machine.Server, contentsUnknown: o.newServerContentsUnknown()}
		o.byID[machine.Server] = server
		index, _ := slices.BinarySearchFunc(o.servers, server.id, func(entry *serverEntry, id outside.ServerID) int {
			return compareServers(entry.id, id)
		})
		o.servers = slices.Insert(o.servers, index, server)
	}
	if server.machine.Phase != machine.Phase && machine.Phase == outside.MachineLeaving {
		o.logger.Info().Str("server", string(server.id)).Str("reason", "leaving").Msg("server leaves")
		o.markModelsChanged(server)
		o.planNeeded = true
	}
	server.machine = machine
}

func compareServers(a, b outside.ServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// newServerContentsUnknown reports whether a server that is new in the machine list may hold
// replicas. If it was missing from a listing read after the acquisition, it was not running then,
// and earlier owners can't load anything on it since their epoch would not be confirmed.
func (o *Owner) newServerContentsUnknown() bool { return !o.listingFresh || o.config.Confirmer == nil }

// removeServer removes a server that is neither listed nor reachable, and all that it held.
func (o *Owner) removeServer(server *serverEntry) {
	o.logger.Info().Str("server", string(server.id)).Int("replicas", len(server.replicas)).
		Str("reason", "gone").Msg("server removed")
	o.markModelsChanged(server)
	delete(o.byID, server.id)
	o.servers = slices.DeleteFunc(o.servers, func(entry *serverEntry) bool { return entry == server })
}

// markModelsChanged marks the endpoints of all models on the server as changed.
func (o *Owner) markModelsChanged(server *serverEntry) {
	for _, entry := range server.replicas {
		o.changedModels[entry.Model] = true
	}
}
