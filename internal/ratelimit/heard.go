package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// Count is what a node that counts for all knew of a limit.
type Count struct {
	// Known is false where nothing was heard.
	Known bool
	// Level that was left at once and Used within the window, in the unit of the
	// limit.
	Level, Used float64
	// Age of the count.
	Age time.Duration
}

// heard is what this node heard last of each limit from the node that counted it.
type heard struct {
	mutex  sync.Mutex
	byName map[string]heardCount
}

type heardCount struct {
	left Count
	at   time.Time
	// from is the address of the node that counted.
	from string
}

func newHeard() *heard { return &heard{byName: map[string]heardCount{}} }

func (h *heard) set(name string, answer TakeReply, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.byName[name] = heardCount{left: answer.Left, at: now, from: answer.CountedBy}
}

// other returns what was heard of the limit from a node other than the one at the
// address; nothing if it was that one, which knows its own count.
func (h *heard) other(name, address string, now time.Time) Count {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last, known := h.byName[name]
	if !known || last.from == address {
		return Count{}
	}
	count := last.left
	count.Age = now.Sub(last.at)
	return count
}

// near reports whether the limit was nearly reached when it was heard of.
func (h *heard) near(name string, limit Limit, now time.Time) bool {
	last := h.other(name, "", now)
	return last.Known && last.Age < limit.Window && near(limit, last)
}

// forget drops limits that nobody has asked for lately.
func (h *heard) forget(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	maps.DeleteFunc(h.byName, func(_ string, last heardCount) bool { return now.Sub(last.at) > unusedTime })
}
