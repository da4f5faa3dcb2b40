// Package keywatch keeps a reader informed of all keys with one prefix in the
// key-value service: it reads the prefix, watches it from the revision read,
// and starts over, with jittered backoff, whenever events may have been missed.
package keywatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Handler receives what the watcher learns. Calls never overlap. A handler may
// call the key-value service, but not the watcher's Start and Stop.
type Handler interface {
	// Snapshot gives every key with the prefix at one revision.
	Snapshot(reading outside.RangeResult)
	// Changes gives what changed since the reading, in order of revision.
	Changes(events []outside.WatchEvent)
	// Interrupted tells that changes may go unnoticed until the next Reading.
	Interrupted(err error)
}

// Options of a Watcher.
type Options struct {
	Prefix string
	// Timeout of one reading.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed reading is
	// repeated; the pause doubles and is drawn at random from its upper half.
	MinBackoff, MaxBackoff time.Duration
	// RecoverySpread is the span over which readings after a lost watch are
	// spread, so that many nodes do not read at once.
	RecoverySpread time.Duration
	// ResyncInterval is the mean time between readings of an undisturbed watch;
	// zero for none.
	ResyncInterval time.Duration
}

// DefaultOptions returns the options used in a node.
func DefaultOptions(prefix string) Options {
	return Options{
		Prefix:         prefix,
		Timeout:        3 * time.Second,
		MinBackoff:     500 * time.Millisecond,
		MaxBackoff:     15 * time.Second,
		RecoverySpread: 2 * time.Second,
		ResyncInterval: 10 * time.Minute,
	}
}

// Watcher reads and watches one prefix.
type Watcher struct {
	service outside.KeyValueService
	clock   clock.Clock
	options Options
	handler Handler

	// delivery serialises the calls to the handler.
	delivery sync.Mutex

	mutex  sync.Mutex
	random *rand.Rand
	// generation tells the present reading and watch from earlier ones.
	generation uint64
	running    bool
	backoff    time.Duration
	timer      clock.Timer
	stopWatch  func()
}

// New returns a watcher that is not started. The source of randomness is used
// by the watcher alone.
func New(service outside.KeyValueService, c clock.Clock, random *rand.Rand, options Options, handler Handler) *Watcher {
	return &Watcher{service: service, clock: c, random: random, options: options, handler: handler}
}

// Start begins with a reading at once.
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

// Stop ends reading and watching. A call to the handler may still be running.
func (w *Watcher) Stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running = false
	w.endLocked()
}

// endLocked makes all that is under way obsolete.
func (w *Watcher) endLocked() {
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
	w.endLocked()
	generation := w.generation
	w.service.Range(w.options.Prefix, w.options.Timeout, func(reading outside.RangeResult, err error) {
		w.readDone(generation, reading, err)
	})
}

func (w *Watcher) readDone(generation uint64, reading outside.RangeResult, err error) {
	if err != nil {
		w.interrupted(generation, err, w.nextBackoff())
		return
	}
	delivered := w.deliver(generation, func() { w.handler.Snapshot(reading) })
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
	w.stopWatch = w.service.Watch(w.options.Prefix, reading.Revision, subscription)
	if w.options.ResyncInterval > 0 {
		w.readAfterLocked(w.halfToThreeHalves(w.options.ResyncInterval))
	}
}

// interrupted tells the handler and schedules the next reading.
func (w *Watcher) interrupted(generation uint64, err error, pause time.Duration) {
	if !w.deliver(generation, func() { w.handler.Interrupted(err) }) {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.generation != generation {
		return
	}
	w.endLocked()
	w.readAfterLocked(pause)
}

func (w *Watcher) readAfterLocked(pause time.Duration) {
	generation := w.generation
	w.timer = w.clock.AfterFunc(pause, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.generation == generation {
			w.readLocked()
		}
	})
}

// deliver calls the handler unless the generation has passed.
func (w *Watcher) deliver(generation uint64, call func()) bool {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mutex.Lock()
	current := w.generation == generation
	w.mutex.Unlock()
	if current {
		call()
	}
	return current
}

func (w *Watcher) nextBackoff() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	pause := w.backoff/2 + w.drawLocked(w.backoff/2)
	w.backoff = min(2*w.backoff, w.options.MaxBackoff)
	return pause
}

func (w *Watcher) recoveryPause() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.drawLocked(w.options.RecoverySpread)
}

func (w *Watcher) halfToThreeHalves(mean time.Duration) time.Duration {
	return mean/2 + w.drawLocked(mean)
}

func (w *Watcher) drawLocked(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(limit)))
}

// subscription is the watch of one generation.
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
	s.watcher.interrupted(s.generation, err, s.watcher.recoveryPause())
}
