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

// HeartbeatDetector is a Detector that treats the members registered in the
// key-value service as alive, and removes members from there that do not answer
// the probes of other members.
//
// Probing follows SWIM (Das, Gupta, Motivala: SWIM, DSN 2002): in each period a
// node probes one member, and if that does not answer, asks other members to
// probe it. A member that leaves further probes unanswered becomes accused: a
// mark is written into its record in the key-value service. The member refutes
// the accusation by writing its record without the mark. If it does not, its
// record is deleted by a compare-and-swap on the revision of the accusation.
//
// Since membership changes only in the key-value service, all nodes observe the
// same changes in the same order, no member is removed while the service is
// unavailable, and a member that reaches either its peers or the service stays
// registered.
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
	accusations  accusationState
	// synchronised: the records have been read at least once.
	synchronised bool
	// interrupted: the watch was interrupted since the newest snapshot, so
	// changes of the records may be missing here.
	interrupted bool
	// interruptedAt is when the current interruption began.
	interruptedAt  time.Time
	graceExtension graceExtension
}

// NewHeartbeatDetector returns a detector that is not started. The random source
// must not be shared. NewHeartbeatDetector registers message handlers and must
// therefore be called before the transport starts.
func NewHeartbeatDetector(service outside.KeyValueService, transport peer.Transport, c clock.Clock, random *rand.Rand, options HeartbeatOptions, log zerolog.Logger) *HeartbeatDetector {
	d := &HeartbeatDetector{
		service: service, transport: transport, clock: c, random: random, options: options, log: log,
		registered:   registeredMembers{},
		registration: newRegistrationState(options),
		probing:      probingState{inFlight: map[string]bool{}, suspects: map[string]*suspect{}},
		accusations:  newAccusationState(options),
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
	d.probing.lastTickAt = d.clock.Now()
	d.scheduleTickLocked()
	d.reconcileOwnRecordLocked()
	d.mutex.Unlock()
	d.watcher.Start()
}

// Update implements Detector.
func (d *HeartbeatDetector) Update(self Member) {
	d.mutex.Lock()
	d.self = self
	d.reconcileOwnRecordLocked()
	d.mutex.Unlock()
	d.clock.AfterFunc(0, d.publish)
}

// Stop implements Detector.
func (d *HeartbeatDetector) Stop(done func()) {
	d.watcher.Stop()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
	d.withdrawLocked(maxWithdrawAttempts, done)
}

// Snapshot implements keywatch.Handler.
func (d *HeartbeatDetector) Snapshot(snapshot outside.RangeResult) {
	d.applyAndPublish(func(now time.Time) error {
		d.synchronised = true
		d.interruptionEndedLocked(now)
		return d.registered.replace(snapshot, now)
	})
}

// Changes implements keywatch.Handler.
func (d *HeartbeatDetector) Changes(events []outside.WatchEvent) {
	d.applyAndPublish(func(now time.Time) error {
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

// applyAndPublish calls apply, which updates the registered members, then updates
// the state derived from them and publishes the members. An error of apply is
// logged: it means that a record could not be decoded.
func (d *HeartbeatDetector) applyAndPublish(apply func(now time.Time) error) {
	d.mutex.Lock()
	if err := apply(d.clock.Now()); err != nil {
		d.log.Warn().Err(err).Msg("cannot decode member record")
	}
	d.applyRecordsLocked()
	d.mutex.Unlock()
	d.publish()
}

// applyRecordsLocked updates the state that is derived from the records: this
// node's registration, the probe targets and the suspects.
func (d *HeartbeatDetector) applyRecordsLocked() {
	d.observeOwnRecordLocked()
	d.probing.targets.replace(d.self, d.membersLocked(), d.random)
	for id, suspect := range d.probing.suspects {
		entry := d.registered[suspect.member.Name]
		if entry == nil || entry.record.Member.ID() != id {
			delete(d.probing.suspects, id)
		}
	}
	d.reconcileOwnRecordLocked()
}

// transactLocked runs a compare-and-swap of one record. onResult is called with
// the lock held, after the result was applied to the registered members.
func (d *HeartbeatDetector) transactLocked(key string, modRevision int64, operation outside.Operation, onResult func(succeeded bool, err error)) {
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: key, ModRevision: modRevision}},
		Operations: []outside.Operation{operation},
	}
	d.service.Transact(transaction, d.options.Timeout, func(result outside.TransactionResult, err error) {
		d.applyAndPublish(func(now time.Time) error {
			var decodeError error
			if err == nil {
				decodeError = d.applyResultLocked(operation, result, now)
			}
			onResult(err == nil && result.Succeeded, err)
			return decodeError
		})
	})
}

// applyResultLocked updates the registered members by the result of a
// transaction, which shows the record as it now is in the key-value service.
func (d *HeartbeatDetector) applyResultLocked(operation outside.Operation, result outside.TransactionResult, now time.Time) error {
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

// membersLocked returns the registered members, in no order.
func (d *HeartbeatDetector) membersLocked() []Member {
	members := make([]Member, 0, len(d.registered)+1)
	for _, entry := range d.registered {
		members = append(members, entry.record.Member)
	}
	return members
}

// publish passes the members to onChange, once this node has read the records and
// has been registered.
func (d *HeartbeatDetector) publish() {
	d.mutex.Lock()
	onChange := d.onChange
	d.mutex.Unlock()
	d.publisher.publish(d.publishedMembers, onChange)
}

// publishedMembers returns the members to publish, and whether there are any to
// publish yet. This node is one of them, unless a later incarnation of it has
// registered.
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
