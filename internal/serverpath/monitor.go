// Package serverpath connects this node to servers by its own path or, while it is partitioned from
// servers that other nodes reach, through one of those.
//
// Monitor tracks which servers this node reaches, Dialer chooses the path of a new connection,
// Intermediaries is the choice among other nodes, and Carrier serves connections for them.
package serverpath

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// minLost is the number of a pool's servers that other nodes reach and this one does not,
	// with none reached meanwhile, from which all of the pool count as lost; fewer if the pool is
	// smaller.
	minLost = 2
	// probePeriod is the mean time between probes of lost paths, and probeTimeout the limit of one.
	probePeriod, probeTimeout = 400 * time.Millisecond, 300 * time.Millisecond
	// probesPerPool is the number of servers that are probed at a time in each pool.
	probesPerPool = 2
	// settleTime is how long paths must have been lost to count in LostShare: a packet loss is over
	// by then.
	settleTime = 800 * time.Millisecond
	// indexPeriod is the minimum time between two indexes of the servers by address.
	indexPeriod = time.Second
)

// Config of a Monitor.
type Config struct {
	View *fleet.View
	// Probe connects to a server by this node's own path.
	Probe func(ctx context.Context, address string) error
	// IsOrderHolder reports whether this node orders servers to load models, for the log.
	IsOrderHolder func() bool
	Logger        zerolog.Logger
}

// Monitor tracks by new connections which servers this node reaches by its own path. It is safe for
// concurrent use.
type Monitor struct {
	config Config
	// OnChange is called when paths were lost or came back; nil: not called. It is set before use.
	OnChange func()
	// active is set while any failure is kept, so that the others cost nothing.
	active atomic.Bool
	wake   chan struct{}

	mutex sync.Mutex
	pools map[string]*poolPaths
	// byAddress are the servers of the snapshot that was indexed last, at indexedAt.
	byAddress map[string]*fleet.Server
	indexed   *fleet.Snapshot
	indexedAt time.Time
}

// poolPaths is the state of the paths to the servers of a pool.
type poolPaths struct {
	// failed are the addresses to which connecting failed since any of the pool was reached.
	failed map[string]bool
	// lost are the addresses that another node reached while this one did not; all is set once
	// that is assumed of the whole pool.
	lost map[string]bool
	all  bool
	// since is when the first path was lost.
	since time.Time
}

// NewMonitor returns a monitor that has observed nothing.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, wake: make(chan struct{}, 1), pools: map[string]*poolPaths{}}
}

// Reached records that a connection to the server at an address was opened by this node's own path.
// If that had been lost, the pool's other paths are assumed to be back as well.
func (m *Monitor) Reached(address string) {
	if !m.active.Load() {
		return
	}
	if m.reached(address) && m.OnChange != nil {
		m.OnChange()
	}
}

// reached applies Reached and reports whether a lost path came back.
func (m *Monitor) reached(address string) (restored bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name, paths := m.pathsOf(address)
	if paths == nil {
		return false
	}
	clear(paths.failed)
	if paths.all || paths.lost[address] {
		m.config.Logger.Info().Str("pool", name).Int("servers", m.countLost(name, paths)).
			Dur("lasted_ms", time.Since(paths.since)).Msg("path to servers restored")
		clear(paths.lost)
		paths.all, restored = false, true
	}
	if len(paths.lost) == 0 {
		delete(m.pools, name)
		m.active.Store(len(m.pools) > 0)
	}
	return restored
}

// Failed records that connecting to the server at an address by this node's own path failed.
func (m *Monitor) Failed(address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	server := m.serverAt(address)
	if server == nil {
		return
	}
	paths := m.pools[server.Pool]
	if paths == nil {
		paths = &poolPaths{failed: map[string]bool{}, lost: map[string]bool{}}
		m.pools[server.Pool] = paths
		m.active.Store(true)
	}
	paths.failed[address] = true
}

// FoundThrough records that another node reached the server at an address, to which connecting by
// this node's own path has failed.
func (m *Monitor) FoundThrough(node, address string) {
	if m.foundThrough(node, address) && m.OnChange != nil {
		m.OnChange()
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// foundThrough applies FoundThrough and reports whether a path was lost by it.
func (m *Monitor) foundThrough(node, address string) (lost bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name, paths := m.pathsOf(address)
	if paths == nil || !paths.failed[address] || paths.lost[address] {
		return false
	}
	isFirst, wasAll := len(paths.lost) == 0 && !paths.all, paths.all
	if isFirst {
		paths.since = time.Now()
	}
	paths.lost[address] = true
	unreached := 0
	for other := range paths.lost {
		if paths.failed[other] {
			unreached++
		}
	}
	servers := len(m.config.View.Load().Pool(name))
	paths.all = paths.all || unreached >= min(minLost, servers)
	if isFirst || paths.all != wasAll {
		m.config.Logger.Warn().Str("pool", name).Str("server_address", address).Int("servers", servers).Int("lost", m.countLost(name, paths)).
			Str("reached_by", node).Bool("order_holder", m.config.IsOrderHolder()).Msg("path to servers lost")
	}
	return true
}

// Lost reports whether this node's own path to the server at an address is lost.
func (m *Monitor) Lost(address string) bool {
	if !m.active.Load() {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, paths := m.pathsOf(address)
	return paths != nil && (paths.all || paths.lost[address])
}

// AnyLost reports whether the path to any server is lost.
func (m *Monitor) AnyLost() bool {
	if !m.active.Load() {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, paths := range m.pools {
		if paths.all || len(paths.lost) > 0 {
			return true
		}
	}
	return false
}

// LostShare is the share of the servers with models to which the paths have been lost for settleTime, from
// 0 to 1.
func (m *Monitor) LostShare() float64 {
	snapshot := m.config.View.Load()
	if !m.active.Load() || snapshot.Configuration == nil {
		return 0
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lost, servers := 0, 0
	for name, pool := range snapshot.Configuration.Pools {
		if pool.Engine == nil {
			continue
		}
		servers += len(snapshot.Pool(name))
		if paths := m.pools[name]; paths != nil && time.Since(paths.since) >= settleTime {
			lost += m.countLost(name, paths)
		}
	}
	return float64(lost) / float64(max(servers, 1))
}

// CountLost returns the number of servers to which the paths are lost.
func (m *Monitor) CountLost() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lost := 0
	for name, paths := range m.pools {
		lost += m.countLost(name, paths)
	}
	return lost
}

// countLost returns the number of a pool's servers to which the paths are lost. The lock must be held.
func (m *Monitor) countLost(pool string, paths *poolPaths) int {
	if paths.all {
		return len(m.config.View.Load().Pool(pool))
	}
	return len(paths.lost)
}

// Run probes lost paths until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.AnyLost() {
			select {
			case <-ctx.Done():
				return
			case <-m.wake:
			}
		}
		clock.Sleep(ctx, probePeriod/2+rand.N(probePeriod))
		var probes sync.WaitGroup
		for _, address := range m.toProbe() {
			probes.Go(func() { m.probe(ctx, address) })
		}
		probes.Wait()
	}
}

// probe connects to the server at an address by this node's own path.
func (m *Monitor) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if m.config.Probe(ctx, address) == nil {
		m.Reached(address)
	}
}

// toProbe returns addresses to which the paths are lost, a few of each pool, at random. It forgets
// servers that are listed no longer.
func (m *Monitor) toProbe() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var chosen []string
	for name, paths := range m.pools {
		for address := range paths.lost {
			if m.serverAt(address) == nil {
				delete(paths.lost, address)
			}
		}
		var lost []string
		for _, server := range m.config.View.Load().Pool(name) {
			if paths.all || paths.lost[server.Address] {
				lost = append(lost, server.Address)
			}
		}
		if len(lost) == 0 {
			delete(m.pools, name)
			m.active.Store(len(m.pools) > 0)
			continue
		}
		rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		chosen = append(chosen, lost[:min(len(lost), probesPerPool)]...)
	}
	return chosen
}

// pathsOf returns the pool of the server at an address, and the state of its paths; nil if there is
// none. The lock must be held.
func (m *Monitor) pathsOf(address string) (pool string, paths *poolPaths) {
	server := m.serverAt(address)
	if server == nil {
		return "", nil
	}
	return server.Pool, m.pools[server.Pool]
}

// serverAt returns the server at an address; nil if none was listed when the servers were indexed. The
// lock must be held.
func (m *Monitor) serverAt(address string) *fleet.Server {
	snapshot, now := m.config.View.Load(), time.Now()
	if m.indexed != snapshot && now.Sub(m.indexedAt) >= indexPeriod {
		m.indexed, m.indexedAt, m.byAddress = snapshot, now, make(map[string]*fleet.Server, len(snapshot.Servers))
		for _, server := range snapshot.Servers {
			m.byAddress[server.Address] = server
		}
	}
	return m.byAddress[address]
}

// Knows reports whether a server is listed at an address.
func (m *Monitor) Knows(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.serverAt(address) != nil
}
