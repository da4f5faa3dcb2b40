package tablestore

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// maxSingleReads is the number of missing revisions up to which they are read
// one by one; beyond it the newest snapshot and the whole log are read.
const maxSingleReads = 8

// catchUpTries is how often a failed reading is repeated.
const catchUpTries = 4

// catchUp reads missing revisions from the key-value service, for all who ask
// together.
type catchUp struct {
	store *Store

	mutex   sync.Mutex
	running bool
	target  table.Revision
	tries   int
	waiting []waiter
}

type waiter struct {
	target table.Revision
	done   func(error)
}

var errNotCaughtUp = eris.New("the revision could not be read from the key-value service")

// to reads up to the target revision. Done as in package outside.
func (c *catchUp) to(target table.Revision, done func(error)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = append(c.waiting, waiter{target: target, done: done})
	c.target = max(c.target, target)
	if c.running {
		return
	}
	c.running = true
	c.tries = 0
	c.store.Clock.AfterFunc(0, c.next)
}

// next reads what is missing next, or ends.
func (c *catchUp) next() {
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
			c.failed(err)
		case len(result.KeyValues) == 0 && c.store.Revision() < revision:
			c.readSnapshot()
		default:
			c.takeEntries(result.KeyValues)
			c.advanced(revision)
		}
	})
}

func (c *catchUp) readSnapshot() {
	c.store.KeyValues.Range(snapshotPrefix, c.store.options.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			c.failed(err)
			return
		}
		if count := len(result.KeyValues); count > 0 {
			c.takeSnapshot(result.KeyValues[count-1])
		}
		c.readLog()
	})
}

func (c *catchUp) readLog() {
	before := c.store.Revision()
	c.store.KeyValues.Range(logPrefix, c.store.options.Timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			c.failed(err)
			return
		}
		c.takeEntries(result.KeyValues)
		c.advanced(before + 1)
	})
}

func (c *catchUp) takeSnapshot(keyValue outside.KeyValue) {
	record, err := decodeRecord[snapshotRecord](keyValue.Value)
	if err != nil {
		c.store.Log.Error().Err(err).Str("key", keyValue.Key).Msg("unreadable table snapshot")
		return
	}
	c.store.takeSnapshot(record.Revision, record.Rows)
}

// takeEntries takes log records in order of key, which is that of revision.
func (c *catchUp) takeEntries(keyValues []outside.KeyValue) {
	entries := make([]LogEntry, 0, len(keyValues))
	oldest := logKey(c.store.Revision())
	for _, keyValue := range keyValues {
		if keyValue.Key <= oldest {
			continue
		}
		entry, err := decodeRecord[LogEntry](keyValue.Value)
		if err != nil {
			c.store.Log.Error().Err(err).Str("key", keyValue.Key).Msg("unreadable table log entry")
			break
		}
		entries = append(entries, entry)
	}
	c.store.take(entries)
}

// advanced goes on if the reading reached the revision, else counts a failure.
func (c *catchUp) advanced(revision table.Revision) {
	if c.store.Revision() < revision {
		c.failed(errNotCaughtUp)
		return
	}
	c.next()
}

func (c *catchUp) failed(err error) {
	c.mutex.Lock()
	c.tries++
	tries := c.tries
	c.mutex.Unlock()
	if tries >= catchUpTries {
		c.finish(err)
		return
	}
	c.store.Clock.AfterFunc(c.store.pause(tries), c.next)
}

// finish answers everybody; those whose revision was reached anyway, by a
// peer's push, with success.
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
