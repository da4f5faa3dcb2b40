package serverlimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
	"github.com/hatchplank/hatchplank/internal/standin/peers"
)

// limitWindow is the time over which a server compares what it gets with its limit.
const limitWindow = 4 * time.Second

// limitedServer is a server whose limit all nodes know until a response to a request lacks it.
type limitedServer struct {
	*fleet.Server
	mutex sync.Mutex
	limit notice.Limit
	// ended: responses don't announce the limit any more.
	ended bool
	// sends are the times at which something was sent to it.
	sends []time.Time
}

func (s *limitedServer) Limit(*fleet.Server) notice.Limit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit
}

// receive records something that was sent. A response to a request ends a limit that is over.
func (s *limitedServer) receive(isRequest bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sends = append(s.sends, time.Now())
	if isRequest && s.ended {
		s.limit = notice.Limit{}
	}
}

func (s *limitedServer) endLimit() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
}

// announce makes the server announce a limit again. What was sent before is forgotten.
func (s *limitedServer) announce(perSecond float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit, s.ended, s.sends = notice.Limit{Named: true, PerSecond: perSecond}, false, nil
}

// mostInWindow returns the most that was sent in a window.
func (s *limitedServer) mostInWindow() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	most, first := 0, 0
	for last, at := range s.sends {
		for at.Sub(s.sends[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// limitsOf returns the limits of nodes that count together.
func limitsOf(ctx context.Context, source serverlimit.LimitSource, nodes int) []*serverlimit.Limits {
	network := peers.NewNetwork()
	var limiters []*ratelimit.Limiter
	var all []*serverlimit.Limits
	for i := range nodes {
		address := fmt.Sprintf("node-%02d", i)
		limiter := ratelimit.New(ratelimit.Config{Transport: network.Add(address), Address: address, Logger: zerolog.Nop()})
		limiters = append(limiters, limiter)
		all = append(all, serverlimit.New(source, limiter, nil))
	}
	counters := ratelimit.Counters{Token: 1, Version: 1, Addresses: ratelimit.ChooseCounters(nil, network.Addresses())}
	for _, limiter := range limiters {
		limiter.SetCounters(counters)
		limiter.SetNodes(nodes)
		go limiter.Run(ctx)
	}
	return all
}

// every calls until ctx is done, each time a pause after the last call returned.
func every(ctx context.Context, pause time.Duration, call func()) {
	for ctx.Err() == nil {
		call()
		time.Sleep(pause)
	}
}

// Guards against a limit that outlives its announcement for as long as a model loads: calls for reports
// took each slot of the server, and only the response to a request ends a limit.
func TestControlCallsLeaveSlotsToRequests(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 2.5, 8} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%v a second, seed %d", perSecond, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					RegisterTestingT(t)
					playLimitedServer(perSecond, seed)
				})
			})
		}
	}
}

// playLimitedServer plays calls for reports of one node, as often as after a load, beside the requests of
// all nodes. It checks that the limit ends once the server does not announce it any more, and that it is
// kept while it does.
func playLimitedServer(perSecond float64, seed uint64) {
	const nodes, requestPause, pollPause = 4, 200 * time.Millisecond, 50 * time.Millisecond
	server := &limitedServer{Server: &fleet.Server{ID: "s"}, limit: notice.Limit{Named: true, PerSecond: perSecond}}
	ctx, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		time.Sleep(10 * time.Second)
	}()
	all := limitsOf(ctx, server, nodes)
	send := func(limits *serverlimit.Limits, need serverlimit.Request) {
		grant := limits.Take(ctx, server.Server, need)
		time.Sleep(grant.Delay)
		if grant.Allowed {
			server.receive(!need.Control)
		}
	}
	go every(ctx, pollPause, func() { send(all[0], serverlimit.Request{MaxWait: limitWindow, Control: true}) })
	for i, limits := range all {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		go every(ctx, requestPause, func() {
			send(limits, serverlimit.Request{Rank: random.Float64(), MaxWait: time.Duration(random.Int64N(int64(time.Second)))})
		})
	}
	time.Sleep(10 * time.Second)
	server.endLimit()
	interval := time.Duration(float64(time.Second) / perSecond)
	time.Sleep(2*interval + limitWindow)
	Expect(server.Limit(nil).Named).To(BeFalse())
	server.announce(perSecond)
	time.Sleep(20 * time.Second)
	Expect(float64(server.mostInWindow())).To(BeNumerically("<=", 1.5*perSecond*limitWindow.Seconds()+5))
}

// countingLimiter keeps the longest wait that was asked for.
type countingLimiter struct{ maxWait time.Duration }

func (l *countingLimiter) Take(_ context.Context, request ratelimit.Request) ratelimit.Verdict {
	l.maxWait = request.MaxWait
	return ratelimit.Verdict{Allowed: true}
}

func (l *countingLimiter) Return(ratelimit.Request, ratelimit.Verdict) {}

// Guards against refusing requests whose slot comes while their callers wait, and against requests of little urgency that
// take all slots ahead of urgent ones.
func TestSlotsAreGrantedAheadByTheTimeOfTheCaller(t *testing.T) {
	server := &limitedServer{Server: &fleet.Server{ID: "s"}, limit: notice.Limit{Named: true, PerSecond: 1}}
	limiter := &countingLimiter{}
	limits := serverlimit.New(server, limiter, nil)
	for _, wait := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		for rank, ahead := range map[float64]time.Duration{0: wait, 0.5: wait * 55 / 100, 1: wait / 10} {
			g := NewWithT(t)
			limits.Take(context.Background(), server.Server, serverlimit.Request{Rank: rank, MaxWait: wait})
			g.Expect(limiter.maxWait).To(BeNumerically("~", ahead, time.Millisecond), "wait %v, rank %v", wait, rank)
		}
	}
}
