package claims

import (
	"errors"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/platform"
)

var errNoSuchShard = errors.New("no such claim shard")

// rereadDelay is the mean pause before configurations are read again.
const rereadDelay = 500 * time.Millisecond

// keyValueTimeout bounds one call to the key-value service.
const keyValueTimeout = 2 * time.Second

// configurationCache follows the shards' configurations in the key-value
// service and keeps the newest of each through outages.
type configurationCache struct {
	set *ClaimSet

	mutex   sync.Mutex
	known   []knownConfiguration
	loaded  bool
	stopped bool
	unwatch func()
}

type knownConfiguration struct {
	configuration Configuration
	exists        bool
}

func newConfigurationCache(set *ClaimSet, shards int) *configurationCache {
	return &configurationCache{set: set, known: make([]knownConfiguration, shards)}
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
	known := c.known[shard]
	return known.configuration, known.exists
}

// isLoaded reports whether the configurations were read at least once.
func (c *configurationCache) isLoaded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.loaded
}

// learn takes a configuration seen in the key-value service.
func (c *configurationCache) learn(shard int, configuration Configuration) {
	if !c.store(shard, configuration) {
		return
	}
	c.set.acceptors[shard].committed(configuration.id(shard))
}

func (c *configurationCache) store(shard int, configuration Configuration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := &c.known[shard]
	if known.exists && known.configuration.Epoch >= configuration.Epoch {
		return false
	}
	*known = knownConfiguration{configuration: configuration, exists: true}
	return true
}

func (c *configurationCache) read() {
	if c.isStopped() {
		return
	}
	c.set.config.KeyValues.Range(configurationPrefix, keyValueTimeout, func(result platform.RangeResult, err error) {
		if err != nil {
			c.readLater()
			return
		}
		for _, pair := range result.KeyValues {
			c.learnPair(pair)
		}
		c.watch(result.Revision)
	})
}

func (c *configurationCache) readLater() {
	c.set.config.Clock.AfterFunc(c.set.jitter(rereadDelay), c.read)
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

// Events implements platform.WatchHandler.
func (c *configurationCache) Events(_ int64, events []platform.WatchEvent) {
	for _, event := range events {
		if !event.Deleted {
			c.learnPair(event.KeyValue)
		}
	}
}

// Lost implements platform.WatchHandler.
func (c *configurationCache) Lost(error) { c.readLater() }

func (c *configurationCache) learnPair(pair platform.KeyValue) {
	shard, ok := shardOfConfigurationKey(pair.Key)
	if !ok || shard >= len(c.known) {
		return
	}
	configuration, err := decodeConfiguration(pair.Value)
	if err != nil {
		c.set.config.Logger.Error().Err(err).Str("key", pair.Key).Msg("claim configuration can't be read")
		return
	}
	c.learn(shard, configuration)
}
