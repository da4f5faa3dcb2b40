// Package keywatch notifies a handler of all keys with one prefix in the key-value
// service and of their changes. It reads the prefix, watches it from the revision
// read, and starts again with a read, after a jittered backoff, whenever events may
// have been missed.
package keywatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Handler is notified by a Watcher. Calls never overlap. A handler may call the
// key-value service, but not the watcher's Start and Stop.
type Handler interface {
	// Snapshot is called with all keys that have the prefix at one revision.
	Snapshot(snapshot outside.RangeResult)
	// Changes is called with the changes since the snapshot, in order of
	// revision.
	Changes(events []outside.WatchEvent)
	// Interrupted is called when the watch or a read failed: changes may be missed
	// until the next Snapshot.
	Interrupted(err error)
}

// Options configure a Watcher.
type Options struct {
	// Prefix of the keys that are read and watched.
	Prefix string
	// Timeout limits one read of the prefix.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the backoff before a failed read is repeated.
	// It doubles with each failure, and the pause is drawn at random from its upper
	// half.
	MinBackoff, MaxBackoff time.Duration
	// RecoveryJitter is the maximum random pause before the read that follows a
	// lost watch, so that many nodes do not read at once.
	RecoveryJitter time.Duration
	// ResyncInterval is the mean time between reads while the watch is not
	// interrupted; zero disables them.
	ResyncInterval time.Duration
}

// DefaultOptions returns the options used in production, for a prefix.
func DefaultOptions(prefix string) Options {
	return Options{
		Prefix:         prefix,
		Timeout:        3 * time.Second,
		MinBackoff:     500 * time.Millisecond,
		MaxBackoff:     15 * time.Second,
		RecoveryJitter: 2 * time.Second,
		ResyncInterval: 10 * time.Minute,
	}
}

// Watcher reads and watches one prefix.
type Watcher struct {
	service outside.KeyValueService
	clock   clock.Clock
	options Options
	handler Handler

	// deliveryMutex serialises the calls to the handler.
	deliveryMutex sync.Mutex

	mutex  sync.Mutex
	random *rand.Rand
	// generation distinguishes the current read and watch from earlier ones, whose
	// results are discarded.
	generation uint64
	running    bool
	backoff    time.Duration
	timer      clock.Timer
	stopWatch  func()
}

// New returns a watcher that is not started. The random source must not be shared.
func New(service outside.KeyValueService, c clock.Clock, random *rand.Rand, options Options, handler Handler) *Watcher {
	return &Watcher{service: service, clock: c, random: random, options: options, handler: handler}
}

// Start reads the prefix at once and then watches it. It does nothing if the
// watcher is running.
func (w *Watcher) Start() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.running {
		return
	}
	w.running = true
	w.backoff = w.options.MinBackoff
	w.readLocked()
}

// Stop ends reads and the watch. A call to the handler may still be running when it
// returns.
func (w *Watcher) Stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running = false
	w.cancelLocked()
}

// cancelLocked cancels the current read, watch and timer.
func (w *Watcher) cancelLocked() {
	w.generation++
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	if w.stopWatch != nil {
		w.stopWatch()
		w.stopWatch = nil
	}
}

func (w *Watcher) readLocked() {
	w.cancelLocked()
	generation := w.generation
	w.service.Range(w.options.Prefix, w.options.Timeout, func(snapshot outside.RangeResult, err error) {
		w.handleReadResult(generation, snapshot, err)
	})
}

func (w *Watcher) handleReadResult(generation uint64, snapshot outside.RangeResult, err error) {
	if err != nil {
		w.handleInterruption(generation, err, w.nextBackoff())
		return
	}
	delivered := w.deliver(generation, func() { w.handler.Snapshot(snapshot) })
	if !delivered {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.generation != generation {
		return
	}
	w.backoff = w.options.MinBackoff
	subscription := &subscription{watcher: w, generation: generation}
	w.stopWatch = w.service.Watch(w.options.Prefix, snapshot.Revision, subscription)
	if w.options.ResyncInterval > 0 {
		w.scheduleReadLocked(w.jitteredIntervalLocked(w.options.ResyncInterval))
	}
}

// handleInterruption notifies the handler and schedules the next read.
func (w *Watcher) handleInterruption(generation uint64, err error, pause time.Duration) {
	if !w.deliver(generation, func() { w.handler.Interrupted(err) }) {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.generation != generation {
		return
	}
	w.cancelLocked()
	w.scheduleReadLocked(pause)
}

func (w *Watcher) scheduleReadLocked(pause time.Duration) {
	generation := w.generation
	w.timer = w.clock.AfterFunc(pause, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.generation == generation {
			w.readLocked()
		}
	})
}

// deliver makes a call to the handler and returns true, unless the generation is no
// longer current.
func (w *Watcher) deliver(generation uint64, call func()) bool {
	w.deliveryMutex.Lock()
	defer w.deliveryMutex.Unlock()
	w.mutex.Lock()
	current := w.generation == generation
	w.mutex.Unlock()
	if current {
		call()
	}
	return current
}

// nextBackoff returns the pause after a failed read and doubles the backoff.
func (w *Watcher) nextBackoff() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	pause := w.backoff/2 + w.randomBelowLocked(w.backoff/2)
	w.backoff = min(2*w.backoff, w.options.MaxBackoff)
	return pause
}

// recoveryPause returns the random pause after a lost watch.
func (w *Watcher) recoveryPause() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.randomBelowLocked(w.options.RecoveryJitter)
}

// jitteredIntervalLocked returns a random duration between 50% and 150% of the mean.
func (w *Watcher) jitteredIntervalLocked(mean time.Duration) time.Duration {
	return mean/2 + w.randomBelowLocked(mean)
}

// randomBelowLocked returns a uniformly distributed duration in [0, limit), or zero
// if the limit is not positive.
func (w *Watcher) randomBelowLocked(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(limit)))
}

// subscription handles the watch events of one generation.
type subscription struct {
	watcher    *Watcher
	generation uint64
}

// Events implements outside.WatchHandler.
func (s *subscription) Events(_ int64, events []outside.WatchEvent) {
	s.watcher.deliver(s.generation, func() { s.watcher.handler.Changes(events) })
}

// Lost implements outside.WatchHandler.
func (s *subscription) Lost(err error) {
	s.watcher.handleInterruption(s.generation, err, s.watcher.recoveryPause())
}
