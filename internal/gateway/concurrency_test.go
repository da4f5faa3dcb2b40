package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/table"
)

// goroutineEngines answers each attempt on its own goroutine.
type goroutineEngines struct{ outside.EngineService }

func (goroutineEngines) Generate(request outside.GenerateRequest, sink outside.GenerateSink) func() {
	go func() {
		for index := range 10 {
			sink.Chunk(outside.Chunk{Attempt: request.Attempt, Index: index})
		}
		sink.End(outside.GenerateEnd{Attempt: request.Attempt, Chunks: 10})
	}()
	return func() {}
}

type goroutineClaims struct{ claims.Claimer }

func (goroutineClaims) Claim(_ claims.Key, _ outside.AttemptID, _ uint64, _ time.Time, done func(claims.Result)) {
	go done(claims.Result{Verdict: claims.Granted})
}
func (goroutineClaims) Record(claims.Key, outside.AttemptID, claims.Outcome) {}
func (goroutineClaims) Release(claims.Key, outside.AttemptID)                {}

// orderedCaller checks that its calls are made in order and never overlap.
type orderedCaller struct {
	inside     atomic.Bool
	next       int
	finals     int
	violations *atomic.Int64
	wait       *sync.WaitGroup
}

func (c *orderedCaller) enter(ok bool) {
	if !c.inside.CompareAndSwap(false, true) || !ok {
		c.violations.Add(1)
	}
}

func (c *orderedCaller) Chunk(chunk outside.Chunk) {
	c.enter(chunk.Index == c.next && c.finals == 0)
	c.next++
	c.inside.Store(false)
}

func (c *orderedCaller) Finish(Answer) {
	c.enter(c.next == 10 && c.finals == 0)
	c.final()
}

func (c *orderedCaller) Refuse(result.Refusal) {
	c.enter(c.finals == 0)
	c.final()
}

func (c *orderedCaller) final() {
	c.finals++
	c.inside.Store(false)
	c.wait.Done()
}

// TestConcurrentCallers submits and cancels requests from many goroutines, with
// the system clock.
func TestConcurrentCallers(t *testing.T) {
	endpoints := &fakeDirectory{snapshots: map[string]*directory.Snapshot{}}
	endpoints.set(testModel, 8, "s1", "s2")
	rows := &fakeTable{rows: map[string]table.Row{
		testModel: {Name: testModel, Kind: table.KindModel, Version: "1", Weight: 1, MaxReplicas: 2, Repeatable: true},
	}}
	gateway := New(Config{
		Clock: clock.System{}, Random: rand.New(rand.NewPCG(1, 1)), Node: "n", Table: rows, Logger: zerolog.Nop(),
		Directory: noopDirectory{}, Engines: goroutineEngines{}, Claims: goroutineClaims{},
		Router: router.New(router.Config{Clock: clock.System{}, Random: rand.New(rand.NewPCG(2, 2)), Source: endpoints}),
	})
	const callers, requests = 16, 100
	var wait sync.WaitGroup
	var violations atomic.Int64
	wait.Add(callers * requests)
	for caller := range callers {
		go func() {
			for index := range requests {
				now := time.Now()
				request := Request{
					Tenant: "alpha", Model: testModel, Accepted: now, Deadline: now.Add(time.Minute),
					Key: "k", Repeatable: index%3 > 0, Priority: index % priorities,
				}
				cancel := gateway.Submit(request, &orderedCaller{violations: &violations, wait: &wait})
				if (index+caller)%5 == 0 {
					go cancel()
				}
			}
		}()
	}
	wait.Wait()
	drained := make(chan struct{})
	gateway.Drain(func() { close(drained) })
	<-drained
	if violations.Load() > 0 {
		t.Fatalf("%d calls of responders were out of order or overlapped", violations.Load())
	}
	stats := gateway.Stats()
	if stats.Submitted != callers*requests || stats.Open != 0 {
		t.Fatalf("unexpected stats %+v", stats)
	}
}

// noopDirectory ignores all calls.
type noopDirectory struct{}

func (noopDirectory) ReportDemand(string)                                 {}
func (noopDirectory) Invalidate(string, outside.ServerID, outside.SlotID) {}
func (noopDirectory) MarkLeaving(outside.ServerID)                        {}
