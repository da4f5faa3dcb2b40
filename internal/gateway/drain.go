package gateway

import (
	"sync"
	"sync/atomic"
)

// drainState counts the open work that a planned shutdown waits for.
type drainState struct {
	draining atomic.Bool
	// openWork is the number of requests without final answer, attempts that have
	// not ended and claims without result.
	openWork atomic.Int64

	mutex   sync.Mutex
	drained func()
}

// Drain makes the gateway refuse new requests; accepted requests are finished.
// The callback drained is called once, when no work is open any more.
func (g *Gateway) Drain(drained func()) {
	g.drain.mutex.Lock()
	g.drain.drained = drained
	g.drain.mutex.Unlock()
	g.drain.draining.Store(true)
	g.workFinished(0)
}

// workFinished subtracts finished work items, and calls the drained callback when
// none is left.
func (g *Gateway) workFinished(count int64) {
	if g.drain.openWork.Add(-count) > 0 || !g.drain.draining.Load() {
		return
	}
	g.drain.mutex.Lock()
	drained := g.drain.drained
	g.drain.drained = nil
	g.drain.mutex.Unlock()
	if drained != nil {
		drained()
	}
}
