package engine

import "time"

// cacheEventsKept is how many cache events are kept for readers.
const cacheEventsKept = 4096

// CacheEvent tells that a prefix block entered or left a replica's KV cache.
type CacheEvent struct {
	// Sequence grows by one an event; a gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	// Block is a hash as given by PrefixHashes.
	Block uint64 `json:"block"`
	// Stored is false for an eviction.
	Stored bool `json:"stored"`
	// At is when it happened.
	At time.Time `json:"at"`
}

// cacheFeed keeps the newest cache events in a ring.
type cacheFeed struct {
	ring []CacheEvent
	// oldest is the position of the oldest event in a full ring.
	oldest   int
	sequence uint64
}

func (f *cacheFeed) keep(event CacheEvent) {
	if len(f.ring) < cacheEventsKept {
		f.ring = append(f.ring, event)
		return
	}
	f.ring[f.oldest] = event
	f.oldest = (f.oldest + 1) % cacheEventsKept
}

func (e *Engine) publishCacheEvent(model string, block uint64, stored bool) {
	feed := &e.feed
	feed.sequence++
	if e.happens(e.config.CacheEventLoss) {
		return
	}
	feed.keep(CacheEvent{Sequence: feed.sequence, Model: model, Block: block, Stored: stored, At: e.clock.Now()})
}

// CacheEvents returns up to limit events after a sequence number, in order.
// Events show up only after Config.CacheEventDelay, and some never do.
func (e *Engine) CacheEvents(after uint64, limit int) []CacheEvent {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	visible := e.clock.Now().Add(-e.config.CacheEventDelay)
	var events []CacheEvent
	for index := range e.feed.ring {
		event := e.feed.ring[(e.feed.oldest+index)%len(e.feed.ring)]
		if event.At.After(visible) || len(events) >= limit {
			break
		}
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}
