package gateway

import (
	"sync/atomic"

	"github.com/hatchplank/hatchplank/internal/result"
)

// maxDisplaced is the maximum number of waiting requests that one new request may
// displace. A request whose body would need more is refused.
const maxDisplaced = 16

// queueUsage counts the requests waiting at the node over all shards, for
// Limits.Waiting and Limits.WaitingBytes.
type queueUsage struct {
	// requests, and bytes of their bodies, by priority.
	requests, bytes [priorities]atomic.Int64
}

// add counts a request that enters (1) or leaves (-1) a queue.
func (u *queueUsage) add(request *Request, sign int64) {
	u.requests[request.Priority].Add(sign)
	u.bytes[request.Priority].Add(sign * int64(len(request.Body)))
}

// below returns the requests and bytes waiting at priorities lower than the given
// one.
func (u *queueUsage) below(priority int) (requests, bytes int64) {
	for lower := range priority {
		requests += u.requests[lower].Load()
		bytes += u.bytes[lower].Load()
	}
	return requests, bytes
}

// total returns the requests and bytes waiting at all priorities.
func (u *queueUsage) total() (requests, bytes int64) { return u.below(priorities) }

// queuesFull reports whether queueing the request would exceed the node's limits.
func (g *Gateway) queuesFull(request *Request) bool {
	requests, bytes := g.queueUsage.total()
	limits := &g.config.Limits
	return requests >= int64(limits.Waiting) || bytes+int64(len(request.Body)) > limits.WaitingBytes
}

// canDisplaceFor estimates, from the average body size at lower priorities, whether
// the request fits after displacing at most maxDisplaced requests of lower
// priority.
func (g *Gateway) canDisplaceFor(request *Request) bool {
	lower, lowerBytes := g.queueUsage.below(request.Priority)
	if lower == 0 {
		return false
	}
	_, bytes := g.queueUsage.total()
	excess := bytes + int64(len(request.Body)) - g.config.Limits.WaitingBytes
	return excess <= lowerBytes && excess*lower <= maxDisplaced*lowerBytes
}

// displaceFor displaces waiting requests of the lowest priorities, of any model,
// until the new request fits or maxDisplaced is reached. The caller must hold no
// shard's lock.
func (g *Gateway) displaceFor(request *Request) {
	displaced := 0
	for lower := range request.Priority {
		for displaced < maxDisplaced && g.queuesFull(request) && g.displaceOne(lower) {
			displaced++
		}
	}
}

// displaceOne displaces one waiting request of the priority and reports whether
// there was one. The shards are searched round robin.
func (g *Gateway) displaceOne(priority int) bool {
	first := g.nextDisplacementShard.Add(1)
	for offset := range uint64(len(g.shards)) {
		if g.queueUsage.requests[priority].Load() == 0 {
			return false
		}
		shard := g.shards[(first+offset)%uint64(len(g.shards))]
		if shard.displaceOne(priority) {
			return true
		}
	}
	return false
}

// displaceOne displaces a request from the shard's group with the longest queue
// at the priority, and there from the flow with the highest load.
func (s *shard) displaceOne(priority int) bool {
	section := s.lock()
	defer s.unlock(section)
	if s.byPriority[priority] == 0 {
		return false
	}
	queue := s.longestQueue(priority)
	victim := queue.mostOverShare(priority).lateEntry(priority)
	capacity := queue.router.Capacity(queue.name)
	s.displace(victim, result.Displaced, "gave way to a request of higher priority for another model",
		queue.estimate(victim, capacity, section.now), section)
	return true
}

// longestQueue returns the group with the most requests waiting at the priority;
// of equal ones the first by key.
func (s *shard) longestQueue(priority int) *group {
	var longest *group
	for _, group := range s.groups {
		more := longest == nil || group.byPriority[priority] > longest.byPriority[priority]
		equal := longest != nil && group.byPriority[priority] == longest.byPriority[priority]
		if more || (equal && group.key < longest.key) {
			longest = group
		}
	}
	return longest
}
