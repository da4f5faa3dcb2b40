package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// steadySessions are sessions that each send a request after the other, and retry refused ones as told.
type steadySessions struct {
	sessions int
	// period is the mean time between two requests of a session, from 0.5 to 1.5 times as long.
	period       time.Duration
	promptTokens int
	adapter      string
}

// sessionCounts are the requests of one session.
type sessionCounts struct{ asked, served int }

const (
	starvationSpan = 20 * time.Second
	// maxSessionTries is how often a session sends one request.
	maxSessionTries = 3
)

// play sends the sessions' requests to random nodes, and returns the counts of each session.
func (s steadySessions) play(nodes []*Forwarder, seed uint64) []sessionCounts {
	counts := make([]sessionCounts, s.sessions)
	ends := time.Now().Add(starvationSpan)
	var group sync.WaitGroup
	for session := range s.sessions {
		random := rand.New(rand.NewPCG(seed, uint64(session)))
		group.Go(func() {
			for {
				time.Sleep(time.Duration((0.5 + random.Float64()) * float64(s.period)))
				if time.Now().After(ends) {
					return
				}
				counts[session].asked++
				if s.serve(nodes, random, session) {
					counts[session].served++
				}
			}
		})
	}
	group.Wait()
	return counts
}

// serve sends one request until it is served, its deadline is too close, or maxSessionTries.
func (s steadySessions) serve(nodes []*Forwarder, random *rand.Rand, session int) bool {
	deadline := time.Now().Add(3 * time.Second)
	for range maxSessionTries {
		asked := request("stream", "m", time.Until(deadline))
		asked.ID, asked.Adapter, asked.PromptTokens = fmt.Sprint("session ", session), s.adapter, s.promptTokens
		outcome := nodes[random.IntN(len(nodes))].Serve(context.Background(), asked, &recorder{})
		if outcome.Code == result.OK {
			return true
		}
		if outcome.RetryAfter <= 0 || time.Until(deadline) < outcome.RetryAfter+100*time.Millisecond {
			return false
		}
		time.Sleep(outcome.RetryAfter)
	}
	return false
}

// neverServed counts the sessions without a response among those that asked four times or more.
func neverServed(counts []sessionCounts) (never, asked, served int) {
	for _, session := range counts {
		asked, served = asked+session.asked, served+session.served
		if session.asked >= 4 && session.served == 0 {
			never++
		}
	}
	return never, asked, served
}

// memoryBoundServer runs requests that fit into its memory, a few at a time, and rejects others
// as a full one does.
type memoryBoundServer struct {
	slots, maxPromptTokens int
	runTime                time.Duration
	// reports: rejections carry the server's load.
	reports bool

	mutex    sync.Mutex
	running  int
	rejected int
}

func (s *memoryBoundServer) answer(ctx context.Context, attempt Attempt) (*Reply, error) {
	time.Sleep(2 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	load := Load{Reported: s.reports, Running: s.running, Slots: s.slots, Slowdown: 1}
	if s.running >= s.slots || attempt.Request.PromptTokens > s.maxPromptTokens {
		s.rejected++
		reason := FailureFull
		if s.reports && s.running < s.slots {
			reason = FailureRefused
		}
		return nil, &AttemptError{Reason: reason, Ran: result.RanNo, Load: load}
	}
	s.running++
	time.AfterFunc(s.runTime, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.running--
	})
	return &Reply{Status: 200, Events: true, Load: load, Body: &scriptedBody{ctx: ctx, parts: events(1, 1), pause: s.runTime, err: io.EOF}}, nil
}

// nodesOf returns nodes with the one server, which holds the model m and its adapter a.
func nodesOf(count int, server *memoryBoundServer) []*Forwarder {
	view := fleet.NewView()
	view.SetConfiguration(testConfiguration())
	view.ReplaceServers(map[string]*fleet.Server{"s": {
		ID: "s", Pool: modelPool, Slots: server.slots, Zone: "z",
		Models: map[string]fleet.LoadedModel{"m": {Adapters: map[string]bool{"a": true}}},
	}})
	backend := &fakeBackend{answer: map[string]func(context.Context, Attempt) (*Reply, error){"s": server.answer}}
	nodes := make([]*Forwarder, count)
	for i := range nodes {
		nodes[i] = New(Config{View: view, Backend: backend, Orders: &fakeOrders{}, Zone: "z", Nodes: count, Budget: BudgetLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}})
		nodes[i].RetryBudget().SetNoEarlierProcess()
	}
	return nodes
}

// Requests that no server has the memory for shut out all others from the servers that rejected them.
func TestRequestsTooLargeForAServerDoNotStarveOthers(t *testing.T) {
	for name, test := range map[string]struct {
		nodes   int
		reports bool
	}{
		"one node, rejections with a load":       {nodes: 1, reports: true},
		"one node, rejections without a load":    {nodes: 1},
		"three nodes, rejections with a load":    {nodes: 3, reports: true},
		"three nodes, rejections without a load": {nodes: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				server := &memoryBoundServer{slots: 8, maxPromptTokens: 4000, runTime: 200 * time.Millisecond, reports: test.reports}
				nodes := nodesOf(test.nodes, server)
				small := steadySessions{sessions: 20, period: 2 * time.Second, promptTokens: 1000, adapter: "a"}
				large := steadySessions{sessions: 20, period: time.Second, promptTokens: 20000, adapter: "a"}
				var counts []sessionCounts
				var group sync.WaitGroup
				group.Go(func() { large.play(nodes, 2) })
				counts = small.play(nodes, 1)
				group.Wait()
				never, asked, served := neverServed(counts)
				t.Logf("%d of %d requests served, %d sessions never; %d rejections", served, asked, never, server.rejected)
				Expect(never).To(BeZero())
				Expect(served).To(BeNumerically(">=", asked*95/100))
			})
		})
	}
}

// Guards against serving small requests only, where a full server rejects requests of all sizes.
func TestFullServerServesRequestsOfAllSizes(t *testing.T) {
	for name, test := range map[string]struct {
		nodes   int
		reports bool
	}{
		"one node, rejections with a load":      {nodes: 1, reports: true},
		"one node, rejections without a load":   {nodes: 1},
		"four nodes, rejections with a load":    {nodes: 4, reports: true},
		"four nodes, rejections without a load": {nodes: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				server := &memoryBoundServer{slots: 4, maxPromptTokens: 1 << 30, runTime: 300 * time.Millisecond, reports: test.reports}
				nodes := nodesOf(test.nodes, server)
				sizes := []int{300, 1000, 3000, 9000}
				never, asked, served := make([]int, len(sizes)), make([]int, len(sizes)), make([]int, len(sizes))
				var group sync.WaitGroup
				for i, size := range sizes {
					sessions := steadySessions{sessions: 10, period: 2 * time.Second, promptTokens: size, adapter: "a"}
					group.Go(func() { never[i], asked[i], served[i] = neverServed(sessions.play(nodes, uint64(10+i))) })
				}
				group.Wait()
				t.Logf("%v of %v requests served, %v sessions never; %d rejections", served, asked, never, server.rejected)
				// The target: at most 2, and 4 in 100, of the sessions.
				Expect(float64(sum(never))).To(BeNumerically("<=", 2+0.04*40))
				largest := len(sizes) - 1
				Expect(float64(served[largest]) / float64(asked[largest])).To(BeNumerically(">", 0.5*float64(sum(served))/float64(sum(asked))))
			})
		})
	}
}

func sum(values []int) (total int) {
	for _, value := range values {
		total += value
	}
	return total
}
