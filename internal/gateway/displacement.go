package gateway

import (
	"sync/atomic"

	"github.com/hatchplank/hatchplank/internal/result"
)

// mostDisplaced is how many waiting requests one newcomer may displace. A large
// body that would cost more is refused.
const mostDisplaced = 16

// room counts what waits at the node against its bounds, for all shards.
type room struct {
	// requests and bytes of their bodies, by priority.
	requests, bytes [priorities]atomic.Int64
}

// add counts a request that begins (1) or ends (-1) to wait.
func (r *room) add(request *Request, sign int64) {
	r.requests[request.Priority].Add(sign)
	r.bytes[request.Priority].Add(sign * int64(len(request.Body)))
}

// below sums up what waits at lower priorities than the given one.
func (r *room) below(priority int) (requests, bytes int64) {
	for lower := range priority {
		requests += r.requests[lower].Load()
		bytes += r.bytes[lower].Load()
	}
	return requests, bytes
}

func (r *room) all() (requests, bytes int64) { return r.below(priorities) }

// full reports whether the node's bounds keep the request out.
func (g *Gateway) full(request *Request) bool {
	requests, bytes := g.room.all()
	limits := &g.config.Limits
	return requests >= int64(limits.Waiting) || bytes+int64(len(request.Body)) > limits.WaitingBytes
}

// canMakeRoom reports whether the request fits if some of lower priority give
// way, as many as one newcomer may displace.
func (g *Gateway) canMakeRoom(request *Request) bool {
	lower, lowerBytes := g.room.below(request.Priority)
	if lower == 0 {
		return false
	}
	_, bytes := g.room.all()
	excess := bytes + int64(len(request.Body)) - g.config.Limits.WaitingBytes
	return excess <= lowerBytes && excess*lower <= mostDisplaced*lowerBytes
}

// makeRoom refuses waiting requests of the lowest priorities, of whatever model,
// until the newcomer fits. No shard is locked.
func (g *Gateway) makeRoom(newcomer *Request) {
	displaced := 0
	for lower := range newcomer.Priority {
		for displaced < mostDisplaced && g.full(newcomer) && g.displaceOne(lower) {
			displaced++
		}
	}
}

// displaceOne refuses a waiting request of the priority; false: there is none.
// The shards take turns.
func (g *Gateway) displaceOne(priority int) bool {
	first := g.nextDisplaced.Add(1)
	for offset := range uint64(len(g.shards)) {
		if g.room.requests[priority].Load() == 0 {
			return false
		}
		shard := g.shards[(first+offset)%uint64(len(g.shards))]
		if shard.displaceOne(priority) {
			return true
		}
	}
	return false
}

// displaceOne takes the request from the group with most waiting at the
// priority, and there from the flow with most for its weight.
func (s *shard) displaceOne(priority int) bool {
	turn := s.begin()
	defer s.end(turn)
	if s.byPriority[priority] == 0 {
		return false
	}
	longest := s.mostWaiting(priority)
	victim := longest.mostOverShare(priority).last(priority)
	capacity := longest.router.Capacity(longest.name)
	s.displace(victim, result.Displaced, "gave way to a request of higher priority for another model",
		longest.estimate(victim, capacity, turn.now), turn)
	return true
}

// mostWaiting returns the group with most requests waiting at the priority; of
// equal ones the first by key.
func (s *shard) mostWaiting(priority int) *group {
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
