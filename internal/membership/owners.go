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

// OwnershipManager takes, keeps and hands over the ownership of cells, and knows the
// owners of all; it implements Ownership.
//
// Every change of owner is a compare-and-swap that raises the cell's epoch. An
// owner that can't reach the key-value service goes on, because nobody can
// replace it without that service either; an owner that sees a higher epoch
// steps down at once.
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
	live       map[string]string // incarnation by name
	candidates candidates
	cells      []*cellState
	byName     map[string]*cellState
	// synchronised: the records were read at least once.
	synchronised bool
	tokens       uint64
	inFlight     int
	stopped      bool
	stopTicks    func()
}

// NewOwnershipManager returns the ownership of the named cells, not started. The
// source of randomness is used by the ownership alone.
func NewOwnershipManager(self Member, cells []string, service outside.KeyValueService, c clock.Clock, random *rand.Rand, runner CellRunner, options OwnershipOptions, log zerolog.Logger) *OwnershipManager {
	owners := &OwnershipManager{
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
		owners.cells = append(owners.cells, cell)
		owners.byName[name] = cell
	}
	sort.Slice(owners.cells, func(i, j int) bool { return owners.cells[i].name < owners.cells[j].name })
	watchRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	owners.watcher = keywatch.New(service, c, watchRandom, options.Watch, owners)
	return owners
}

// Start reads the records and begins to tick.
func (o *OwnershipManager) Start() {
	o.watcher.Start()
	o.stopTicks = clock.Repeat(o.clock, o.options.TickEvery, func() { o.Tick(o.clock.Now()) })
}

// Stop ends all work without giving cells away; drain before.
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

// Owned returns the names of the cells this node owns or is handing over, in
// order. A drained node may stop when there are none.
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

// SetMembers takes the live members; subscribe it to the Registry.
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

func (o *OwnershipManager) eligible(cell string) func(Member) bool {
	if o.options.Eligible == nil {
		return func(Member) bool { return true }
	}
	return func(member Member) bool { return o.options.Eligible(cell, member) }
}

// Tick does what is due for each cell.
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
			o.probeLocked(cell)
		}
	}
}

func (o *OwnershipManager) selfWinsLocked(cell *cellState) bool {
	return cell.winner.candidate != nil && cell.winner.candidate.member.ID() == o.self.ID()
}

func (o *OwnershipManager) isLiveLocked(member Member) bool {
	return o.live[member.Name] == member.Incarnation && member.Incarnation != ""
}

// ownerGraceLocked returns how long the owner must be seen missing. An owner
// that this node never saw alive may only be late in registering again after
// an outage of the key-value service.
func (o *OwnershipManager) ownerGraceLocked(cell *cellState) time.Duration {
	_, nameTaken := o.live[cell.record.Member.Name]
	if cell.ownerSeen || nameTaken {
		return o.options.OwnerGrace
	}
	return o.options.UnseenOwnerGrace
}

// mayAcquireLocked: this node should own the cell, and its owner is gone.
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

// shouldHandOverLocked: another member has long been the one to own the cell,
// or this node drains.
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
func (o *OwnershipManager) Snapshot(reading outside.RangeResult) {
	o.mutex.Lock()
	present := make(map[string]bool, len(reading.KeyValues))
	for _, keyValue := range reading.KeyValues {
		present[keyValue.Key] = true
		o.observeLocked(keyValue)
	}
	for _, cell := range o.cells {
		if !present[cell.key] && cell.modRevision <= reading.Revision {
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

// Interrupted implements keywatch.Handler; ownership goes on.
func (o *OwnershipManager) Interrupted(error) {}

// observeLocked takes notice of a record read from the service.
func (o *OwnershipManager) observeLocked(keyValue outside.KeyValue) {
	cell := o.byName[strings.TrimPrefix(keyValue.Key, CellPrefix)]
	if cell == nil || keyValue.ModRevision <= cell.modRevision {
		return
	}
	record, err := decodeOwnerRecord(keyValue.Value)
	if err != nil {
		o.log.Error().Str("key", keyValue.Key).Err(err).Msg("unreadable ownership record")
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
	o.settleLocked(cell)
}

// settleLocked draws the consequences of a new record.
func (o *OwnershipManager) settleLocked(cell *cellState) {
	applied := cell.applied()
	if applied || cell.failed() {
		cell.pending = nil
		cell.retry.reset()
		cell.retryAt = time.Time{}
	}
	switch {
	case applied && cell.record.Vacant:
		o.stepDownLocked(cell, "handed over")
	case applied:
		o.ownLocked(cell)
	case cell.role != roleNone && cell.replaced(o.self.ID()):
		o.stepDownLocked(cell, "replaced")
	case cell.role == roleVacating && cell.pending == nil:
		o.vacateLocked(cell)
	}
}

func (o *OwnershipManager) ownLocked(cell *cellState) {
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
