package keyvalue

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// WatchID names one watch of a store.
type WatchID uint64

// WatchMessage is one message to a watch. Without events and error it is a
// progress message, which tells that nothing was missed up to Revision.
type WatchMessage struct {
	// Sequence counts the watch's messages from 1, so that a lost one shows.
	Sequence uint64
	Revision int64
	// Events of one revision; the slice must not be changed.
	Events []outside.WatchEvent
	// Err, if set, ends the watch.
	Err error
}

// WatchSink receives a watch's messages in order. It is called under the
// store's lock: it must neither block nor call the store. It returns false
// when its receiver is gone, which ends the watch.
type WatchSink func(WatchMessage) bool

type watch struct {
	id       WatchID
	prefix   string
	after    int64
	sequence uint64
	sink     WatchSink
	// gapped: messages are being dropped until the error is sent.
	gapped bool
	ended  bool
}

// watchTable holds the watches in order of their creation.
type watchTable struct {
	ordered  []*watch
	last     WatchID
	progress clock.Timer
}

// Watch delivers the changes of keys with the prefix after fromRevision, kept
// ones at once. It fails with outside.ErrCompacted when some are gone.
func (s *Store) Watch(prefix string, fromRevision int64, sink WatchSink) (WatchID, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return 0, errClosed
	}
	if fromRevision < s.history.compacted {
		return 0, fmt.Errorf("%w: %d, oldest kept %d", outside.ErrCompacted, fromRevision, s.history.compacted+1)
	}
	s.watches.last++
	created := &watch{id: s.watches.last, prefix: prefix, after: fromRevision, sink: sink}
	s.watches.ordered = append(s.watches.ordered, created)
	s.armProgress()
	s.send(created, WatchMessage{Revision: s.revision})
	for _, kept := range s.history.after(fromRevision) {
		s.offer(created, kept.revision, kept.events)
	}
	s.removeEnded()
	return created.id, nil
}

// StopWatch ends a watch without a further message.
func (s *Store) StopWatch(id WatchID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches.ordered = slices.DeleteFunc(s.watches.ordered, func(watch *watch) bool { return watch.id == id })
}

// Watches counts the watches that have not ended.
func (s *Store) Watches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.watches.ordered)
}

func (s *Store) notify(revision int64, events []outside.WatchEvent) {
	for _, watch := range s.watches.ordered {
		s.offer(watch, revision, events)
	}
	s.removeEnded()
}

// offer sends the events that match the watch.
func (s *Store) offer(watch *watch, revision int64, events []outside.WatchEvent) {
	if revision <= watch.after || watch.gapped || watch.ended {
		return
	}
	matching := matchingEvents(watch.prefix, events)
	if len(matching) == 0 {
		return
	}
	if s.happens(s.faults.WatchGaps) {
		s.startGap(watch)
		return
	}
	s.send(watch, WatchMessage{Revision: revision, Events: matching})
}

// matchingEvents returns the events of keys with the prefix, without a copy
// when all or none match.
func matchingEvents(prefix string, events []outside.WatchEvent) []outside.WatchEvent {
	count := 0
	for i := range events {
		if strings.HasPrefix(events[i].KeyValue.Key, prefix) {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	if count == len(events) {
		return events
	}
	matching := make([]outside.WatchEvent, 0, count)
	for _, event := range events {
		if strings.HasPrefix(event.KeyValue.Key, prefix) {
			matching = append(matching, event)
		}
	}
	return matching
}

func (s *Store) send(watch *watch, message WatchMessage) {
	watch.sequence++
	message.Sequence = watch.sequence
	s.counters.WatchMessages++
	if !watch.sink(message) || message.Err != nil {
		watch.ended = true
	}
}

// startGap drops the watch's messages and ends it after a delay.
func (s *Store) startGap(watch *watch) {
	watch.gapped = true
	s.counters.WatchGaps++
	s.clock.AfterFunc(s.faults.WatchGapDelay, func() { s.endGap(watch) })
}

func (s *Store) endGap(watch *watch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if watch.ended || !slices.Contains(s.watches.ordered, watch) {
		return
	}
	s.send(watch, WatchMessage{Revision: s.revision, Err: errWatchGap})
	s.removeEnded()
}

func (s *Store) endWatches(reason error) {
	for _, watch := range s.watches.ordered {
		s.send(watch, WatchMessage{Revision: s.revision, Err: reason})
	}
	s.watches.ordered = nil
}

func (s *Store) removeEnded() {
	s.watches.ordered = slices.DeleteFunc(s.watches.ordered, func(watch *watch) bool { return watch.ended })
}

// armProgress schedules the next progress messages while there is a watch.
func (s *Store) armProgress() {
	if s.watches.progress != nil {
		return
	}
	s.watches.progress = s.clock.AfterFunc(s.options.ProgressInterval, s.sendProgress)
}

func (s *Store) sendProgress() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watches.progress = nil
	for _, watch := range s.watches.ordered {
		if !watch.gapped {
			s.send(watch, WatchMessage{Revision: s.revision})
		}
	}
	s.removeEnded()
	if len(s.watches.ordered) > 0 {
		s.armProgress()
	}
}
