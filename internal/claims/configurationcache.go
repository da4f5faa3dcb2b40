package claims

import (
	"errors"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

var errNoSuchShard = errors.New("no such claim shard")

// minReadBackoff is the mean pause before configurations are read again; it
// doubles with each failure up to maxReadBackoff, so that an outage is not
// answered by all nodes' reading.
const (
	minReadBackoff = 500 * time.Millisecond
	maxReadBackoff = 16 * time.Second
)

// readBackoff is the mean pause after a number of failed readings.
func readBackoff(failures int) time.Duration {
	return min(minReadBackoff<<min(failures, 10), maxReadBackoff)
}

// keyValueTimeout bounds one call to the key-value service.
const keyValueTimeout = 2 * time.Second

// configurationCache follows the shards' configurations in the key-value
// service and keeps the newest of each through outages.
type configurationCache struct {
	set *ClaimSet

	mutex  sync.Mutex
	cached []cachedConfiguration
	loaded bool
	// readStartedAt is when the newest complete reading began; zero: none.
	readStartedAt time.Time
	stopped       bool
	// failures to read since the newest reading.
	failures int
	unwatch  func()
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
	if c.unwatch != nil {
		c.unwatch()
	}
}

// get returns a shard's newest known configuration.
func (c *configurationCache) get(shard int) (Configuration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	entry := c.cached[shard]
	return entry.configuration, entry.exists
}

// isLoaded reports whether the configurations were read at least once.
func (c *configurationCache) isLoaded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.loaded
}

// observe takes a configuration seen in the key-value service.
func (c *configurationCache) observe(shard int, configuration Configuration) {
	if !c.store(shard, configuration) {
		return
	}
	c.set.acceptors[shard].observeCommitted(configuration.id(shard))
}

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

// read learns all configurations and then follows their changes.
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

// refresh learns all configurations once more, for a caller that must know
// whether a change was missed or never made. A failure leaves them as they are.
func (c *configurationCache) refresh() {
	c.readAll(func(_ int64, err error) {
		if err != nil {
			c.set.config.Logger.Debug().Err(err).Msg("claim configurations not refreshed")
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

// lastRead returns when the newest complete reading began; zero: none.
func (c *configurationCache) lastRead() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readStartedAt
}

func (c *configurationCache) scheduleRead() {
	c.mutex.Lock()
	pause := readBackoff(c.failures)
	c.failures++
	c.mutex.Unlock()
	c.set.config.Clock.AfterFunc(c.set.jitter(pause), c.read)
}

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
	c.unwatch = c.set.config.KeyValues.Watch(configurationPrefix, revision, c)
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

// Lost implements outside.WatchHandler.
func (c *configurationCache) Lost(error) { c.scheduleRead() }

func (c *configurationCache) observePair(pair outside.KeyValue) {
	shard, ok := shardOfConfigurationKey(pair.Key)
	if !ok || shard >= len(c.cached) {
		return
	}
	configuration, err := decodeConfiguration(pair.Value)
	if err != nil {
		c.set.config.Logger.Error().Err(err).Str("key", pair.Key).Msg("claim configuration can't be read")
		return
	}
	c.observe(shard, configuration)
}
