package clock

import (
	"sync"
	"time"
)

// repeater re-arms one timer after each call of its function.
type repeater struct {
	clock    Clock
	period   time.Duration
	function func()

	mutex   sync.Mutex
	timer   Timer
	stopped bool
}

func (r *repeater) schedule() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped {
		return
	}
	r.timer = r.clock.AfterFunc(r.period, r.fire)
}

func (r *repeater) fire() {
	r.mutex.Lock()
	stopped := r.stopped
	r.mutex.Unlock()
	if stopped {
		return
	}
	r.function()
	r.schedule()
}

func (r *repeater) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stopped = true
	if r.timer != nil {
		r.timer.Stop()
	}
}
