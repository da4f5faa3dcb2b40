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
	// LoadTime from the weight store, WarmTime from a server's memory and
	// DiskTime from its disk; zero if not told.
	LoadTime, WarmTime, DiskTime time.Duration
	// Adapters is how many adapters the model has.
	Adapters int
	// AdapterMB is the memory that one adapter takes, in MB.
	AdapterMB float64
}

// LoadTimeFrom is how long a load takes at a server with a copy in memory or on
// disk, or without any.
func (m *Model) LoadTimeFrom(inMemory, onDisk bool) time.Duration {
	if inMemory && m.WarmTime > 0 {
		return m.WarmTime
	}
	if onDisk && m.DiskTime > 0 {
		return m.DiskTime
	}
	return m.LoadTime
}

// FootprintMB is the memory that the model takes with this many of its adapters, in MB.
func (m *Model) FootprintMB(adapters int) float64 {
	return m.SizeMB + float64(adapters)*m.AdapterMB
}

// Engine describes the model servers of a pool.
type Engine struct {
	// Slots is how many requests a server works on at once.
	Slots int
	// KVTokens is the memory of a server for prompts and answers, in tokens.
	KVTokens int
	// MemoryMB is a server's memory for weights and adapters, in MB.
	MemoryMB float64
	// AdapterSlots is how many adapters a server holds at once.
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows over all servers.
	LoadsPerSecond float64
	Models         map[string]*Model
}

// MaxLoadTime is the longest time that a load from the weight store takes undisturbed.
func (e *Engine) MaxLoadTime() time.Duration {
	longest := time.Duration(0)
	for _, model := range e.Models {
		longest = max(longest, model.LoadTime)
	}
	return longest
}

// Pool is a set of servers that do the same work.
type Pool struct {
	Name string
	// MaxConnections is how many connections a server accepts from all nodes.
	MaxConnections int
	// Engine is nil for servers that hold no models.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what the operators set. It is immutable.
type Configuration struct {
	Version int64
	// Revision of the store at which it was written.
	Revision int64
	Limits   Limits
	Pools    map[string]*Pool
	// Tenants is nil where callers need no key.
	Tenants *tenants.Directory
	ranks   ranking
	routes  routeTable
	count   int
}

// WithTenants sets the tenants; it is called before the configuration is published.
func (c *Configuration) WithTenants(directory *tenants.Directory, routes []*Route) *Configuration {
	c.Tenants, c.ranks = directory, newRanking(routes, directory)
	return c
}

// NewConfiguration indexes the routes.
func NewConfiguration(version, revision int64, routes []*Route, pools []*Pool, limits Limits) *Configuration {
	configuration := &Configuration{
		Version: version, Revision: revision, Limits: limits,
		Pools: make(map[string]*Pool, len(pools)), routes: newRouteTable(routes), count: len(routes),
	}
	for _, pool := range pools {
		configuration.Pools[pool.Name] = pool
	}
	return configuration
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route { return c.routes.match(host, path) }

// RouteCount is the number of routes.
func (c *Configuration) RouteCount() int { return c.count }

// Model returns a pool's model, or nil.
func (c *Configuration) Model(pool, model string) *Model {
	if found := c.Pools[pool]; found != nil && found.Engine != nil {
		return found.Engine.Models[model]
	}
	return nil
}
