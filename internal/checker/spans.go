package checker

import (
	"strings"
	"time"
)

// span is a time in which a process could not act or hear. A zero end means
// that it goes on.
type span struct {
	from, to time.Time
}

func (s span) endsBefore(at time.Time) bool { return !s.to.IsZero() && s.to.Before(at) }

// spans of one process, in order of time.
type spans []span

func (s spans) begin(at time.Time) spans { return append(s, span{from: at}) }

func (s spans) end(at time.Time) {
	if len(s) > 0 && s[len(s)-1].to.IsZero() {
		s[len(s)-1].to = at
	}
}

// extend moves a due time that falls into a span, or was begun in one, behind
// the span's end and returns it. Open tells that the span has not ended, so
// that nothing is due yet.
func (s spans) extend(from, due time.Time, allowance time.Duration) (extended time.Time, open bool) {
	for _, outage := range s {
		if outage.from.After(due) || outage.endsBefore(from) {
			continue
		}
		if outage.to.IsZero() {
			return due, true
		}
		if later := outage.to.Add(allowance); later.After(due) {
			due = later
		}
	}
	return due, false
}

// extendAll is extend over several lists. A due time that one list moves may
// fall into a span of another, so it goes on until none moves it.
func extendAll(from, due time.Time, allowance time.Duration, lists ...spans) (extended time.Time, open bool) {
	for {
		before := due
		for _, list := range lists {
			if due, open = list.extend(from, due, allowance); open {
				return due, true
			}
		}
		if due.Equal(before) {
			return due, false
		}
	}
}

// Paused notes that a process, a node or a server, stopped to act: what is due
// of it is due after Resumed.
func (c *Checker) Paused(process string, at time.Time) {
	c.pauses[process] = c.pauses[process].begin(at)
}

// Resumed notes that a paused process goes on.
func (c *Checker) Resumed(process string, at time.Time) { c.pauses[process].end(at) }

// Partitioned notes that a node was cut off from its peers, so that it may learn of
// table changes only after Reconnected. It must go on answering. The name is
// the node's without its incarnation.
func (c *Checker) Partitioned(name string, at time.Time) { c.cutOff[name] = c.cutOff[name].begin(at) }

// Reconnected notes that a node hears its peers again.
func (c *Checker) Reconnected(name string, at time.Time) { c.cutOff[name].end(at) }

// KeyValueUnavailable notes that the key-value service answers nobody.
func (c *Checker) KeyValueUnavailable(at time.Time) { c.keyValueOut = c.keyValueOut.begin(at) }

// KeyValueRestored notes that the key-value service answers again.
func (c *Checker) KeyValueRestored(at time.Time) { c.keyValueOut.end(at) }

// nameOf returns the name in an identity of name and incarnation.
func nameOf(identity string) string {
	name, _, _ := strings.Cut(identity, "#")
	return name
}
