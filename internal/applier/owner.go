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

// Owner runs one cell at one epoch. Safe for concurrent use.
type Owner struct {
	config *Config
	cell   string
	epoch  uint64
	store  func() (outside.WeightStoreStatus, bool)
	logger zerolog.Logger
	// acquiredAt by this node's clock; listings read before prove nothing.
	acquiredAt time.Time

	mutex sync.Mutex
	// ended: nothing is sent for the cell any more.
	ended     bool
	releasing func()
	releaseBy time.Time
	random    *rand.Rand

	// servers in order of id.
	servers []*serverEntry
	byID    map[outside.ServerID]*serverEntry
	// listed is true once a listing read after acquiredAt was taken in.
	listed         bool
	listingVersion uint64

	gateways []*gatewayEntry
	// competing counts the gateways with requests for a base model, as of the
	// newest tick.
	competing map[string]int
	// members are the live nodes as of the newest tick; each has a gateway.
	members []membership.Member
	// rowDemand by row name, kept between ticks.
	lastArrivals map[string]time.Time
	statistics   *planner.Statistics
	plan         planner.Plan
	rowPlans     map[string]planner.RowPlan
	// rows with their allotments, of the revision acted on.
	rows     []planner.Row
	index    *planner.RowIndex
	revision table.Revision

	attempts       uint64
	updateSequence uint64
	// changed models whose endpoints are to be pushed.
	changed map[string]bool

	confirming   bool
	nextConfirm  time.Time
	remoteTokens float64
	tokensAt     time.Time
	nextSave     time.Time
	saving       bool
	// restored: the statistics of the owner before were read.
	restored, restoring bool
	savedObservations   uint64

	lastTick, lastPlan time.Time
	// planAfter holds plans back for a while after a pause.
	planAfter time.Time
	// dirty: something happened since the last plan.
	dirty  bool
	wakeup clock.Timer
}

func newOwner(config *Config, cell string, epoch uint64, store func() (outside.WeightStoreStatus, bool)) *Owner {
	now := config.Clock.Now()
	return &Owner{
		config: config, cell: cell, epoch: epoch, store: store,
		logger:     config.Logger.With().Str("cell", cell).Uint64("epoch", epoch).Logger(),
		acquiredAt: now, tokensAt: now,
		random:       rand.New(rand.NewPCG(config.Random.Uint64(), epoch)),
		byID:         map[outside.ServerID]*serverEntry{},
		lastArrivals: map[string]time.Time{},
		statistics:   planner.NewStatistics(),
		rowPlans:     map[string]planner.RowPlan{},
		changed:      map[string]bool{},
	}
}

// start begins adoption and reads the statistics of the owner before.
func (o *Owner) start() {
	o.logger.Info().Str("reason", "acquired").Msg("cell owner started")
	o.tick()
}

// stop ends the owner: nothing is sent any more.
func (o *Owner) stop(reason string) {
	o.mutex.Lock()
	released := o.endLocked(reason)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

// endLocked returns what is to be called after the lock was released.
func (o *Owner) endLocked(reason string) (released func()) {
	if o.ended {
		return nil
	}
	o.ended = true
	if o.wakeup != nil {
		o.wakeup.Stop()
	}
	o.logger.Info().Str("reason", reason).Msg("cell owner stopped")
	released = o.releasing
	o.releasing = nil
	return released
}

// release finishes orders in flight, then ends and calls released.
func (o *Owner) release(released func()) {
	o.mutex.Lock()
	if o.ended {
		o.mutex.Unlock()
		released()
		return
	}
	o.releasing = released
	o.releaseBy = o.config.Clock.Now().Add(o.config.Intervals.Release)
	o.mutex.Unlock()
	o.tick()
}

// settledLocked reports whether no order is outstanding or unknown.
func (o *Owner) settledLocked() bool {
	for _, server := range o.servers {
		if server.outstanding || server.unknown {
			return false
		}
	}
	return true
}

// wake runs a tick soon; ticks are at least Intervals.Coalesce apart.
func (o *Owner) wake() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.wakeLocked()
}

func (o *Owner) wakeLocked() {
	o.dirty = true
	if o.ended || o.wakeup != nil {
		return
	}
	delay := o.lastTick.Add(o.config.Intervals.Coalesce).Sub(o.config.Clock.Now())
	o.wakeup = o.config.Clock.AfterFunc(max(0, delay), func() {
		o.mutex.Lock()
		o.wakeup = nil
		o.mutex.Unlock()
		o.tick()
	})
}

// tick takes in the machine list, plans, and sends what is due.
func (o *Owner) tick() {
	listing, readAt := o.config.Machines.Listing()
	// The revision is read first: rows may then be newer, and are read again.
	revision := o.config.Table.Revision()
	rows := o.config.Table.Rows()
	store, storeKnown := o.store()
	members := o.config.Self.Members()
	o.mutex.Lock()
	if o.ended {
		o.mutex.Unlock()
		return
	}
	now := o.config.Clock.Now()
	o.notePause(now)
	o.lastTick = now
	o.takeListing(listing, readAt)
	o.expireDemand(now)
	o.countCompeting()
	o.members = members
	o.forgetGateways(now)
	if o.releasing != nil {
		released := o.releaseLocked(now)
		o.mutex.Unlock()
		if released != nil {
			released()
		}
		return
	}
	if o.planDue(now, revision) && !now.Before(o.planAfter) {
		o.takeTable(rows, revision)
		o.planLocked(now, planner.Store{Known: storeKnown, WeightStoreStatus: store})
	}
	o.advanceDrains(now)
	o.sendOrders(now)
	o.sendPolls(now)
	o.confirmLocked(now)
	o.pushLocked(now)
	o.keepStatistics(now)
	o.mutex.Unlock()
}

// pauseGap between two ticks means that the process was paused; catchUpTime is
// how long it then lets the table come up to date before it plans.
const (
	pauseGap    = 3 * time.Second
	catchUpTime = 2 * time.Second
)

// notePause holds plans back after a pause: what this node knows of the table
// is as old as the pause is long.
func (o *Owner) notePause(now time.Time) {
	if !o.lastTick.IsZero() && now.Sub(o.lastTick) > pauseGap {
		o.planAfter = now.Add(catchUpTime)
	}
}

// takeTable allots the rows of a new revision.
func (o *Owner) takeTable(rows []table.Row, revision table.Revision) {
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

// planDue reports whether a plan is to be made. Before a table was read there
// is nothing to plan by, and an older table is never gone back to.
func (o *Owner) planDue(now time.Time, revision table.Revision) bool {
	if revision == 0 || revision < o.revision {
		return false
	}
	return o.dirty || revision > o.revision || now.Sub(o.lastPlan) >= o.config.Intervals.Plan
}

// releaseLocked settles unknown orders; once all are settled, or it took too
// long, the owner ends. Giving up is safe: the next owner adopts by the fence.
func (o *Owner) releaseLocked(now time.Time) (released func()) {
	if o.settledLocked() || !now.Before(o.releaseBy) {
		return o.endLocked("released")
	}
	for _, server := range o.servers {
		if server.unknown && !server.outstanding && !now.Before(server.retryAt) {
			o.sendOrder(now, server)
		}
	}
	return nil
}

// takeListing brings the servers in line with the machine list.
func (o *Owner) takeListing(listing outside.MachineListing, readAt time.Time) {
	if readAt.IsZero() {
		return
	}
	fresh := !readAt.Before(o.acquiredAt)
	if o.listingVersion == listing.Version && o.listed == (o.listed || fresh) && len(o.byID) > 0 {
		return
	}
	shown := make(map[outside.ServerID]bool, len(o.servers))
	for _, machine := range listing.Machines {
		cell, known := o.config.CellOf(machine)
		if !machine.Engine || !known || cell != o.cell {
			continue
		}
		shown[machine.Server] = true
		o.takeMachine(machine)
	}
	for _, server := range o.servers {
		server.listed = shown[server.id]
	}
	o.dirty = true
	o.listingVersion = listing.Version
	o.listed = o.listed || fresh
}

func (o *Owner) takeMachine(machine outside.Machine) {
	server := o.byID[machine.Server]
	if server == nil {
		server = &serverEntry{id: machine.Server, mayHold: o.mayHold()}
		o.byID[machine.Server] = server
		at, _ := slices.BinarySearchFunc(o.servers, server.id, func(entry *serverEntry, id outside.ServerID) int {
			return compareServers(entry.id, id)
		})
		o.servers = slices.Insert(o.servers, at, server)
	}
	if server.machine.Phase != machine.Phase && machine.Phase == outside.MachineLeaving {
		o.logger.Info().Str("server", string(server.id)).Str("reason", "leaving").Msg("server leaves")
		o.changedServer(server)
		o.dirty = true
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

// mayHold tells what a newly listed server may hold. One that is absent from a
// listing read after the acquisition did not live then, and no owner before
// gets its epoch confirmed for it.
func (o *Owner) mayHold() bool { return !o.listed || o.config.Confirmer == nil }

// removeServer drops a server that is gone with everything it held.
func (o *Owner) removeServer(server *serverEntry) {
	o.logger.Info().Str("server", string(server.id)).Int("replicas", len(server.replicas)).
		Str("reason", "gone").Msg("server removed")
	o.changedServer(server)
	delete(o.byID, server.id)
	o.servers = slices.DeleteFunc(o.servers, func(entry *serverEntry) bool { return entry == server })
}

// changedServer marks the endpoints of all models on a server as changed.
func (o *Owner) changedServer(server *serverEntry) {
	for _, entry := range server.replicas {
		o.changed[entry.Model] = true
	}
}
