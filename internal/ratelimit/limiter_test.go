package ratelimit_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/standin/peers"
)

// The tests run in virtual time (testing/synctest), which needs plain test functions. That a
// limit holds over many nodes under faults is tested with tenants (package tenants) and with
// servers (package platform).

// countingTransport counts the calls that a node makes.
type countingTransport struct {
	peer.Transport
	sent atomic.Int64
}

func (c *countingTransport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	c.sent.Add(1)
	c.Transport.Call(address, message, timeout, done)
}

// fleet is the nodes of a test. inUse reports whether anything is limited.
type fleet struct {
	*peers.Network
	transports []*countingTransport
	limiters   []*ratelimit.Limiter
	inUse      atomic.Bool
}

// withFleet runs the body with nodes at which the counter nodes are set.
func withFleet(t *testing.T, nodes int, body func(f *fleet)) {
	withBuilds(t, nodes, func(int) bool { return false }, body)
}

// withBuilds is withFleet with some nodes of an earlier build.
func withBuilds(t *testing.T, nodes int, isEarlier func(node int) bool, body func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		f := &fleet{Network: peers.NewNetwork()}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		for i := range nodes {
			address := fmt.Sprintf("node-%02d", i)
			transport := &countingTransport{Transport: f.Add(address)}
			if isEarlier(i) {
				transport.Transport = earlierBuild{transport.Transport}
			}
			f.transports = append(f.transports, transport)
			f.limiters = append(f.limiters, ratelimit.New(ratelimit.Config{
				Transport: transport, Address: address, InUse: f.inUse.Load, Logger: zerolog.Nop(),
			}))
		}
		counters := ratelimit.Counters{Token: 1, Version: 1, Addresses: ratelimit.ChooseCounters(nil, f.Addresses())}
		for _, limiter := range f.limiters {
			limiter.SetCounters(counters)
			limiter.SetNodes(nodes)
			go limiter.Run(ctx)
		}
		time.Sleep(time.Second)
		body(f)
	})
}

// sent counts the calls of all nodes.
func (f *fleet) sent() int64 {
	total := int64(0)
	for _, transport := range f.transports {
		total += transport.sent.Load()
	}
	return total
}

// takePaced takes one request from a paced limit, and waits for the slot if it is granted.
func (f *fleet) takePaced(node int, perSecond float64, maxWait time.Duration) ratelimit.Verdict {
	verdict := f.limiters[node].Take(context.Background(), ratelimit.Request{
		Name: "server s", Limit: ratelimit.Limit{Rate: perSecond, Window: 4 * time.Second, Paced: true}, Cost: 1, MaxWait: maxWait,
	})
	time.Sleep(verdict.Delay)
	return verdict
}

func TestCounterNodesSendNothingWhileNothingIsLimited(t *testing.T) {
	withFleet(t, 8, func(f *fleet) {
		before := f.sent()
		time.Sleep(time.Minute)
		Expect(f.sent()).To(Equal(before))
		// The first request is decided by the fallback. It wakes the counter nodes, which soon count.
		f.takePaced(0, 1, 0)
		time.Sleep(500 * time.Millisecond)
		Expect(f.takePaced(0, 1, time.Second).CountedBy).NotTo(BeEmpty())
		time.Sleep(time.Minute)
		before = f.sent()
		time.Sleep(time.Minute)
		Expect(f.sent()).To(Equal(before))
	})
}

func TestSlotsAreGrantedAheadInOrder(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.inUse.Store(true)
		time.Sleep(time.Second)
		f.takePaced(0, 2, time.Second)
		began := time.Now()
		var slots []time.Duration
		for i := range 6 {
			verdict := f.limiters[i%4].Take(context.Background(), ratelimit.Request{
				Name: "server s", Limit: ratelimit.Limit{Rate: 2, Window: 4 * time.Second, Paced: true}, Cost: 1, MaxWait: 1800 * time.Millisecond,
			})
			if verdict.Allowed {
				slots = append(slots, time.Since(began)+verdict.Delay)
				continue
			}
			Expect(verdict.RetryAfter).To(BeNumerically(">", 1800*time.Millisecond))
		}
		Expect(slots).To(HaveLen(3), "within 1.8 s of 2 a second, after one just now")
		for i, slot := range slots {
			Expect(slot).To(BeNumerically("~", time.Duration(i+1)*500*time.Millisecond, 20*time.Millisecond))
		}
	})
}

func TestReturnedSlotIsGrantedToTheNextRequest(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		f.inUse.Store(true)
		time.Sleep(time.Second)
		f.takePaced(0, 1, 2*time.Second)
		request := ratelimit.Request{
			Name: "server s", Limit: ratelimit.Limit{Rate: 1, Window: 4 * time.Second, Paced: true}, Cost: 1, MaxWait: 4 * time.Second,
		}
		first := f.limiters[0].Take(context.Background(), request)
		Expect(first.Allowed).To(BeTrue())
		f.limiters[0].Return(request, first)
		time.Sleep(10 * time.Millisecond)
		second := f.limiters[1].Take(context.Background(), request)
		Expect(second.Delay).To(BeNumerically("~", first.Delay, 20*time.Millisecond))
	})
}

func TestWithoutCounterNodesEachNodeGrantsOnlyItsShare(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		for _, limiter := range f.limiters {
			limiter.SetCounters(ratelimit.Counters{Token: 2, Version: 1})
		}
		granted := 0
		for range 1000 {
			for node := range f.limiters {
				if f.takePaced(node, 1, 0).Allowed {
					granted++
				}
			}
			time.Sleep(40 * time.Millisecond)
		}
		Expect(granted).To(BeNumerically("<=", 20), "half of the limit in 40 s")
		Expect(granted).To(BeNumerically(">=", 16))
	})
}

// A node of an earlier build has only tenants' limits, and replies to a request for any other
// limit that it is allowed.
func TestReplyWithoutSuchALimitIsNotACount(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.inUse.Store(true)
		for _, transport := range f.transports {
			transport.Handle(ratelimit.TakeRequest{}, func(_ string, _ peer.Message, reply func(peer.Message, error)) {
				reply(ratelimit.TakeReply{Within: true, CountedBy: "earlier"}, nil)
			})
		}
		f.limiters[0].SetCounters(ratelimit.Counters{Token: 2, Version: 1, Addresses: []string{"node-01"}})
		verdict := f.takePaced(0, 1, time.Second)
		Expect(verdict.Allowed).To(BeFalse())
		Expect(verdict.CountedBy).To(BeEmpty())
	})
}
