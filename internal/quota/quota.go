// Package quota divides the call rates that a shared service allows among the nodes that call
// it, so that all of them together stay below the rates.
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
	// Renewal calls renew a lease. They count as reads but never wait, since an expired
	// lease costs more than a call that the service refuses.
	Renewal
)

const (
	// usedShare is the share of the rates that is used. The rest is a margin, since the nodes
	// may differ in their node counts and windows.
	usedShare = 0.8
	// minBurst is how many calls a node may make at once, however small its share.
	minBurst = 4
)

// Rates that the service allows all nodes together, in calls a second; zero: unlimited.
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

// NewShare returns the share of one node among the given number of nodes.
func NewShare(rates Rates, nodes int) *Share {
	share := &Share{rates: rates, reads: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0)}
	share.SetNodes(nodes)
	return share
}

// SetNodes sets the number of nodes that call the service.
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
	limiter.SetBurst(max(int(used), minBurst))
}

// Wait blocks until the call may be made. It returns an error immediately if that would be
// after the context's deadline, and an error when the context ends.
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
