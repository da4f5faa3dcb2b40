package fleet

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/tenants"
)

// Model is a base model that a pool's servers can load.
type Model struct {
	Name string
	// SizeMB is the memory that the weights take, in MB.
	SizeMB float64
	// LoadTime is the time of a load from the weight store, WarmTime from a server's memory and
	// DiskTime from its disk; zero if not configured.
	LoadTime, WarmTime, DiskTime time.Duration
	// Adapters is the number of the model's adapters.
	Adapters int
	// AdapterMB is the memory that one adapter takes, in MB.
	AdapterMB float64
}

// LoadTimeFrom is the time that a load takes at a server with a copy of the weights in memory
// or on disk, or with neither.
func (m *Model) LoadTimeFrom(inMemory, onDisk bool) time.Duration {
	if inMemory && m.WarmTime > 0 {
		return m.WarmTime
	}
	if onDisk && m.DiskTime > 0 {
		return m.DiskTime
	}
	return m.LoadTime
}

// FootprintMB is the memory that the model takes with this number of its adapters, in MB.
func (m *Model) FootprintMB(adapters int) float64 {
	return m.SizeMB + float64(adapters)*m.AdapterMB
}

// Engine describes the model servers of a pool.
type Engine struct {
	// Slots is the number of requests that a server runs concurrently.
	Slots int
	// KVTokens is the capacity of a server for prompts and answers, in tokens.
	KVTokens int
	// MemoryMB is a server's memory for weights and adapters, in MB.
	MemoryMB float64
	// AdapterSlots is the number of adapters that a server can hold at a time.
	AdapterSlots int
	// LoadsPerSecond is the rate limit of the weight store over all servers.
	LoadsPerSecond float64
	Models         map[string]*Model
}

// MaxLoadTime is the longest LoadTime of the models: a load from the weight store without
// contention.
func (e *Engine) MaxLoadTime() time.Duration {
	maximum := time.Duration(0)
	for _, model := range e.Models {
		maximum = max(maximum, model.LoadTime)
	}
	return maximum
}

// Pool is a set of interchangeable servers.
type Pool struct {
	Name string
	// MaxConnections is the number of connections that a server accepts from all nodes
	// together.
	MaxConnections int
	// HealthPath is the path at which its servers tell their health and incarnation; empty: unknown.
	HealthPath string
	// Engine is nil for servers that hold no models.
	Engine *Engine
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' settings. It is immutable.
type Configuration struct {
	Version int64
	// Revision is the revision of the store at which it was written.
	Revision int64
	Limits   Limits
	Pools    map[string]*Pool
	// Tenants is nil where callers need no key.
	Tenants    *tenants.Directory
	ranking    ranking
	routes     routeTable
	routeCount int
	// callerTimes is the mean time that callers wait, by pool.
	callerTimes map[string]time.Duration
}

// WithTenants sets the tenants and returns the configuration. It must be called before the
// configuration is published.
func (c *Configuration) WithTenants(directory *tenants.Directory, routes []*Route) *Configuration {
	c.Tenants, c.ranking = directory, newRanking(routes, directory)
	return c
}

// NewConfiguration returns a configuration without tenants.
func NewConfiguration(version, revision int64, routes []*Route, pools []*Pool, limits Limits) *Configuration {
	configuration := &Configuration{
		Version: version, Revision: revision, Limits: limits,
		Pools: make(map[string]*Pool, len(pools)), routes: newRouteTable(routes), routeCount: len(routes), callerTimes: callerTimes(routes),
	}
	for _, pool := range pools {
		configuration.Pools[pool.Name] = pool
	}
	return configuration
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route { return c.routes.match(host, path) }

// callerTimes returns the mean of the routes' CallerTime, by pool.
func callerTimes(routes []*Route) map[string]time.Duration {
	sums, counts := map[string]time.Duration{}, map[string]int{}
	for _, route := range routes {
		for _, target := range route.Targets {
			sums[target.Pool] += route.CallerTime()
			counts[target.Pool]++
		}
	}
	for pool, count := range counts {
		sums[pool] /= time.Duration(count)
	}
	return sums
}

// CallerTime returns how long callers wait for a response of a pool, on average over the routes that lead to
// it; zero if none does.
func (c *Configuration) CallerTime(pool string) time.Duration { return c.callerTimes[pool] }

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.routeCount }

// Model returns a pool's model, or nil.
func (c *Configuration) Model(pool, model string) *Model {
	if found := c.Pools[pool]; found != nil && found.Engine != nil {
		return found.Engine.Models[model]
	}
	return nil
}
