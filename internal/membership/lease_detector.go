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

// LeaseDetector is a Detector that treats a member as alive while its lease in the
// key-value service is.
//
// Each member keeps one key attached to a lease. A member is removed when its key
// has been missing for a grace period. While the key-value service is unavailable
// no member is removed, since a missing key can't be confirmed.
type LeaseDetector struct {
	clock   clock.Clock
	options LeaseOptions
	log     zerolog.Logger
	watcher *keywatch.Watcher
	lease   *leaseHolder

	mutex    sync.Mutex
	self     Member
	stopped  bool
	tracked  map[string]*trackedMember
	onChange func([]Member)
	// lastActivity is when this detector last received a reply or an event. A gap
	// longer than the lease's time to live is taken for a pause of this process.
	lastActivity time.Time
	// lastDisruption is when the key-value service was last found unreachable or
	// this process paused; disrupted: that has happened at least once.
	lastDisruption time.Time
	disrupted      bool
	// interrupted: the watch was interrupted since the newest snapshot, so a
	// missing key may have been written again.
	interrupted bool
	// readAt is when the newest snapshot was received.
	readAt time.Time
	// synchronised: the members have been read at least once.
	synchronised bool

	publisher publisher
}

// trackedMember is a registered member, or one whose key is missing and that has
// not been removed yet.
type trackedMember struct {
	member      Member
	modRevision int64
	// missing: the key has been absent since missingSince.
	missing      bool
	missingSince time.Time
}

// NewLeaseDetector returns a detector that is not started. The random source must
// not be shared.
func NewLeaseDetector(service outside.KeyValueService, c clock.Clock, random *rand.Rand, options LeaseOptions, log zerolog.Logger) *LeaseDetector {
	detector := &LeaseDetector{clock: c, options: options, log: log, tracked: map[string]*trackedMember{}}
	watchRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	detector.watcher = keywatch.New(service, c, watchRandom, options.Watch, detector)
	detector.lease = newLeaseHolder(service, c, random, options, log, detector.recordActivity)
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
func (d *LeaseDetector) Snapshot(snapshot outside.RangeResult) {
	d.mutex.Lock()
	d.recordActivityLocked(true)
	present := make(map[string]bool, len(snapshot.KeyValues))
	for _, keyValue := range snapshot.KeyValues {
		present[keyValue.Key] = true
		d.observePresentLocked(keyValue)
	}
	for _, name := range d.namesLocked() {
		tracked := d.tracked[name]
		if !present[MemberPrefix+name] && tracked.modRevision <= snapshot.Revision {
			d.observeMissingLocked(name, snapshot.Revision)
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
	d.recordActivityLocked(true)
	for _, event := range events {
		if event.Deleted {
			d.observeMissingLocked(event.KeyValue.Key[len(MemberPrefix):], event.KeyValue.ModRevision)
		} else {
			d.observePresentLocked(event.KeyValue)
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
	d.recordActivityLocked(false)
}

// recordActivity is called by the lease holder after each call, with whether the
// service answered.
func (d *LeaseDetector) recordActivity(contact bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordActivityLocked(contact)
}

// recordActivityLocked notes a disruption if the service was unreachable, or if
// this process was paused since the previous call.
func (d *LeaseDetector) recordActivityLocked(contact bool) {
	now := d.clock.Now()
	paused := now.Sub(d.lastActivity) > d.options.TimeToLive
	d.lastActivity = now
	if paused || !contact {
		d.disrupted = true
		d.lastDisruption = now
	}
}

// observePresentLocked tracks the member of a key that exists.
func (d *LeaseDetector) observePresentLocked(keyValue outside.KeyValue) {
	member, err := decodeMember(keyValue.Value)
	if err != nil || MemberPrefix+member.Name != keyValue.Key {
		d.log.Warn().Str("key", keyValue.Key).AnErr("cause", err).Msg("cannot decode member record")
		return
	}
	tracked := d.tracked[member.Name]
	if tracked != nil && tracked.modRevision > keyValue.ModRevision {
		return
	}
	d.tracked[member.Name] = &trackedMember{member: member, modRevision: keyValue.ModRevision}
	if member.Name == d.self.Name {
		d.lease.observeOwnKey(keyValue, member)
	}
}

// observeMissingLocked handles a key that was absent at the revision: a draining
// member is removed at once, any other after the grace period.
func (d *LeaseDetector) observeMissingLocked(name string, revision int64) {
	if name == d.self.Name {
		d.lease.observeOwnKeyMissing(revision)
	}
	tracked := d.tracked[name]
	if tracked == nil || tracked.missing {
		return
	}
	tracked.modRevision = max(tracked.modRevision, revision)
	if tracked.member.Draining {
		delete(d.tracked, name)
		return
	}
	tracked.missing = true
	tracked.missingSince = d.clock.Now()
	d.clock.AfterFunc(d.graceLocked(), func() { d.removeMissing(name) })
}

// graceLocked returns how long a member's key must have been missing before the
// member is removed.
func (d *LeaseDetector) graceLocked() time.Duration {
	if d.disrupted && d.clock.Now().Sub(d.lastDisruption) < d.options.OutageGrace {
		return d.options.OutageGrace
	}
	return d.options.RemovalGrace
}

// remainingGraceLocked returns how much longer a member's key must be missing.
// While the watch is interrupted, and for RemovalGrace after a snapshot, since the
// watch may be interrupted again, the absence of a key is not confirmed.
func (d *LeaseDetector) remainingGraceLocked(tracked *trackedMember) time.Duration {
	now := d.clock.Now()
	remaining := d.graceLocked() - now.Sub(tracked.missingSince)
	if d.interrupted {
		return max(remaining, d.options.RemovalGrace)
	}
	return max(remaining, d.options.RemovalGrace-now.Sub(d.readAt))
}

// removeMissing removes a member whose key has been missing for the grace period
// that applies now. If it has not, it checks again after the remaining time.
func (d *LeaseDetector) removeMissing(name string) {
	d.mutex.Lock()
	tracked := d.tracked[name]
	if d.stopped || tracked == nil || !tracked.missing {
		d.mutex.Unlock()
		return
	}
	remaining := d.remainingGraceLocked(tracked)
	if remaining > 0 {
		d.clock.AfterFunc(remaining, func() { d.removeMissing(name) })
		d.mutex.Unlock()
		return
	}
	delete(d.tracked, name)
	d.mutex.Unlock()
	d.log.Info().Str("member", tracked.member.ID()).Str("reason", "lease lapsed").Msg("member removed")
	d.publish()
}

// namesLocked returns the names of the tracked members in order.
func (d *LeaseDetector) namesLocked() []string {
	names := make([]string, 0, len(d.tracked))
	for name := range d.tracked {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// publish passes the live members to onChange, once this node has read them and
// has been registered. This node is then always one of them, unless a later
// incarnation of it has registered.
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
	members := make([]Member, 0, len(d.tracked)+1)
	for _, tracked := range d.tracked {
		members = append(members, tracked.member)
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
