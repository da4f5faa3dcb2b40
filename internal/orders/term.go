package orders

import (
	"sync"
	"time"
)

// Term is a period during which this node is the holder and may send orders. It is safe for
// concurrent use.
//
// Its lease is measured on the monotonic clock from when a renewal was sent, and is treated as
// over leaseMargin before it expires. MayOrder is checked right before each order. So a
// process that was suspended, or is partitioned from the store, stops sending orders before
// the store expires its lease. A successor waits for the handover period after that.
type Term struct {
	// Token is the fencing token. It is higher than that of each earlier term.
	Token int64
	// revision is the revision of this node's record as holder in the store. It equals the
	// token until the store is restored. The election's lock guards it.
	revision int64
	// lease is the time to live of the lease.
	lease time.Duration
	// NotBefore is when the predecessor's handover period ends.
	NotBefore time.Time

	// history holds the orders after which a successor has to wait.
	history *orderHistory
	// firstUntil is set if the store named no earlier holder when the term began: the time until
	// which no orders are sent if there was one all the same.
	firstUntil time.Time

	mutex sync.Mutex
	// predecessor is set once it is known that there was an earlier holder.
	predecessor bool
	validUntil  time.Time
	// active is set while the store names this node as the last active holder.
	active bool
	ended  bool
	done   chan struct{}
}

func newTerm(token int64, notBefore, validUntil time.Time, active bool) *Term {
	return &Term{
		Token: token, revision: token, NotBefore: notBefore, validUntil: validUntil, active: active, done: make(chan struct{}), history: newOrderHistory(),
	}
}

// MayOrder reports whether an order may be sent now.
func (t *Term) MayOrder(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.mayOrder(now)
}

// mayOrder is MayOrder for callers that hold the lock.
func (t *Term) mayOrder(now time.Time) bool {
	return !t.ended && t.active && !now.Before(t.ordersFrom()) && now.Before(t.validUntil)
}

// leaseValid reports whether the term has not ended and its lease is still valid.
func (t *Term) leaseValid(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.ended && now.Before(t.validUntil)
}

// ordersFrom returns the time from which orders may be sent. The lock must be held.
func (t *Term) ordersFrom() time.Time {
	if t.predecessor && t.firstUntil.After(t.NotBefore) {
		return t.firstUntil
	}
	return t.NotBefore
}

// ordersIn returns the time until orders may be sent, as far as known.
func (t *Term) ordersIn(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.ordersFrom().Sub(now), 0)
}

// beginOrder records that an order is being sent to the server, and returns false if none may
// be sent now. endOrder must be called once the order was answered or is not waited for any
// more.
func (t *Term) beginOrder(server string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.mayOrder(now) || !t.history.mayOrder(server, now) {
		return false
	}
	t.history.begin(server)
	return true
}

// notePredecessor records that an earlier holder has sent orders. If the store named none when the
// term began, a restore has lost its record: it may send more until its lease ends, and the handover
// period follows. It reports whether this was not known before.
func (t *Term) notePredecessor() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.firstUntil.IsZero() || t.predecessor {
		return false
	}
	t.predecessor = true
	return true
}

// endOrder records the end of an order that beginOrder allowed.
func (t *Term) endOrder(server string) { t.history.end(server, time.Now()) }

// cancelOrder records that an order that beginOrder allowed was not sent.
func (t *Term) cancelOrder(server string) { t.history.cancel(server) }

// needsActivation reports whether the time to send orders has come and the store doesn't name
// this node as the last active holder yet.
func (t *Term) needsActivation(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.ended && !t.active && !now.Before(t.NotBefore)
}

// activate allows orders, once the store names this node as the last active holder.
func (t *Term) activate() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active = true
}

// deactivate forbids orders until the term is activated again. It reports whether the term was
// active.
func (t *Term) deactivate() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	wasActive := t.active
	t.active = false
	return wasActive
}

// isActive reports whether the store names this node as the last active holder.
func (t *Term) isActive() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.active
}

// Done returns a channel that is closed when the term has ended.
func (t *Term) Done() <-chan struct{} { return t.done }

// renew extends the validity of the lease; it never shortens it.
func (t *Term) renew(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if until.After(t.validUntil) {
		t.validUntil = until
	}
}

// end ends the term. It may be called more than once.
func (t *Term) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.ended {
		t.ended = true
		close(t.done)
	}
}
