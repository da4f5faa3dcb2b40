package mirror

import (
	"maps"
	"math/rand/v2"
	"time"
)

// A node's state is as old as the last answer of the store that confirmed it, however many nodes
// passed the confirmation on. A receiver can't know how long an update was under way, so an age
// that is only added up along the way is too low by the latency of each hop, and a confirmation
// that goes round in a cycle of subscriptions seems newer each time. Therefore each confirmation
// names the node that received the store's answer and the time by that node's clock: a copy of a
// known confirmation confirms nothing. Subscriptions bound the clocks' differences: what a reply
// says was true after the subscription was sent.

// originMemory is how long a node remembers an origin whose confirmations it no longer receives. It
// is much longer than updates are under way, and than subscriptionTTL, which ends cycles.
const originMemory = time.Minute

const (
	// looseRoundTripShare of Times.Changes is the longest round trip of a subscription that bounds
	// an origin's clock well enough. The bound is too early by up to the round trip, and a state
	// that seems older than maxRelayAgeShare is read from the store instead.
	looseRoundTripShare = 0.05
	// maxEarlyBounds is how many subscriptions may follow each other after initialSubscribePeriod,
	// so that a bound determined while hundreds of nodes connect to the relay is soon replaced.
	maxEarlyBounds = 3
)

// Confirmation identifies an answer of the store that confirmed a state. An answer with a later
// time of the same origin is a newer one. The zero value means that it is not known, as in updates
// of builds without confirmations.
type Confirmation struct {
	// Origin is the random identity of the process that received the answer; zero: not known. If
	// two processes had the same one, each would ignore the other's confirmations and read the
	// store instead.
	Origin uint32
	// At is the time of the answer, as elapsed since a fixed moment by the steady clock of the
	// origin.
	At time.Duration
}

// origin is what a node knows of an origin of confirmations.
type origin struct {
	// newest is the latest confirmation that was received.
	newest time.Duration
	// zero is a time by this node's clock that is not after the zero of the origin's clock, and
	// zeroAt is when it was determined; the zero time: not known.
	zero, zeroAt time.Time
	// roundTrip is that of the subscription which determined zero, and bounds counts these
	// subscriptions.
	roundTrip  time.Duration
	bounds     int
	receivedAt time.Time
}

// confirmations is what a node knows of the confirmations of its state by the store that other
// nodes received. Its methods must be called with the mirror's lock held.
type confirmations struct {
	// self is this process as an origin, and started is the zero of its clock.
	self    uint32
	started time.Time
	origins map[uint32]origin
	// roundTrips of the last subscription at each node that was replied to.
	roundTrips map[string]roundTrip
	prunedAt   time.Time
}

// roundTrip is the time from a subscription to its reply.
type roundTrip struct {
	duration   time.Duration
	measuredAt time.Time
}

func newConfirmations() confirmations {
	return confirmations{
		self: max(rand.Uint32(), 1), started: time.Now(), origins: map[uint32]origin{}, roundTrips: map[string]roundTrip{},
	}
}

// own returns the confirmation that this node received at the time.
func (c *confirmations) own(at time.Time) Confirmation {
	return Confirmation{Origin: c.self, At: at.Sub(c.started)}
}

// receipt is how an update was received.
type receipt struct {
	// from is the sender's address, and fromSubscriber is set if it is subscribed to this node.
	from           string
	fromSubscriber bool
	// asked is when the subscription was sent that the update replies to; the zero time if the
	// update was pushed.
	asked, received time.Time
}

// sentAfter is a time after which the update was sent, as far as it is known: when the subscription
// was sent, or the time of receipt less the usual round trip.
func (r receipt) sentAfter(roundTrip time.Duration) time.Time {
	if !r.asked.IsZero() {
		return r.asked
	}
	return r.received.Add(-roundTrip)
}

// confirmedAsOf returns the time as of which the update shows that the store confirmed the state,
// and the confirmation to pass on. It reports false if the update shows nothing new.
func (c *confirmations) confirmedAsOf(update Update, by receipt) (time.Time, Confirmation, bool) {
	c.prune(by.received)
	confirmation := update.Confirmation
	switch confirmation.Origin {
	case 0:
		// The confirmation of a build that doesn't name it may be this node's own. It goes round
		// at once between two nodes; in longer cycles the round trip, which counts the latency to
		// this node and another one, makes its age grow.
		at := by.sentAfter(c.roundTrips[by.from].duration).Add(-update.Age)
		return at, c.own(at), !by.fromSubscriber
	case c.self:
		return time.Time{}, confirmation, false
	}
	known, exists := c.origins[confirmation.Origin]
	isNew := !exists || confirmation.At > known.newest
	known.newest, known.receivedAt = max(known.newest, confirmation.At), by.received
	if !by.asked.IsZero() {
		known.bound(by.asked.Add(-update.Age-confirmation.At), by)
	}
	c.origins[confirmation.Origin] = known
	at := by.received.Add(-update.Age)
	if !known.zero.IsZero() {
		at = earlier(at, known.zero.Add(confirmation.At))
	}
	return at, confirmation, isNew
}

// bound takes over a lower bound of the zero of the origin's clock if it is closer than the known
// one, or if that one is so old that the clocks may have drifted apart.
func (o *origin) bound(zero time.Time, by receipt) {
	o.bounds++
	if zero.After(o.zero) || by.received.Sub(o.zeroAt) > subscriptionTTL {
		o.zero, o.zeroAt, o.roundTrip = zero, by.received, by.received.Sub(by.asked)
	}
}

// looselyBound reports whether the clock of the origin should be bounded again soon.
func (c *confirmations) looselyBound(identity uint32, maxRoundTrip time.Duration) bool {
	known, exists := c.origins[identity]
	return exists && known.bounds < maxEarlyBounds && known.roundTrip > maxRoundTrip
}

// prune forgets the origins of which nothing was received for originMemory.
func (c *confirmations) prune(now time.Time) {
	if now.Sub(c.prunedAt) < originMemory {
		return
	}
	c.prunedAt = now
	maps.DeleteFunc(c.origins, func(_ uint32, known origin) bool { return now.Sub(known.receivedAt) > originMemory })
	maps.DeleteFunc(c.roundTrips, func(_ string, last roundTrip) bool { return now.Sub(last.measuredAt) > originMemory })
}

// noteRoundTrip records how long the reply to a subscription took.
func (m *Mirror) noteRoundTrip(node string, asked, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.confirmations.roundTrips[node] = roundTrip{duration: now.Sub(asked), measuredAt: now}
}

// adoptConfirmation takes over the time as of which an update shows that the store confirmed the
// state, if that is later than what was known. It must be called with the lock held.
func (m *Mirror) adoptConfirmation(update Update, by receipt) {
	entry, subscribed := m.subscribers[by.from]
	by.fromSubscriber = subscribed && by.received.Sub(entry.subscribedAt) <= subscriptionTTL
	at, confirmation, isNew := m.confirmations.confirmedAsOf(update, by)
	if !isNew {
		return
	}
	m.confirmRecords(at, by.received)
	if at.After(m.relayConfirmedAt) {
		m.relayConfirmedAt, m.relayConfirmation = at, confirmation
	}
}

// confirmation identifies the last confirmation of this node's state; the zero value if there was
// none. It must be called with the lock held.
func (m *Mirror) confirmation() Confirmation {
	if m.confirmedAsOf().IsZero() {
		return Confirmation{}
	}
	if m.relayConfirmedAt.After(m.confirmedAt) {
		return m.relayConfirmation
	}
	return m.confirmations.own(m.confirmedAt)
}
