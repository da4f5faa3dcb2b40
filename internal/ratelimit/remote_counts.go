package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// Count is the state of a limit at the node that counts it.
type Count struct {
	// Known is set in each count that a node made. It is false in the zero Count, which stands
	// for a limit of which no count was received.
	Known bool
	// Level of the token bucket, and Used within the window, in the limit's unit.
	Level, Used float64
	// Age of the count.
	Age time.Duration
}

// remoteCounts holds the last count of each limit that this node received from the node that
// counted it.
type remoteCounts struct {
	mutex  sync.Mutex
	byName map[string]remoteCount
}

type remoteCount struct {
	count Count
	at    time.Time
	// from is the address of the node that counted.
	from string
}

func newRemoteCounts() *remoteCounts { return &remoteCounts{byName: map[string]remoteCount{}} }

func (r *remoteCounts) set(name string, reply TakeReply, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byName[name] = remoteCount{count: reply.Left, at: now, from: reply.CountedBy}
}

// except returns the last count of the limit unless it is from the node at the address, which
// has its own count.
func (r *remoteCounts) except(name, address string, now time.Time) Count {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last, exists := r.byName[name]
	if !exists || last.from == address {
		return Count{}
	}
	count := last.count
	count.Age = now.Sub(last.at)
	return count
}

// isNearLimit reports whether the limit was nearly reached at the last count within its window.
func (r *remoteCounts) isNearLimit(name string, limit Limit, now time.Time) bool {
	last := r.except(name, "", now)
	return last.Known && last.Age < limit.Window && isNearLimit(limit, last)
}

// prune drops limits that were not used for idleTime.
func (r *remoteCounts) prune(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.byName, func(_ string, last remoteCount) bool { return now.Sub(last.at) > idleTime })
}
