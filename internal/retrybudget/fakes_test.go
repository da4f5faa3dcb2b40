package retrybudget_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
	"github.com/hatchplank/hatchplank/internal/standin/peers"
)

// largeLimits are limits whose even share is small in a fleet of largeFleet nodes.
var largeLimits = retrybudget.Limits{Ratio: 0.2, Slack: 222, Window: 10 * time.Second}

const largeFleet = 91

// coldTime is a time after which new counter nodes vote.
const coldTime = 12 * time.Second

// transport counts the messages that a node sends. While earlier is set, its node handles
// messages as a build does that has no voted limits. Calls to blocked addresses are lost.
type transport struct {
	peer.Transport
	sent    atomic.Int64
	earlier bool
	blocked []string
	// delayed returns how much longer a call takes to arrive; nil: no longer.
	delayed func() time.Duration
}

func (t *transport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	t.sent.Add(1)
	if slices.Contains(t.blocked, address) {
		time.AfterFunc(timeout, func() { done(nil, peer.ErrUnreachable) })
		return
	}
	if t.delayed != nil {
		time.AfterFunc(t.delayed(), func() { t.Transport.Call(address, message, timeout, done) })
		return
	}
	t.Transport.Call(address, message, timeout, done)
}

func (t *transport) Send(address string, message peer.Message) {
	t.sent.Add(1)
	t.Transport.Send(address, message)
}

func (t *transport) Handle(prototype peer.Message, handler peer.Handler) {
	t.Transport.Handle(prototype, func(from string, message peer.Message, reply func(peer.Message, error)) {
		if t.earlier {
			message = withoutLaterFields(message)
		}
		handler(from, message, reply)
	})
}

// withoutLaterFields returns the message as gob decodes it in a build without voted limits.
func withoutLaterFields(message peer.Message) peer.Message {
	switch received := message.(type) {
	case ratelimit.TakeRequest:
		received.Limit.Voted, received.Vote = false, 0
		return received
	case ratelimit.ReturnMessage:
		received.Vote = 0
		return received
	}
	return message
}

// node is one node of a test.
type node struct {
	address   string
	transport *transport
	limiter   *ratelimit.Limiter
	budget    *retrybudget.Budget
}

// testFleet is the nodes of a test, connected by a network in virtual time, and what they did.
type testFleet struct {
	*peers.Network
	limits   retrybudget.Limits
	nodes    []*node
	counters ratelimit.Counters
	ctx      context.Context

	mutex     sync.Mutex
	requests  []time.Time
	retries   []time.Time
	decisions map[retrybudget.Decider]int
}

// withFleet runs the body with nodes whose counter nodes vote already.
func withFleet(t *testing.T, nodes int, limits retrybudget.Limits, body func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := &testFleet{Network: peers.NewNetwork(), limits: limits, ctx: ctx, decisions: map[retrybudget.Decider]int{}}
		defer func() {
			cancel()
			time.Sleep(2 * time.Second)
		}()
		for i := range nodes {
			f.nodes = append(f.nodes, &node{address: fmt.Sprintf("node-%02d", i)})
		}
		for _, node := range f.nodes {
			f.start(node)
		}
		f.counters = ratelimit.Counters{Token: 1, Version: 1, Addresses: ratelimit.ChooseCounters(nil, f.Addresses())}
		f.setCounters()
		time.Sleep(coldTime)
		body(f)
	})
}

// start starts a node's process, in place of an earlier one.
func (f *testFleet) start(n *node) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n.transport = &transport{Transport: f.Add(n.address)}
	n.limiter = ratelimit.New(ratelimit.Config{
		Transport: n.transport, Address: n.address, InUse: func() bool { return false }, Logger: zerolog.Nop(),
	})
	n.budget = retrybudget.New(retrybudget.Config{Limits: f.limits, Nodes: len(f.nodes), Fleet: retrybudget.Count{Limiter: n.limiter}})
	n.limiter.SetCounters(f.counters)
	go n.limiter.Run(f.ctx)
}

// setCounters sets the counter nodes at all nodes that are not cut off.
func (f *testFleet) setCounters() {
	for _, node := range f.nodes {
		if !f.IsCut(node.address) {
			node.limiter.SetCounters(f.counters)
		}
	}
}

// replaceCounter replaces a counter node by another node.
func (f *testFleet) replaceCounter(address string) {
	live := slices.DeleteFunc(f.Living(), func(other string) bool { return other == address })
	f.counters = ratelimit.Counters{Token: 1, Version: f.counters.Version + 1, Addresses: ratelimit.ChooseCounters(f.counters.Addresses, live)}
	f.setCounters()
}

// named returns the node of the address.
func (f *testFleet) named(address string) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == address })]
}

// notCounter returns a node that is no counter node.
func (f *testFleet) notCounter() *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return !slices.Contains(f.counters.Addresses, n.address) })]
}

// request counts a request at a node and records it.
func (f *testFleet) request(n *node) {
	f.mutex.Lock()
	f.requests = append(f.requests, time.Now())
	budget := n.budget
	f.mutex.Unlock()
	budget.Request("p", time.Now())
}

// retry takes a retry at a node and records it.
func (f *testFleet) retry(n *node, rank float64) retrybudget.Decision {
	f.mutex.Lock()
	budget := n.budget
	f.mutex.Unlock()
	decision := budget.Take(context.Background(), retrybudget.Retry{Pool: "p", Rank: rank}, time.Now())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if decision.Allowed {
		f.retries = append(f.retries, time.Now())
		f.decisions[decision.By]++
	}
	return decision
}

// burst takes retries at a node one after the other, and returns how many were allowed.
func (f *testFleet) burst(n *node, retries int) int {
	allowed := 0
	for range retries {
		if f.retry(n, 0).Allowed {
			allowed++
		}
	}
	return allowed
}

// load sends a request at each of the nodes in turn, which is retried 30 times in the next ten
// intervals, at other nodes as well. So the ratio allows few retries, and most need the slack.
func (f *testFleet) load(nodes []*node, interval, duration time.Duration) {
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end); number++ {
		n := nodes[number*7%len(nodes)]
		if number%10 == 0 {
			f.request(n)
		}
		for range 3 {
			go f.retry(n, 0)
		}
		time.Sleep(interval)
	}
	time.Sleep(200 * time.Millisecond)
}

// maxExcess is the largest number of retries in excess of the bound in any window that ends with
// a retry; negative if the bound was never reached.
func (f *testFleet) maxExcess() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	excess := -f.limits.Slack
	inWindow := func(all []time.Time, end time.Time) float64 {
		count := 0
		for _, at := range all {
			if since := end.Sub(at); since >= 0 && since < f.limits.Window {
				count++
			}
		}
		return float64(count)
	}
	for _, end := range f.retries {
		excess = max(excess, inWindow(f.retries, end)-f.limits.Slack-f.limits.Ratio*inWindow(f.requests, end))
	}
	return excess
}

// sent is the number of messages of all nodes.
func (f *testFleet) sent() int64 {
	total := int64(0)
	for _, node := range f.nodes {
		total += node.transport.sent.Load()
	}
	return total
}
