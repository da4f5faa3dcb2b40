package membership

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// HeartbeatDetector takes for alive who is registered in the key-value
// service, and finds out by probes between members who is to be removed there.
//
// It probes as SWIM does (Das, Gupta, Motivala: SWIM, DSN 2002): in each period
// a node probes one member, and if that does not answer, asks others to probe
// it. A member that goes on leaving probes unanswered is accused in its record
// in the key-value service. It refutes by writing its record anew. The record
// of one that does not is deleted by compare-and-swap with the accusation. So
// all nodes see the same changes of the members in the same order, nobody is
// removed while the service is out, and who reaches either its peers or the
// service stays.
type HeartbeatDetector struct {
	service   outside.KeyValueService
	transport peer.Transport
	clock     clock.Clock
	options   HeartbeatOptions
	log       zerolog.Logger
	watcher   *keywatch.Watcher
	publisher publisher

	mutex        sync.Mutex
	random       *rand.Rand
	self         Member
	onChange     func([]Member)
	stopped      bool
	registered   registeredMembers
	registration registrationState
	probing      probingState
	removal      removalState
	// synchronised: the records were read at least once.
	synchronised bool
	// interrupted since the newest reading: accusations may go unnoticed.
	interrupted bool
	// interruptedAt is when the present interruption began.
	interruptedAt time.Time
	trouble       trouble
}

// NewHeartbeatDetector returns a detector that is not started. The source of
// randomness is used by the detector alone. It must be called before the
// transport starts, since it sets handlers.
func NewHeartbeatDetector(service outside.KeyValueService, transport peer.Transport, c clock.Clock, random *rand.Rand, options HeartbeatOptions, log zerolog.Logger) *HeartbeatDetector {
	d := &HeartbeatDetector{
		service: service, transport: transport, clock: c, random: random, options: options, log: log,
		registered:   registeredMembers{},
		registration: newRegistrationState(options),
		probing:      probingState{inFlight: map[string]bool{}, suspects: map[string]*suspect{}},
		removal:      newRemovalState(options),
	}
	watchRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	d.watcher = keywatch.New(service, c, watchRandom, options.Watch, d)
	transport.Handle(ProbeMessage{}, d.handleProbe)
	transport.Handle(IndirectProbeMessage{}, d.handleIndirectProbe)
	return d
}

// Start implements Detector.
func (d *HeartbeatDetector) Start(self Member, onChange func([]Member)) {
	d.mutex.Lock()
	d.self = self
	d.onChange = onChange
	d.probing.tickedAt = d.clock.Now()
	d.scheduleTickLocked()
	d.convergeLocked()
	d.mutex.Unlock()
	d.watcher.Start()
}

// Update implements Detector.
func (d *HeartbeatDetector) Update(self Member) {
	d.mutex.Lock()
	d.self = self
	d.convergeLocked()
	d.mutex.Unlock()
	d.clock.AfterFunc(0, d.publish)
}

// Stop implements Detector.
func (d *HeartbeatDetector) Stop(done func()) {
	d.watcher.Stop()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
	d.withdrawLocked(withdrawTries, done)
}

// Snapshot implements keywatch.Handler.
func (d *HeartbeatDetector) Snapshot(reading outside.RangeResult) {
	d.change(func(now time.Time) error {
		d.synchronised = true
		d.interruptionEndedLocked(now)
		return d.registered.replace(reading, now)
	})
}

// Changes implements keywatch.Handler.
func (d *HeartbeatDetector) Changes(events []outside.WatchEvent) {
	d.change(func(now time.Time) error {
		var failures []error
		for _, event := range events {
			if event.Deleted {
				d.registered.remove(event.KeyValue.Key[len(HeartbeatPrefix):], event.KeyValue.ModRevision)
				continue
			}
			_, err := d.registered.observe(event.KeyValue, now)
			failures = append(failures, err)
		}
		return errors.Join(failures...)
	})
}

// Interrupted implements keywatch.Handler.
func (d *HeartbeatDetector) Interrupted(error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.interrupted {
		d.interrupted = true
		d.interruptedAt = d.clock.Now()
	}
}

// change takes in what was read of the records, draws the consequences and
// publishes the members.
func (d *HeartbeatDetector) change(take func(now time.Time) error) {
	d.mutex.Lock()
	if err := take(d.clock.Now()); err != nil {
		d.log.Warn().Err(err).Msg("unreadable member record")
	}
	d.settleLocked()
	d.mutex.Unlock()
	d.publish()
}

// settleLocked makes everything fit the records now known.
func (d *HeartbeatDetector) settleLocked() {
	d.noteOwnRecordLocked()
	d.probing.targets.replace(d.self, d.membersLocked(), d.random)
	for id, suspect := range d.probing.suspects {
		known := d.registered[suspect.member.Name]
		if known == nil || known.record.Member.ID() != id {
			delete(d.probing.suspects, id)
		}
	}
	d.convergeLocked()
}

// transact runs a compare-and-swap of one record; settled is called with the
// lock held after the outcome was taken in.
func (d *HeartbeatDetector) transactLocked(key string, modRevision int64, operation outside.Operation, settled func(succeeded bool, err error)) {
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: key, ModRevision: modRevision}},
		Operations: []outside.Operation{operation},
	}
	d.service.Transact(transaction, d.options.Timeout, func(result outside.TransactionResult, err error) {
		d.change(func(now time.Time) error {
			var unreadable error
			if err == nil {
				unreadable = d.takeOutcomeLocked(operation, result, now)
			}
			settled(err == nil && result.Succeeded, err)
			return unreadable
		})
	})
}

// takeOutcomeLocked takes notice of what a reply tells of the record.
func (d *HeartbeatDetector) takeOutcomeLocked(operation outside.Operation, result outside.TransactionResult, now time.Time) error {
	name := operation.Key[len(HeartbeatPrefix):]
	switch {
	case !result.Succeeded && len(result.Current) > 0:
		_, err := d.registered.observe(result.Current[0], now)
		return err
	case !result.Succeeded, operation.Kind == outside.OperationDelete:
		d.registered.remove(name, result.Revision)
		return nil
	default:
		written := outside.KeyValue{Key: operation.Key, Value: operation.Value, ModRevision: result.Revision}
		_, err := d.registered.observe(written, now)
		return err
	}
}

func (d *HeartbeatDetector) membersLocked() []Member {
	members := make([]Member, 0, len(d.registered)+1)
	for _, known := range d.registered {
		members = append(members, known.record.Member)
	}
	return members
}

// publish tells the members once this node has read them and is registered.
func (d *HeartbeatDetector) publish() {
	d.mutex.Lock()
	onChange := d.onChange
	d.mutex.Unlock()
	d.publisher.publish(d.publishedMembers, onChange)
}

func (d *HeartbeatDetector) publishedMembers() ([]Member, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped || !d.synchronised || !d.registration.everRegistered {
		return nil, false
	}
	members := d.membersLocked()
	if d.registration.superseded {
		return members, true
	}
	for i := range members {
		if members[i].Name == d.self.Name {
			members[i] = d.self
			return members, true
		}
	}
	return append(members, d.self), true
}
