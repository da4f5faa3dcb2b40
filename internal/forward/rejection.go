package forward

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// fullTTL is how long a server counts as full after it rejected a request without a report of its
	// load.
	fullTTL = reportedLoadTTL
	// notHeldTTL is how long a server gets no requests for a model after it answered that it
	// does not hold it, or did not run a request for it and gave no reason.
	notHeldTTL = 300 * time.Millisecond
)

// rejection is what a server's rejection of a request says about later ones: those of at least its size
// would be rejected as well. A smaller one may fit into the server's memory.
type rejection struct {
	at time.Time
	// tokens is the size of the rejected request, zero if its size was not the reason.
	tokens int
}

// sizeOf is the memory that the request takes at a server, in tokens.
func sizeOf(request *Request) int { return request.PromptTokens + request.AnswerTokens }

// covers reports whether a request would be rejected too, if it was within the time limit.
func (r rejection) covers(request *Request, limit time.Duration, now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < limit && sizeOf(request) >= r.tokens
}

// add returns what is known after a further rejection. Requests that are covered already don't extend
// it: they may be in flight for other reasons than the first one's.
func (r rejection) add(tokens int, limit time.Duration, now time.Time) rejection {
	if !r.at.IsZero() && now.Sub(r.at) < limit && r.tokens < tokens {
		return r
	}
	return rejection{at: now, tokens: tokens}
}

// fullMark is a rejection as full without a report of the load.
type fullMark struct {
	rejection
	// requests is the number of requests at which the server counts as full, ownThen the value of own
	// at the rejection.
	requests, ownThen int
}

// markFull records that the server rejected the request as full. The lock must be held.
func (s *serverLoad) markFull(request *Request, server *fleet.Server, now time.Time) {
	s.full = fullMark{
		rejection: s.full.add(sizeOf(request), fullTTL, now),
		requests:  maxRequestsPerSlot * max(server.Slots, 1), ownThen: s.own,
	}
}

// isFull reports whether the newest that is known of the server's load is that it rejected a request of
// the same size or a smaller one. The lock must be held.
func (s *serverLoad) isFull(request *Request, now time.Time) bool {
	if s.usesSharedFor(request) || s.report.Reported && s.reportedAt.After(s.full.at) {
		return false
	}
	return s.full.covers(request, fullTTL, now)
}

// usesSharedFor reports whether the loads of other nodes decide for the request: the server did not
// reject one of the same size or a smaller one as full since. The lock must be held.
func (s *serverLoad) usesSharedFor(request *Request) bool {
	return s.usesShared() && (!s.full.at.After(s.shared.at) || sizeOf(request) < s.full.tokens)
}

// estimateFor is the estimated number of requests at the server, as far as it concerns the request.
// The lock must be held.
func (s *serverLoad) estimateFor(request *Request, now time.Time) int {
	switch {
	case s.isFull(request, now):
		return max(s.own, s.full.requests+s.own-s.full.ownThen)
	case s.usesSharedFor(request):
		return s.sharedEstimate()
	}
	return s.ownEstimate(now)
}
