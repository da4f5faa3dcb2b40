package weights

import (
	"math"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Config of a Store.
type Config struct {
	// LoadsPerSecond may begin; the rest wait in order of arrival.
	LoadsPerSecond float64
	// Burst is how many loads may begin at once after a quiet time; at least 1.
	Burst int
	// FullSpeedLoads is how many loads at once run at full speed.
	FullSpeedLoads int
	// BytesPerSecond of one load at full speed.
	BytesPerSecond float64
}

// DefaultBytesPerSecond is one load's full speed: 10 Gbit/s Ethernet, which is
// 1.25e9 bytes a second before overheads.
const DefaultBytesPerSecond = 1.25e9

// Store is the model of the weight store. Safe for concurrent use.
type Store struct {
	clock  clock.Clock
	config Config
	link   *Link

	mutex sync.Mutex
	// tokens of the bucket at time refilled.
	tokens   float64
	refilled time.Time
	// waiting fetches in order of arrival; cancelled ones stay until passed.
	waiting []*storeTransfer
	timer   clock.Timer
	armed   uint64
	outage  bool
}

// NewStore returns a store with a full bucket.
func NewStore(c clock.Clock, config Config) *Store {
	if config.BytesPerSecond <= 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	if config.LoadsPerSecond <= 0 {
		config.LoadsPerSecond = 1
	}
	config.Burst = max(1, config.Burst)
	config.FullSpeedLoads = max(1, config.FullSpeedLoads)
	return &Store{
		clock: c, config: config,
		link:   NewLink(c, config.BytesPerSecond, config.FullSpeedLoads),
		tokens: float64(config.Burst), refilled: c.Now(),
	}
}

// storeTransfer is one fetch. Its fields are guarded by the store's mutex.
type storeTransfer struct {
	store     *Store
	bytes     int64
	done      func(error)
	transfer  Transfer
	cancelled bool
}

// Fetch queues a fetch; it implements Fetcher.
func (s *Store) Fetch(bytes int64, done func(error)) Transfer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	transfer := &storeTransfer{store: s, bytes: bytes, done: done}
	if s.outage {
		s.clock.AfterFunc(0, func() { transfer.finish(ErrOutage) })
		return transfer
	}
	s.waiting = append(s.waiting, transfer)
	s.admit()
	return transfer
}

// admit begins the waiting fetches that the bucket allows, and arms the timer
// for the next.
func (s *Store) admit() {
	s.refill()
	for len(s.waiting) > 0 {
		next := s.waiting[0]
		if !next.cancelled && s.tokens < 1 {
			break
		}
		s.waiting[0] = nil
		s.waiting = s.waiting[1:]
		if next.cancelled {
			continue
		}
		s.tokens--
		next.transfer = s.link.Fetch(next.bytes, next.finish)
	}
	s.arm()
}

func (s *Store) refill() {
	now := s.clock.Now()
	elapsed := now.Sub(s.refilled).Seconds()
	s.refilled = now
	if elapsed > 0 {
		s.tokens = min(float64(s.config.Burst), s.tokens+elapsed*s.config.LoadsPerSecond)
	}
	// A token is whole when it lacks less than what a nanosecond adds.
	if whole := math.Ceil(s.tokens); whole-s.tokens < s.config.LoadsPerSecond*1e-9 {
		s.tokens = whole
	}
}

func (s *Store) arm() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.armed++
	if len(s.waiting) == 0 {
		return
	}
	delay := time.Duration((1-s.tokens)/s.config.LoadsPerSecond*float64(time.Second)) + 1
	armed := s.armed
	s.timer = s.clock.AfterFunc(delay, func() { s.fire(armed) })
}

func (s *Store) fire(armed uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if armed == s.armed {
		s.admit()
	}
}

// SetSlowDown makes all loads slower by a factor; 1 is full speed.
func (s *Store) SetSlowDown(factor float64) { s.link.SetSlowDown(factor) }

// SetOutage begins or ends an outage. When it begins, all fetches, running and
// waiting, end with ErrOutage; while it lasts, new ones do at once.
func (s *Store) SetOutage(outage bool) {
	s.mutex.Lock()
	began := outage && !s.outage
	s.outage = outage
	var failed []*storeTransfer
	if began {
		failed = s.waiting
		s.waiting = nil
		s.arm()
	}
	s.mutex.Unlock()
	if !began {
		return
	}
	s.link.FailAll(ErrOutage)
	for _, transfer := range failed {
		transfer.finish(ErrOutage)
	}
}

// Outage reports whether the store is down.
func (s *Store) Outage() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outage
}

// Waiting returns how many fetches wait to begin.
func (s *Store) Waiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waiting := 0
	for _, transfer := range s.waiting {
		if !transfer.cancelled {
			waiting++
		}
	}
	return waiting
}

// Status reads the store's load.
func (s *Store) Status() outside.WeightStoreStatus {
	return outside.WeightStoreStatus{
		Active:         s.link.Active(),
		FullSpeedLoads: s.config.FullSpeedLoads,
		LoadsPerSecond: s.config.LoadsPerSecond,
		SlowDown:       s.link.SlowDown(),
	}
}

// finish ends the fetch unless it was cancelled.
func (t *storeTransfer) finish(err error) {
	t.store.mutex.Lock()
	done := t.done
	t.done = nil
	t.store.mutex.Unlock()
	if done != nil {
		done(err)
	}
}

// Progress implements Transfer.
func (t *storeTransfer) Progress() float64 {
	t.store.mutex.Lock()
	transfer := t.transfer
	t.store.mutex.Unlock()
	if transfer == nil {
		return 0
	}
	return transfer.Progress()
}

// Cancel implements Transfer.
func (t *storeTransfer) Cancel() {
	t.store.mutex.Lock()
	t.cancelled = true
	t.done = nil
	transfer := t.transfer
	t.store.mutex.Unlock()
	if transfer != nil {
		transfer.Cancel()
	}
}
