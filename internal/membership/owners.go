package membership

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// OwnershipManager acquires, holds and hands over the ownership of cells, and
// tracks the owners of all cells; it implements Ownership.
//
// Every change of owner is a compare-and-swap that increments the cell's epoch. An
// owner that can't reach the key-value service remains the owner, because no other
// node can replace it without that service either. An owner that observes a higher
// epoch steps down at once.
type OwnershipManager struct {
	service outside.KeyValueService
	clock   clock.Clock
	options OwnershipOptions
	log     zerolog.Logger
	watcher *keywatch.Watcher
	calls   *runnerCalls

	mutex      sync.Mutex
	random     *rand.Rand
	self       Member
	live       map[string]string // incarnations of the live members by name
	candidates candidates
	cells      []*cellState
	byName     map[string]*cellState
	// synchronised: the records have been read at least once.
	synchronised bool
	// tokenSequence numbers the tokens of this node's writes.
	tokenSequence uint64
	// inFlight counts the calls in flight; see MaxInFlight.
	inFlight  int
	stopped   bool
	stopTicks func()
}

// NewOwnershipManager returns a manager of the named cells that is not started.
// The random source must not be shared.
func NewOwnershipManager(self Member, cells []string, service outside.KeyValueService, c clock.Clock, random *rand.Rand, runner CellRunner, options OwnershipOptions, log zerolog.Logger) *OwnershipManager {
	manager := &OwnershipManager{
		service: service, clock: c, options: options, log: log, random: random,
		calls:      &runnerCalls{runner: runner},
		self:       self,
		live:       map[string]string{},
		candidates: candidates{byName: map[string]*candidate{}},
		byName:     make(map[string]*cellState, len(cells)),
	}
	for _, name := range cells {
		cell := &cellState{
			name: name, key: CellPrefix + name, hash: rendezvousHash(name),
			retry: backoff{minimum: options.MinBackoff, maximum: options.MaxBackoff},
		}
		manager.cells = append(manager.cells, cell)
		manager.byName[name] = cell
	}
	sort.Slice(manager.cells, func(i, j int) bool { return manager.cells[i].name < manager.cells[j].name })
	watchRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	manager.watcher = keywatch.New(service, c, watchRandom, options.Watch, manager)
	return manager
}

// Start begins to watch the records and to call Tick periodically.
func (o *OwnershipManager) Start() {
	o.watcher.Start()
	o.stopTicks = clock.Repeat(o.clock, o.options.TickInterval, func() { o.Tick(o.clock.Now()) })
}

// Stop ends all work without handing cells over. The node should be drained first.
func (o *OwnershipManager) Stop() {
	o.mutex.Lock()
	o.stopped = true
	o.mutex.Unlock()
	o.watcher.Stop()
	if o.stopTicks != nil {
		o.stopTicks()
	}
}

// OwnerOf implements Ownership.
func (o *OwnershipManager) OwnerOf(cell string) (Owner, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.byName[cell]
	if state == nil || state.record.Epoch == 0 {
		return Owner{}, false
	}
	record := state.record
	return Owner{Cell: cell, Epoch: record.Epoch, Member: record.Member, Vacant: record.Vacant}, true
}

// Owned returns the names, in order, of the cells that this node owns or is
// handing over. A draining node may stop when there are none.
func (o *OwnershipManager) Owned() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var names []string
	for _, cell := range o.cells {
		if cell.role != roleNone {
			names = append(names, cell.name)
		}
	}
	return names
}

// SetMembers updates the live members. It is meant to be subscribed to a Registry.
func (o *OwnershipManager) SetMembers(members []Member) {
	o.mutex.Lock()
	clear(o.live)
	for _, member := range members {
		o.live[member.Name] = member.Incarnation
		if member.ID() == o.self.ID() {
			o.self = member
		}
	}
	change := o.candidates.replace(members)
	for _, cell := range o.cells {
		cell.winner = o.candidates.update(cell.winner, cell.hash, o.eligible(cell.name), change)
		cell.ownerSeen = cell.ownerSeen || o.isLiveLocked(cell.record.Member)
	}
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// eligible returns a function that reports whether a member may own the cell.
func (o *OwnershipManager) eligible(cell string) func(Member) bool {
	if o.options.Eligible == nil {
		return func(Member) bool { return true }
	}
	return func(member Member) bool { return o.options.Eligible(cell, member) }
}

// Tick starts what is due for each cell: a retry, an acquisition or a handover.
func (o *OwnershipManager) Tick(now time.Time) {
	o.mutex.Lock()
	if o.synchronised && !o.stopped {
		for _, cell := range o.cells {
			o.stepLocked(cell, now)
		}
	}
	o.mutex.Unlock()
	o.calls.deliver()
}

func (o *OwnershipManager) stepLocked(cell *cellState, now time.Time) {
	switch {
	case cell.inFlight || now.Before(cell.retryAt):
	case cell.pending != nil:
		o.resolveLocked(cell)
	case cell.role == roleNone:
		if o.mayAcquireLocked(cell, now) {
			o.acquireLocked(cell)
		}
	case cell.role == roleOwner:
		if o.shouldHandOverLocked(cell, now) {
			o.verifyOwnershipLocked(cell)
		}
	}
}

// selfWinsLocked reports whether this node has the highest rendezvous score for the
// cell.
func (o *OwnershipManager) selfWinsLocked(cell *cellState) bool {
	return cell.winner.candidate != nil && cell.winner.candidate.member.ID() == o.self.ID()
}

func (o *OwnershipManager) isLiveLocked(member Member) bool {
	return o.live[member.Name] == member.Incarnation && member.Incarnation != ""
}

// ownerGraceLocked returns how long the owner must have been absent from the live
// members before the cell is taken over. An owner that has never been among them
// may only be late to register again after an outage of the key-value service.
func (o *OwnershipManager) ownerGraceLocked(cell *cellState) time.Duration {
	_, nameTaken := o.live[cell.record.Member.Name]
	if cell.ownerSeen || nameTaken {
		return o.options.OwnerGrace
	}
	return o.options.UnseenOwnerGrace
}

// mayAcquireLocked reports whether this node may acquire the cell: it has the
// highest rendezvous score, and the cell has no owner, a former incarnation of this
// node owned it, or the owner has been absent for the grace period.
func (o *OwnershipManager) mayAcquireLocked(cell *cellState, now time.Time) bool {
	if !o.selfWinsLocked(cell) {
		cell.ownerMissingSince = time.Time{}
		return false
	}
	owner := cell.record.Member
	if cell.modRevision == 0 || cell.record.Vacant || owner.Name == o.self.Name {
		return true
	}
	if o.isLiveLocked(owner) {
		cell.ownerMissingSince = time.Time{}
		return false
	}
	if cell.ownerMissingSince.IsZero() {
		cell.ownerMissingSince = now
	}
	return now.Sub(cell.ownerMissingSince) >= o.ownerGraceLocked(cell)
}

// shouldHandOverLocked reports whether this node is draining, or another member has
// had the highest rendezvous score for the cell for HandoverDelay.
func (o *OwnershipManager) shouldHandOverLocked(cell *cellState, now time.Time) bool {
	if o.self.Draining {
		return true
	}
	if cell.winner.candidate == nil || o.selfWinsLocked(cell) {
		cell.otherWinnerSince = time.Time{}
		return false
	}
	if cell.otherWinnerSince.IsZero() {
		cell.otherWinnerSince = now
	}
	return now.Sub(cell.otherWinnerSince) >= o.options.HandoverDelay
}

// Snapshot implements keywatch.Handler.
func (o *OwnershipManager) Snapshot(snapshot outside.RangeResult) {
	o.mutex.Lock()
	present := make(map[string]bool, len(snapshot.KeyValues))
	for _, keyValue := range snapshot.KeyValues {
		present[keyValue.Key] = true
		o.observeLocked(keyValue)
	}
	for _, cell := range o.cells {
		if !present[cell.key] && cell.modRevision <= snapshot.Revision {
			cell.modRevision = 0
		}
	}
	o.synchronised = true
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// Changes implements keywatch.Handler.
func (o *OwnershipManager) Changes(events []outside.WatchEvent) {
	o.mutex.Lock()
	for _, event := range events {
		if !event.Deleted {
			o.observeLocked(event.KeyValue)
		}
	}
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// Interrupted implements keywatch.Handler. It does nothing: ownership continues
// while the watch is interrupted.
func (o *OwnershipManager) Interrupted(error) {}

// observeLocked applies a record read from the service, if it is newer than the
// last observed one.
func (o *OwnershipManager) observeLocked(keyValue outside.KeyValue) {
	cell := o.byName[strings.TrimPrefix(keyValue.Key, CellPrefix)]
	if cell == nil || keyValue.ModRevision <= cell.modRevision {
		return
	}
	record, err := decodeOwnerRecord(keyValue.Value)
	if err != nil {
		o.log.Error().Str("key", keyValue.Key).Err(err).Msg("cannot decode ownership record")
		return
	}
	cell.modRevision = keyValue.ModRevision
	if record.Epoch < cell.record.Epoch {
		o.log.Error().Str("cell", cell.name).Uint64("epoch", record.Epoch).Msg("ownership record went back; ignored")
		return
	}
	cell.record = record
	cell.ownerSeen = o.isLiveLocked(record.Member)
	cell.ownerMissingSince = time.Time{}
	o.applyRecordLocked(cell)
}

// applyRecordLocked updates the cell's pending write and role from a new record.
func (o *OwnershipManager) applyRecordLocked(cell *cellState) {
	pendingApplied := cell.pendingApplied()
	if pendingApplied || cell.pendingFailed() {
		cell.pending = nil
		cell.retry.reset()
		cell.retryAt = time.Time{}
	}
	switch {
	case pendingApplied && cell.record.Vacant:
		o.stepDownLocked(cell, "handed over")
	case pendingApplied:
		o.becomeOwnerLocked(cell)
	case cell.role != roleNone && cell.replaced(o.self.ID()):
		o.stepDownLocked(cell, "replaced")
	case cell.role == roleVacating && cell.pending == nil:
		o.vacateLocked(cell)
	}
}

func (o *OwnershipManager) becomeOwnerLocked(cell *cellState) {
	cell.role = roleOwner
	cell.epoch = cell.record.Epoch
	cell.otherWinnerSince = time.Time{}
	name, epoch := cell.name, cell.epoch
	o.log.Info().Str("cell", name).Uint64("epoch", epoch).Msg("cell acquired")
	o.calls.add(func(runner CellRunner) { runner.Acquired(name, epoch) })
}

func (o *OwnershipManager) stepDownLocked(cell *cellState, reason string) {
	name := cell.name
	cell.role = roleNone
	cell.pending = nil
	o.log.Info().Str("cell", name).Uint64("epoch", cell.epoch).Str("reason", reason).Msg("cell lost")
	o.calls.add(func(runner CellRunner) { runner.Lost(name) })
}
