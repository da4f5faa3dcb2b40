package membership

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// LeaseDetector takes for alive whose lease in the key-value service lives.
//
// Each member keeps one key under a lease. A key that goes missing removes its
// member after a grace period. While the key-value service is out nobody is
// removed, because nobody's absence is proved.
type LeaseDetector struct {
	clock   clock.Clock
	options LeaseOptions
	log     zerolog.Logger
	watcher *keywatch.Watcher
	lease   *leaseHolder

	mutex    sync.Mutex
	self     Member
	stopped  bool
	known    map[string]*knownMember
	onChange func([]Member)
	// lastActivity is when this detector last ran; a gap means a pause.
	lastActivity time.Time
	// lastTrouble is when contact to the service was last doubtful.
	lastTrouble time.Time
	troubled    bool
	// interrupted since the newest reading: absence is not proved.
	interrupted bool
	// readAt is when the members were last read.
	readAt time.Time
	// synchronised: the members were read at least once.
	synchronised bool

	publisher publisher
}

// knownMember is a member as registered.
type knownMember struct {
	member      Member
	modRevision int64
	// missing since a time: the key is not there.
	missing      bool
	missingSince time.Time
}

// NewLeaseDetector returns a detector that is not started. The source of
// randomness is used by the detector alone.
func NewLeaseDetector(service outside.KeyValueService, c clock.Clock, random *rand.Rand, options LeaseOptions, log zerolog.Logger) *LeaseDetector {
	detector := &LeaseDetector{clock: c, options: options, log: log, known: map[string]*knownMember{}}
	watchRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	detector.watcher = keywatch.New(service, c, watchRandom, options.Watch, detector)
	detector.lease = newLeaseHolder(service, c, random, options, log, detector.noteActivity)
	return detector
}

// Start implements Detector.
func (d *LeaseDetector) Start(self Member, onChange func([]Member)) {
	d.mutex.Lock()
	d.self = self
	d.onChange = onChange
	d.lastActivity = d.clock.Now()
	d.mutex.Unlock()
	d.lease.start(self)
	d.watcher.Start()
}

// Update implements Detector.
func (d *LeaseDetector) Update(self Member) {
	d.mutex.Lock()
	d.self = self
	d.mutex.Unlock()
	d.lease.update(self)
	d.clock.AfterFunc(0, d.publish)
}

// Stop implements Detector.
func (d *LeaseDetector) Stop(done func()) {
	d.mutex.Lock()
	d.stopped = true
	d.mutex.Unlock()
	d.watcher.Stop()
	d.lease.stop(done)
}

// Snapshot implements keywatch.Handler.
func (d *LeaseDetector) Snapshot(reading outside.RangeResult) {
	d.mutex.Lock()
	d.noteActivityLocked(true)
	present := make(map[string]bool, len(reading.KeyValues))
	for _, keyValue := range reading.KeyValues {
		present[keyValue.Key] = true
		d.presentLocked(keyValue)
	}
	for _, name := range d.namesLocked() {
		known := d.known[name]
		if !present[MemberPrefix+name] && known.modRevision <= reading.Revision {
			d.missingLocked(name, reading.Revision)
		}
	}
	d.synchronised = true
	d.interrupted = false
	d.readAt = d.clock.Now()
	d.mutex.Unlock()
	d.publish()
}

// Changes implements keywatch.Handler.
func (d *LeaseDetector) Changes(events []outside.WatchEvent) {
	d.mutex.Lock()
	d.noteActivityLocked(true)
	for _, event := range events {
		if event.Deleted {
			d.missingLocked(event.KeyValue.Key[len(MemberPrefix):], event.KeyValue.ModRevision)
		} else {
			d.presentLocked(event.KeyValue)
		}
	}
	d.mutex.Unlock()
	d.publish()
}

// Interrupted implements keywatch.Handler.
func (d *LeaseDetector) Interrupted(error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.interrupted = true
	d.noteActivityLocked(false)
}

// noteActivity is told by the lease whether the service answers.
func (d *LeaseDetector) noteActivity(contact bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.noteActivityLocked(contact)
}

func (d *LeaseDetector) noteActivityLocked(contact bool) {
	now := d.clock.Now()
	paused := now.Sub(d.lastActivity) > d.options.TimeToLive
	d.lastActivity = now
	if paused || !contact {
		d.troubled = true
		d.lastTrouble = now
	}
}

func (d *LeaseDetector) presentLocked(keyValue outside.KeyValue) {
	member, err := decodeMember(keyValue.Value)
	if err != nil || MemberPrefix+member.Name != keyValue.Key {
		d.log.Warn().Str("key", keyValue.Key).AnErr("cause", err).Msg("unreadable member record")
		return
	}
	known := d.known[member.Name]
	if known != nil && known.modRevision > keyValue.ModRevision {
		return
	}
	d.known[member.Name] = &knownMember{member: member, modRevision: keyValue.ModRevision}
	if member.Name == d.self.Name {
		d.lease.ownKeySeen(keyValue, member)
	}
}

func (d *LeaseDetector) missingLocked(name string, revision int64) {
	if name == d.self.Name {
		d.lease.ownKeyMissing(revision)
	}
	known := d.known[name]
	if known == nil || known.missing {
		return
	}
	known.modRevision = max(known.modRevision, revision)
	if known.member.Draining {
		delete(d.known, name)
		return
	}
	known.missing = true
	known.missingSince = d.clock.Now()
	d.clock.AfterFunc(d.graceLocked(), func() { d.removeMissing(name) })
}

// graceLocked returns how long a member must have been missing.
func (d *LeaseDetector) graceLocked() time.Duration {
	if d.troubled && d.clock.Now().Sub(d.lastTrouble) < d.options.OutageGrace {
		return d.options.OutageGrace
	}
	return d.options.RemovalGrace
}

// remainingGraceLocked returns how much longer a member must be missing. While
// the watch is interrupted, and shortly after a reading, which may be followed
// by the next interruption, nobody's absence is proved.
func (d *LeaseDetector) remainingGraceLocked(known *knownMember) time.Duration {
	now := d.clock.Now()
	remaining := d.graceLocked() - now.Sub(known.missingSince)
	if d.interrupted {
		return max(remaining, d.options.RemovalGrace)
	}
	return max(remaining, d.options.RemovalGrace-now.Sub(d.readAt))
}

// removeMissing removes a member whose key has been missing for the grace
// period that applies now; else it looks again later.
func (d *LeaseDetector) removeMissing(name string) {
	d.mutex.Lock()
	known := d.known[name]
	if d.stopped || known == nil || !known.missing {
		d.mutex.Unlock()
		return
	}
	remaining := d.remainingGraceLocked(known)
	if remaining > 0 {
		d.clock.AfterFunc(remaining, func() { d.removeMissing(name) })
		d.mutex.Unlock()
		return
	}
	delete(d.known, name)
	d.mutex.Unlock()
	d.log.Info().Str("member", known.member.ID()).Str("reason", "lease lapsed").Msg("member removed")
	d.publish()
}

func (d *LeaseDetector) namesLocked() []string {
	names := make([]string, 0, len(d.known))
	for name := range d.known {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// publish tells the live members once this node has read them and is itself
// registered. It is then always one of them, unless a later incarnation of it
// has registered.
func (d *LeaseDetector) publish() {
	d.mutex.Lock()
	onChange := d.onChange
	d.mutex.Unlock()
	d.publisher.publish(d.publishedMembers, onChange)
}

func (d *LeaseDetector) publishedMembers() ([]Member, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped || !d.synchronised || !d.lease.wasRegistered() {
		return nil, false
	}
	members := make([]Member, 0, len(d.known)+1)
	for _, known := range d.known {
		members = append(members, known.member)
	}
	return d.withSelfLocked(members), true
}

func (d *LeaseDetector) withSelfLocked(members []Member) []Member {
	if d.lease.isSuperseded() {
		return members
	}
	for i := range members {
		if members[i].Name == d.self.Name {
			members[i] = d.self
			return members
		}
	}
	return append(members, d.self)
}
