// Package quota divides the rates of calls that a shared service allows among
// the nodes that call it, so that all of them together stay below the rates.
package quota

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// Kind of a call.
type Kind uint8

// The kinds of calls.
const (
	// Read calls change nothing.
	Read Kind = iota
	// Write calls change something.
	Write
	// Renewal calls keep a lease. They count as reads and never wait, since a
	// lease that ends costs more than a call that is refused.
	Renewal
)

const (
	// usedShare of the rates is used, since the nodes' numbers and windows differ.
	usedShare = 0.8
	// leastBurst is how many calls a node may make at once, however small its share.
	leastBurst = 4
)

// Rates that the service allows all nodes together, in calls a second; zero: any.
type Rates struct {
	Reads, Writes float64
}

// Share is one node's part of the rates. It is safe for concurrent use.
type Share struct {
	rates         Rates
	reads, writes *rate.Limiter

	mutex sync.Mutex
	nodes int
}

// NewShare returns the share of one of so many nodes.
func NewShare(rates Rates, nodes int) *Share {
	share := &Share{rates: rates, reads: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0)}
	share.SetNodes(nodes)
	return share
}

// SetNodes tells how many nodes call the service.
func (s *Share) SetNodes(nodes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	nodes = max(nodes, 1)
	if nodes == s.nodes {
		return
	}
	s.nodes = nodes
	setLimit(s.reads, s.rates.Reads/float64(nodes))
	setLimit(s.writes, s.rates.Writes/float64(nodes))
}

func setLimit(limiter *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	used := usedShare * perSecond
	limiter.SetLimit(rate.Limit(used))
	limiter.SetBurst(max(int(used), leastBurst))
}

// Wait returns when the call may be made. It returns an error at once if that
// would be after the context's deadline, or when the context ends.
func (s *Share) Wait(ctx context.Context, kind Kind) error {
	switch kind {
	case Write:
		return s.writes.Wait(ctx)
	case Renewal:
		s.reads.Allow()
		return nil
	default:
		return s.reads.Wait(ctx)
	}
}
