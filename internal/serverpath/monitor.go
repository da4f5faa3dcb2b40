// Package serverpath keeps track of whether this node reaches the servers by its own path. A node may
// be partitioned from servers that other nodes reach.
package serverpath

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// minUnreached is the number of a pool's servers that must be unreached, with none reached
	// meanwhile, for the pool to be unreached; fewer if the pool is smaller. One server may have
	// crashed.
	minUnreached = 2
	// failureTTL is how long a failed connection attempt counts.
	failureTTL = 5 * time.Second
)

// Config of a Monitor.
type Config struct {
	View *fleet.View
	// IsOrderHolder reports whether this node orders servers to load models, for the log.
	IsOrderHolder func() bool
	Logger        zerolog.Logger
}

// Monitor tracks by new connections which servers this node reaches. It is safe for concurrent use.
type Monitor struct {
	config Config
	// active is set while any failure is kept, so that successes cost nothing otherwise.
	active atomic.Bool

	mutex sync.Mutex
	pools map[string]*poolState
}

// poolState is what this node knows of its path to the servers of a pool.
type poolState struct {
	// failed is when connecting to servers last failed, by address, since any was reached.
	failed map[string]time.Time
	// unreachedSince is when the pool became unreached; zero if it is not.
	unreachedSince time.Time
}

// NewMonitor returns a monitor that has observed nothing.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, pools: map[string]*poolState{}}
}

// Reached records that a connection to the server at an address was opened.
func (m *Monitor) Reached(address string) {
	if !m.active.Load() {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name, _ := m.poolOf(address)
	pool := m.pools[name]
	if pool == nil {
		return
	}
	delete(m.pools, name)
	m.active.Store(len(m.pools) > 0)
	if !pool.unreachedSince.IsZero() {
		m.config.Logger.Info().Str("pool", name).Dur("lasted_ms", time.Since(pool.unreachedSince)).Msg("servers of pool reached again")
	}
}

// Failed records that connecting to the server at an address failed.
func (m *Monitor) Failed(address string, cause error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name, servers := m.poolOf(address)
	if servers == 0 {
		return
	}
	pool := m.pools[name]
	if pool == nil {
		pool = &poolState{failed: map[string]time.Time{}}
		m.pools[name] = pool
		m.active.Store(true)
	}
	now := time.Now()
	for other, at := range pool.failed {
		if now.Sub(at) >= failureTTL {
			delete(pool.failed, other)
		}
	}
	pool.failed[address] = now
	if pool.unreachedSince.IsZero() && len(pool.failed) >= min(minUnreached, servers) {
		pool.unreachedSince = now
		m.config.Logger.Warn().Str("pool", name).Int("servers", servers).Int("failed", len(pool.failed)).
			Bool("order_holder", m.config.IsOrderHolder()).Err(cause).Msg("no server of pool reached")
	}
}

// Unreached returns the number of pools of which this node reaches no server.
func (m *Monitor) Unreached() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := 0
	for _, pool := range m.pools {
		if !pool.unreachedSince.IsZero() {
			count++
		}
	}
	return count
}

// poolOf returns the pool of the server at an address, and the number of its servers; 0 if no server
// has the address.
func (m *Monitor) poolOf(address string) (name string, servers int) {
	snapshot := m.config.View.Load()
	for _, server := range snapshot.Servers {
		if server.Address == address {
			return server.Pool, len(snapshot.Pool(server.Pool))
		}
	}
	return "", 0
}
