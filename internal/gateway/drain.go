package gateway

import (
	"sync"
	"sync/atomic"
)

// drainState counts the work that a planned stop waits for.
type drainState struct {
	draining atomic.Bool
	// open work items: requests without final answer, attempts, claims.
	open atomic.Int64

	mutex   sync.Mutex
	drained func()
}

// Drain refuses new requests from now on; what was accepted is finished.
// Drained is called once, when nothing is open any more.
func (g *Gateway) Drain(drained func()) {
	g.drain.mutex.Lock()
	g.drain.drained = drained
	g.drain.mutex.Unlock()
	g.drain.draining.Store(true)
	g.close(0)
}

// close counts ended work items.
func (g *Gateway) close(count int64) {
	if g.drain.open.Add(-count) > 0 || !g.drain.draining.Load() {
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
