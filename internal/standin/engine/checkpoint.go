package engine

import (
	"cmp"
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// checkpoint names weights.
type checkpoint struct{ name, version string }

// checkpointCache keeps checkpoints up to a number of bytes, least recently
// used evicted first. The zero value caches nothing.
type checkpointCache struct {
	capacity int64
	used     int64
	// entries from least to most recently used.
	entries []cachedCheckpoint
}

type cachedCheckpoint struct {
	checkpoint
	bytes int64
}

func (c *checkpointCache) find(wanted checkpoint) int {
	return slices.IndexFunc(c.entries, func(entry cachedCheckpoint) bool { return entry.checkpoint == wanted })
}

// touch reports whether the checkpoint is cached, and marks it as used.
func (c *checkpointCache) touch(wanted checkpoint) bool {
	position := c.find(wanted)
	if position < 0 {
		return false
	}
	entry := c.entries[position]
	c.entries = append(slices.Delete(c.entries, position, position+1), entry)
	return true
}

// add caches a checkpoint and reports whether the contents changed.
func (c *checkpointCache) add(added checkpoint, bytes int64) bool {
	if bytes > c.capacity || c.touch(added) {
		return false
	}
	for c.used+bytes > c.capacity {
		c.used -= c.entries[0].bytes
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	c.entries = append(c.entries, cachedCheckpoint{added, bytes})
	c.used += bytes
	return true
}

func (c *checkpointCache) clear() {
	c.entries = nil
	c.used = 0
}

// SeedCheckpoint puts a checkpoint into the disk or host memory cache, as if
// it had been loaded before.
func (e *Engine) SeedCheckpoint(name, version string, source outside.CheckpointSource, bytes int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	cache := &e.diskCache
	if source == outside.SourceMemory {
		cache = &e.hostCache
	}
	if cache.add(checkpoint{name, version}, bytes) {
		e.version++
	}
}

// cached lists the checkpoints of the machine in order of name and version,
// each with its fastest source.
func (e *Engine) cached() []outside.CheckpointState {
	states := make([]outside.CheckpointState, 0, len(e.hostCache.entries)+len(e.diskCache.entries))
	for _, entry := range e.hostCache.entries {
		states = append(states, outside.CheckpointState{Name: entry.name, Version: entry.version, Source: outside.SourceMemory})
	}
	for _, entry := range e.diskCache.entries {
		if e.hostCache.find(entry.checkpoint) < 0 {
			states = append(states, outside.CheckpointState{Name: entry.name, Version: entry.version, Source: outside.SourceDisk})
		}
	}
	slices.SortFunc(states, func(a, b outside.CheckpointState) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
	})
	return states
}
