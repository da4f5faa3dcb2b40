package checker

import (
	"strings"
	"time"
)

// outage is an interval in which a process was paused, partitioned or
// unavailable. A zero end means that it is ongoing.
type outage struct {
	from, to time.Time
}

func (s outage) endsBefore(at time.Time) bool { return !s.to.IsZero() && s.to.Before(at) }

// outages holds the outages of one process in order of time.
type outages []outage

func (s outages) begin(at time.Time) outages { return append(s, outage{from: at}) }

func (s outages) end(at time.Time) {
	if len(s) > 0 && s[len(s)-1].to.IsZero() {
		s[len(s)-1].to = at
	}
}

// extend returns the due time of an action that was requested at from. Each
// outage that overlaps the interval from from to due moves due to the outage's
// end plus allowance, if that is later. If ongoing is true, such an outage has
// not ended and nothing is due yet.
func (s outages) extend(from, due time.Time, allowance time.Duration) (extended time.Time, ongoing bool) {
	for _, interval := range s {
		if interval.from.After(due) || interval.endsBefore(from) {
			continue
		}
		if interval.to.IsZero() {
			return due, true
		}
		if later := interval.to.Add(allowance); later.After(due) {
			due = later
		}
	}
	return due, false
}

// extendAll applies extend with several lists. A due time extended by one list
// may fall into an outage of another, so it repeats until no list extends it.
func extendAll(from, due time.Time, allowance time.Duration, lists ...outages) (extended time.Time, ongoing bool) {
	for {
		before := due
		for _, list := range lists {
			if due, ongoing = list.extend(from, due, allowance); ongoing {
				return due, true
			}
		}
		if due.Equal(before) {
			return due, false
		}
	}
}

// Paused records that a process, a node or a server, was paused. Due times of
// its actions are extended until after Resumed.
func (c *Checker) Paused(process string, at time.Time) {
	c.pauses[process] = c.pauses[process].begin(at)
}

// Resumed records that a paused process continues.
func (c *Checker) Resumed(process string, at time.Time) { c.pauses[process].end(at) }

// Partitioned records that a node was partitioned from its peers, so that it may
// receive table changes only after Reconnected. It must still answer requests.
// The name is the node's without its incarnation.
func (c *Checker) Partitioned(name string, at time.Time) {
	c.partitions[name] = c.partitions[name].begin(at)
}

// Reconnected records that a node's partition ended.
func (c *Checker) Reconnected(name string, at time.Time) { c.partitions[name].end(at) }

// KeyValueUnavailable records that the key-value service became unavailable to
// all clients.
func (c *Checker) KeyValueUnavailable(at time.Time) { c.keyValueOutages = c.keyValueOutages.begin(at) }

// KeyValueRestored records that the key-value service is available again.
func (c *Checker) KeyValueRestored(at time.Time) { c.keyValueOutages.end(at) }

// nodeNameOf returns the name in a node identity, which is name#incarnation.
func nodeNameOf(identity string) string {
	name, _, _ := strings.Cut(identity, "#")
	return name
}
