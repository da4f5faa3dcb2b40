// Package bytebudget limits the bytes that a process holds for others while it passes them on.
package bytebudget

import (
	"maps"
	"sync"
)

// Kind is what bytes are held for.
type Kind string

// The kinds.
const (
	// Requests: bodies of requests. A body without room is refused.
	Requests Kind = "requests"
	// ReadAhead: responses that are read before they are passed on. One without room is passed on at once.
	ReadAhead Kind = "read_ahead"
	// Events: events of streams that are not complete or not passed on yet. The largest gives way to others.
	Events Kind = "events"
	// Frames: of other nodes. One without room ends its connection.
	Frames Kind = "frames"
)

// Kinds are all kinds.
var Kinds = []Kind{Requests, ReadAhead, Events, Frames}

const (
	// maxStepBytes is the granularity of reservations. An account up to this size is not counted, so that
	// small responses and requests need no lock and always have room.
	maxStepBytes = 8 << 10
	// minSteps is the number of steps of a limit that is lower than the usual ones.
	minSteps = 64
	// yieldingSteps is the size in steps from which an account gives way to a body of any size.
	yieldingSteps = 8
)

// Shares of the limit.
const (
	// RetainedShare is the share up to which requests and responses that do not give way, and frames, are held.
	// Frames may use the rest as well.
	RetainedShare = 0.75
	// eventExcess and bodyExcess are the shares by which the limit may be exceeded until what gives way is
	// released. What has no end is broken before a body is refused.
	eventExcess, bodyExcess = 0.125, 0.25
	// readAheadShare is the share that responses may use that are read ahead, while all that does not give way
	// uses no more than readAheadUpTo.
	readAheadShare, readAheadUpTo = 0.25, 0.5
)

// Config of a Budget.
type Config struct {
	// Limit in bytes.
	Limit int64
	// OnShort is called for each account that found no room or had to give way; may be nil. It must not
	// block.
	OnShort func(Kind)
}

// Budget limits the bytes of all its accounts together. A nil Budget has no limit. It is safe for concurrent
// use.
type Budget struct {
	limit, step int64
	onShort     func(Kind)

	mutex sync.Mutex
	// used bytes of all accounts; yielding: those of accounts that were told to give way.
	used, yielding int64
	byKind         map[Kind]int64
	// breakable are the accounts that can give way and have reserved bytes.
	breakable map[*Account]struct{}
}

// New returns a budget.
func New(config Config) *Budget {
	if config.OnShort == nil {
		config.OnShort = func(Kind) {}
	}
	return &Budget{
		limit: config.Limit, step: max(min(maxStepBytes, config.Limit/minSteps), 1), onShort: config.OnShort,
		byKind: map[Kind]int64{}, breakable: map[*Account]struct{}{},
	}
}

// Used returns the reserved bytes by kind.
func (b *Budget) Used() map[Kind]int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return maps.Clone(b.byKind)
}

// Account is the bytes that are held for one request or response. Only one goroutine may use it. A nil Account
// has no limit.
type Account struct {
	budget *Budget
	kind   Kind
	// giveWay is called, from another goroutine, to end what the account is held for.
	giveWay func()

	// The lock of the budget protects the following; the account's goroutine may read reserved without it.
	reserved int64
	// pinned: the account can't give way now. gaveWay: it was told to.
	pinned, gaveWay bool
}

// Open returns an account without bytes, which is to be closed. giveWay is called at most once, from another
// goroutine, if the bytes must be released early: the account's user is to close it soon then. It is nil for
// kinds that don't give way.
func (b *Budget) Open(kind Kind, giveWay func()) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, kind: kind, giveWay: giveWay}
}

// Resize changes the number of bytes that are held. It reports false, and changes nothing, if there is no room or the
// account has to give way.
func (a *Account) Resize(bytes int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	size := b.reservation(bytes)
	if size == a.reserved {
		return true
	}
	victims, granted := b.resize(a, size)
	for _, victim := range victims {
		b.onShort(victim.kind)
		victim.giveWay()
	}
	if !granted {
		b.onShort(a.kind)
	}
	return granted
}

// Pin prevents the account from being told to give way, while it could not do so.
func (a *Account) Pin() { a.setPinned(true) }

// Unpin ends Pin.
func (a *Account) Unpin() { a.setPinned(false) }

func (a *Account) setPinned(pinned bool) {
	if a == nil || a.reserved == 0 {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.pinned = pinned
}

// Close releases all bytes.
func (a *Account) Close() {
	if a == nil || a.reserved == 0 {
		return
	}
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.gaveWay {
		b.yielding -= a.reserved
	}
	b.set(a, 0)
}

// reservation returns the bytes that are reserved for an account that holds so many.
func (b *Budget) reservation(bytes int64) int64 {
	if bytes <= b.step {
		return 0
	}
	return (bytes + b.step - 1) / b.step * b.step
}

// resize returns the accounts that have to give way, and whether the account got its new size.
func (b *Budget) resize(a *Account, size int64) (victims []*Account, granted bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case a.gaveWay:
		return nil, false
	case size > a.reserved && !b.mayGrow(a.kind, size-a.reserved):
		return nil, false
	}
	for size > a.reserved && b.used-b.yielding+size-a.reserved > b.limit {
		victim := b.largest()
		if victim == nil || victim == a || !mustYieldTo(victim, a, size, b.step) {
			return victims, false
		}
		victim.gaveWay = true
		b.yielding += victim.reserved
		victims = append(victims, victim)
	}
	if size > a.reserved && float64(b.used+size-a.reserved) > (1+excess(a.kind))*float64(b.limit) {
		return victims, false
	}
	b.set(a, size)
	return victims, true
}

// mayGrow reports whether the share of a kind has room.
func (b *Budget) mayGrow(kind Kind, bytes int64) bool {
	if kind == Events || kind == Frames {
		return true
	}
	retained := b.used - b.byKind[Events]
	if float64(retained+bytes) > RetainedShare*float64(b.limit) {
		return false
	}
	if kind != ReadAhead {
		return true
	}
	return float64(b.byKind[ReadAhead]+bytes) <= readAheadShare*float64(b.limit) &&
		float64(retained+bytes) <= readAheadUpTo*float64(b.limit) && b.used+bytes <= b.limit
}

// excess returns the share by which a kind may exceed the limit for a moment.
func excess(kind Kind) float64 {
	if kind == Events {
		return eventExcess
	}
	return bodyExcess
}

// largest returns the largest account that can give way; nil if there is none.
func (b *Budget) largest() *Account {
	var largest *Account
	for account := range b.breakable {
		if !account.pinned && !account.gaveWay && (largest == nil || account.reserved > largest.reserved) {
			largest = account
		}
	}
	return largest
}

// mustYieldTo reports whether the victim is to give way so that the account gets its new size. A body of a
// request, and a frame, have a length that their sender is held to; an event has none.
func mustYieldTo(victim, account *Account, size, step int64) bool {
	if account.kind == Events {
		return victim.reserved >= size
	}
	return victim.reserved >= yieldingSteps*step
}

// set sets the reserved bytes of an account. The lock must be held.
func (b *Budget) set(a *Account, size int64) {
	b.used += size - a.reserved
	b.byKind[a.kind] += size - a.reserved
	a.reserved = size
	if a.giveWay == nil {
		return
	}
	if size > 0 {
		b.breakable[a] = struct{}{}
	} else {
		delete(b.breakable, a)
	}
}
