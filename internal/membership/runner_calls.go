package membership

import "sync"

// runnerCalls queues calls to the runner and makes them in order, one at a time.
// Calls are added under the lock of the OwnershipManager and made without it.
type runnerCalls struct {
	runner CellRunner

	mutex      sync.Mutex
	waiting    []func(CellRunner)
	delivering bool
}

func (c *runnerCalls) add(call func(CellRunner)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting = append(c.waiting, call)
}

// deliver makes the queued calls, unless another goroutine is doing so.
func (c *runnerCalls) deliver() {
	for {
		call := c.next()
		if call == nil {
			return
		}
		call(c.runner)
		c.mutex.Lock()
		c.delivering = false
		c.mutex.Unlock()
	}
}

// next dequeues a call; nil if there is none or one is being made.
func (c *runnerCalls) next() func(CellRunner) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.delivering || len(c.waiting) == 0 {
		return nil
	}
	call := c.waiting[0]
	c.waiting = c.waiting[1:]
	c.delivering = true
	return call
}
