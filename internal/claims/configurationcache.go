package claims

import (
	"errors"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

var errNoSuchShard = errors.New("no such claim shard")

// minReadBackoff is the mean pause before the configurations are read again after the watch was lost
// or a read failed. It doubles with each failed read up to maxReadBackoff, so that in an outage the
// key-value service is not loaded with the reads of all nodes.
const (
	minReadBackoff = 500 * time.Millisecond
	maxReadBackoff = 16 * time.Second
)

// readBackoff returns the mean pause before the next read after a number of failed ones.
func readBackoff(failures int) time.Duration {
	return min(minReadBackoff<<min(failures, 10), maxReadBackoff)
}

// keyValueTimeout is the time limit of one call to the key-value service.
const keyValueTimeout = 2 * time.Second

// configurationCache watches the shards' configurations in the key-value service and caches the
// newest one of each shard, so that claims work during an outage of the service.
type configurationCache struct {
	set *ClaimSet

	mutex  sync.Mutex
	cached []cachedConfiguration
	loaded bool
	// readStartedAt is the start of the latest successful read; zero if there was none.
	readStartedAt time.Time
	stopped       bool
	// failures counts the failed reads since the latest successful one.
	failures  int
	stopWatch func()
}

type cachedConfiguration struct {
	configuration Configuration
	exists        bool
}

func newConfigurationCache(set *ClaimSet, shards int) *configurationCache {
	return &configurationCache{set: set, cached: make([]cachedConfiguration, shards)}
}

func (c *configurationCache) start() { c.read() }

func (c *configurationCache) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	if c.stopWatch != nil {
		c.stopWatch()
	}
}

// get returns a shard's cached configuration, and whether there is one.
func (c *configurationCache) get(shard int) (Configuration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entry := c.cached[shard]
	return entry.configuration, entry.exists
}

// isLoaded reports whether the configurations have been read at least once.
func (c *configurationCache) isLoaded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.loaded
}

// observe caches a configuration read from or committed to the key-value service, if it is newer than
// the cached one, and notifies the shard's acceptor.
func (c *configurationCache) observe(shard int, configuration Configuration) {
	if !c.store(shard, configuration) {
		return
	}
	c.set.acceptors[shard].observeCommitted(configuration.id(shard))
}

// store caches a configuration and reports whether it is newer than the one cached before.
func (c *configurationCache) store(shard int, configuration Configuration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entry := &c.cached[shard]
	if entry.exists && entry.configuration.Epoch >= configuration.Epoch {
		return false
	}
	*entry = cachedConfiguration{configuration: configuration, exists: true}
	return true
}

// read reads all configurations, then watches them for changes. It retries after a backoff.
func (c *configurationCache) read() {
	if c.isStopped() {
		return
	}
	c.readAll(func(revision int64, err error) {
		if err != nil {
			c.scheduleRead()
			return
		}
		c.watch(revision)
	})
}

// refresh reads all configurations once, for a caller that must know whether the watch has not yet
// delivered a change or the change was never committed. A failed read leaves the cache unchanged.
func (c *configurationCache) refresh() {
	c.readAll(func(_ int64, err error) {
		if err != nil {
			c.set.config.Logger.Debug().Err(err).Msg("could not refresh claim configurations")
		}
	})
}

func (c *configurationCache) readAll(done func(revision int64, err error)) {
	startedAt := c.set.config.Clock.Now()
	c.set.config.KeyValues.Range(configurationPrefix, keyValueTimeout, func(result outside.RangeResult, err error) {
		if err == nil {
			for _, pair := range result.KeyValues {
				c.observePair(pair)
			}
			c.recordRead(startedAt)
		}
		done(result.Revision, err)
	})
}

// lastRead returns the start of the latest successful read; zero if there was none.
func (c *configurationCache) lastRead() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readStartedAt
}

// scheduleRead schedules a read after a backoff.
func (c *configurationCache) scheduleRead() {
	c.mutex.Lock()
	pause := readBackoff(c.failures)
	c.failures++
	c.mutex.Unlock()
	c.set.config.Clock.AfterFunc(c.set.jitter(pause), c.read)
}

// recordRead resets the backoff after a successful read that began at startedAt.
func (c *configurationCache) recordRead(startedAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = 0
	if startedAt.After(c.readStartedAt) {
		c.readStartedAt = startedAt
	}
}

func (c *configurationCache) watch(revision int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return
	}
	c.loaded = true
	c.stopWatch = c.set.config.KeyValues.Watch(configurationPrefix, revision, c)
}

func (c *configurationCache) isStopped() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stopped
}

// Events implements outside.WatchHandler.
func (c *configurationCache) Events(_ int64, events []outside.WatchEvent) {
	for _, event := range events {
		if !event.Deleted {
			c.observePair(event.KeyValue)
		}
	}
}

// Lost implements outside.WatchHandler. It reads all configurations again and starts a new watch.
func (c *configurationCache) Lost(error) { c.scheduleRead() }

// observePair decodes and observes a configuration, ignoring keys that name no shard.
func (c *configurationCache) observePair(pair outside.KeyValue) {
	shard, ok := shardOfConfigurationKey(pair.Key)
	if !ok || shard >= len(c.cached) {
		return
	}
	configuration, err := decodeConfiguration(pair.Value)
	if err != nil {
		c.set.config.Logger.Error().Err(err).Str("key", pair.Key).Msg("claim configuration cannot be decoded")
		return
	}
	c.observe(shard, configuration)
}
