// Package machinelist keeps the newest reading of the platform's machine list
// on a node and tells the other parts of the node when it changes.
package machinelist

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// Config is what a Follower needs.
type Config struct {
	Clock   clock.Clock
	Service outside.MachineListService
	// Period between readings.
	Period time.Duration
	// Timeout of one reading.
	Timeout time.Duration
	Logger  zerolog.Logger
}

// Follower reads the machine list every period and keeps the newest reading
// through outages.
type Follower struct {
	config Config

	mutex    sync.Mutex
	listing  outside.MachineListing
	byServer map[outside.ServerID]outside.Machine
	readAt   time.Time
	// readings under way.
	readings    int
	subscribers []func(outside.MachineListing)

	stopRepeat func()
}

// NewFollower returns a follower; Start makes it read.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, byServer: map[outside.ServerID]outside.Machine{}}
}

// Subscribe calls function after each change of the list. It is called before
// Start.
func (f *Follower) Subscribe(function func(outside.MachineListing)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.subscribers = append(f.subscribers, function)
}

// Start reads at once and then every period.
func (f *Follower) Start() {
	f.read()
	f.stopRepeat = clock.Repeat(f.config.Clock, f.config.Period, f.read)
}

// Stop ends the readings.
func (f *Follower) Stop() {
	if f.stopRepeat != nil {
		f.stopRepeat()
	}
}

// Listing returns the newest reading and when it was confirmed; a zero time
// means that none was made yet. The listing must not be changed.
func (f *Follower) Listing() (outside.MachineListing, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listing, f.readAt
}

// Machine returns a machine of the newest reading.
func (f *Follower) Machine(server outside.ServerID) (outside.Machine, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	machine, known := f.byServer[server]
	return machine, known
}

// maxReadings under way at once: a lost answer must not keep the next reading
// back for its whole timeout.
const maxReadings = 3

func (f *Follower) read() {
	f.mutex.Lock()
	if f.readings >= maxReadings {
		f.mutex.Unlock()
		return
	}
	f.readings++
	since := f.listing.Version
	f.mutex.Unlock()
	startedAt := f.config.Clock.Now()
	f.config.Service.List(since, f.config.Timeout, func(listing *outside.MachineListing, err error) {
		f.received(listing, err, startedAt)
	})
}

func (f *Follower) received(listing *outside.MachineListing, err error, startedAt time.Time) {
	f.mutex.Lock()
	f.readings--
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
