// Package machinelist polls the platform's machine list, caches the newest listing
// on a node and notifies the node's other components of changes.
package machinelist

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Config configures a Follower.
type Config struct {
	Clock   clock.Clock
	Service outside.MachineListService
	// Period between reads.
	Period time.Duration
	// Timeout of one read.
	Timeout time.Duration
	Logger  zerolog.Logger
}

// Follower reads the machine list every period. During outages it keeps the newest
// listing.
type Follower struct {
	config Config

	mutex    sync.Mutex
	listing  outside.MachineListing
	byServer map[outside.ServerID]outside.Machine
	readAt   time.Time
	// readsInFlight counts the reads that have not returned.
	readsInFlight int
	subscribers   []func(outside.MachineListing)

	stopRepeat func()
}

// NewFollower returns a follower; Start starts reading.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, byServer: map[outside.ServerID]outside.Machine{}}
}

// Subscribe registers a function that is called after each change of the list. It
// must be called before Start.
func (f *Follower) Subscribe(function func(outside.MachineListing)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.subscribers = append(f.subscribers, function)
}

// Start reads the list at once and then every period.
func (f *Follower) Start() {
	f.read()
	f.stopRepeat = clock.Repeat(f.config.Clock, f.config.Period, f.read)
}

// Stop stops the periodic reads.
func (f *Follower) Stop() {
	if f.stopRepeat != nil {
		f.stopRepeat()
	}
}

// Listing returns the newest listing and the start time of the latest successful
// read; a zero time means that no read has succeeded yet. The listing must not be
// modified.
func (f *Follower) Listing() (outside.MachineListing, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listing, f.readAt
}

// Machine returns a machine of the newest listing, or false if it has no such
// server.
func (f *Follower) Machine(server outside.ServerID) (outside.Machine, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	machine, known := f.byServer[server]
	return machine, known
}

// maxReadsInFlight limits concurrent reads. It is above 1 because a lost reply must
// not delay the next read for the whole timeout.
const maxReadsInFlight = 3

// read starts a read unless maxReadsInFlight is reached.
func (f *Follower) read() {
	f.mutex.Lock()
	if f.readsInFlight >= maxReadsInFlight {
		f.mutex.Unlock()
		return
	}
	f.readsInFlight++
	since := f.listing.Version
	f.mutex.Unlock()
	startedAt := f.config.Clock.Now()
	f.config.Service.List(since, f.config.Timeout, func(listing *outside.MachineListing, err error) {
		f.handleReply(listing, err, startedAt)
	})
}

// handleReply ends a read that was started at startedAt. A nil listing means that
// the list has not changed.
func (f *Follower) handleReply(listing *outside.MachineListing, err error, startedAt time.Time) {
	f.mutex.Lock()
	f.readsInFlight--
	if err != nil {
		f.mutex.Unlock()
		f.config.Logger.Warn().Err(err).Str("reason", "machine list unavailable").Msg("machine list not read")
		return
	}
	if startedAt.After(f.readAt) {
		f.readAt = startedAt
	}
	if listing == nil || listing.Version < f.listing.Version {
		f.mutex.Unlock()
		return
	}
	f.replace(*listing)
	subscribers := f.subscribers
	f.mutex.Unlock()
	for _, subscriber := range subscribers {
		subscriber(*listing)
	}
}

func (f *Follower) replace(listing outside.MachineListing) {
	f.listing = listing
	f.byServer = make(map[outside.ServerID]outside.Machine, len(listing.Machines))
	for _, machine := range listing.Machines {
		f.byServer[machine.Server] = machine
	}
}
