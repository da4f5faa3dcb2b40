package tablestore

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// maxSingleReads is the largest number of missing revisions that are read one
// by one; with more, the newest snapshot and the whole log are read.
const maxSingleReads = 8

// maxCatchUpAttempts is the number of failed readings after which the catch-up
// ends with an error.
const maxCatchUpAttempts = 4

// catchUp reads missing revisions from the key-value service. Concurrent
// callers share one series of readings.
type catchUp struct {
	store *Store

	mutex    sync.Mutex
	running  bool
	target   table.Revision
	failures int
	waiting  []waiter
}

type waiter struct {
	target table.Revision
	done   func(error)
}

var errNotCaughtUp = eris.New("the revision could not be read from the key-value service")

// readTo reads all revisions up to the target. done follows the callback
// contract of package outside.
func (c *catchUp) readTo(target table.Revision, done func(error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = append(c.waiting, waiter{target: target, done: done})
	c.target = max(c.target, target)
	if c.running {
		return
	}
	c.running = true
	c.failures = 0
	c.store.Clock.AfterFunc(0, c.readNext)
}

// readNext starts the next reading, or finishes when the target is reached.
func (c *catchUp) readNext() {
	revision := c.store.Revision()
	c.mutex.Lock()
	missing := c.target - revision
	c.mutex.Unlock()
	switch {
	case missing <= 0:
		c.finish(nil)
	case missing <= maxSingleReads:
		c.readEntry(revision + 1)
	default:
		c.readSnapshot()
	}
}

func (c *catchUp) readEntry(revision table.Revision) {
	c.store.KeyValues.Range(logKey(revision), c.store.options.Timeout, func(result outside.RangeResult, err error) {
		switch {
		case err != nil:
			c.retryAfter(err)
		case len(result.KeyValues) == 0 && c.store.Revision() < revision:
			c.readSnapshot()
		default:
			c.applyEntries(result.KeyValues)
			c.continueAfter(revision)
		}
	})
}

func (c *catchUp) readSnapshot() {
	c.store.KeyValues.Range(snapshotPrefix, c.store.options.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			c.retryAfter(err)
			return
		}
		if count := len(result.KeyValues); count > 0 {
			c.installSnapshot(result.KeyValues[count-1])
		}
		c.readLog()
	})
}

func (c *catchUp) readLog() {
	before := c.store.Revision()
	c.store.KeyValues.Range(logPrefix, c.store.options.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			c.retryAfter(err)
			return
		}
		c.applyEntries(result.KeyValues)
		c.continueAfter(before + 1)
	})
}

func (c *catchUp) installSnapshot(keyValue outside.KeyValue) {
	record, err := decodeRecord[snapshotRecord](keyValue.Value)
	if err != nil {
		c.store.Log.Error().Err(err).Str("key", keyValue.Key).Msg("table snapshot can't be decoded")
		return
	}
	c.store.installSnapshot(record.Revision, record.Rows)
}

// applyEntries applies the log records newer than the present revision. Their
// keys, and so the records, are in order of revision. It stops at the first
// record that can't be decoded.
func (c *catchUp) applyEntries(keyValues []outside.KeyValue) {
	entries := make([]LogEntry, 0, len(keyValues))
	presentKey := logKey(c.store.Revision())
	for _, keyValue := range keyValues {
		if keyValue.Key <= presentKey {
			continue
		}
		entry, err := decodeRecord[LogEntry](keyValue.Value)
		if err != nil {
			c.store.Log.Error().Err(err).Str("key", keyValue.Key).Msg("table log entry can't be decoded")
			break
		}
		entries = append(entries, entry)
	}
	c.store.applyEntries(entries)
}

// continueAfter starts the next reading if the last one reached the revision,
// else it counts a failure.
func (c *catchUp) continueAfter(revision table.Revision) {
	if c.store.Revision() < revision {
		c.retryAfter(errNotCaughtUp)
		return
	}
	c.readNext()
}

func (c *catchUp) retryAfter(err error) {
	c.mutex.Lock()
	c.failures++
	failures := c.failures
	c.mutex.Unlock()
	if failures >= maxCatchUpAttempts {
		c.finish(err)
		return
	}
	c.store.Clock.AfterFunc(c.store.backoff(failures), c.readNext)
}

// finish calls the callbacks of all waiters. Those whose revision was reached
// in the meantime, such as by a peer's push, succeed even after an error.
func (c *catchUp) finish(err error) {
	c.mutex.Lock()
	waiting := c.waiting
	c.waiting = nil
	c.running = false
	c.target = 0
	c.mutex.Unlock()
	revision := c.store.Revision()
	for _, waiter := range waiting {
		if waiter.target <= revision {
			waiter.done(nil)
			continue
		}
		if err == nil {
			err = errNotCaughtUp
		}
		waiter.done(err)
	}
}
